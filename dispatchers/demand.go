package dispatchers

import (
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// logDemandChanges logs the begin and the end of bursts of short prompts; mu is held.
func (d *Dispatcher) logDemandChanges() {
	for _, c := range d.scheduler.TakeDemandChanges() {
		log := d.cfg.Log.WithFields(logrus.Fields{
			"service": c.Service, "arrivals-per-s": c.PerSecond, "short-answers": c.ShortAnswers, "forecast-short-answers": c.Forecast,
			"engines-for-long-prompts": c.LongPromptEngines, "local": d.cfg.Local,
		})
		if c.Burst {
			log.Info("a burst of short prompts begins; long prompts with slack wait")
		} else {
			log.Info("the burst of short prompts does not rise any more; long prompts are placed again")
		}
	}
}

// logSlowChanges logs the engines that began or ceased to count as slow for their late
// first events; mu is held.
func (d *Dispatcher) logSlowChanges() {
	for _, c := range d.scheduler.TakeSlowChanges() {
		log := d.cfg.Log.WithFields(logrus.Fields{
			"backend-server": c.Server, "learned-slowdown": c.Ratio, "reported-slowdown": c.Stated, "local": d.cfg.Local,
		})
		if c.Slow {
			log.Warn("an engine answers later than predicted; it is used as a slow one")
		} else {
			log.Info("an engine does not count as slow any more")
		}
	}
}

// recordReport records a load report; mu is held. An engine whose reports are invalid is
// logged once, until it sends a valid one.
func (d *Dispatcher) recordReport(now time.Time, id gypsumshelf.ServerID, l schedules.Load) {
	err := d.scheduler.UpdateLoad(now, id, l)
	if err == nil {
		delete(d.invalidReports, id)
		return
	}
	if !d.invalidReports[id] {
		d.invalidReports[id] = true
		d.cfg.Log.WithField("backend-server", id).WithError(err).Warn("an engine sends invalid load reports; they are ignored")
	}
}
