package attempts

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// SuspectsConfig configures Suspects. Zero fields take the defaults below.
type SuspectsConfig struct {
	CrashRetention time.Duration // time for which a crash counts against a body hash
	ConfirmWindow  time.Duration // time within which a new incarnation confirms a broken connection as a crash
	Quarantine     time.Duration // time for which a guilty body hash is refused
	IsolationWait  time.Duration // longest wait of a suspect for a backend server without other work
}

const (
	defaultCrashRetention = 30 * time.Minute
	defaultConfirmWindow  = 5 * time.Second
	defaultQuarantine     = time.Hour
	defaultIsolationWait  = time.Second
)

// crashLimit is the number of backend servers that one body hash may crash.
const crashLimit = 2

// Crash names one incarnation of a backend server that crashed.
type Crash struct {
	Server      gypsumshelf.ServerID
	Incarnation string
}

// Suspicion is shared between daemons: the body hash was running on a backend
// server when that crashed, or it has been cleared.
type Suspicion struct {
	Hash    uint64
	Crash   Crash
	Strikes int // crashes that count against the hash, this one included
	Cleared bool
}

// ShareSuspicion is the effect that tells the other daemons of a suspicion.
type ShareSuspicion struct{ Suspicion Suspicion }

// Suspected is the event of a suspicion that another daemon shares.
type Suspected struct{ Suspicion Suspicion }

// Quarantine is the effect that tells all daemons of a guilty body hash.
type Quarantine struct {
	Hash  uint64
	Until time.Time
}

// Quarantined is the event of a body hash that a daemon found guilty.
type Quarantined struct {
	Hash  uint64
	Until time.Time
}

// EffectName implements gypsumshelf.Effect.
func (ShareSuspicion) EffectName() string { return "share-suspicion" }

// EventName implements gypsumshelf.Event.
func (Suspected) EventName() string { return "hash-suspected" }

// EffectName implements gypsumshelf.Effect.
func (Quarantine) EffectName() string { return "quarantine-hash" }

// EventName implements gypsumshelf.Event.
func (Quarantined) EventName() string { return "hash-quarantined" }

// suspect is what is known against one body hash. Of crashes at the same time,
// as when a rack fails, only one counts: a strike is a crash of a run that began
// after the strike before it.
type suspect struct {
	strikes           int
	lastStrike        time.Time                  // of the last strike or broken connection that counts
	crashes           map[Crash]time.Time        // all known crashes
	brokenConnections map[Crash]brokenConnection // connections that broke, not yet known to be crashes
	quarantinedUntil  time.Time                  // refused until then
}

type brokenConnection struct {
	at             time.Time
	countsAsStrike bool // it is a strike if it was a crash
}

// countsAsStrike reports whether the failure of a run that began at started counts on
// its own, and remembers that it did.
func (e *suspect) countsAsStrike(now, started time.Time) bool {
	if started.Before(e.lastStrike) {
		return false
	}
	e.lastStrike = now
	return true
}

// Suspects holds the body hashes that were running on backend servers when
// these crashed.
type Suspects struct {
	cfg    SuspectsConfig
	hashes map[uint64]*suspect
}

// NewSuspects returns an empty table.
func NewSuspects(cfg SuspectsConfig) *Suspects {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&cfg.CrashRetention, defaultCrashRetention}, {&cfg.ConfirmWindow, defaultConfirmWindow},
		{&cfg.Quarantine, defaultQuarantine}, {&cfg.IsolationWait, defaultIsolationWait},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return &Suspects{cfg: cfg, hashes: map[uint64]*suspect{}}
}

func (s *Suspects) suspect(hash uint64) *suspect {
	if s.hashes[hash] == nil {
		s.hashes[hash] = &suspect{crashes: map[Crash]time.Time{}, brokenConnections: map[Crash]brokenConnection{}}
	}
	return s.hashes[hash]
}

// Broke records a connection that broke while a run of the hash that began at
// started was on it. It becomes a crash when the server announces a new
// incarnation.
func (s *Suspects) Broke(now, started time.Time, hash uint64, c Crash) {
	suspect := s.suspect(hash)
	if _, known := suspect.brokenConnections[c]; !known {
		suspect.brokenConnections[c] = brokenConnection{at: now, countsAsStrike: suspect.countsAsStrike(now, started)}
	}
}

// Crashed records a crash under a run of the hash that began at started. It
// returns the suspicion to share, which is nil when the crash was known.
func (s *Suspects) Crashed(now, started time.Time, hash uint64, c Crash) *Suspicion {
	suspect := s.suspect(hash)
	if _, known := suspect.crashes[c]; known {
		return nil
	}
	suspect.crashes[c] = now
	connection, wasBroken := suspect.brokenConnections[c]
	delete(suspect.brokenConnections, c)
	if wasBroken && connection.countsAsStrike || !wasBroken && suspect.countsAsStrike(now, started) {
		suspect.strikes++
	}
	return &Suspicion{Hash: hash, Crash: c, Strikes: suspect.strikes}
}

