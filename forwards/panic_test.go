package forwards

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/faults"
)

// panickyProtocol panics once at a response, or at an event.
type panickyProtocol struct {
	fakeProtocol
	atEvent bool
	done    *atomic.Bool
}

func (p panickyProtocol) ParseResponse(h http.Header, status int) ResponseMeta {
	if !p.atEvent && !p.done.Swap(true) {
		panic("unexpected response")
	}
	return p.fakeProtocol.ParseResponse(h, status)
}

func (p panickyProtocol) EventID(event []byte) (int, bool) {
	if p.atEvent && !p.done.Swap(true) {
		panic("unexpected event")
	}
	return p.fakeProtocol.EventID(event)
}

// assertNothingLeft checks that a server has no request of this daemon, and that the
// error was counted and logged.
func assertNothingLeft(t *testing.T, f *fixture, server gypsumshelf.ServerID, contained uint64) {
	t.Helper()
	f.server.Close() // waits until the request has ended
	entry, _ := f.forwarder.cfg.Fleet.Get(server)
	f.forwarder.cfg.Fleet.mu.Lock()
	own := f.forwarder.cfg.Fleet.healthOf(entry).ownRequests
	f.forwarder.cfg.Fleet.mu.Unlock()
	if own != 0 {
		t.Errorf("%d requests are counted at a server that has none", own)
	}
	if n := faults.Count() - contained; n != 1 {
		t.Errorf("%d contained errors are counted, want 1", n)
	}
	if log := f.log.String(); !strings.Contains(log, "an unexpected error was contained") || !strings.Contains(log, "request ended") {
		t.Error("the error or the end of its request is not logged")
	}
}

// Guards against load that is counted for ever, and a slot that stays assigned, after an
// unexpected error in one request, which net/http contains.
func TestUnexpectedErrorInARequest(t *testing.T) {
	t.Run("plain", func(t *testing.T) {
		b := newFakeBackend(t, "p1", "plain", respondWith(http.StatusOK, "done"))
		f := newFixtureWith(t, panickyProtocol{done: &atomic.Bool{}}, b)
		f.forwarder.SetCatalog(newCatalog(t))
		before := faults.Count()
		assertCutOff(t, f.send("POST", "/safe/x", "body"))
		assertNothingLeft(t, f, "p1", before)
	})
	t.Run("stream", func(t *testing.T) {
		b := newFakeBackend(t, "e1", "engines", func(r *http.Request, _ string, conn net.Conn) {
			writeEvents(r, conn, 1, 3)
			endChunkedBody(conn)
		})
		f := newFixtureWith(t, panickyProtocol{atEvent: true, done: &atomic.Bool{}}, b)
		f.forwarder.SetCatalog(newCatalog(t))
		before := faults.Count()
		assertCutOff(t, f.send("POST", "/stream/x", "body"))
		assertNothingLeft(t, f, "e1", before)
		f.placer.mu.Lock()
		defer f.placer.mu.Unlock()
		if len(f.placer.outcomes) != 1 {
			t.Errorf("the scheduler was told of %d ends, want 1", len(f.placer.outcomes))
		}
	})
}

// assertCutOff checks that the caller does not take a response for a complete one.
func assertCutOff(t *testing.T, r callerResponse) {
	t.Helper()
	if r.err == nil {
		t.Errorf("response is %d %q, want a closed connection", r.status, r.body)
	}
}

// Guards against one response whose header ends the process with all its requests.
func TestUnexpectedErrorWhileAResponseIsRead(t *testing.T) {
	stream := func(r *http.Request, _ string, conn net.Conn) {
		writeEvents(r, conn, 1, 3)
		endChunkedBody(conn)
	}
	first, second := newFakeBackend(t, "e1", "engines", stream), newFakeBackend(t, "e2", "engines", stream)
	f := newFixtureWith(t, panickyProtocol{done: &atomic.Bool{}}, first, second)
	f.forwarder.SetCatalog(newCatalog(t))
	before := faults.Count()
	assertAnswer(t, f.send("POST", "/stream/x", "body"), http.StatusOK, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n")
	assertNothingLeft(t, f, "e1", before)
	assertNothingLeft(t, f, "e2", before)
}
