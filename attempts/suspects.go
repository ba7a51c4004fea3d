package attempts

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// SuspectsConfig configures Suspects. Zero fields take the defaults below.
type SuspectsConfig struct {
	CrashRetention time.Duration // time for which a crash counts as evidence against a body hash
	ConfirmWindow  time.Duration // time within which a new incarnation confirms a broken connection as a crash
	Quarantine     time.Duration // time for which a quarantined body hash is refused
	IsolationWait  time.Duration // longest wait of a suspect for a backend server without other work
}

const (
	defaultCrashRetention = 30 * time.Minute
	defaultConfirmWindow  = 5 * time.Second
	defaultQuarantine     = time.Hour
	defaultIsolationWait  = time.Second
)

// crashLimit is the number of strikes at which a body hash is quarantined.
const crashLimit = 2

// Crash names one incarnation of a backend server that crashed.
type Crash struct {
	Server      gypsumshelf.ServerID
	Incarnation string
}

// Suspicion is the message by which a daemon tells others that a request with the
// body hash was running on a backend server that crashed, or that the hash has
// been cleared.
type Suspicion struct {
	Hash    uint64
	Crash   Crash
	Strikes int // strikes of the hash, including this crash
	Cleared bool
}

// ShareSuspicion is the effect that sends a suspicion to the other daemons.
type ShareSuspicion struct{ Suspicion Suspicion }

// Suspected is the event of a suspicion received from another daemon.
type Suspected struct{ Suspicion Suspicion }

// Quarantine is the effect that makes all daemons refuse a body hash.
type Quarantine struct {
	Hash  uint64
	Until time.Time
}

// Quarantined is the event of a body hash that a daemon has quarantined.
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

// suspect holds the evidence against one body hash. A strike is a crash during a
// run that began after the previous strike, so that simultaneous crashes, as when
// a rack fails, count once.
type suspect struct {
	strikes           int
	lastStrike        time.Time                  // or last broken connection that counts as a strike
	crashes           map[Crash]time.Time        // all known crashes, by the time they became known
	brokenConnections map[Crash]brokenConnection // not yet confirmed as crashes
	quarantinedUntil  time.Time                  // end of the quarantine, zero when never quarantined
}

type brokenConnection struct {
	at             time.Time
	countsAsStrike bool // becomes a strike when confirmed as a crash
}

// countsAsStrike reports whether a failure at now of a run that began at started
// is separate from the last strike. If so, it records now as the last strike.
func (e *suspect) countsAsStrike(now, started time.Time) bool {
	if started.Before(e.lastStrike) {
		return false
	}
	e.lastStrike = now
	return true
}

// Suspects holds the body hashes of requests that were running on backend servers
// when these crashed.
type Suspects struct {
	cfg    SuspectsConfig
	hashes map[uint64]*suspect
}

// NewSuspects returns an empty Suspects.
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

// suspect returns the entry of a hash and adds it if missing.
func (s *Suspects) suspect(hash uint64) *suspect {
	if s.hashes[hash] == nil {
		s.hashes[hash] = &suspect{crashes: map[Crash]time.Time{}, brokenConnections: map[Crash]brokenConnection{}}
	}
	return s.hashes[hash]
}

// RecordBrokenConnection records that the connection of a run of the hash,
// begun at started, broke. A new incarnation of the server confirms it as a
// crash.
func (s *Suspects) RecordBrokenConnection(now, started time.Time, hash uint64, c Crash) {
	suspect := s.suspect(hash)
	if _, known := suspect.brokenConnections[c]; !known {
		suspect.brokenConnections[c] = brokenConnection{at: now, countsAsStrike: suspect.countsAsStrike(now, started)}
	}
}

// RecordCrash records a crash during a run of the hash that began at started. It
// returns the suspicion to share, or nil when the crash was already known.
func (s *Suspects) RecordCrash(now, started time.Time, hash uint64, c Crash) *Suspicion {
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

// ApplySuspicion applies a suspicion received from another daemon.
func (s *Suspects) ApplySuspicion(now time.Time, received Suspicion) {
	if received.Cleared {
		s.Clear(received.Hash)
		return
	}
	suspect := s.suspect(received.Hash)
	delete(suspect.brokenConnections, received.Crash)
	if _, known := suspect.crashes[received.Crash]; !known {
		suspect.crashes[received.Crash] = now
		suspect.lastStrike = now
	}
	suspect.strikes = max(suspect.strikes, received.Strikes)
}

// ConfirmedCrashes returns the crashes that a new incarnation of the server
// confirms: the hashes whose connection to an earlier incarnation broke within
// ConfirmWindow, each with that incarnation.
func (s *Suspects) ConfirmedCrashes(now time.Time, server gypsumshelf.ServerID, incarnation string) map[uint64]Crash {
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

// Clear removes the evidence against a hash after a run that ended normally, and
// reports whether there was any. A quarantine remains.
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

// IsSuspect reports whether there is evidence against the hash, in which case it
// must run apart from other suspects.
func (s *Suspects) IsSuspect(hash uint64) bool {
	suspect := s.hashes[hash]
	return suspect != nil && len(suspect.crashes)+len(suspect.brokenConnections) > 0
}

// MustWait reports whether the hash would reach crashLimit if all its recent
// broken connections were confirmed as crashes. It must not run again until
// they are confirmed or expire.
func (s *Suspects) MustWait(now time.Time, hash uint64) bool {
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

// ReachedCrashLimit reports whether the hash has reached crashLimit.
func (s *Suspects) ReachedCrashLimit(hash uint64) bool {
	suspect := s.hashes[hash]
	return suspect != nil && suspect.strikes >= crashLimit
}

// SetQuarantine records a quarantine of the hash, unless a longer one is recorded.
func (s *Suspects) SetQuarantine(hash uint64, until time.Time) {
	suspect := s.suspect(hash)
	if until.After(suspect.quarantinedUntil) {
		suspect.quarantinedUntil = until
	}
}

// QuarantinedUntil returns the end of the hash's quarantine, or false when it
// has none.
func (s *Suspects) QuarantinedUntil(now time.Time, hash uint64) (until time.Time, ok bool) {
	suspect := s.hashes[hash]
	if suspect == nil || !now.Before(suspect.quarantinedUntil) {
		return time.Time{}, false
	}
	return suspect.quarantinedUntil, true
}

// QuarantineTime returns the duration of a quarantine.
func (s *Suspects) QuarantineTime() time.Duration { return s.cfg.Quarantine }

// IsolationWait returns the longest wait of a suspect for a backend server without
// other work.
func (s *Suspects) IsolationWait() time.Duration { return s.cfg.IsolationWait }

// Expire removes old crashes, broken connections and quarantines.
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
