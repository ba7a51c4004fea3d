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
func (m *progressMonitor) recordProgress() {
	m.lastProgress.Store(max(1, int64(time.Since(m.started))))
	m.waitingForCaller.Store(false)
}

// pauseForCaller stops the clock until the next mark.
func (m *progressMonitor) pauseForCaller() { m.waitingForCaller.Store(true) }

// stop ends the watch.
func (m *progressMonitor) stop() {
	close(m.done)
	m.cancel(nil)
}

func (m *progressMonitor) run(ctx context.Context, deadline time.Time) {
	timer := time.NewTimer(m.timeout)
	defer timer.Stop()
	for {
		select {
		case <-m.done:
			return
		case <-timer.C:
		}
		now := time.Now()
		if !deadline.IsZero() && !now.Before(deadline) {
			m.cancel(context.DeadlineExceeded)
			return
		}
		wait, cause := m.check(ctx, now)
		if cause != nil {
			m.cancel(cause)
			return
		}
		if !deadline.IsZero() {
			wait = min(wait, time.Until(deadline))
		}
		timer.Reset(max(wait, time.Millisecond))
	}
}

// check returns the time until the next check, or the reason to end the call.
func (m *progressMonitor) check(ctx context.Context, now time.Time) (time.Duration, error) {
	if m.waitingForCaller.Load() {
		return m.timeout, nil
	}
	if last := m.lastProgress.Load(); last > 0 {
		idle := now.Sub(m.started) - time.Duration(last)
		if idle >= m.timeout {
			return 0, errNoProgress
		}
		return m.timeout - idle, nil
	}
	if !m.answerDue.IsZero() && !now.Before(m.answerDue) {
		return 0, errNoAnswer
	}
	if !m.client.probe(ctx, m.address) {
		return 0, errProbeFailed
	}
	if m.answerDue.IsZero() {
		return m.timeout, nil
	}
	return min(m.timeout, time.Until(m.answerDue)), nil
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
