package forwards

import (
	"sync"
	"time"
)

const (
	// BeatPeriod is the period at which Beat is to be called.
	BeatPeriod = 100 * time.Millisecond
	// standstillTime is the time without a beat after which the process has
	// stood still: several periods, as a busy processor delays beats too.
	standstillTime = 500 * time.Millisecond
	// wakeTime is the time after a standstill in which requests that waited in
	// the sockets are read.
	wakeTime = 500 * time.Millisecond
	// callerCheck is the time in which a connection that its caller has closed
	// is seen to be closed.
	callerCheck = 15 * time.Millisecond
)

// standstill notices that the process was stopped for a while. Requests that
// arrived meanwhile look new, and many of their callers have left.
type standstill struct {
	mu   sync.Mutex
	beat time.Time
	woke time.Time
}

// tick notes that the process runs, and reports whether it had stood still.
func (s *standstill) tick(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stopped := s.stopped(now)
	if stopped {
		s.woke = now
	}
	s.beat = now
	return stopped
}

// recent reports whether the process stood still until a moment ago.
func (s *standstill) recent(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped(now) || !s.woke.IsZero() && now.Sub(s.woke) < wakeTime
}

func (s *standstill) stopped(now time.Time) bool {
	return !s.beat.IsZero() && now.Sub(s.beat) > standstillTime
}
