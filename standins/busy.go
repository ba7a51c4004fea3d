package standins

import (
	"net"
	"sync/atomic"
	"time"
)

// BusyListener accepts connections of a process that is slow to handle what it has read.
type BusyListener struct {
	*net.TCPListener
	delay atomic.Int64 // ns between the read of a byte and its return
}

// NewBusyListener returns a BusyListener that is not slow yet.
func NewBusyListener(l *net.TCPListener) *BusyListener { return &BusyListener{TCPListener: l} }

// SetDelay sets the time between the read of a byte and its return.
func (l *BusyListener) SetDelay(d time.Duration) { l.delay.Store(int64(d)) }

// Accept implements net.Listener.
func (l *BusyListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &busyConn{TCPConn: conn, listener: l}, nil
}

// busyConn is a connection of a BusyListener.
type busyConn struct {
	*net.TCPConn
	listener *BusyListener
}

// Read implements net.Conn.
func (c *busyConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		time.Sleep(time.Duration(c.listener.delay.Load()))
	}
	return n, err
}
