package shares

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// voter promises slots to owners, each slot to one owner at a time.
type voter struct {
	promiseTTL  time.Duration
	refuseUntil time.Time // claims are refused until then, since promises of an earlier run may still hold
	promises    map[Slot]slotPromise
}

// slotPromise is the last promise for one slot.
type slotPromise struct {
	owner gypsumshelf.DaemonID
	epoch uint64
	until time.Time
}

func newVoter(now time.Time, promiseTTL time.Duration) *voter {
	return &voter{promiseTTL: promiseTTL, refuseUntil: now.Add(promiseTTL), promises: map[Slot]slotPromise{}}
}

func (v *voter) handleClaim(now time.Time, from gypsumshelf.DaemonID, c Claim) Promise {
	promise := Promise{Sent: c.Sent}
	for _, s := range c.Slots {
		given := v.promises[s.Slot]
		sameOwner := given.owner == from
		if now.Before(v.refuseUntil) || (!sameOwner && now.Before(given.until)) || s.Epoch < given.epoch || (s.Epoch == given.epoch && !sameOwner) {
			promise.Refused = append(promise.Refused, SlotEpoch{Slot: s.Slot, Epoch: given.epoch})
			continue
		}
		v.promises[s.Slot] = slotPromise{owner: from, epoch: s.Epoch, until: now.Add(v.promiseTTL)}
		promise.Granted = append(promise.Granted, s)
	}
	return promise
}

func (v *voter) handleResign(now time.Time, from gypsumshelf.DaemonID, r Resign) {
	for _, s := range r.Slots {
		if given := v.promises[s.Slot]; given.owner == from && given.epoch == s.Epoch {
			given.until = now
			v.promises[s.Slot] = given
		}
	}
}
