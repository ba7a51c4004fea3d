package entries

import (
	"errors"
	"net/http"
	"time"
)

const (
	// defaultWriteTimeout is the default timeout of a write to a caller.
	defaultWriteTimeout = 20 * time.Second
	// errorWriteGrace is the time after the deadline of a request in which an error
	// may still be written.
	errorWriteGrace = time.Second
)

// callerWriter writes a response to a caller, with a deadline for each write.
type callerWriter struct {
	w        http.ResponseWriter
	timeout  time.Duration
	deadline time.Time // deadline of the request, zero for none
}

// extendDeadline sets the write deadline to the timeout from now, but not beyond
// the end of the request and its grace time.
func (w callerWriter) extendDeadline() {
	due := time.Now().Add(w.timeout)
	if last := w.deadline.Add(errorWriteGrace); !w.deadline.IsZero() && due.After(last) {
		due = last
	}
	// The error is ignored: writers without deadline support occur only in tests.
	_ = http.NewResponseController(w.w).SetWriteDeadline(due)
}

// writeAndFlush writes p and flushes it to the caller.
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
