package timers

import (
	"sync"
	"time"
)

const (
	// PauseCheckPeriod is the period at which PauseDetector.Check is to be called.
	PauseCheckPeriod = 100 * time.Millisecond
	// pauseThreshold is the time between two checks above which the process counts
	// as paused. It is several periods, since a busy processor delays checks too.
	pauseThreshold = 500 * time.Millisecond
	// recentPauseWindow is the time after a pause in which requests that arrived
	// during it are read from the sockets.
	recentPauseWindow = 500 * time.Millisecond
)

// PauseDetector detects that the process was paused. The zero value is ready to use.
type PauseDetector struct {
	mu        sync.Mutex
	lastCheck time.Time
	resumedAt time.Time
}

// Check records that the process runs. It returns for how long it was paused before, 0
// if it was not.
func (p *PauseDetector) Check(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	paused := p.overdue(now)
	if paused > 0 {
		p.resumedAt = now
	}
	p.lastCheck = now
	return paused
}

// RecentlyPaused reports whether the process was paused within the last
// recentPauseWindow.
func (p *PauseDetector) RecentlyPaused(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.overdue(now) > 0 || !p.resumedAt.IsZero() && now.Sub(p.resumedAt) < recentPauseWindow
}

// overdue returns the time since the last check if it is a pause.
func (p *PauseDetector) overdue(now time.Time) time.Duration {
	if gap := now.Sub(p.lastCheck); !p.lastCheck.IsZero() && gap > pauseThreshold {
		return gap
	}
	return 0
}
