package engines

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// progressDivisor divides the time to the deadline to give the longest time
	// without progress, so that a call with little time left can still resume on
	// another server.
	progressDivisor    = 4
	minProgressTimeout = 100 * time.Millisecond
)

// progressMonitor cancels a call that makes no progress. Until the first progress,
// when the engine may be processing a long prompt, it probes the server on a new
// connection after each timeout. Later, a timeout ends the call.
type progressMonitor struct {
	client    *Client
	address   string
	answerDue time.Time // time by which the first progress is due, zero for none
	timeout   time.Duration
	cancel    context.CancelCauseFunc
	done      chan struct{}

	started          time.Time
	lastProgress     atomic.Int64 // nanoseconds from started to the last progress, 0 before the first
	waitingForCaller atomic.Bool  // a write to the caller blocks, so no progress of the server can be seen
}

// monitor starts a progressMonitor for a call. The returned context is cancelled at
// the call's deadline or when the call makes no progress.
func (c *Client) monitor(parent context.Context, address string, answerDue, deadline time.Time) (context.Context, *progressMonitor) {
	ctx, cancel := context.WithCancelCause(parent)
	monitor := &progressMonitor{
		client: c, address: address, answerDue: answerDue, timeout: c.cfg.ProgressTimeout,
		cancel: cancel, done: make(chan struct{}), started: time.Now(),
	}
	if !deadline.IsZero() {
		monitor.timeout = min(monitor.timeout, max(minProgressTimeout, time.Until(deadline)/progressDivisor))
	}
	go monitor.run(ctx, deadline)
	return ctx, monitor
}

// recordProgress restarts the timeout and ends a pause.
func (m *progressMonitor) recordProgress() {
	m.lastProgress.Store(max(1, int64(time.Since(m.started))))
	m.waitingForCaller.Store(false)
}

// pauseForCaller suspends the timeout until the next recordProgress.
func (m *progressMonitor) pauseForCaller() { m.waitingForCaller.Store(true) }

// stop ends the monitor and cancels the call's context.
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

// check returns the time until the next check, or the cause for cancelling the
// call.
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

// probe reports whether the server answers with any HTTP status on a new
// connection.
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
