package forwards

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// waitingPlacer places the first jobs as inner does, and lets all others wait for ever.
type waitingPlacer struct {
	*fakePlacer
	placed chan int // holds the number of jobs still to be placed
}

func newWaitingPlacer(inner *fakePlacer, n int) *waitingPlacer {
	p := &waitingPlacer{fakePlacer: inner, placed: make(chan int, 1)}
	p.placed <- n
	return p
}

func (p *waitingPlacer) Place(ctx context.Context, job schedules.Job) (schedules.Decision, error) {
	n := <-p.placed
	p.placed <- n - 1
	if n > 0 {
		return p.fakePlacer.Place(ctx, job)
	}
	<-ctx.Done()
	return schedules.Decision{}, ctx.Err()
}

// slowPlacer predicts a late first event. Memory is to be reserved at the helpers.
type slowPlacer struct {
	*fakePlacer
	helpers []gypsumshelf.ServerID
}

func (p slowPlacer) Place(context.Context, schedules.Job) (schedules.Decision, error) {
	placement := &schedules.Placement{Server: "s1", Helpers: p.helpers, First: time.Minute}
	for _, id := range p.helpers {
		placement.Holds = append(placement.Holds, schedules.Hold{Server: id, Tokens: 1000})
	}
	return schedules.Decision{Placement: placement}, nil
}

// drainFor begins a stop that breaks off requests after a time.
func (f *fixture) drainFor(d time.Duration) {
	end := time.Now().Add(d)
	f.forwarder.Drain(DrainPlan{AcceptUntil: end, BreakOff: end})
}

func (f *fixture) assertEndedByStop(id string, outcome string, during phase) {
	f.t.Helper()
	f.server.Close() // waits for the end of the request
	line := f.logLines("request ended")[id]
	if line["outcome"] != outcome || line["ended-by"] != string(endedByStop) || line["phase"] != string(during) {
		f.t.Errorf("outcome %v, ended by %v while %v, want %s by the stop while %s", line["outcome"], line["ended-by"], line["phase"], outcome, during)
	}
}

