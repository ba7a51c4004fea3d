package attempts

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// SuspectsConfig configures Suspects. Zero fields take the defaults below.
type SuspectsConfig struct {
	Keep       time.Duration // time for which a crash counts against a body hash
	Unresolved time.Duration // time within which a new incarnation confirms a broken connection as a crash
	Quarantine time.Duration // time for which a guilty body hash is refused
	AloneWait  time.Duration // longest wait of a suspect for a backend server without other work
}

const (
	defaultSuspectKeep = 30 * time.Minute
	defaultUnresolved  = 5 * time.Second
	defaultQuarantine  = time.Hour
	defaultAloneWait   = time.Second
)

// maxCrashes is the number of backend servers that one body hash may crash.
const maxCrashes = 2

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

// suspect is what is known against one body hash.
type suspect struct {
	crashes map[Crash]time.Time
	broken  map[Crash]time.Time // connections that broke, not yet known to be crashes
	guilty  time.Time           // refused until then
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
		{&cfg.Keep, defaultSuspectKeep}, {&cfg.Unresolved, defaultUnresolved},
		{&cfg.Quarantine, defaultQuarantine}, {&cfg.AloneWait, defaultAloneWait},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return &Suspects{cfg: cfg, hashes: map[uint64]*suspect{}}
}

func (s *Suspects) entry(hash uint64) *suspect {
	if s.hashes[hash] == nil {
		s.hashes[hash] = &suspect{crashes: map[Crash]time.Time{}, broken: map[Crash]time.Time{}}
	}
	return s.hashes[hash]
}

// Broke records a connection that broke while the hash was running. It becomes
// a crash when the server announces a new incarnation.
func (s *Suspects) Broke(now time.Time, hash uint64, c Crash) { s.entry(hash).broken[c] = now }

// Crashed records a crash and reports whether it was not yet known and whether
// the hash has now crashed as many backend servers as allowed.
func (s *Suspects) Crashed(now time.Time, hash uint64, c Crash) (fresh, guilty bool) {
	e := s.entry(hash)
	delete(e.broken, c)
	if _, known := e.crashes[c]; !known {
		e.crashes[c] = now
		fresh = true
	}
	return fresh, len(e.crashes) >= maxCrashes
}

// Restarted returns the hashes whose connection to an earlier incarnation of
// the server broke recently, each with that incarnation.
func (s *Suspects) Restarted(now time.Time, server gypsumshelf.ServerID, incarnation string) map[uint64]Crash {
	confirmed := map[uint64]Crash{}
	for hash, e := range s.hashes {
		for c, at := range e.broken {
			if c.Server == server && c.Incarnation != incarnation && now.Sub(at) <= s.cfg.Unresolved {
				confirmed[hash] = c
			}
		}
	}
	return confirmed
}

// Clear forgets what is held against a hash that ran to its end, and reports
// whether there was anything. A quarantine stays.
func (s *Suspects) Clear(hash uint64) bool {
	e := s.hashes[hash]
	if e == nil || len(e.crashes)+len(e.broken) == 0 {
		return false
	}
	if e.guilty.IsZero() {
		delete(s.hashes, hash)
	}
	return true
}

// Suspect reports whether the hash must run apart from other suspects.
func (s *Suspects) Suspect(hash uint64) bool {
	e := s.hashes[hash]
	return e != nil && len(e.crashes)+len(e.broken) > 0
}

// Held reports whether another run of the hash could crash one backend server
// too many: it waits until the broken connections are explained.
func (s *Suspects) Held(now time.Time, hash uint64) bool {
	e := s.hashes[hash]
	if e == nil {
		return false
	}
	n := len(e.crashes)
	for _, at := range e.broken {
		if now.Sub(at) <= s.cfg.Unresolved {
			n++
		}
	}
	return n >= maxCrashes
}

// Convicted reports whether the hash has crashed as many backend servers as
// allowed.
func (s *Suspects) Convicted(hash uint64) bool {
	e := s.hashes[hash]
	return e != nil && len(e.crashes) >= maxCrashes
}

// SetGuilty records a quarantine.
func (s *Suspects) SetGuilty(hash uint64, until time.Time) {
	e := s.entry(hash)
	if until.After(e.guilty) {
		e.guilty = until
	}
}

// Guilty returns the end of the hash's quarantine, or false when it has none.
func (s *Suspects) Guilty(now time.Time, hash uint64) (until time.Time, ok bool) {
	e := s.hashes[hash]
	if e == nil || !now.Before(e.guilty) {
		return time.Time{}, false
	}
	return e.guilty, true
}

// QuarantineTime returns the time for which a guilty body hash is refused.
func (s *Suspects) QuarantineTime() time.Duration { return s.cfg.Quarantine }

// AloneWait returns how long a suspect waits for a server without other work.
func (s *Suspects) AloneWait() time.Duration { return s.cfg.AloneWait }

// Expire forgets old crashes, unexplained connections and quarantines.
func (s *Suspects) Expire(now time.Time) {
	for hash, e := range s.hashes {
		for c, at := range e.crashes {
			if now.Sub(at) > s.cfg.Keep {
				delete(e.crashes, c)
			}
		}
		for c, at := range e.broken {
			if now.Sub(at) > s.cfg.Unresolved {
				delete(e.broken, c)
			}
		}
		if len(e.crashes)+len(e.broken) == 0 && !now.Before(e.guilty) {
			delete(s.hashes, hash)
		}
	}
}
