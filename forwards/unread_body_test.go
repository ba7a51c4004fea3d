package forwards

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// Guards against connections that are held for ever, and that a planned stop waits for to the
// end of its grace period, since the rest of a body never arrives after the answer.
func TestConnectionOfAnUnreadBodyIsClosed(t *testing.T) {
	const limit = 2 * time.Second // from the request on
	for name, test := range map[string]struct {
		wait, status int
		stop         bool
	}{
		"the stop hands it back": {wait: 5000, status: http.StatusServiceUnavailable, stop: true},
		"its time is over":       {wait: 300, status: http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStartedFixture(t)
			conn := f.dialCaller()
			fmt.Fprintf(conn, "POST /unsafe/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\nWait: %d\r\nContent-Length: 1000\r\n\r\nsome", test.wait)
			if test.stop {
				time.AfterFunc(100*time.Millisecond, func() { f.drainFor(handBackReserve + 200*time.Millisecond) })
			}
			if err := conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
				t.Fatal(err)
			}
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			if err != nil || response.StatusCode != test.status {
				t.Fatalf("got %v with error %v, want status %d", response, err, test.status)
			}
			if _, err := io.ReadAll(response.Body); err != nil {
				t.Errorf("the answer ends with %v", err)
			}
			if _, err := reader.ReadByte(); isTimeout(err) {
				t.Errorf("the connection is open %v after the request, want it closed", limit)
			}
		})
	}
}

// Guards against refused requests that get no answer, and hold their connections for ever,
// since the rest of their bodies never arrives.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	const limit = restOfBodyTime + time.Second
	for name, test := range map[string]struct {
		path   string
		status int
	}{
		"no route":    {"/none/", http.StatusNotFound},
		"unknown key": {"/unsafe/", http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStartedFixture(t)
			conn := f.dialCaller()
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: unknown\r\nContent-Length: 1000\r\n\r\nsome", test.path)
			if err := conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || response.StatusCode != test.status {
				t.Errorf("got %v with error %v, want status %d", response, err, test.status)
			}
		})
	}
}
