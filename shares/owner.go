package shares

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// owner is this daemon's ownership of one slot.
type owner struct {
	epoch   uint64
	support map[gypsumshelf.DaemonID]time.Time // end of each voter's promise
	ready   time.Time                          // all shares of earlier owners have run out, zero without a majority
	ledgers map[gypsumshelf.ServerID]*ledger
}

func newOwner(epoch uint64) *owner {
	return &owner{
		epoch: epoch, support: map[gypsumshelf.DaemonID]time.Time{},
		ledgers: map[gypsumshelf.ServerID]*ledger{},
	}
}

func (o *owner) supported(now time.Time, voters []gypsumshelf.DaemonID) bool {
	n := 0
	for _, v := range voters {
		if now.Before(o.support[v]) {
			n++
		}
	}
	return n > len(voters)/2
}

// lapse starts a new epoch when the majority of promises has run out: another
// daemon may have owned the slot since.
func (o *owner) lapse(now time.Time, voters []gypsumshelf.DaemonID) {
	if !o.ready.IsZero() && !o.supported(now, voters) {
		o.epoch++
		o.ready = time.Time{}
		clear(o.support)
	}
}

// promised takes a promise that a voter gave for a claim sent at sent.
func (o *owner) promised(now, sent time.Time, from gypsumshelf.DaemonID, epoch uint64, cfg Config) {
	if epoch != o.epoch {
		return
	}
	until := sent.Add(cfg.Promise - cfg.Promise/clockMargin)
	if until.After(o.support[from]) {
		o.support[from] = until
	}
	if o.ready.IsZero() && o.supported(now, cfg.Voters()) {
		o.ready = now.Add(cfg.Share + cfg.Share/clockMargin)
	}
}

// refused takes the highest epoch that a voter knows.
func (o *owner) refused(epoch uint64) {
	if epoch >= o.epoch {
		o.epoch = epoch + 1
		o.ready = time.Time{}
		clear(o.support)
	}
}

// mayGrant reports whether this daemon is the only one that may grant shares.
func (o *owner) mayGrant(now time.Time, voters []gypsumshelf.DaemonID) bool {
	return !o.ready.IsZero() && !now.Before(o.ready) && o.supported(now, voters)
}
