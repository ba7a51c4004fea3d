package dispatchers

import (
	"time"

	"gypsumshelf.example/gypsumshelf/schedules"
)

// StopDaemon hands back the waiting jobs of an entry daemon that cannot end before it stops.
func (d *Dispatcher) StopDaemon(stop DaemonStop) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active {
		d.deliver(d.scheduler.StopDaemon(d.cfg.Timers.Now(), stop.Daemon, stop.After))
	}
}

// StopAt tells the schedulers when this daemon breaks off its requests. A new leader is told
// with the hand-over.
func (c *Client) StopAt(end time.Time) {
	c.mu.Lock()
	c.stopAt = end
	c.mu.Unlock()
	for _, u := range c.stopUpdates() {
		c.queueUpdate(u, notLocal)
		c.cfg.Local.apply(u)
	}
}

// stopUpdates returns the update about the stop of this daemon, none before it has begun.
func (c *Client) stopUpdates() []JobUpdate {
	left := c.untilStop()
	if left == 0 {
		return nil
	}
	return []JobUpdate{{Stop: &DaemonStop{Daemon: c.cfg.Daemon, After: left}}}
}

// refreshStops makes updates about the stop of this daemon say how much time is left now.
func (c *Client) refreshStops(updates []JobUpdate) {
	for i := range updates {
		if updates[i].Stop != nil {
			updates[i].Stop = &DaemonStop{Daemon: c.cfg.Daemon, After: c.untilStop()}
		}
	}
}

// minStopNotice stands for the time until a stop that is due.
const minStopNotice = time.Millisecond

// untilStop returns the time until this daemon breaks off its requests, 0 if it does not
// stop.
func (c *Client) untilStop() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopAt.IsZero() {
		return 0
	}
	return max(minStopNotice, time.Until(c.stopAt))
}

// current returns a job as it is submitted after some time: its durations are reduced by
// that time, and it says when this daemon stops.
func (c *Client) current(job schedules.Job, elapsed time.Duration) schedules.Job {
	job.Target -= elapsed
	job.Patience -= elapsed
	job.Deadline -= elapsed
	job.Stop = c.untilStop()
	return job
}
