package shares

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// ownership is this daemon's ownership of one slot.
type ownership struct {
	epoch         uint64
	promisedUntil map[gypsumshelf.DaemonID]time.Time // end of each voter's promise
	grantsFrom    time.Time                          // when all shares of earlier owners have expired; zero without a majority
	allocations   map[gypsumshelf.ServerID]*serverAllocations
}

func newOwnership(epoch uint64) *ownership {
	return &ownership{
		epoch: epoch, promisedUntil: map[gypsumshelf.DaemonID]time.Time{},
		allocations: map[gypsumshelf.ServerID]*serverAllocations{},
	}
}

// hasMajority reports whether a majority of voters has an unexpired promise to
// this daemon.
func (o *ownership) hasMajority(now time.Time, voters []gypsumshelf.DaemonID) bool {
	n := 0
	for _, v := range voters {
		if now.Before(o.promisedUntil[v]) {
			n++
		}
	}
	return n > len(voters)/2
}

// startEpochIfMajorityLost starts a new epoch once the promises no longer form a
// majority, since another daemon may have owned the slot in the meantime.
func (o *ownership) startEpochIfMajorityLost(now time.Time, voters []gypsumshelf.DaemonID) {
	if !o.grantsFrom.IsZero() && !o.hasMajority(now, voters) {
		o.epoch++
		o.grantsFrom = time.Time{}
		clear(o.promisedUntil)
	}
}

// recordPromise records a voter's promise for a claim sent at sent.
func (o *ownership) recordPromise(now, sent time.Time, from gypsumshelf.DaemonID, epoch uint64, cfg Config) {
	if epoch != o.epoch {
		return
	}
	until := sent.Add(cfg.PromiseTTL - cfg.PromiseTTL/clockDriftDivisor)
	if until.After(o.promisedUntil[from]) {
		o.promisedUntil[from] = until
	}
	if o.grantsFrom.IsZero() && o.hasMajority(now, cfg.Voters()) {
		o.grantsFrom = now.Add(cfg.ShareTTL + cfg.ShareTTL/clockDriftDivisor)
	}
}

// recordRefusal raises the epoch above the highest one known to a voter.
func (o *ownership) recordRefusal(epoch uint64) {
	if epoch >= o.epoch {
		o.epoch = epoch + 1
		o.grantsFrom = time.Time{}
		clear(o.promisedUntil)
	}
}

// mayGrant reports whether this daemon is the only one that may grant shares.
func (o *ownership) mayGrant(now time.Time, voters []gypsumshelf.DaemonID) bool {
	return !o.grantsFrom.IsZero() && !now.Before(o.grantsFrom) && o.hasMajority(now, voters)
}
