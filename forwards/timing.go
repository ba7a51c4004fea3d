package forwards

import (
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// pace is how a stream kept to its targets, for the line at its end.
type streamTiming struct {
	placements      int           // placements on engines
	queueWait       time.Duration // in the scheduler's queue, last placement
	queueLength     int           // jobs in that queue
	predictedFirst  time.Duration // from the last placement to its first event
	measuredFirst   time.Duration // the same, as it was
	firstEvent      time.Duration // from arrival to the first event
	longestGap      time.Duration // longest pause between two events
	longestGapEvent int           // event that followed it
	lastEventAt     time.Time     // of the last event
	helpers         int
}

// place notes a placement.
func (p *streamTiming) recordPlacement(decision schedules.Decision) {
	p.placements++
	p.queueWait, p.queueLength, p.predictedFirst, p.helpers = decision.Waited, decision.Waiting, decision.Placement.First, len(decision.Placement.Helpers)
}

// event notes an event that is passed on.
func (p *streamTiming) recordEvent(now, arrived time.Time, id int) {
	if p.lastEventAt.IsZero() {
		p.firstEvent = now.Sub(arrived)
	} else if gap := now.Sub(p.lastEventAt); gap > p.longestGap {
		p.longestGap, p.longestGapEvent = gap, id
	}
	p.lastEventAt = now
}

func (p *streamTiming) fields(r *catalogs.Route) logrus.Fields {
	return logrus.Fields{
		"placements": p.placements, "waited-ms": p.queueWait.Milliseconds(), "waiting": p.queueLength, "helpers": p.helpers,
		"predicted-first-ms": p.predictedFirst.Milliseconds(), "seen-first-ms": p.measuredFirst.Milliseconds(),
		"first-ms": p.firstEvent.Milliseconds(), "target-ms": r.Target.Milliseconds(),
		"gap-ms": p.longestGap.Milliseconds(), "gap-target-ms": r.GapTarget.Milliseconds(), "gap-event": p.longestGapEvent,
	}
}