// Heard records the suspicion of another daemon.
func (s *Suspects) Heard(now time.Time, heard Suspicion) {
	if heard.Cleared {
		s.Clear(heard.Hash)
		return
	}
	suspect := s.suspect(heard.Hash)
	delete(suspect.brokenConnections, heard.Crash)
	if _, known := suspect.crashes[heard.Crash]; !known {
		suspect.crashes[heard.Crash] = now
		suspect.lastStrike = now
	}
	suspect.strikes = max(suspect.strikes, heard.Strikes)
}

// Restarted returns the hashes whose connection to an earlier incarnation of
// the server broke recently, each with that incarnation.
func (s *Suspects) Restarted(now time.Time, server gypsumshelf.ServerID, incarnation string) map[uint64]Crash {
	confirmed := map[uint64]Crash{}
	for hash, suspect := range s.hashes {
		for c, connection := range suspect.brokenConnections {
			if c.Server == server && c.Incarnation != incarnation && now.Sub(connection.at) <= s.cfg.ConfirmWindow {
				confirmed[hash] = c
			}
		}
	}
	return confirmed
}

// Clear forgets what is held against a hash that ran to its end, and reports
// whether there was anything. A quarantine stays.
func (s *Suspects) Clear(hash uint64) bool {
	suspect := s.hashes[hash]
	if suspect == nil || len(suspect.crashes)+len(suspect.brokenConnections) == 0 {
		return false
	}
	quarantinedUntil := suspect.quarantinedUntil
	delete(s.hashes, hash)
	if !quarantinedUntil.IsZero() {
		s.suspect(hash).quarantinedUntil = quarantinedUntil
	}
	return true
}

// Suspect reports whether the hash must run apart from other suspects.
func (s *Suspects) Suspect(hash uint64) bool {
	suspect := s.hashes[hash]
	return suspect != nil && len(suspect.crashes)+len(suspect.brokenConnections) > 0
}

// Held reports whether another run of the hash could crash one backend server
// too many: it waits until the broken connections are explained.
func (s *Suspects) Held(now time.Time, hash uint64) bool {
	suspect := s.hashes[hash]
	if suspect == nil {
		return false
	}
	strikes := suspect.strikes
	for _, connection := range suspect.brokenConnections {
		if connection.countsAsStrike && now.Sub(connection.at) <= s.cfg.ConfirmWindow {
			strikes++
		}
	}
	return strikes >= crashLimit
}

// Convicted reports whether the hash has crashed as many backend servers as
// allowed.
func (s *Suspects) Convicted(hash uint64) bool {
	suspect := s.hashes[hash]
	return suspect != nil && suspect.strikes >= crashLimit
}

// SetGuilty records a quarantine.
func (s *Suspects) SetGuilty(hash uint64, until time.Time) {
	suspect := s.suspect(hash)
	if until.After(suspect.quarantinedUntil) {
		suspect.quarantinedUntil = until
	}
}

// Guilty returns the end of the hash's quarantine, or false when it has none.
func (s *Suspects) Guilty(now time.Time, hash uint64) (until time.Time, ok bool) {
	suspect := s.hashes[hash]
	if suspect == nil || !now.Before(suspect.quarantinedUntil) {
		return time.Time{}, false
	}
	return suspect.quarantinedUntil, true
}

// QuarantineTime returns the time for which a guilty body hash is refused.
func (s *Suspects) QuarantineTime() time.Duration { return s.cfg.Quarantine }

// AloneWait returns how long a suspect waits for a server without other work.
func (s *Suspects) AloneWait() time.Duration { return s.cfg.IsolationWait }

// Expire forgets old crashes, unexplained connections and quarantines.
func (s *Suspects) Expire(now time.Time) {
	for hash, suspect := range s.hashes {
		for c, at := range suspect.crashes {
			if now.Sub(at) > s.cfg.CrashRetention {
				delete(suspect.crashes, c)
			}
		}
		for c, connection := range suspect.brokenConnections {
			if now.Sub(connection.at) > s.cfg.ConfirmWindow {
				delete(suspect.brokenConnections, c)
			}
		}
		if len(suspect.crashes) == 0 {
			suspect.strikes = 0
		}
		if len(suspect.crashes)+len(suspect.brokenConnections) == 0 && !now.Before(suspect.quarantinedUntil) {
			delete(s.hashes, hash)
		}
	}
}
