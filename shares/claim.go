package shares

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// renewClaims renews the ownership of the slots of which this daemon is the
// preferred owner and resigns from all others.
func (t *Table) renewClaims(now time.Time, known []gypsumshelf.ServerID) {
	preferred := map[Slot]bool{}
	for _, id := range known {
		slot := SlotOf(id)
		if d, ok := t.PreferredOwner(now, slot); ok && d == t.cfg.Daemon {
			preferred[slot] = true
		}
	}
	t.resign(func(s Slot) bool { return !preferred[s] })
	for slot := range preferred {
		if t.owned[slot] == nil {
			t.owned[slot] = newOwnership(t.highestEpochs[slot] + 1)
		}
		t.owned[slot].startEpochIfMajorityLost(now, t.cfg.Voters())
	}
	if now.Sub(t.lastClaim) >= t.cfg.ClaimPeriod {
		t.lastClaim, t.lastClaimRetry = now, now
		t.sendClaim(now, t.slotEpochs(func(Slot) bool { return true }))
	} else if now.Sub(t.lastClaimRetry) >= t.cfg.ClaimPeriod/claimRetriesPerPeriod {
		t.lastClaimRetry = now
		t.sendClaim(now, t.slotEpochs(func(s Slot) bool { return t.owned[s].grantsFrom.IsZero() }))
	}
}

// claimRetriesPerPeriod is the number of claims for a slot without a majority in
// each Config.ClaimPeriod.
const claimRetriesPerPeriod = 3

func (t *Table) sendClaim(now time.Time, slots []SlotEpoch) {
	maps.DeleteFunc(t.openClaims, func(_ int64, at time.Time) bool { return now.Sub(at) > t.cfg.PromiseTTL })
	if len(slots) == 0 {
		return
	}
	c := Claim{Sent: t.stamp(now), Slots: slots}
	t.openClaims[c.Sent] = now
	for _, v := range t.cfg.Voters() {
		t.send(v, c)
	}
}

// resign gives up the owned slots for which shouldResign returns true.
func (t *Table) resign(shouldResign func(Slot) bool) {
	resigned := t.slotEpochs(shouldResign)
	if len(resigned) == 0 {
		return
	}
	for _, s := range resigned {
		t.highestEpochs[s.Slot] = max(t.highestEpochs[s.Slot], s.Epoch)
		delete(t.owned, s.Slot)
	}
	for _, v := range t.cfg.Voters() {
		t.send(v, Resign{Slots: resigned})
	}
}

func (t *Table) slotEpochs(pick func(Slot) bool) []SlotEpoch {
	var all []SlotEpoch
	for slot, o := range t.owned {
		if pick(slot) {
			all = append(all, SlotEpoch{Slot: slot, Epoch: o.epoch})
		}
	}
	slices.SortFunc(all, func(a, b SlotEpoch) int { return cmp.Compare(a.Slot, b.Slot) })
	return all
}

func (t *Table) handlePromise(now time.Time, from gypsumshelf.DaemonID, p Promise) {
	sent, found := t.openClaims[p.Sent]
	if !found {
		return
	}
	for _, s := range p.Granted {
		if o := t.owned[s.Slot]; o != nil {
			o.startEpochIfMajorityLost(now, t.cfg.Voters())
			o.recordPromise(now, sent, from, s.Epoch, t.cfg)
		}
	}
	for _, s := range p.Refused {
		t.highestEpochs[s.Slot] = max(t.highestEpochs[s.Slot], s.Epoch)
		if o := t.owned[s.Slot]; o != nil {
			o.recordRefusal(s.Epoch)
		}
	}
}
