package standins

import (
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// loadReports delays the load that a stand-in reports, to simulate late reports.
type loadReports struct {
	lag time.Duration

	mu      sync.Mutex
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load gypsumshelf.Load
}

// report records the current load and returns the newest sample that is at least
// as old as the lag, or the zero Load if there is none yet.
func (l *loadReports) report(now time.Time, current gypsumshelf.Load) gypsumshelf.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, loadSample{at: now, load: current})
	for len(l.samples) > 1 && now.Sub(l.samples[1].at) >= l.lag {
		l.samples = l.samples[1:]
	}
	if now.Sub(l.samples[0].at) < l.lag {
		return gypsumshelf.Load{}
	}
	return l.samples[0].load
}
