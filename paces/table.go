package paces

import (
	"math"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

const (
	// forgetTime is the time after which the pace of a server that is not listed any
	// more is forgotten. A server that comes back later is judged by its start alone.
	forgetTime = flapWindow
	// maxChanges bounds the changes that wait to be taken. Further ones are dropped.
	maxChanges = 1000
)

// Change is a change of the phase of a server.
type Change struct {
	Server gypsumshelf.ServerID
	Phase  Phase
	Limit  float64 // requests at once, 0 if the pace sets no bound
	Reason string
}

// entry is the pace of a server that is or was listed.
type entry struct {
	pace     *Pace
	listedAt time.Time
	cold     bool
}

// Table holds the paces of the servers of one scheduler.
type Table struct {
	servers map[gypsumshelf.ServerID]*entry
	changes []Change
	refused map[string]uint64
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{servers: map[gypsumshelf.ServerID]*entry{}, refused: map[string]uint64{}}
}

// Update returns the pace of a server that is listed now. The pace begins anew with a later
// start, and when the server turns cold. A server that is not known yet is steady if it is
// not cold and has run for SettledAge.
func (t *Table) Update(now time.Time, id gypsumshelf.ServerID, born int64, cold bool, cfg Config) *Pace {
	e := t.servers[id]
	switch {
	case e == nil:
		e = &entry{pace: t.newPace(id, born, cfg)}
		t.servers[id] = e
		if !cold && now.Sub(time.UnixMilli(born)) >= SettledAge {
			e.pace.limit, e.pace.phase = math.Inf(1), Steady // no change: it is as before
		} else {
			e.pace.restart(now, born, cfg)
		}
	case born > e.pace.born, cold && !e.cold:
		e.pace.restart(now, max(born, e.pace.born), cfg)
	}
	e.pace.cfg.Slots, e.pace.cfg.AnswerTime = cfg.Slots, cfg.AnswerTime
	e.listedAt, e.cold = now, cold
	return e.pace
}

func (t *Table) newPace(id gypsumshelf.ServerID, born int64, cfg Config) *Pace {
	return &Pace{
		cfg: cfg, born: born,
		change: func(phase Phase, limit float64, reason string) {
			if len(t.changes) >= maxChanges {
				return
			}
			if math.IsInf(limit, 1) {
				limit = 0
			}
			t.changes = append(t.changes, Change{Server: id, Phase: phase, Limit: limit, Reason: reason})
		},
		refuse: func(reason string) { t.refused[reason]++ },
	}
}

// Get returns the pace of a server, or nil.
func (t *Table) Get(id gypsumshelf.ServerID) *Pace {
	if e := t.servers[id]; e != nil {
		return e.pace
	}
	return nil
}

// Settle makes a server steady that has run requests for another scheduler, unless it is
// cold.
func (t *Table) Settle(id gypsumshelf.ServerID) {
	if e := t.servers[id]; e != nil && !e.cold && e.pace.phase != Steady {
		e.pace.settle(ReasonRan)
	}
}

// SettleByAge makes the servers steady that have run for SettledAge without stress. A server
// with little load, whose pace does not grow, would otherwise be held back by the first burst
// long after its start. It leaves out servers without an answer, unless unjudged is set: a
// scheduler that sees few answers can neither judge a server nor see that it has recovered.
func (t *Table) SettleByAge(now time.Time, unjudged bool) {
	calm := SettledAge
	if unjudged {
		calm = EvidenceTTL
	}
	for _, e := range t.servers {
		p := e.pace
		if e.cold || p.phase == Steady || p.phase == Starting && !unjudged {
			continue
		}
		if now.Sub(p.startedAt) >= SettledAge && now.Sub(p.reducedAt) >= calm {
			p.settle(ReasonAge)
		}
	}
}

// Prune forgets servers that have not been listed for a while. isListed tells which ones
// still are.
func (t *Table) Prune(now time.Time, isListed func(gypsumshelf.ServerID) bool) {
	for id, e := range t.servers {
		if isListed(id) {
			e.listedAt = now
		} else if now.Sub(e.listedAt) > forgetTime {
			delete(t.servers, id)
		}
	}
}

// TakeChanges returns the changes since the last call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// Counts returns the number of servers by phase.
func (t *Table) Counts() map[Phase]int {
	counts := map[Phase]int{}
	for _, e := range t.servers {
		counts[e.pace.phase]++
	}
	return counts
}

// Refused returns how often growth was refused, by reason.
func (t *Table) Refused() map[string]uint64 {
	refused := make(map[string]uint64, len(t.refused))
	for reason, n := range t.refused {
		refused[reason] = n
	}
	return refused
}
