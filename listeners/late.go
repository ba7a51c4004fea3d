package listeners

import (
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// listenRetryDelay is the delay between two tries to listen at an address in use.
const listenRetryDelay = time.Second

// Late is a net.Listener at an address that need not be free yet: Accept waits until
// it is.
type Late struct {
	address string
	log     *logrus.Entry
	closed  chan struct{}

	mu       sync.Mutex
	listener net.Listener // nil until the address was free
	closing  sync.Once
}

// NewLate returns a Late. It listens at once if the address is free.
func NewLate(address string, log *logrus.Entry) *Late {
	l := &Late{address: address, log: log.WithField("address", address), closed: make(chan struct{})}
	if err := l.listen(); err != nil {
		l.log.WithError(err).Warn("cannot listen; trying again until the address is free")
	}
	return l
}

// listen listens at the address unless that was done before.
func (l *Late) listen() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.listener = listener
	select {
	case <-l.closed:
		listener.Close()
	default:
	}
	return nil
}

// Accept implements net.Listener.
func (l *Late) Accept() (net.Conn, error) {
	for l.listen() != nil {
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(listenRetryDelay):
		}
	}
	return l.listener.Accept()
}

// Close implements net.Listener.
func (l *Late) Close() error {
	l.closing.Do(func() { close(l.closed) })
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return nil
	}
	return l.listener.Close()
}

// Addr implements net.Listener.
func (l *Late) Addr() net.Addr { return lateAddress(l.address) }

// lateAddress is the address at which a Late listens, or is going to.
type lateAddress string

// Network implements net.Addr.
func (lateAddress) Network() string { return "tcp" }

// String implements net.Addr.
func (a lateAddress) String() string { return string(a) }
