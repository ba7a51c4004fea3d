package forwards

import (
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// streamTiming collects the times that are logged at the end of a stream beside
// their targets.
type streamTiming struct {
	placements      int
	queueWait       time.Duration // in the scheduler's queue, for the last placement
	queueLength     int           // jobs in that queue at the decision
	predictedFirst  time.Duration // predicted time from the last placement to its first event
	measuredFirst   time.Duration // measured time from the last placement to its first event
	firstEvent      time.Duration // from the request's arrival to the first event
	longestGap      time.Duration // longest time between two events
	longestGapEvent int           // ID of the event that ended the longest gap
	lastEventAt     time.Time
	helpers         int
	server          rosters.Entry // of the last placement that was sent to an engine
}

func (p *streamTiming) recordPlacement(decision schedules.Decision) {
	p.placements++
	p.queueWait, p.queueLength, p.predictedFirst, p.helpers = decision.Waited, decision.Waiting, decision.Placement.First, len(decision.Placement.Helpers)
}

// recordEvent records an event that is relayed to the caller.
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
		"server": p.server.ID, "server-data-centre": p.server.DataCentre,
		"gap-ms": p.longestGap.Milliseconds(), "gap-target-ms": r.GapTarget.Milliseconds(), "gap-event": p.longestGapEvent,
	}
}
