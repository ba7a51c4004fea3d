package forwards

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gypsumshelf.example/gypsumshelf/paths"
)

// fakePathRecorder adds up samples.
type fakePathRecorder struct {
	mu  sync.Mutex
	sum paths.Sample
}

func (r *fakePathRecorder) RecordPath(s paths.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sum = s.Add(r.sum)
}

// sendEvents returns a handler that sends events at times after the first one. Events
// that a lossy path delivers together have the same time.
func sendEvents(times ...time.Duration) func(*http.Request, string, net.Conn) {
	return func(r *http.Request, _ string, conn net.Conn) {
		writeEvents(r, conn, 1, 0)
		begin := time.Now()
		for i, at := range times {
			time.Sleep(at - time.Since(begin))
			writeChunk(conn, fmt.Sprintf("id: %d\ndata: x\n\n", i+1))
		}
		endChunkedBody(conn)
	}
}

// Guards against a path that loses packets and is not noticed, and against pauses of an
// engine, or streams of the own data centre, that count against a path.
func TestStreamsAreEvidenceAboutPaths(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name, dataCentre string
		times            []time.Duration
		want             paths.Sample
	}{
		{"a packet is lost", "b", []time.Duration{0, 50 * ms, 260 * ms, 260 * ms, 260 * ms, 300 * ms}, paths.Sample{From: "a", To: "b", Events: 6, Stalls: 1}},
		{"the engine pauses", "b", []time.Duration{0, 50 * ms, 260 * ms, 310 * ms, 360 * ms}, paths.Sample{From: "a", To: "b", Events: 5}},
		{"own data centre", "a", []time.Duration{0, 50 * ms, 260 * ms, 260 * ms}, paths.Sample{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := network{pipes: newPipeNetwork()}
				engine := n.newEngine(t, "e1", sendEvents(c.times...))
				engine.record.DataCentre = c.dataCentre
				f := n.newFixture(t, engine)
				recorder := &fakePathRecorder{}
				f.forwarder.cfg.Paths = recorder
				assertAnswer(t, f.send("POST", "/stream/x", ""), http.StatusOK, "")
				synctest.Wait()
				recorder.mu.Lock()
				defer recorder.mu.Unlock()
				if recorder.sum != c.want {
					t.Errorf("got evidence %+v, want %+v", recorder.sum, c.want)
				}
			})
		})
	}
}
