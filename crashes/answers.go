package crashes

import (
	"hash/maphash"
	"time"
)

// maxRecentCauses bounds the causes of completed requests that are remembered in a period.
const maxRecentCauses = 1 << 16

// Answers remembers the causes of completed requests, for one to two periods. It keeps
// hashes, which take less memory.
type Answers struct {
	period      time.Duration
	seed        maphash.Seed
	recent      map[uint64]struct{}
	older       map[uint64]struct{} // of the period before
	recentSince time.Time
}

// NewAnswers returns Answers with a period.
func NewAnswers(period time.Duration) *Answers {
	return &Answers{period: period, seed: maphash.MakeSeed(), recent: map[uint64]struct{}{}}
}

// Add remembers the cause of a request that was completed now.
func (a *Answers) Add(now time.Time, c Cause) {
	a.forget(now)
	if len(a.recent) >= maxRecentCauses {
		a.rotate(now)
	}
	a.recent[a.hash(c)] = struct{}{}
}

// forget removes causes that are older than two periods.
func (a *Answers) forget(now time.Time) {
	age := now.Sub(a.recentSince)
	if age > 2*a.period {
		a.recent = map[uint64]struct{}{}
	}
	if age > a.period {
		a.rotate(now)
	}
}

// rotate begins the next period.
func (a *Answers) rotate(now time.Time) {
	a.recent, a.older, a.recentSince = map[uint64]struct{}{}, a.recent, now
}

// Contain reports whether a cause is remembered.
func (a *Answers) Contain(now time.Time, c Cause) bool {
	a.forget(now)
	h := a.hash(c)
	_, recent := a.recent[h]
	_, older := a.older[h]
	return recent || older
}

func (a *Answers) hash(c Cause) uint64 { return maphash.String(a.seed, string(c)) }
