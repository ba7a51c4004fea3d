package answers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Config configures a Conn.
type Config struct {
	Conn net.Conn
	// CheckHeads makes reads fail with ErrMalformed at a malformed head of a response.
	// The connection must carry one request only.
	CheckHeads bool
}

// Conn is a connection to a backend server on which a reset is never read as a regular end.
// The kernel reports a reset once. If a write gets the report, reads return io.EOF, which
// ends an answer without a length as if it were complete.
type Conn struct {
	net.Conn
	heads *headChecker // nil if heads are not checked

	mu           sync.Mutex
	readDeadline time.Time
	writing      int           // writes and requests in progress
	settled      chan struct{} // nil unless a read waits; closed when nothing is written any more, or by Close
	writeErr     error         // of the first write that failed before Close
	closed       bool
}

// NewConn returns a Conn, which owns the connection of cfg.
func NewConn(cfg Config) *Conn {
	c := &Conn{Conn: cfg.Conn}
	if cfg.CheckHeads {
		c.heads = &headChecker{}
	}
	return c
}

// CheckDial wraps dial. Its connections check heads, so that each must carry one request only.
func CheckDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(Config{Conn: conn, CheckHeads: true}), nil
	}
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. At the end of the connection it waits for writes in progress and
// returns io.EOF only if none has failed. A failed write is also reported if it has made the
// owner close the connection. Read must not be called concurrently.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.heads != nil {
		if malformed := c.heads.check(b[:n]); malformed != nil {
			return 0, malformed
		}
	}
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		err = c.endError(err)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	end := c.BeginRequest()
	defer end()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.recordWriteError(err)
	}
	return n, err
}

func (c *Conn) recordWriteError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil && !c.closed {
		c.writeErr = err
	}
}

// BeginRequest notes that a request is being written, in one or more writes, until the
// returned function is called.
func (c *Conn) BeginRequest() (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing++
	return c.endRequest
}

func (c *Conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing--; c.writing == 0 {
		c.settle()
	}
}

// settle ends the wait of a read. It must be called with mu held.
func (c *Conn) settle() {
	if c.settled != nil {
		close(c.settled)
		c.settled = nil
	}
}

// endError returns the error of a read that has ended with err, io.EOF or net.ErrClosed.
func (c *Conn) endError(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writing > 0 && !c.closed {
		settled := make(chan struct{})
		c.settled = settled
		deadline := c.readDeadline
		c.mu.Unlock()
		inTime := waitUntil(deadline, settled)
		c.mu.Lock()
		if !inTime {
			return os.ErrDeadlineExceeded
		}
	}
	switch {
	case c.writeErr != nil:
		return fmt.Errorf("the connection was reset while the request was written: %w", c.writeErr)
	case c.closed:
		return net.ErrClosed
	}
	return err
}

// waitUntil waits for done and reports false if the deadline passes first. A zero deadline
// never passes.
func waitUntil(deadline time.Time, done <-chan struct{}) bool {
	var passed <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		passed = timer.C
	}
	select {
	case <-done:
		return true
	case <-passed:
		return false
	}
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.setReadDeadline(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn. It takes effect on the next read.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.setReadDeadline(t)
	return c.Conn.SetReadDeadline(t)
}

func (c *Conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.settle()
	c.mu.Unlock()
	return c.Conn.Close()
}
