package soaks

import (
	"maps"
	"sync"
	"time"
)

// Run is the work of backend servers on one request.
type Run struct {
	Count    int
	Begun    time.Time // begin of the first run
	Answered time.Time // first event of the first run, zero if there was none
	Until    time.Time // end of the last run
	active   int
}

// Runs records the work of fake backend servers by request ID. The zero value is ready to
// use.
type Runs struct {
	mu   sync.Mutex
	runs map[string]Run
}

func (r *Runs) change(id string, change func(*Run)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = map[string]Run{}
	}
	run := r.runs[id]
	change(&run)
	r.runs[id] = run
}

// Begin records the start of a run.
func (r *Runs) Begin(id string) {
	r.change(id, func(run *Run) {
		if run.Count++; run.Count == 1 {
			run.Begun = time.Now()
		}
		run.active++
	})
}

// Answer records an event of a run.
func (r *Runs) Answer(id string) {
	r.change(id, func(run *Run) {
		if run.Answered.IsZero() {
			run.Answered = time.Now()
		}
	})
}

// End records the end of a run.
func (r *Runs) End(id string) {
	r.change(id, func(run *Run) {
		run.active--
		run.Until = time.Now()
	})
}

// Of returns the work on a request. A run that lasts ends now.
func (r *Runs) Of(id string) Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.runs[id]
	if run.active > 0 {
		run.Until = time.Now()
	}
	return run
}

// All returns the work on all requests.
func (r *Runs) All() map[string]Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.runs)
}
