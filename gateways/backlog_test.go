package gateways

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// breakOffFixture is a server whose stop reaches the break-off with a request in progress.
type breakOffFixture struct {
	t       *testing.T
	server  *callerServer
	address string
	slow    net.Conn      // carries the request in progress
	release chan struct{} // ends it
}

func newBreakOffFixture(t *testing.T, wrap func(*net.TCPListener) net.Listener) *breakOffFixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &breakOffFixture{t: t, address: l.Addr().String(), release: make(chan struct{})}
	begun := make(chan struct{})
	f.server = newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(begun)
			<-f.release
		}
		fmt.Fprint(w, "ok")
	}), wrap(l.(*net.TCPListener)), logrus.NewEntry(log))
	f.slow = dial(t, f.address)
	fmt.Fprint(f.slow, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
	<-begun
	return f
}

// stop does what Gateway.Stop does at the break-off and after it.
func (f *breakOffFixture) stop(left time.Duration) error {
	ended, cancel := context.WithCancel(f.t.Context())
	cancel()
	if err := f.server.shutdown(ended); err == nil {
		f.t.Error("the shutdown ends without an error while a request is in progress")
	}
	close(f.release)
	ctx, cancel := context.WithTimeout(f.t.Context(), left)
	defer cancel()
	err := f.server.shutdown(ctx)
	f.server.close()
	return err
}

// lateListener is slow to return the connections that it has accepted once it is told so.
type lateListener struct {
	*net.TCPListener
	late chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	select {
	case <-l.late:
		time.Sleep(20 * time.Millisecond)
	default:
	}
	return conn, err
}

// Guards against connections with requests that a planned stop resets or closes when it
// reaches its break-off: the time for the requests in progress is over then, not that for the
// connections that are established.
func TestBreakOffServesEstablishedConnections(t *testing.T) {
	l := &lateListener{late: make(chan struct{})}
	f := newBreakOffFixture(t, func(inner *net.TCPListener) net.Listener {
		l.TCPListener = inner
		return l
	})
	close(l.late)
	conns := []net.Conn{f.slow}
	for range 5 {
		conn := dial(t, f.address)
		fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		conns = append(conns, conn)
	}
	if err := f.stop(10 * time.Second); err != nil {
		t.Errorf("the shutdown ended with %v", err)
	}
	for i, conn := range conns {
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("connection %d got %v with error %v, want an answer", i, response, err)
		}
	}
}

// Guards against a stop that accepts connections until its end while callers go on to
// establish them, and closes the last ones without an answer.
func TestBreakOffEndsUnderNewConnections(t *testing.T) {
	f := newBreakOffFixture(t, func(inner *net.TCPListener) net.Listener { return inner })
	var wg sync.WaitGroup
	flood := make(chan struct{})
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-flood:
					return
				default:
				}
				conn, err := net.Dial("tcp", f.address)
				if err != nil {
					continue // the listener is closed
				}
				fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
				_, _ = io.Copy(io.Discard, conn) // a connection that crosses the close is reset
				conn.Close()
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	err := f.stop(3 * time.Second)
	close(flood)
	wg.Wait()
	if err != nil {
		t.Errorf("the shutdown ended with %v", err)
	}
}
