package forwards

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// countFromZero returns a handler that streams events with IDs from 0 to to, without
// those that the caller has, and resets the connection after the event with the ID cut.
func countFromZero(cut, to int) func(*http.Request, string, net.Conn) {
	return func(r *http.Request, _ string, conn net.Conn) {
		from := 0
		if _, err := fmt.Sscan(r.Header.Get("Last"), &from); err == nil {
			from++
		}
		writeEvents(r, conn, from, min(cut, to))
		if cut < to {
			time.Sleep(50 * time.Millisecond)
			resetConnection(conn)
			return
		}
		endChunkedBody(conn)
	}
}

// Guards against the event with ID 0 that is taken for one that the caller has: streams
// whose IDs begin there ended as complete without it.
func TestEventIDsFromZero(t *testing.T) {
	const last = 4
	for cut := range last + 1 {
		t.Run(fmt.Sprintf("cut after event %d", cut), func(t *testing.T) {
			f := newStartedFixture(t, newFakeBackend(t, "e1", "engines", countFromZero(cut, last)), newFakeBackend(t, "e2", "engines", countFromZero(last, last)))
			assertAnswer(t, f.send("POST", "/stream/", "x"), http.StatusOK, eventText(0, last))
		})
	}
	t.Run("sent again by another engine", func(t *testing.T) {
		f := newStartedFixture(t, newFakeBackend(t, "e1", "engines", countFromZero(0, last)), newFakeBackend(t, "e2", "engines", func(r *http.Request, _ string, conn net.Conn) {
			writeEvents(r, conn, 0, last)
			endChunkedBody(conn)
		}))
		assertAnswer(t, f.send("POST", "/stream/", "x"), http.StatusOK, eventText(0, last))
	})
	t.Run("the next event is missing", func(t *testing.T) {
		f := newStartedFixture(t, newFakeBackend(t, "e1", "engines", func(r *http.Request, _ string, conn net.Conn) {
			writeEvents(r, conn, 0, 0)
			writeChunk(conn, "id: 2\ndata: x\n\n")
		}), newFakeBackend(t, "e2", "engines", countFromZero(last, last)))
		assertAnswer(t, f.send("POST", "/stream/", "x"), http.StatusOK, eventText(0, last))
	})
	for _, first := range []func(*http.Request, string, net.Conn){countFromZero(last, last), countFromZero(2, last)} {
		t.Run("the caller has event 0", func(t *testing.T) {
			b := newFakeBackend(t, "e1", "engines", first)
			f := newStartedFixture(t, b, newFakeBackend(t, "e2", "engines", countFromZero(last, last)))
			assertAnswer(t, f.send("POST", "/stream/", "x", "Last", "0"), http.StatusOK, eventText(1, last))
			if got := b.requests[0].Header.Get("Last"); got != "0" {
				t.Errorf("the engine is told that the caller has event %q, want 0", got)
			}
		})
	}
	t.Run("the caller has event 0, IDs begin with 1", func(t *testing.T) {
		f := newStartedFixture(t, newFakeBackend(t, "e1", "engines", resumeAfterLastEvent(3)))
		assertAnswer(t, f.send("POST", "/stream/", "x", "Last", "0"), http.StatusOK, eventText(1, 3))
	})
	t.Run("the caller has event 0, the stream is empty", func(t *testing.T) {
		f := newStartedFixture(t, newFakeBackend(t, "e1", "engines", func(r *http.Request, _ string, conn net.Conn) {
			writeUnframed(r, conn, "")
			conn.Close()
		}))
		assertAnswer(t, f.send("POST", "/stream/", "x", "Last", "0"), http.StatusBadGateway, "")
	})
}
