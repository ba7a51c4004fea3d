package logs

import (
	"testing"
	"time"
)

// Guards against lines that are lost without being counted, and against more than one line
// in an interval.
func TestSampler(t *testing.T) {
	s := NewSampler(time.Second)
	start := time.Unix(100, 0)
	for _, step := range []struct {
		at         time.Duration
		suppressed int
		ok         bool
	}{
		{0, 0, true}, {time.Millisecond, 0, false}, {999 * time.Millisecond, 0, false}, {time.Second, 2, true},
		{1500 * time.Millisecond, 0, false}, {5 * time.Second, 1, true}, {7 * time.Second, 0, true},
	} {
		if suppressed, ok := s.Take(start.Add(step.at)); suppressed != step.suppressed || ok != step.ok {
			t.Errorf("after %v: %d suppressed, let through %v, want %d and %v", step.at, suppressed, ok, step.suppressed, step.ok)
		}
	}
}
