package crashes

import (
	"hash/maphash"
	"time"
)

// maxRecentCauses bounds the causes of completed requests that are remembered in a period.
const maxRecentCauses = 1 << 16

// answers remembers the causes of completed requests, for one to two periods. It keeps
// hashes, which take less memory.
type answers struct {
	period      time.Duration
	seed        maphash.Seed
	recent      map[uint64]struct{}
	older       map[uint64]struct{} // of the period before
	recentSince time.Time
}

func newAnswers(period time.Duration) answers {
	return answers{period: period, seed: maphash.MakeSeed(), recent: map[uint64]struct{}{}}
}

func (a *answers) add(now time.Time, c Cause) {
	if now.Sub(a.recentSince) > a.period || len(a.recent) >= maxRecentCauses {
		a.recent, a.older, a.recentSince = map[uint64]struct{}{}, a.recent, now
	}
	a.recent[a.hash(c)] = struct{}{}
}

func (a *answers) contain(c Cause) bool {
	h := a.hash(c)
	_, recent := a.recent[h]
	_, older := a.older[h]
	return recent || older
}

func (a *answers) hash(c Cause) uint64 { return maphash.String(a.seed, string(c)) }
