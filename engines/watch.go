package engines

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// progressShare of the time left is the longest silence of a stream, so
	// that a class with a short finish time can still resume elsewhere.
	progressShare = 4
	minProgress   = 100 * time.Millisecond
)

// watch cancels a call that makes no progress. Before the first mark, when the
// engine may be reading a long prompt, it probes the server on a new connection
// after each period of silence; after it, silence alone ends the call.
type watch struct {
	client   *Client
	address  string
	answer   time.Time // time by which the first mark is due
	progress time.Duration
	cancel   context.CancelCauseFunc
	done     chan struct{}

	started time.Time
	last    atomic.Int64 // time of the last mark after started, in nanoseconds, 0 before the first
	paused  atomic.Bool  // the caller is being written to, the server cannot make progress
}

// guard starts a watch over a call. The returned context ends with the call's
// deadline or when the watch finds no progress.
func (c *Client) guard(parent context.Context, address string, answer, deadline time.Time) (context.Context, *watch) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watch{
		client: c, address: address, answer: answer, progress: c.cfg.ProgressTimeout,
		cancel: cancel, done: make(chan struct{}), started: time.Now(),
	}
	if !deadline.IsZero() {
		w.progress = min(w.progress, max(minProgress, time.Until(deadline)/progressShare))
	}
	go w.run(ctx, deadline)
	return ctx, w
}

// mark records progress.
func (w *watch) mark() {
	w.last.Store(max(1, int64(time.Since(w.started))))
	w.paused.Store(false)
}

// pause stops the clock until the next mark.
func (w *watch) pause() { w.paused.Store(true) }

// stop ends the watch.
func (w *watch) stop() {
	close(w.done)
	w.cancel(nil)
}

func (w *watch) run(ctx context.Context, deadline time.Time) {
	timer := time.NewTimer(w.progress)
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
func (w *watch) check(ctx context.Context, now time.Time) (time.Duration, error) {
	if w.paused.Load() {
		return w.progress, nil
	}
	if last := w.last.Load(); last > 0 {
		silent := now.Sub(w.started) - time.Duration(last)
		if silent >= w.progress {
			return 0, errSilent
		}
		return w.progress - silent, nil
	}
	if !w.answer.IsZero() && !now.Before(w.answer) {
		return 0, errNoAnswer
	}
	if !w.client.probe(ctx, w.address) {
		return 0, errDead
	}
	if w.answer.IsZero() {
		return w.progress, nil
	}
	return min(w.progress, time.Until(w.answer)), nil
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
	resp, err := c.http.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return true
}
