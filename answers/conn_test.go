package answers

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedConn returns io.EOF to reads, and its writes take until a result is sent.
type scriptedConn struct {
	net.Conn
	readErr error
	results chan error
	closed  chan struct{}
}

func newScriptedConn() *scriptedConn {
	return &scriptedConn{readErr: io.EOF, results: make(chan error), closed: make(chan struct{})}
}

func (c *scriptedConn) Read([]byte) (int, error) { return 0, c.readErr }

func (c *scriptedConn) Write(b []byte) (int, error) {
	select {
	case err := <-c.results:
		return len(b), err
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *scriptedConn) SetReadDeadline(time.Time) error { return nil }
func (c *scriptedConn) SetDeadline(time.Time) error     { return nil }
func (c *scriptedConn) Close() error                    { close(c.closed); return nil }

// reader reads once.
type reader struct {
	conn   net.Conn
	result chan error
}

func (r *reader) run() {
	_, err := r.conn.Read(make([]byte, 1))
	r.result <- err
}

func startRead(conn net.Conn) *reader {
	r := &reader{conn: conn, result: make(chan error, 1)}
	go r.run()
	return r
}

// assertWaits checks that the read has not returned.
func (r *reader) assertWaits(t *testing.T) {
	t.Helper()
	synctest.Wait()
	select {
	case err := <-r.result:
		t.Fatalf("the read returns %v, want it to wait", err)
	default:
	}
}

func (r *reader) assertReturns(t *testing.T, want error) {
	t.Helper()
	if err := <-r.result; !errors.Is(err, want) || !errors.Is(want, io.EOF) && errors.Is(err, io.EOF) {
		t.Errorf("the read returns %v, want %v", err, want)
	}
}

// Guards against the end of a connection that is reported before it is known whether the
// connection was lost, and against reads that wait for ever.
func TestEndOfAConnection(t *testing.T) {
	for _, test := range []struct {
		name   string
		run    func(t *testing.T, c *Conn, s *scriptedConn) *reader
		result error
	}{
		{"nothing is written", func(_ *testing.T, c *Conn, _ *scriptedConn) *reader { return startRead(c) }, io.EOF},
		{"a write ends well", func(t *testing.T, c *Conn, s *scriptedConn) *reader {
			go startWrite(c)
			synctest.Wait()
			r := startRead(c)
			r.assertWaits(t)
			s.results <- nil
			return r
		}, io.EOF},
		{"a write fails", func(t *testing.T, c *Conn, s *scriptedConn) *reader {
			go startWrite(c)
			synctest.Wait()
			r := startRead(c)
			r.assertWaits(t)
			s.results <- syscall.ECONNRESET
			return r
		}, syscall.ECONNRESET},
		{"a write has failed", func(_ *testing.T, c *Conn, s *scriptedConn) *reader {
			go startWrite(c)
			s.results <- syscall.EPIPE
			synctest.Wait()
			return startRead(c)
		}, syscall.EPIPE},
		{"between two writes of a request", func(t *testing.T, c *Conn, s *scriptedConn) *reader {
			end := c.BeginRequest()
			go startWrite(c)
			s.results <- nil
			synctest.Wait()
			r := startRead(c)
			r.assertWaits(t)
			end()
			return r
		}, io.EOF},
		{"the deadline passes", func(t *testing.T, c *Conn, _ *scriptedConn) *reader {
			if err := c.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
				t.Fatal(err)
			}
			c.BeginRequest()
			r := startRead(c)
			r.assertWaits(t)
			time.Sleep(time.Second)
			return r
		}, os.ErrDeadlineExceeded},
		{"the connection is closed", func(t *testing.T, c *Conn, _ *scriptedConn) *reader {
			go startWrite(c)
			synctest.Wait()
			r := startRead(c)
			r.assertWaits(t)
			c.Close()
			return r
		}, net.ErrClosed},
		{"closed for a failed write", func(_ *testing.T, c *Conn, s *scriptedConn) *reader {
			go startWrite(c)
			s.results <- syscall.ECONNRESET
			synctest.Wait()
			c.Close()
			s.readErr = net.ErrClosed
			return startRead(c)
		}, syscall.ECONNRESET},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScriptedConn()
				c := NewConn(Config{Conn: s, CheckHeads: true})
				test.run(t, c, s).assertReturns(t, test.result)
			})
		})
	}
}

func startWrite(c *Conn) { _, _ = c.Write([]byte("x")) }
