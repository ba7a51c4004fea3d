package shares

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// claim renews the ownership of the slots that fall to this daemon and resigns
// from the others.
func (t *Table) claim(now time.Time, known []gypsumshelf.ServerID) {
	mine := map[Slot]bool{}
	for _, id := range known {
		slot := SlotOf(id)
		if d, ok := t.Owner(now, slot); ok && d == t.cfg.Daemon {
			mine[slot] = true
		}
	}
	t.resign(func(s Slot) bool { return !mine[s] })
	for slot := range mine {
		if t.owners[slot] == nil {
			t.owners[slot] = newOwner(t.epochs[slot] + 1)
		}
		t.owners[slot].lapse(now, t.cfg.Voters())
	}
	if now.Sub(t.claimed) >= t.cfg.ClaimPeriod {
		t.claimed, t.retried = now, now
		t.sendClaim(now, t.slotEpochs(func(Slot) bool { return true }))
	} else if now.Sub(t.retried) >= t.cfg.ClaimPeriod/claimRetries {
		t.retried = now
		t.sendClaim(now, t.slotEpochs(func(s Slot) bool { return t.owners[s].ready.IsZero() }))
	}
}

// claimRetries is how much more often a slot without a majority is claimed.
const claimRetries = 3

func (t *Table) sendClaim(now time.Time, slots []SlotEpoch) {
	maps.DeleteFunc(t.claims, func(_ int64, at time.Time) bool { return now.Sub(at) > t.cfg.Promise })
	if len(slots) == 0 {
		return
	}
	c := Claim{Sent: t.stamp(now), Slots: slots}
	t.claims[c.Sent] = now
	for _, v := range t.cfg.Voters() {
		t.send(v, c)
	}
}

// resign gives up the slots for which drop returns true.
func (t *Table) resign(drop func(Slot) bool) {
	gone := t.slotEpochs(drop)
	if len(gone) == 0 {
		return
	}
	for _, s := range gone {
		t.epochs[s.Slot] = max(t.epochs[s.Slot], s.Epoch)
		delete(t.owners, s.Slot)
	}
	for _, v := range t.cfg.Voters() {
		t.send(v, Resign{Slots: gone})
	}
}

func (t *Table) slotEpochs(pick func(Slot) bool) []SlotEpoch {
	var all []SlotEpoch
	for slot, o := range t.owners {
		if pick(slot) {
			all = append(all, SlotEpoch{Slot: slot, Epoch: o.epoch})
		}
	}
	slices.SortFunc(all, func(a, b SlotEpoch) int { return cmp.Compare(a.Slot, b.Slot) })
	return all
}

func (t *Table) promised(now time.Time, from gypsumshelf.DaemonID, p Promise) {
	sent, open := t.claims[p.Sent]
	if !open {
		return
	}
	for _, s := range p.Granted {
		if o := t.owners[s.Slot]; o != nil {
			o.lapse(now, t.cfg.Voters())
			o.promised(now, sent, from, s.Epoch, t.cfg)
		}
	}
	for _, s := range p.Refused {
		t.epochs[s.Slot] = max(t.epochs[s.Slot], s.Epoch)
		if o := t.owners[s.Slot]; o != nil {
			o.refused(s.Epoch)
		}
	}
}
