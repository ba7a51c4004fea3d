package entries

import (
	"errors"
	"net/http"
	"time"
)

const (
	// defaultWriteTimeout bounds a write to a caller that does not read.
	defaultWriteTimeout = 20 * time.Second
	// errorWriteGrace is the time after a request's deadline in which its error may
	// still be written.
	errorWriteGrace = time.Second
)

// callerWriter writes to a caller, with a deadline on each write.
type callerWriter struct {
	w        http.ResponseWriter
	timeout  time.Duration
	deadline time.Time // end of the request
}

// extendDeadline sets the deadline of the next write.
func (w callerWriter) extendDeadline() {
	due := time.Now().Add(w.timeout)
	if last := w.deadline.Add(errorWriteGrace); !w.deadline.IsZero() && due.After(last) {
		due = last
	}
	// A writer without deadlines, as in tests, has no caller that can stall.
	_ = http.NewResponseController(w.w).SetWriteDeadline(due)
}

// writeAndFlush writes p and sends it off.
func (w callerWriter) writeAndFlush(p []byte) error {
	w.extendDeadline()
	if _, err := w.w.Write(p); err != nil {
		return err
	}
	if err := http.NewResponseController(w.w).Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}
