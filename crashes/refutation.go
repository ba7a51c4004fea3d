package crashes

import (
	"maps"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

const (
	// survivalMargin is the time in which a lost connection is noticed, checked and
	// reported: a request may seem to run on a backend server that has just ended.
	survivalMargin = time.Second
	// survivalPeriod is the period at which quarantines that this detector has found are
	// held against the requests in progress.
	survivalPeriod = time.Second
	// refutationPeriod is the time in which a refuted quarantine is lifted on all daemons.
	refutationPeriod = 5 * time.Second
)

// Running is a request in progress whose backend server has begun to answer it.
type Running struct {
	Server   gypsumshelf.ServerID
	Causes   []Cause
	Duration time.Duration // since the start of the attempt
}

// isOutlived reports whether a request with the cause has run on a backend server that
// lives for clearly longer than those that were lost in a crash.
func (d *Detector) isOutlived(c Cause, lost time.Duration) bool {
	survived, found := d.survived[c]
	return found && survived > lost+survivalMargin
}

// NeedsRunning reports whether RecordRunning has to be called before Settle.
func (d *Detector) NeedsRunning(now time.Time) bool {
	return len(d.dueCrashes(now)) > 0 || len(d.found) > 0 && now.Sub(d.comparedAt) >= survivalPeriod
}

// RecordRunning records the requests in progress. A cause that crashes backend servers
// would have ended theirs.
func (d *Detector) RecordRunning(now time.Time, running []Running) {
	d.comparedAt = now
	ended := map[gypsumshelf.ServerID]bool{}
	for key := range d.crashes {
		ended[key.server] = true
	}
	d.survived = map[Cause]time.Duration{}
	for _, r := range running {
		if ended[r.Server] {
			continue
		}
		for _, c := range r.Causes {
			d.survived[c] = max(d.survived[c], r.Duration)
		}
	}
	for c, strikes := range d.strikes {
		d.setStrikes(c, slices.DeleteFunc(strikes, func(s strike) bool { return d.isOutlived(c, s.longest) }))
	}
	for c, lost := range d.found {
		if d.isOutlived(c, lost) {
			d.refute(now, c)
		}
	}
}

// refute ends a quarantine whose cause does not crash backend servers.
func (d *Detector) refute(now time.Time, c Cause) {
	delete(d.found, c)
	if until, quarantined := d.quarantined[c]; !quarantined || !now.Before(until) {
		return
	}
	delete(d.quarantined, c)
	if now.Sub(d.refutedAt[c]) > refutationPeriod {
		d.refutedAt[c] = now
		d.refuted = append(d.refuted, Lift{Cause: c, At: now})
	}
}

// TakeRefuted returns the quarantines that turned out to be wrong. Each is returned once.
func (d *Detector) TakeRefuted() []Lift {
	refuted := d.refuted
	d.refuted = nil
	return refuted
}

// pruneRefuted forgets refutations and quarantines that have ended.
func (d *Detector) pruneRefuted(now time.Time) {
	maps.DeleteFunc(d.refutedAt, func(_ Cause, at time.Time) bool { return now.Sub(at) > refutationPeriod })
	maps.DeleteFunc(d.found, func(c Cause, _ time.Duration) bool { return !now.Before(d.quarantined[c]) })
}
