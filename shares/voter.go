package shares

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// voter gives promises to owners. It supports one owner of a slot at a time.
type voter struct {
	promise time.Duration
	silent  time.Time // before it no promise is given: an earlier run may have given one
	given   map[Slot]support
}

type support struct {
	owner gypsumshelf.DaemonID
	epoch uint64
	until time.Time
}

func newVoter(now time.Time, promise time.Duration) *voter {
	return &voter{promise: promise, silent: now.Add(promise), given: map[Slot]support{}}
}

func (v *voter) claim(now time.Time, from gypsumshelf.DaemonID, c Claim) Promise {
	p := Promise{Sent: c.Sent}
	for _, s := range c.Slots {
		g := v.given[s.Slot]
		mine := g.owner == from
		if now.Before(v.silent) || (!mine && now.Before(g.until)) || s.Epoch < g.epoch || (s.Epoch == g.epoch && !mine) {
			p.Refused = append(p.Refused, SlotEpoch{Slot: s.Slot, Epoch: g.epoch})
			continue
		}
		v.given[s.Slot] = support{owner: from, epoch: s.Epoch, until: now.Add(v.promise)}
		p.Granted = append(p.Granted, s)
	}
	return p
}

func (v *voter) resign(now time.Time, from gypsumshelf.DaemonID, r Resign) {
	for _, s := range r.Slots {
		if g := v.given[s.Slot]; g.owner == from && g.epoch == s.Epoch {
			g.until = now
			v.given[s.Slot] = g
		}
	}
}
