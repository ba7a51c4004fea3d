package entries

import (
	"errors"
	"net/http"
	"time"
)

const (
	// defaultWriteTimeout bounds a write to a caller that does not read.
	defaultWriteTimeout = 20 * time.Second
	// errorGrace is the time after a request's deadline in which its error may
	// still be written.
	errorGrace = time.Second
)

// writer writes to a caller, with a deadline on each write.
type writer struct {
	w        http.ResponseWriter
	timeout  time.Duration
	deadline time.Time // end of the request
}

// extend sets the deadline of the next write.
func (w writer) extend() {
	due := time.Now().Add(w.timeout)
	if last := w.deadline.Add(errorGrace); !w.deadline.IsZero() && due.After(last) {
		due = last
	}
	// A writer without deadlines, as in tests, has no caller that can stall.
	_ = http.NewResponseController(w.w).SetWriteDeadline(due)
}

// write writes p and sends it off.
func (w writer) write(p []byte) error {
	w.extend()
	if _, err := w.w.Write(p); err != nil {
		return err
	}
	if err := http.NewResponseController(w.w).Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}
