package daemons

import (
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/timers"
)

// pauseLog logs pauses of the process, which can cost the freshness lease.
type pauseLog struct {
	detector timers.PauseDetector
	log      *logrus.Entry
}

func (p *pauseLog) check(now time.Time) {
	if paused := p.detector.Check(now); paused > 0 {
		p.log.WithField("paused-ms", paused.Milliseconds()).Warn("the process was paused; the freshness lease may have expired")
	}
}
