package gateways

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/catalogs"
)

func newTestServer(t *testing.T) (*callerServer, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }), l, logrus.NewEntry(log))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.shutdown(ctx) // an error means that connections of the test are open
		s.close()
	})
	return s, l.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// exchange sends a request with a header line and returns the status.
func exchange(t *testing.T, conn net.Conn, line string) int {
	t.Helper()
	fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: x\r\n%s\r\n", line)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}

// openFor returns how long a connection stays open, at most limit.
func openFor(t *testing.T, conn net.Conn, limit time.Duration) time.Duration {
	t.Helper()
	begin := time.Now()
	if err := conn.SetReadDeadline(begin.Add(limit)); err != nil {
		t.Fatal(err)
	}
	// Only the time counts: the connection is closed with or without an answer.
	_, _ = io.Copy(io.Discard, conn)
	return time.Since(begin)
}

func assertWithin(t *testing.T, what string, got, from, to time.Duration) {
	t.Helper()
	if got < from || got > to {
		t.Errorf("%s after %v, want %v to %v", what, got, from, to)
	}
}

// Guards against limits of the catalog that unbound headers or connections: net/http takes
// a negative timeout as none.
func TestLimitsThatAreNotPositiveAreDefaults(t *testing.T) {
	s, _ := newTestServer(t)
	want := s.limits
	for _, l := range []catalogs.Limits{{}, {HeaderTimeout: -time.Second, IdleTimeout: -time.Second, HeaderBytes: -1}} {
		s.setLimits(l)
		if s.limits != want {
			t.Errorf("limits in force are %+v, want %+v", s.limits, want)
		}
	}
}

// Guards against limits of the catalog that are read and not applied.
func TestLimitsOfTheCatalogApply(t *testing.T) {
	s, address := newTestServer(t)
	s.setLimits(catalogs.Limits{HeaderBytes: 8 << 10, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 600 * time.Millisecond})
	t.Run("header bytes", func(t *testing.T) {
		if status := exchange(t, dial(t, address), "A: "+strings.Repeat("a", 6<<10)+"\r\n"); status != http.StatusOK {
			t.Errorf("a header within the limit gets status %d", status)
		}
		if status := exchange(t, dial(t, address), "A: "+strings.Repeat("a", 9<<10)+"\r\n"); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("a header above the limit gets status %d", status)
		}
	})
	t.Run("header that drips", func(t *testing.T) {
		conn := dial(t, address)
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			for {
				if _, err := conn.Write([]byte("G")); err != nil {
					return
				}
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		}()
		assertWithin(t, "closed", openFor(t, conn, 10*time.Second), 200*time.Millisecond, 3*time.Second)
	})
	t.Run("idle connection", func(t *testing.T) {
		conn := dial(t, address)
		exchange(t, conn, "")
		assertWithin(t, "closed", openFor(t, conn, 10*time.Second), 500*time.Millisecond, 3*time.Second)
	})
}

// Guards against a change of limits that cuts connections or requests, or loses one
// that is just accepted.
func TestChangeOfLimitsKeepsConnections(t *testing.T) {
	s, address := newTestServer(t)
	old := dial(t, address)
	if status := exchange(t, old, ""); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 1; ; i++ {
			select {
			case <-stop:
				return
			default:
				s.setLimits(catalogs.Limits{IdleTimeout: time.Duration(i%7+10) * time.Second})
			}
		}
	}()
	for range 200 {
		conn := dial(t, address)
		if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if status := exchange(t, conn, ""); status != http.StatusOK {
			t.Errorf("a connection accepted during a change gets status %d", status)
		}
		conn.Close()
		// It is used all the time, so that no idle limit ends it.
		if status := exchange(t, old, ""); status != http.StatusOK {
			t.Errorf("the connection from before the changes gets status %d", status)
		}
	}
	close(stop)
	<-done
	if status := exchange(t, old, ""); status != http.StatusOK {
		t.Errorf("the connection from before the changes gets status %d after the last one", status)
	}
}

// gatedListener accepts no connection before its gate is opened.
type gatedListener struct {
	*net.TCPListener
	gate chan struct{}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.TCPListener.Accept()
}

// Guards against connections that callers have established, with requests on them, and that
// a planned stop resets since the server has not taken them yet.
func TestShutdownServesEstablishedConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &gatedListener{TCPListener: inner.(*net.TCPListener), gate: make(chan struct{})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }), l, logrus.NewEntry(log))
	conns := make([]net.Conn, 40)
	for i := range conns {
		conns[i] = dial(t, inner.Addr().String())
		fmt.Fprint(conns[i], "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	}
	time.AfterFunc(50*time.Millisecond, func() { close(l.gate) })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := s.shutdown(ctx); err != nil {
		t.Errorf("the shutdown ended with %v", err)
	}
	s.close()
	for i, conn := range conns {
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("connection %d got %v with error %v, want an answer", i, response, err)
		}
	}
	if _, err := net.Dial("tcp", inner.Addr().String()); err == nil {
		t.Error("a connection is accepted after the shutdown")
	}
}

// Guards against a stop that waits for ever for a server that new limits have started
// meanwhile.
func TestNoServerIsStartedDuringTheStop(t *testing.T) {
	s, _ := newTestServer(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := s.shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	s.close()
	s.setLimits(catalogs.Limits{HeaderTimeout: time.Second})
	ended := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("a server runs after the stop")
	}
}

// Guards against a request that the server reads after the shutdown has begun, and drops
// without an answer.
func TestShutdownAnswersRequestsThatArriveMeanwhile(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	slow := make(chan struct{})
	s := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-slow
		}
		fmt.Fprint(w, "ok")
	}), l, logrus.NewEntry(log))
	first, second := dial(t, l.Addr().String()), dial(t, l.Addr().String())
	fmt.Fprint(first, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- s.shutdown(ctx) }()
	time.Sleep(50 * time.Millisecond)
	if status := exchange(t, second, ""); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	close(slow)
	if response, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("the request in progress got %v with error %v", response, err)
	}
	if err := <-ended; err != nil {
		t.Errorf("the shutdown ended with %v", err)
	}
	s.close()
}
