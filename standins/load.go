package standins

import (
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// delayedLoad delays the load that a stand-in reports, as if reports were late.
type delayedLoad struct {
	lag time.Duration

	mu      sync.Mutex
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load gypsumshelf.Load
}

// record records the current load and returns the newest sample that is at least
// as old as the lag, or the zero Load if there is none yet.
func (d *delayedLoad) record(now time.Time, current gypsumshelf.Load) gypsumshelf.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.samples = append(d.samples, loadSample{at: now, load: current})
	for len(d.samples) > 1 && now.Sub(d.samples[1].at) >= d.lag {
		d.samples = d.samples[1:]
	}
	if now.Sub(d.samples[0].at) < d.lag {
		return gypsumshelf.Load{}
	}
	return d.samples[0].load
}
