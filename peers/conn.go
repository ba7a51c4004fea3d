package peers

import (
	"net"
	"sync/atomic"
	"time"
)

// byteCounters counts the bytes sent and received on all connections.
type byteCounters struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// countingConn counts the bytes of a connection. A read fails after readTimeout,
// unless that is zero.
type countingConn struct {
	net.Conn
	counters    *byteCounters
	readTimeout time.Duration
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	if c.readTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	c.counters.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.sent.Add(uint64(n))
	return n, err
}
