package forwards

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/schedules"
)

func eventText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

// resumeAfterLastEvent returns a handler that streams the events after the caller's
// last one, up to to.
func resumeAfterLastEvent(to int) func(*http.Request, string, net.Conn) {
	return func(r *http.Request, _ string, conn net.Conn) {
		from := 1
		if _, err := fmt.Sscan(r.Header.Get("Last"), &from); err == nil {
			from++
		}
		writeEvents(r, conn, from, to)
		endChunkedBody(conn)
	}
}

// writeUnframed writes a response whose body ends with its connection.
func writeUnframed(r *http.Request, conn net.Conn, body string) {
	fmt.Fprint(conn, responseHeader(r, http.StatusOK, "Connection: close\r\n")+body)
}

// Guards against streams with a missing, repeated or partial event, and against a
// stream that looks complete although its engine failed.
func TestStreamResumesOnAnotherEngine(t *testing.T) {
	for _, test := range []struct {
		name  string
		first func(*http.Request, string, net.Conn)
		whole bool
	}{
		{"complete", resumeAfterLastEvent(5), true},
		{"reset before the first event", func(_ *http.Request, _ string, conn net.Conn) { resetConnection(conn) }, true},
		{"reset between events", func(r *http.Request, _ string, conn net.Conn) {
			writeEvents(r, conn, 1, 3)
			time.Sleep(50 * time.Millisecond)
			resetConnection(conn)
		}, true},
		{"reset within an event", func(r *http.Request, _ string, conn net.Conn) {
			writeEvents(r, conn, 1, 3)
			writeChunk(conn, "id: 4\nda")
			time.Sleep(50 * time.Millisecond)
			resetConnection(conn)
		}, true},
		{"neither length nor chunks", func(r *http.Request, _ string, conn net.Conn) {
			writeUnframed(r, conn, eventText(1, 5))
			conn.Close()
		}, true},
		{"neither length nor chunks, reset between events", func(r *http.Request, _ string, conn net.Conn) {
			writeUnframed(r, conn, eventText(1, 3))
			time.Sleep(50 * time.Millisecond)
			resetConnection(conn)
		}, true},
		{"neither length nor chunks, closed within an event", func(r *http.Request, _ string, conn net.Conn) {
			writeUnframed(r, conn, eventText(1, 3)+"id: 4\nda")
			conn.Close()
		}, true},
		{"neither length nor chunks, closed before the first event", func(r *http.Request, _ string, conn net.Conn) {
			writeUnframed(r, conn, "")
			conn.Close()
		}, true},
		{"an event is missing", func(r *http.Request, _ string, conn net.Conn) {
			writeEvents(r, conn, 1, 2)
			writeChunk(conn, "id: 4\ndata: x\n\n")
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newStartedFixture(t, newFakeBackend(t, "e1", "engines", test.first), newFakeBackend(t, "e2", "engines", resumeAfterLastEvent(5)))
			assertAnswer(t, f.send("POST", "/stream/", "x"), http.StatusOK, eventText(1, 5))
		})
	}
	t.Run("no engine is left", func(t *testing.T) {
		f := newStartedFixture(t, newFakeBackend(t, "e1", "engines", func(r *http.Request, _ string, conn net.Conn) {
			writeEvents(r, conn, 1, 3)
			time.Sleep(50 * time.Millisecond)
			resetConnection(conn)
		}))
		if g := f.send("POST", "/stream/", "x"); g.err == nil {
			t.Errorf("an interrupted stream looks complete: %q", g.body)
		}
	})
}

// pauseMidStream returns a handler that pauses between two events of its stream.
func pauseMidStream(pause time.Duration) func(*http.Request, string, net.Conn) {
	return func(r *http.Request, _ string, conn net.Conn) {
		writeEvents(r, conn, 1, 2)
		time.Sleep(pause)
		writeChunk(conn, "id: 3\ndata: x\n\n")
		endChunkedBody(conn)
	}
}

// Guards against ending a stream whose engine pauses when no other engine can
// continue it. The simulated days mix --seed 612080264164 and trouble-3 --seed
// 437610412063 lost streams that way.
func TestSilentEngineIsReplacedOnlyByAvailableEngine(t *testing.T) {
	pause := minSilence + 500*time.Millisecond
	t.Run("no other engine", func(t *testing.T) {
		f := newStartedFixture(t, newFakeBackend(t, "e1", "engines", pauseMidStream(pause)))
		assertAnswer(t, f.send("POST", "/stream/", "x"), http.StatusOK, eventText(1, 3))
	})
	t.Run("another engine takes over", func(t *testing.T) {
		first := newFakeBackend(t, "e1", "engines", pauseMidStream(time.Minute))
		f := newStartedFixture(t, first, newFakeBackend(t, "e2", "engines", resumeAfterLastEvent(3)))
		assertAnswer(t, f.send("POST", "/stream/", "x"), http.StatusOK, eventText(1, 3))
		f.placer.mu.Lock()
		defer f.placer.mu.Unlock()
		if len(f.placer.outcomes) == 0 || f.placer.outcomes[0] != schedules.Stalled {
			t.Errorf("outcomes reported to the scheduler are %v, want %v first", f.placer.outcomes, schedules.Stalled)
		}
	})
	t.Run("the retry budget is used up", func(t *testing.T) {
		second := newFakeBackend(t, "e2", "engines", resumeAfterLastEvent(3))
		f := newStartedFixture(t, newFakeBackend(t, "e1", "engines", pauseMidStream(pause)), second)
		f.forwarder.SetDaemonCount(1000) // earns less than one retry in the time of the test
		for f.forwarder.spendRetry("engines") {
		}
		assertAnswer(t, f.send("POST", "/stream/", "x"), http.StatusOK, eventText(1, 3))
		assertCount(t, second, 0)
	})
}

// Guards against a refusal without the scheduler's Retry-After.
func TestRefusedStream(t *testing.T) {
	f := newStartedFixture(t)
	g := f.send("POST", "/stream/", "x")
	assertAnswer(t, g, http.StatusServiceUnavailable, "")
	if g.header.Get("Retry-After") != "1.000" {
		t.Errorf("Retry-After is %q", g.header.Get("Retry-After"))
	}
}
