package forwards

import (
	"sync"
	"time"
)

const (
	// BeatPeriod is the period at which Beat is to be called.
	PauseCheckPeriod = 100 * time.Millisecond
	// standstillTime is the time without a beat after which the process has
	// stood still: several periods, as a busy processor delays beats too.
	pauseThreshold = 500 * time.Millisecond
	// wakeTime is the time after a standstill in which requests that waited in
	// the sockets are read.
	recentPauseWindow = 500 * time.Millisecond
	// callerCheck is the time in which a connection that its caller has closed
	// is seen to be closed.
	callerCloseWait = 15 * time.Millisecond
)

// standstill notices that the process was stopped for a while. Requests that
// arrived meanwhile look new, and many of their callers have left.
type pauseDetector struct {
	mu        sync.Mutex
	lastCheck time.Time
	resumedAt time.Time
}

// tick notes that the process runs, and reports whether it had stood still.
func (s *pauseDetector) check(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stopped := s.overdue(now)
	if stopped {
		s.resumedAt = now
	}
	s.lastCheck = now
	return stopped
}

// recent reports whether the process stood still until a moment ago.
func (s *pauseDetector) recentlyPaused(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overdue(now) || !s.resumedAt.IsZero() && now.Sub(s.resumedAt) < recentPauseWindow
}

func (s *pauseDetector) overdue(now time.Time) bool {
	return !s.lastCheck.IsZero() && now.Sub(s.lastCheck) > pauseThreshold
}
