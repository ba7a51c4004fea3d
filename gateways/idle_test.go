package gateways

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// busyListener accepts connections of a process that is slow to handle what it has read.
type busyListener struct {
	*net.TCPListener
	delay atomic.Int64 // ns between the read of a byte and its return
}

func (l *busyListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &busyConn{TCPConn: conn, listener: l}, nil
}

type busyConn struct {
	*net.TCPConn
	listener *busyListener
}

func (c *busyConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		time.Sleep(time.Duration(c.listener.delay.Load()))
	}
	return n, err
}

// Guards against a request that the server has read from an idle connection which it closes
// for the stop, and drops without an answer.
func TestShutdownAnswersRequestsOnIdleConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &busyListener{TCPListener: inner.(*net.TCPListener)}
	s := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }), l, logrus.NewEntry(logrus.New()))
	conn := dial(t, inner.Addr().String())
	exchange(t, conn, "")
	l.delay.Store(int64(100 * time.Millisecond))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	ended := make(chan error, 1)
	time.AfterFunc(30*time.Millisecond, func() { ended <- s.shutdown(ctx) })
	if status := exchange(t, conn, ""); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if err := <-ended; err != nil {
		t.Errorf("the shutdown ended with %v", err)
	}
	s.close()
}

// Guards against requests that a process drops which was not run until the time to close its
// connections had passed: the connections are closed at once, and those not taken yet reset.
func TestStarvedProcessAnswersBeforeItCloses(t *testing.T) {
	const callers = 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &Gateway{callers: newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(10 * time.Millisecond)
		fmt.Fprint(w, "ok")
	}), l, logrus.NewEntry(logrus.New()))}
	conns := make([]net.Conn, callers)
	for i := range conns {
		conns[i] = dial(t, l.Addr().String())
		if _, err := fmt.Fprint(conns[i], "GET / HTTP/1.1\r\nHost: x.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	passed := time.Now().Add(-time.Second)
	for range 2 { // as the break-off and the close of a stop
		if err := g.closeCallers(passed, 10*time.Second); err != nil {
			t.Errorf("the connections were not closed: %v", err)
		}
	}
	g.callers.close()
	for i, conn := range conns {
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
			t.Errorf("request %d has no answer: %v", i, err)
		} else if resp.StatusCode != http.StatusOK {
			t.Errorf("request %d has status %d, want 200", i, resp.StatusCode)
		}
	}
}
