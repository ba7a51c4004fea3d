package timers

import (
	"testing"
	"time"
)

// Guards against a pause of the process that is not noticed, and against a busy
// processor that is taken for one.
func TestPauseDetector(t *testing.T) {
	start := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	var p PauseDetector
	for _, c := range []struct {
		at, paused time.Duration
		recently   bool // just before the check
	}{
		{0, 0, false},
		{100 * time.Millisecond, 0, false},
		{600 * time.Millisecond, 0, false},
		{2600 * time.Millisecond, 2 * time.Second, true},
		{2700 * time.Millisecond, 0, true},
		{3200 * time.Millisecond, 0, false},
	} {
		now := start.Add(c.at)
		if got := p.RecentlyPaused(now); got != c.recently {
			t.Errorf("recently paused at %v: %v, want %v", c.at, got, c.recently)
		}
		if got := p.Check(now); got != c.paused {
			t.Errorf("paused for %v at %v, want %v", got, c.at, c.paused)
		}
	}
}
