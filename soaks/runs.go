package soaks

import (
	"maps"
	"sync"
	"time"
)

// Runs records the work of a fake backend server by request ID. The zero value is ready to
// use.
type Runs struct {
	mu    sync.Mutex
	count map[string]int
	until map[string]time.Time // end of the last run, zero while it lasts
}

// Begin records the start of a run.
func (r *Runs) Begin(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == nil {
		r.count, r.until = map[string]int{}, map[string]time.Time{}
	}
	r.count[id]++
	r.until[id] = time.Time{}
}

// End records the end of a run.
func (r *Runs) End(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until[id] = time.Now()
}

// Of returns how often a request ran, and until when the last run lasted.
func (r *Runs) Of(id string) (n int, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n, until = r.count[id], r.until[id]; n > 0 && until.IsZero() {
		until = time.Now()
	}
	return n, until
}

// Counts returns how often each request ran.
func (r *Runs) Counts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.count)
}
