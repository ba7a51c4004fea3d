package gateways

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/standins"
)

// Guards against a request that the server has read from an idle connection which it closes
// for the stop, and drops without an answer.
func TestShutdownAnswersRequestsOnIdleConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := standins.NewBusyListener(inner.(*net.TCPListener))
	s := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }), l, logrus.NewEntry(logrus.New()))
	conn := dial(t, inner.Addr().String())
	exchange(t, conn, "")
	l.SetDelay(100 * time.Millisecond)
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

// Guards against a stop without any time to close connections, of a process that was not
// run until the planned time had passed.
func TestCloseHasTimeAfterItsPlannedEnd(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct{ planned, want time.Time }{
		"passed":       {now.Add(-time.Second), now.Add(minCloseTime)},
		"almost now":   {now.Add(minCloseTime / 2), now.Add(minCloseTime)},
		"not yet near": {now.Add(time.Second), now.Add(time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			if got := closeEnd(now, c.planned); !got.Equal(c.want) {
				t.Errorf("the close ends %v from now, want %v", got.Sub(now), c.want.Sub(now))
			}
		})
	}
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
	for range 2 { // as the break-off and the close of a stop
		if err := g.closeCallers(time.Now().Add(10 * time.Second)); err != nil {
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
