package engines

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// progressDivisor of the time left is the longest silence of a stream, so
	// that a class with a short finish time can still resume elsewhere.
	progressDivisor    = 4
	minProgressTimeout = 100 * time.Millisecond
)

// progressMonitor cancels a call that makes no progress. Before the first mark, when the
// engine may be reading a long prompt, it probes the server on a new connection
// after each period of silence; after it, silence alone ends the call.
type progressMonitor struct {
	client    *Client
	address   string
	answerDue time.Time // time by which the first mark is due
	timeout   time.Duration
	cancel    context.CancelCauseFunc
	done      chan struct{}

	started          time.Time
	lastProgress     atomic.Int64 // time of the last mark after started, in nanoseconds, 0 before the first
	waitingForCaller atomic.Bool  // the caller is being written to, the server cannot make progress
}

// monitor starts a watch over a call. The returned context ends with the call's
// deadline or when the watch finds no progress.
func (c *Client) monitor(parent context.Context, address string, answer, deadline time.Time) (context.Context, *progressMonitor) {
	ctx, cancel := context.WithCancelCause(parent)
	monitor := &progressMonitor{
		client: c, address: address, answerDue: answer, timeout: c.cfg.ProgressTimeout,
		cancel: cancel, done: make(chan struct{}), started: time.Now(),
	}
	if !deadline.IsZero() {
		monitor.timeout = min(monitor.timeout, max(minProgressTimeout, time.Until(deadline)/progressDivisor))
	}
	go monitor.run(ctx, deadline)
	return ctx, monitor
}

// recordProgress records progress.
func (w *progressMonitor) recordProgress() {
	w.lastProgress.Store(max(1, int64(time.Since(w.started))))
	w.waitingForCaller.Store(false)
}

// pauseForCaller stops the clock until the next mark.
func (w *progressMonitor) pauseForCaller() { w.waitingForCaller.Store(true) }

// stop ends the watch.
func (w *progressMonitor) stop() {
	close(w.done)
	w.cancel(nil)
}

func (w *progressMonitor) run(ctx context.Context, deadline time.Time) {
	timer := time.NewTimer(w.timeout)
	defer timer.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-timer.C:
		}
		now := time.Now()
		if !deadline.IsZero() && !now.Before(deadline) {
			w.cancel(context.DeadlineExceeded)
			return
		}
		wait, cause := w.check(ctx, now)
		if cause != nil {
			w.cancel(cause)
			return
		}
		if !deadline.IsZero() {
			wait = min(wait, time.Until(deadline))
		}
		timer.Reset(max(wait, time.Millisecond))
	}
}

// check returns the time until the next check, or the reason to end the call.
func (w *progressMonitor) check(ctx context.Context, now time.Time) (time.Duration, error) {
	if w.waitingForCaller.Load() {
		return w.timeout, nil
	}
	if last := w.lastProgress.Load(); last > 0 {
		idle := now.Sub(w.started) - time.Duration(last)
		if idle >= w.timeout {
			return 0, errNoProgress
		}
		return w.timeout - idle, nil
	}
	if !w.answerDue.IsZero() && !now.Before(w.answerDue) {
		return 0, errNoAnswer
	}
	if !w.client.probe(ctx, w.address) {
		return 0, errProbeFailed
	}
	if w.answerDue.IsZero() {
		return w.timeout, nil
	}
	return min(w.timeout, time.Until(w.answerDue)), nil
}

// probe reports whether the server answers on a new connection; any HTTP
// status will do.
func (c *Client) probe(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.cfg.DialTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return false
	}
	resp, err := c.freshHTTP.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return true
}
