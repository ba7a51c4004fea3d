package forwards

import (
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// pace is how a stream kept to its targets, for the line at its end.
type pace struct {
	placed    int           // placements on engines
	waited    time.Duration // in the scheduler's queue, last placement
	waiting   int           // jobs in that queue
	predicted time.Duration // from the last placement to its first event
	seen      time.Duration // the same, as it was
	first     time.Duration // from arrival to the first event
	gap       time.Duration // longest pause between two events
	gapAt     int           // event that followed it
	last      time.Time     // of the last event
	helpers   int
}

// place notes a placement.
func (p *pace) place(d schedules.Decision) {
	p.placed++
	p.waited, p.waiting, p.predicted, p.helpers = d.Waited, d.Waiting, d.Placement.First, len(d.Placement.Helpers)
}

// event notes an event that is passed on.
func (p *pace) event(now, arrived time.Time, id int) {
	if p.last.IsZero() {
		p.first = now.Sub(arrived)
	} else if gap := now.Sub(p.last); gap > p.gap {
		p.gap, p.gapAt = gap, id
	}
	p.last = now
}

func (p *pace) fields(r *catalogs.Route) logrus.Fields {
	return logrus.Fields{
		"placements": p.placed, "waited-ms": p.waited.Milliseconds(), "waiting": p.waiting, "helpers": p.helpers,
		"predicted-first-ms": p.predicted.Milliseconds(), "seen-first-ms": p.seen.Milliseconds(),
		"first-ms": p.first.Milliseconds(), "target-ms": r.Target.Milliseconds(),
		"gap-ms": p.gap.Milliseconds(), "gap-target-ms": r.GapTarget.Milliseconds(), "gap-event": p.gapAt,
	}
}
