package forwards

import (
	"sync"
	"time"
)

const (
	// PauseCheckPeriod is the period at which CheckPause is to be called.
	PauseCheckPeriod = 100 * time.Millisecond
	// pauseThreshold is the time between two checks above which the process counts
	// as paused. It is several periods, since a busy processor delays checks too.
	pauseThreshold = 500 * time.Millisecond
	// recentPauseWindow is the time after a pause in which requests that arrived
	// during it are read from the sockets.
	recentPauseWindow = 500 * time.Millisecond
	// callerCloseWait is the time in which net/http detects that a caller has
	// closed its connection.
	callerCloseWait = 15 * time.Millisecond
)

// pauseDetector detects that the process was paused. Requests that arrived during
// the pause look new, but many of their callers have disconnected.
type pauseDetector struct {
	mu        sync.Mutex
	lastCheck time.Time
	resumedAt time.Time
}

// check records that the process runs and reports whether it was paused before.
func (p *pauseDetector) check(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	paused := p.overdue(now)
	if paused {
		p.resumedAt = now
	}
	p.lastCheck = now
	return paused
}

// recentlyPaused reports whether the process was paused within the last
// recentPauseWindow.
func (p *pauseDetector) recentlyPaused(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.overdue(now) || !p.resumedAt.IsZero() && now.Sub(p.resumedAt) < recentPauseWindow
}

func (p *pauseDetector) overdue(now time.Time) bool {
	return !p.lastCheck.IsZero() && now.Sub(p.lastCheck) > pauseThreshold
}
