package crashes

import "time"

const (
	// AbandonedTime is the time for which a backend server may go on with a request after
	// its attempt was given up. If it lives after that, it has not ended under the request.
	AbandonedTime = 2 * time.Second
	// maxAbandonedRuns bounds the requests that daemons which have stopped leave behind.
	maxAbandonedRuns = 4096
)

// abandonedRun is a request that a daemon was watching at a backend server when it stopped.
type abandonedRun struct {
	run   Run
	until time.Time // when the backend server has not ended under it any more
}

// RecordAbandoned records requests that a daemon was watching when it stopped. They count if
// another daemon reports the end of the backend server in time.
func (d *Detector) RecordAbandoned(now time.Time, r Report) {
	key := start{server: r.Server, born: r.Born}
	if d.crashes[key] != nil {
		d.RecordCrash(now, r)
		return
	}
	until := now.Add(AbandonedTime - r.Age)
	for _, run := range r.Runs[:min(len(r.Runs), maxAbandonedRuns-d.abandonedRuns)] {
		d.abandoned[key] = append(d.abandoned[key], abandonedRun{run: run, until: until})
		d.abandonedRuns++
	}
}

// forgetAbandoned forgets what daemons that have stopped left behind at a backend server.
func (d *Detector) forgetAbandoned(key start) {
	d.abandonedRuns -= len(d.abandoned[key])
	delete(d.abandoned, key)
}

// pruneAbandoned forgets requests under which no backend server can end any more. Reports of
// its end come some time after it.
func (d *Detector) pruneAbandoned(now time.Time) {
	for key, runs := range d.abandoned {
		if now.Sub(runs[len(runs)-1].until) > AbandonedTime {
			d.forgetAbandoned(key)
		}
	}
}
