package standins

import "sync"

// warmupConfig configures a warmup.
type warmupConfig struct {
	MaxRequests       int     // concurrent requests that a cold engine can run, 0 for no limit
	RequestsUntilWarm int     // completed requests after which the engine is warm
	Slowdown          float64 // factor by which a cold engine is slower, at least 1
	StartWarm         bool    // the engine starts warm
}

// warmup simulates the warm-up of an engine. A cold engine that gets more
// concurrent requests than its limit collapses: it fails every request that it
// runs. The limit grows by one for each completed request.
type warmup struct {
	cfg warmupConfig

	mu        sync.Mutex
	completed int
	warm      bool
	collapses int
}

func newWarmup(cfg warmupConfig) *warmup {
	return &warmup{cfg: cfg, warm: cfg.StartWarm || cfg.RequestsUntilWarm == 0}
}

// makeCold makes the engine cold.
func (w *warmup) makeCold() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.warm, w.completed = false, 0
}

// checkOverload reports whether the engine collapses with this many requests. It
// counts the collapse and starts the warm-up again.
func (w *warmup) checkOverload(running int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.warm || w.cfg.MaxRequests == 0 || running <= w.cfg.MaxRequests+w.completed {
		return false
	}
	w.collapses++
	w.completed = 0
	return true
}

func (w *warmup) recordCompletion() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.completed++
	w.warm = w.warm || w.completed >= w.cfg.RequestsUntilWarm
}

// slowdown returns the factor by which the engine is slower than a warm one.
func (w *warmup) slowdown() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.warm {
		return 1
	}
	return max(1, w.cfg.Slowdown)
}

func (w *warmup) state() (warm bool, collapses int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.warm, w.collapses
}
