// Package listeners keeps accepting connections after errors that pass.
package listeners

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// retryDelay avoids a busy loop while there is no free file descriptor or no memory.
const retryDelay = 20 * time.Millisecond

// Listener is a net.Listener whose Accept fails only after Close. net/http stops
// serving at errors that it does not know to be temporary, such as ENOMEM.
type Listener struct {
	net.Listener
	log *logrus.Entry

	mu       sync.Mutex
	draining bool

	ended     chan struct{} // closed when Accept returns no more connections
	endedOnce sync.Once
}

// New returns a Listener that accepts the connections of l. Without a log it uses the
// standard logger.
func New(l net.Listener, log *logrus.Entry) *Listener {
	if log == nil {
		log = logrus.NewEntry(logrus.StandardLogger())
	}
	return &Listener{Listener: l, log: log.WithField("address", l.Addr().String()), ended: make(chan struct{})}
}

// backlogWait is the time without an established connection after which the backlog counts
// as empty.
const backlogWait = 10 * time.Millisecond

// deadlineListener is a listener whose Accept can be woken up.
type deadlineListener interface{ SetDeadline(t time.Time) error }

// Drain makes Accept return the connections that are established already, and then
// net.ErrClosed. Closing the listener instead would reset them, which is done only to a
// listener that cannot be drained. Another call changes nothing: a deadline that passes
// during the drain counts as an empty backlog.
func (l *Listener) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining {
		return
	}
	d, ok := l.Listener.(deadlineListener)
	if l.draining = ok && d.SetDeadline(time.Now()) == nil; !l.draining { // wakes Accept up
		l.Close()
	}
}

// DrainUntil drains the listener and waits until Accept has returned all connections, or
// ctx ends. The listener is then to be closed.
func (l *Listener) DrainUntil(ctx context.Context) {
	l.Drain()
	select {
	case <-l.ended:
	case <-ctx.Done():
	}
}

// limitDrain bounds the next wait for a connection while the listener drains, which it
// reports.
func (l *Listener) limitDrain() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining && l.Listener.(deadlineListener).SetDeadline(time.Now().Add(backlogWait)) == nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.accept()
	if err != nil {
		l.endedOnce.Do(func() { close(l.ended) })
	}
	return conn, err
}

func (l *Listener) accept() (net.Conn, error) {
	failures := 0
	for {
		draining := l.limitDrain()
		conn, err := l.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case errors.Is(err, os.ErrDeadlineExceeded) && draining:
			return nil, net.ErrClosed
		case errors.Is(err, os.ErrDeadlineExceeded):
			continue // the drain has begun
		case err == nil:
			if failures > 0 {
				l.log.WithField("failures", failures).Warn("connections are accepted again")
			}
			return conn, nil
		}
		if failures++; failures == 1 {
			l.log.WithError(err).Warn("cannot accept a connection")
		}
		time.Sleep(retryDelay)
	}
}
