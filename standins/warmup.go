package standins

import "sync"

// warmthConfig configures a warmth.
type warmthConfig struct {
	Limit   int     // concurrent requests that a cold engine can run, 0 for no limit
	Work    int     // completed requests after which the engine is warm
	Penalty float64 // factor by which a cold engine is slower, at least 1
	Warm    bool    // the engine starts warm
}

// warmth simulates the warm-up of an engine. A cold engine that gets more
// concurrent requests than its limit collapses: it fails every request that it
// runs. The limit grows by one for each completed request.
type warmth struct {
	cfg warmthConfig

	mu        sync.Mutex
	completed int
	warm      bool
	collapses int
}

func newWarmth(cfg warmthConfig) *warmth {
	return &warmth{cfg: cfg, warm: cfg.Warm || cfg.Work == 0}
}

// chill makes the engine cold.
func (w *warmth) chill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.warm, w.completed = false, 0
}

// overloaded reports whether the engine collapses with this many requests. It
// counts the collapse and starts the warm-up again.
func (w *warmth) overloaded(running int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.warm || w.cfg.Limit == 0 || running <= w.cfg.Limit+w.completed {
		return false
	}
	w.collapses++
	w.completed = 0
	return true
}

func (w *warmth) complete() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.completed++
	w.warm = w.warm || w.completed >= w.cfg.Work
}

// factor returns the factor by which the engine is slower than a warm one.
func (w *warmth) factor() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.warm {
		return 1
	}
	return max(1, w.cfg.Penalty)
}

func (w *warmth) state() (warm bool, collapses int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.warm, w.collapses
}
