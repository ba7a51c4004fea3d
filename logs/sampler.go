package logs

import (
	"sync"
	"time"
)

// Sampler lets one line of a kind through in each interval: whoever causes the lines may
// cause any number. It is safe for concurrent use.
type Sampler struct {
	interval time.Duration

	mu         sync.Mutex
	next       time.Time // time from which a line is let through
	suppressed int       // lines since the last one that was let through
}

// NewSampler returns a Sampler with an interval.
func NewSampler(interval time.Duration) *Sampler { return &Sampler{interval: interval} }

// Take reports whether a line may be written now, and how many before it were not.
func (s *Sampler) Take(now time.Time) (suppressed int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.next) {
		s.suppressed++
		return 0, false
	}
	suppressed = s.suppressed
	s.next, s.suppressed = now.Add(s.interval), 0
	return suppressed, true
}
