// Package listeners keeps accepting connections after errors that pass.
package listeners

import (
	"errors"
	"net"
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
}

// New returns a Listener that accepts the connections of l. Without a log it uses the
// standard logger.
func New(l net.Listener, log *logrus.Entry) *Listener {
	if log == nil {
		log = logrus.NewEntry(logrus.StandardLogger())
	}
	return &Listener{Listener: l, log: log.WithField("address", l.Addr().String())}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	failures := 0
	for {
		conn, err := l.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
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
