package forwards

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/logs"
	"gypsumshelf.example/gypsumshelf/rosters"
)

const (
	// livenessProbePeriod is the time without a byte from the primary engine after
	// which it is asked for its load, which needs no slot. Within the default bound
	// an engine that lives answers one of about seven probes.
	livenessProbePeriod = 500 * time.Millisecond
	// livenessProbeTimeout is the timeout of one probe.
	livenessProbeTimeout = 400 * time.Millisecond
	// maxCheckGap is the longest time between two checks of a process that runs. What
	// is longer is a pause of this process, in which nothing was asked.
	maxCheckGap = livenessProbePeriod/2 + livenessProbeTimeout
	// releaseMargin is the part of the memory bound that is left for the last probe
	// and for the release of the reservations.
	releaseMargin = 2 * livenessProbeTimeout
	// defaultMemoryBound applies when Config.MemoryBound is 0.
	defaultMemoryBound = 4 * time.Second
)

var errEngineLost = errors.New("the engine sends nothing, and answers no load report or has been replaced by a later start")

// primaryWatch finds out whether the primary engine of an attempt lives while its
// stream is silent. Reserved memory at helpers must be free within a bound after the
// end of the engine, and a slow engine must not be given up. The same holds for a stream
// that is silent while the daemon stops.
type primaryWatch struct {
	request *proxyRequest
	server  rosters.Entry
	stop    chan struct{}
	lost    chan struct{} // closed when the engine counts as dead

	mu             sync.Mutex
	lastSign       time.Time // of life
	lastCheck      time.Time
	observed       time.Duration // since the start of the watch, without pauses of this process
	observedAtSign time.Duration // observed as of lastSign
}

// newPrimaryWatch returns a watch that is already running.
func newPrimaryWatch(req *proxyRequest, server rosters.Entry) *primaryWatch {
	now := req.now()
	w := &primaryWatch{request: req, server: server, stop: make(chan struct{}), lost: make(chan struct{}), lastSign: now, lastCheck: now}
	go w.run()
	return w
}

func (w *primaryWatch) end() { close(w.stop) }

// sign records a sign of life as of at.
func (w *primaryWatch) sign(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.After(w.lastSign) {
		w.lastSign, w.observedAtSign = at, w.observed
	}
}

// silence returns the time since the last sign of life.
func (w *primaryWatch) silence() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.request.now().Sub(w.lastSign)
}

// hold returns the time for which memory may be reserved from now on.
func (w *primaryWatch) hold() time.Duration {
	return min(reservationTTL, w.request.forwarder.memoryBound()-w.silence())
}

// observedSilence returns the time since the last sign of life without pauses of this
// process. Memory at helpers is free within the bound all the same, since each
// reservation ends by the bound after the last sign.
func (w *primaryWatch) observedSilence() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.request.now()
	w.observed += min(now.Sub(w.lastCheck), maxCheckGap)
	w.lastCheck = now
	return min(now.Sub(w.lastSign), w.observed-w.observedAtSign)
}

func (w *primaryWatch) run() {
	maxSilence := w.request.forwarder.memoryBound() - releaseMargin
	ticker := time.NewTicker(livenessProbePeriod / 2)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
		silence := w.observedSilence()
		replaced := w.request.forwarder.cfg.Fleet.IsReplaced(w.server)
		if !replaced && silence <= maxSilence && silence >= livenessProbePeriod {
			replaced = w.probe()
		}
		if replaced || silence > maxSilence {
			w.request.forwarder.cfg.Log.WithFields(logrus.Fields{
				logs.KeyRequest: w.request.meta.ID, logs.KeyServer: w.server.ID, "silent-ms": silence.Milliseconds(), "replaced": replaced,
			}).Warn("the primary engine counts as dead; its request ends there, and memory reserved for it is released")
			close(w.lost)
			return
		}
	}
}

// probe asks the engine for its load. The answer is a sign of life as of the time
// of the question, since the engine may have ended after it was sent. It reports whether
// another start has answered at its address.
func (w *primaryWatch) probe() (replaced bool) {
	asked := w.request.now()
	ctx, cancel := context.WithTimeout(context.Background(), livenessProbeTimeout)
	defer cancel()
	load, err := w.request.forwarder.cfg.Protocol.Report(ctx, w.server.Address)
	switch {
	case err != nil:
		w.request.forwarder.cfg.Log.WithFields(logrus.Fields{
			logs.KeyRequest: w.request.meta.ID, logs.KeyServer: w.server.ID,
		}).WithError(err).Info("the silent primary engine sent no load report")
	case load.Born != 0 && load.Born != w.server.Born:
		return true
	default:
		w.sign(asked)
	}
	return false
}

// memoryBound returns the time within which reserved memory must be free after the
// end of the request that used it.
func (f *Forwarder) memoryBound() time.Duration {
	if f.cfg.MemoryBound == 0 {
		return defaultMemoryBound
	}
	return f.cfg.MemoryBound
}
