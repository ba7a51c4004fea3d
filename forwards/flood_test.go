package forwards

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// floodAfterEvents returns a handler that sends two events and then text again and again, as fast as
// it is read, until the connection is closed.
func floodAfterEvents(text string) func(*http.Request, string, net.Conn) {
	return func(r *http.Request, _ string, conn net.Conn) {
		writeEvents(r, conn, 1, 2)
		for {
			if _, err := fmt.Fprint(conn, text); err != nil {
				return
			}
		}
	}
}

// Guards against timers and deadlines that are never served while parts of a response can
// be read at any moment.
func TestFloodedStreamEnds(t *testing.T) {
	for name, text := range map[string]string{
		"comment":        chunk(": wait\n\n"),
		"repeated event": chunk("id: 2\ndata: x\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			f := newStartedFixture(t, newFakeBackend(t, "e1", "engines", floodAfterEvents(text)))
			begin := time.Now()
			f.send("POST", "/stream/", "x")
			timeout := newCatalog(t).Route("127.0.0.1", "/stream/").Timeout
			if took := time.Since(begin); took > timeout+500*time.Millisecond {
				t.Errorf("the stream ended after %v, want at most %v", took, timeout+500*time.Millisecond)
			}
		})
	}
}

// Guards against a stream that no other engine takes over while its own one repeats an
// event as fast as it is read.
func TestFloodedStreamIsTakenOver(t *testing.T) {
	f := newStartedFixture(t, newFakeBackend(t, "e1", "engines", floodAfterEvents(chunk("id: 2\ndata: x\n\n"))), newFakeBackend(t, "e2", "engines", resumeAfterLastEvent(4)))
	// On a busy machine the connection to e2 can take longer than connectTimeout.
	f.placer.engines = append(f.placer.engines, "e2", "e2")
	begin := time.Now()
	assertAnswer(t, f.send("POST", "/stream/", "x"), http.StatusOK, eventText(1, 4))
	if took := time.Since(begin); took > 2*minSilence+500*time.Millisecond {
		t.Errorf("the stream was taken over after %v, want at most %v", took, 2*minSilence+500*time.Millisecond)
	}
}
