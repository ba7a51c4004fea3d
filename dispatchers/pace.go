package dispatchers

import (
	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/paces"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// RecordAnswer takes the end of a request to a plain server as evidence about it.
func (d *Dispatcher) RecordAnswer(a schedules.ServerAnswer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active {
		d.scheduler.RecordAnswer(d.cfg.Timers.Now(), a)
	}
}

// logPaceChanges logs the servers whose pace has entered another phase; mu is held. A local
// scheduler logs them while it is in use only, since every entry daemon has one.
func (d *Dispatcher) logPaceChanges() {
	changes := d.scheduler.TakePaceChanges()
	if d.cfg.Local && d.cfg.Timers.Now().Sub(d.lastJobAt) > reportIdleTimeout {
		return
	}
	for _, c := range changes {
		d.cfg.Log.WithFields(logrus.Fields{
			"server": c.Server, "phase": c.Phase.String(), "requests-at-once": c.Limit, "reason": c.Reason, "local": d.cfg.Local,
		}).Info("the pace of a backend server has entered another phase")
	}
}

// PaceCounts returns the number of backend servers by the phase of their pace, 0 while this
// dispatcher is not active.
func (d *Dispatcher) PaceCounts() map[paces.Phase]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.active {
		return nil
	}
	return d.scheduler.PaceCounts()
}

// RefusedGrowth returns how often the pace of a backend server did not grow although
// answers were on time, by reason, since this dispatcher was activated last.
func (d *Dispatcher) RefusedGrowth() map[string]uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.RefusedGrowth()
}

// ReportAnswer reports the end of a request to a plain server that has started or
// recovered.
func (c *Client) ReportAnswer(a schedules.ServerAnswer) {
	c.cfg.Local.RecordAnswer(a)
	c.queueUpdate(JobUpdate{Answer: &a}, notLocal)
}
