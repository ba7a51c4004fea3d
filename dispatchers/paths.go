package dispatchers

import (
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/paths"
)

// soundSamplePeriod is the period at which the leader hears of streams that were not
// delayed. Stalls are reported at once.
const soundSamplePeriod = 250 * time.Millisecond

// judgesPaths reports whether the deployment asks for paths to be judged.
func (d *Dispatcher) judgesPaths() bool { return d.cfg.Policy.AvoidBadPaths }

// RecordPaths records evidence about paths. Invalid samples are logged and ignored.
func (d *Dispatcher) RecordPaths(samples []paths.Sample) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.active {
		return
	}
	now := d.cfg.Timers.Now()
	for _, s := range samples {
		if err := d.scheduler.RecordPath(now, s); err != nil {
			d.cfg.Log.WithError(err).Warn("a daemon has sent evidence about a path that cannot be used")
		}
	}
	d.logPathChanges()
}

// MergePaths replaces what the leader has reported about the paths of a data centre.
func (d *Dispatcher) MergePaths(dataCentre string, reports []paths.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.MergePaths(d.cfg.Timers.Now(), dataCentre, reports)
}

// PathReports returns the paths of a data centre that are not sound.
func (d *Dispatcher) PathReports(dataCentre string) []paths.Report {
	if !d.judgesPaths() {
		return nil // without the lock, which every placement takes
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.PathReports(d.cfg.Timers.Now(), dataCentre)
}

// pathSamples returns the evidence of the scheduler about bad paths.
func (d *Dispatcher) pathSamples() []paths.Sample {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.PathSamples(d.cfg.Timers.Now())
}

// BadPaths returns the number of paths of this daemon's data centre that are not sound.
func (d *Dispatcher) BadPaths() int { return len(d.PathReports(d.cfg.DataCentre)) }

// logPathChanges logs the paths whose state has changed; mu is held.
func (d *Dispatcher) logPathChanges() {
	for _, c := range d.scheduler.TakePathChanges() {
		d.cfg.Log.WithFields(logrus.Fields{
			"from": c.From, "to": c.To, "state": c.State.String(), "stall-rate": c.StallRate, "stalled-streams": c.StreamShare, "local": d.cfg.Local,
		}).Info("the state of the path between two data centres has changed")
	}
}

// pendingSamples are the samples that the leader has not been told yet, by the data centre
// of the backend servers.
type pendingSamples struct {
	byTo   map[string]paths.Sample
	sentAt time.Time
}

// add adds a sample and returns what the leader is to be told now.
func (p *pendingSamples) add(now time.Time, s paths.Sample) []paths.Sample {
	if p.byTo == nil {
		p.byTo = map[string]paths.Sample{}
	}
	if pending, ok := p.byTo[s.To]; ok {
		s = pending.Add(s)
	}
	p.byTo[s.To] = s
	if s.Stalls == 0 && s.Unreached == 0 && now.Sub(p.sentAt) < soundSamplePeriod {
		return nil
	}
	due := make([]paths.Sample, 0, len(p.byTo))
	for _, s := range p.byTo {
		due = append(due, s)
	}
	clear(p.byTo)
	p.sentAt = now
	return due
}

// PathStalls returns the number of stalls that this daemon has seen on streams from other
// data centres.
func (c *Client) PathStalls() uint64 { return c.stalls.Load() }

// BadPaths returns the number of paths of this data centre that are not sound, as far as
// this daemon knows.
func (c *Client) BadPaths() int { return c.cfg.Local.BadPaths() }

// RecordPath records evidence about a path, for the leader and for the local scheduler.
func (c *Client) RecordPath(s paths.Sample) {
	c.stalls.Add(uint64(max(0, s.Stalls)))
	c.cfg.Local.RecordPaths([]paths.Sample{s})
	c.mu.Lock()
	due := c.samples.add(time.Now(), s)
	c.mu.Unlock()
	if len(due) > 0 {
		c.queueUpdate(JobUpdate{Paths: due}, notLocal)
	}
}

// pathUpdates returns what a new leader is to be told of paths.
func (c *Client) pathUpdates() []JobUpdate {
	if samples := c.cfg.Local.pathSamples(); len(samples) > 0 {
		return []JobUpdate{{Paths: samples}}
	}
	return nil
}
