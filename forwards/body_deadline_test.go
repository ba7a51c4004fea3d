package forwards

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// lateLimitListener accepts lateLimitConns.
type lateLimitListener struct {
	net.Listener
	held chan struct{}
}

func (l lateLimitListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &lateLimitConn{Conn: conn, held: l.held, lifted: make(chan struct{}, 1)}, err
}

// lateLimitConn is a connection on which a read limit that has passed takes effect only after
// the next lift of the limit, as on a busy host.
type lateLimitConn struct {
	net.Conn
	held   chan struct{} // receives a value when a limit is held back
	lifted chan struct{}
}

func (c *lateLimitConn) SetReadDeadline(t time.Time) error {
	switch {
	case t.IsZero():
		select {
		case c.lifted <- struct{}{}:
		default:
		}
	case t.Unix() > 1 && t.Before(time.Now()): // net/http ends its own reads with an earlier time
		select {
		case <-c.lifted: // of an earlier request
		default:
		}
		c.held <- struct{}{}
		<-c.lifted
	}
	return c.Conn.SetReadDeadline(t)
}

// Guards against a read limit that is set while net/http already waits for the caller to
// disconnect: the request would end without an answer, as one that its caller has left.
func TestReadLimitOfAStopIsNotTakenForTheCaller(t *testing.T) {
	b := newFakeBackend(t, "p1", "plain", respondWith(http.StatusOK, "ok"))
	f := newStartedFixture(t, b)
	f.server.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := make(chan struct{}, 1)
	f.server = &httptest.Server{Listener: lateLimitListener{Listener: l, held: held}, Config: &http.Server{Handler: f.forwarder}}
	f.server.Start()
	now := time.Now()
	f.forwarder.Drain(DrainPlan{AcceptUntil: now.Add(time.Minute), BreakOff: now.Add(handBackReserve / 2)})
	conn := f.dialCaller()
	fmt.Fprint(conn, "POST /unsafe/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\nContent-Length: 4\r\n\r\n")
	<-held
	fmt.Fprint(conn, "body")
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %v with error %v, want status 503", response, err)
	}
	conn.Close()
	assertCount(t, b, 0)
	f.assertEndedByStop("r1", outcomeRefused, phaseBody)
}
