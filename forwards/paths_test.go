package forwards

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/relays"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// lostPath is a Dialer of a daemon that has lost its path to all servers, as found out
// once a connection was lost.
type lostPath struct {
	directDialer
	noWay bool
}

func (lostPath) Check(context.Context, relays.Target) bool { return true }
func (p lostPath) HasNoWay(string) bool                    { return p.noWay }

// Guards against servers that the leader avoids for all daemons because one daemon has
// lost its path to them.
func TestServersAreNotBlamedForALostPath(t *testing.T) {
	reset := newFakeBackend(t, "e1", "engines", func(r *http.Request, _ string, conn net.Conn) {
		writeEvents(r, conn, 1, 2)
		time.Sleep(50 * time.Millisecond) // the events are read before
		resetConnection(conn)
	})
	sound := newFakeBackend(t, "e2", "engines", func(r *http.Request, _ string, conn net.Conn) {
		writeEvents(r, conn, 3, 3)
		endChunkedBody(conn)
	})
	f := newStartedFixture(t, reset, sound)
	f.forwarder.cfg.Dialer = lostPath{}
	assertAnswer(t, f.send("POST", "/stream/x", ""), http.StatusOK, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n")
	f.placer.mu.Lock()
	defer f.placer.mu.Unlock()
	if len(f.placer.outcomes) != 2 || f.placer.outcomes[0] != schedules.Cancelled || f.placer.outcomes[1] != schedules.Completed {
		t.Errorf("the outcomes reported are %v, want cancelled and completed", f.placer.outcomes)
	}
	if avoided := f.forwarder.cfg.Fleet.Avoided("engines"); len(avoided) != 0 {
		t.Errorf("this daemon avoids %v, want none", avoided)
	}
}

// Guards against requests that hold engines, or wait until their deadline, at a daemon
// that can reach no server in any way.
func TestRequestsWithoutAnyWayAreRefusedAtOnce(t *testing.T) {
	engine := newFakeBackend(t, "e1", "engines", respondWith(http.StatusOK, "x"))
	plain := newFakeBackend(t, "p1", "plain", respondWith(http.StatusOK, "x"))
	f := newStartedFixture(t, engine, plain)
	f.forwarder.cfg.Dialer = lostPath{noWay: true}
	for _, path := range []string{"/stream/x", "/safe/x", "/unsafe/x"} {
		began := time.Now()
		response := f.send("POST", path, "")
		assertAnswer(t, response, http.StatusServiceUnavailable, noWayReason+"\n")
		if took := time.Since(began); took > time.Second || response.header.Get("Retry-After") == "" {
			t.Errorf("refused after %v with Retry-After %q, want at once and a time", took, response.header.Get("Retry-After"))
		}
	}
	assertCount(t, engine, 0)
	assertCount(t, plain, 0)
}
