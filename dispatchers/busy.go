package dispatchers

import (
	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// busyEngines returns the engines of a service that work for long prompts, if the
// deployment asks for it.
func (d *Dispatcher) busyEngines(service string) []gypsumshelf.ServerID {
	if !d.cfg.Policy.ShareBusyEngines {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.BusyEngines(d.cfg.Timers.Now(), service)
}

// learn keeps what the leader has said beside its decision about a job, for the time
// without a leader.
func (d *Dispatcher) learn(job schedules.Job, reply *Reply) {
	if d.cfg.Policy.AvoidBadPaths {
		d.MergePaths(job.DataCentre, reply.Paths)
	}
	if d.cfg.Policy.ShareBusyEngines {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.scheduler.SetBusyEngines(d.cfg.Timers.Now(), job.Service, reply.Busy)
	}
}