// Guards against requests that a stop finds waiting, and that get no answer or one that
// comes too late to be sent again, also when the scheduler does not answer.
func TestStopHandsBackWhatHasNotRun(t *testing.T) {
	const drain = handBackReserve + 400*time.Millisecond
	assertHandedBack := func(t *testing.T, f *fixture, b *fakeBackend, during phase) {
		t.Helper()
		begin := time.Now()
		g := f.send("POST", "/stream/", "x")
		assertAnswer(t, g, http.StatusServiceUnavailable, "")
		if g.header.Get("Retry-After") != "0.050" {
			t.Errorf("Retry-After is %q, want the time of a new connection", g.header.Get("Retry-After"))
		}
		if took := time.Since(begin); took > drain {
			t.Errorf("the request was handed back after %v, want before the end of the drain after %v", took, drain)
		}
		assertCount(t, b, 0)
		f.assertEndedByStop("r1", outcomeRefused, during)
	}
	t.Run("waits when the stop begins", func(t *testing.T) {
		b := newFakeBackend(t, "s1", "engines", func(*http.Request, string, net.Conn) {})
		f := newStartedFixture(t, b)
		f.forwarder.cfg.Placer = newWaitingPlacer(f.placer, 0)
		time.AfterFunc(200*time.Millisecond, func() { f.drainFor(drain) })
		assertHandedBack(t, f, b, phaseWaiting)
	})
	t.Run("arrives during the stop", func(t *testing.T) {
		b := newFakeBackend(t, "s1", "engines", func(*http.Request, string, net.Conn) {})
		f := newStartedFixture(t, b)
		f.forwarder.cfg.Placer = newWaitingPlacer(f.placer, 0)
		f.drainFor(drain)
		assertHandedBack(t, f, b, phaseWaiting)
	})
	t.Run("is placed where its first event comes too late", func(t *testing.T) {
		b := newFakeBackend(t, "s1", "engines", func(*http.Request, string, net.Conn) {})
		f := newStartedFixture(t, b)
		f.forwarder.cfg.Placer = slowPlacer{fakePlacer: f.placer}
		f.drainFor(drain)
		assertHandedBack(t, f, b, phasePlaced)
		f.assertOutcomes(schedules.Cancelled)
	})
	t.Run("has memory reserved where its first event comes too late", func(t *testing.T) {
		b := newFakeBackend(t, "s1", "engines", func(*http.Request, string, net.Conn) {})
		f := newStartedFixture(t, b, newFakeBackend(t, "s2", "engines", func(*http.Request, string, net.Conn) {}))
		f.forwarder.cfg.Placer = slowPlacer{fakePlacer: f.placer, helpers: []gypsumshelf.ServerID{"s2"}}
		f.drainFor(drain)
		assertHandedBack(t, f, b, phaseReserving)
		f.assertOutcomes(schedules.Cancelled)
	})
	t.Run("has no time for another attempt", func(t *testing.T) {
		var f *fixture
		b := newFakeBackend(t, "s1", "engines", func(_ *http.Request, _ string, conn net.Conn) {
			f.drainFor(minAttemptTime)
			fmt.Fprint(conn, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		})
		f = newStartedFixture(t, b)
		f.placer.engines = append(f.placer.engines, f.placer.engines...)
		assertAnswer(t, f.send("POST", "/stream/", "x"), http.StatusServiceUnavailable, "")
		assertCount(t, b, 1)
	})
}

// Guards against a stream that waits for another engine until its daemon has stopped, and
// whose caller could have resumed it elsewhere.
func TestStopBreaksOffStreamsThatWait(t *testing.T) {
	b := newFakeBackend(t, "s1", "engines", func(r *http.Request, _ string, conn net.Conn) {
		writeEvents(r, conn, 1, 3)
		resetConnection(conn)
	})
	f := newStartedFixture(t, b)
	f.forwarder.cfg.Placer = newWaitingPlacer(f.placer, 1)
	const drain = handBackReserve + 300*time.Millisecond
	time.AfterFunc(200*time.Millisecond, func() { f.drainFor(drain) })
	begin := time.Now()
	if g := f.send("POST", "/stream/", "x"); g.err == nil {
		t.Errorf("the answer %q looks complete", g.body)
	}
	if took := time.Since(begin); took > drain {
		t.Errorf("the stream was broken off after %v, want before the end of the drain", took)
	}
	f.assertEndedByStop("r1", outcomeBrokenOff, phaseWaiting)
}

// Guards against a body that still arrives when its daemon closes the connection, which
// loses the answer.
func TestStopAnswersWhileABodyArrives(t *testing.T) {
	b := newFakeBackend(t, "p1", "plain", respondWith(http.StatusOK, "ok"))
	f := newStartedFixture(t, b)
	conn := f.dialCaller()
	fmt.Fprint(conn, "POST /unsafe/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\nWait: 5000\r\nContent-Length: 1000\r\n\r\nsome")
	const drain = handBackReserve + 300*time.Millisecond
	time.AfterFunc(100*time.Millisecond, func() { f.drainFor(drain) })
	begin := time.Now()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || !response.Close {
		t.Fatalf("got %v with error %v, want status 503 that closes the connection", response, err)
	}
	if took := time.Since(begin); took > drain {
		t.Errorf("the answer came after %v, want before the end of the drain", took)
	}
	conn.Close()
	assertCount(t, b, 0)
	f.assertEndedByStop("r1", outcomeRefused, phaseBody)
}

// Guards against a read limit of the body that outlives it: net/http would take the caller
// for gone when it passes.
func TestStopLeavesRequestsWithABodyAlone(t *testing.T) {
	b := newFakeBackend(t, "p1", "plain", func(r *http.Request, body string, conn net.Conn) {
		time.Sleep(600 * time.Millisecond)
		respondWith(http.StatusOK, "fine")(r, body, conn)
	})
	f := newStartedFixture(t, b)
	time.AfterFunc(200*time.Millisecond, func() { f.drainFor(handBackReserve + 100*time.Millisecond) })
	assertAnswer(t, f.send("POST", "/unsafe/", "x"), http.StatusOK, "fine")
}

// Guards against an empty response with status 200 to a caller that has closed its side of
// the connection after its request, and reads on.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	for path, service := range map[string]string{"/unsafe/": "plain", "/stream/": "engines"} {
		t.Run(service, func(t *testing.T) {
			f := newStartedFixture(t, newFakeBackend(t, "s1", service, func(*http.Request, string, net.Conn) {}))
			conn := f.dialCaller()
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\nContent-Length: 2\r\n\r\n{}", path)
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				t.Errorf("got status %d, want no answer", response.StatusCode)
			}
			f.server.Close()
			if line := f.logLines("request ended")["r1"]; line["outcome"] != outcomeCallerGone {
				t.Errorf("the request ended as %v, want %s", line["outcome"], outcomeCallerGone)
			}
		})
	}
}
