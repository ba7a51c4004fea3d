package dispatchers

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// minCheckInterval is the shortest time between two polls of the engines of a data centre
// after failures. Within it, the first poll still shows which engines are gone.
const minCheckInterval = 500 * time.Millisecond

// checkNeighbours polls the other engines of a data centre when an engine is not reached
// any more; mu is held. A data centre or a rack fails as a whole, and each prompt that many
// engines share fails as long as one that is gone counts as usable. It answers loads of
// long prompts while a group of engines crashes.
func (d *Dispatcher) checkNeighbours(now time.Time, id schedules.JobID, outcome schedules.Outcome, blamed gypsumshelf.ServerID) {
	if !d.cfg.Policy.CheckNeighbours || d.cfg.Reporter == nil || !suggestsCrash(outcome) {
		return
	}
	failed := cmp.Or(blamed, d.scheduler.PlacedOn(id))
	i := slices.IndexFunc(d.engines, func(e Engine) bool { return e.State.ID == failed })
	if i < 0 {
		return
	}
	of := d.engines[i].State
	if last, ok := d.checkedAt[of.DataCentre]; ok && now.Sub(last) < minCheckInterval {
		return
	}
	d.checkedAt[of.DataCentre] = now
	polled := 0
	for _, e := range d.engines {
		if e.State.Service == of.Service && e.State.DataCentre == of.DataCentre && len(d.reportsInFlight) < maxReportsInFlight {
			d.pollEngine(e)
			polled++
		}
	}
	d.cfg.Log.WithFields(logrus.Fields{"backend-server": failed, "outcome": outcome.String(), "data-centre": of.DataCentre, "polled": polled}).Info("an engine has failed; the engines of its data centre are asked for their load")
}

// suggestsCrash reports whether an engine with this outcome may have ended.
func suggestsCrash(o schedules.Outcome) bool {
	return o == schedules.Lost || o == schedules.Unreachable || o == schedules.Stalled || o == schedules.Rejected
}
