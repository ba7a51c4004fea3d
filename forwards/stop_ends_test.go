package forwards

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// drain begins a planned stop that breaks requests off after a time.
func (f *fixture) drain(breakOff time.Duration) {
	now := time.Now()
	f.forwarder.Drain(DrainPlan{AcceptUntil: now.Add(breakOff / 2), BreakOff: now.Add(breakOff)})
}

// predictingPlacer places the jobs on one engine each, with a predicted time to the first event.
// It stands for a scheduler that does not know of planned stops.
type predictingPlacer struct {
	*fakePlacer
	first map[gypsumshelf.ServerID]time.Duration
}

func (p *predictingPlacer) Place(ctx context.Context, job schedules.Job) (schedules.Decision, error) {
	d, err := p.fakePlacer.Place(ctx, job)
	if d.Placement != nil {
		d.Placement.First = p.first[d.Placement.Server]
	}
	return d, err
}

// Guards against a stream that is given up, since its engine pauses, for another engine that
// the stop of the daemon leaves no time for.
func TestPausingStreamIsKeptWhenNoOtherCanEndBeforeTheStop(t *testing.T) {
	pausing := func(from int) func(*http.Request, string, net.Conn) {
		return func(r *http.Request, _ string, conn net.Conn) {
			if from > 0 {
				writeEvents(r, conn, 1, from)
			}
			time.Sleep(2 * time.Second)
			if from == 0 {
				writeEvents(r, conn, 1, 1)
				from++
			}
			for i := from + 1; i <= 4; i++ {
				writeChunk(conn, fmt.Sprintf("id: %d\ndata: x\n\n", i))
			}
			endChunkedBody(conn)
		}
	}
	for _, before := range []int{0, 2} {
		t.Run(fmt.Sprintf("after %d events", before), func(t *testing.T) {
			first := newFakeBackend(t, "e1", "engines", pausing(before))
			second := newFakeBackend(t, "e2", "engines", resumeAfterLastEvent(4))
			f := newStartedFixture(t, first, second)
			f.forwarder.cfg.Placer = &predictingPlacer{fakePlacer: f.placer, first: map[gypsumshelf.ServerID]time.Duration{"e1": time.Millisecond, "e2": time.Minute}}
			f.drain(5 * time.Second)
			assertAnswer(t, f.send("POST", "/stream/", "x"), http.StatusOK, eventText(1, 4))
			assertCount(t, second, 0)
		})
	}
}

// undecidedPlacer never decides about a job.
type undecidedPlacer struct{ *fakePlacer }

func (p *undecidedPlacer) Place(ctx context.Context, _ schedules.Job) (schedules.Decision, error) {
	<-ctx.Done()
	return schedules.Decision{}, ctx.Err()
}

// Guards against requests whose time ends while the daemon stops, and that count as ended by
// the stop.
func TestEndByTheDeadlineDuringAStop(t *testing.T) {
	f := newStartedFixture(t)
	f.forwarder.cfg.Placer = &undecidedPlacer{f.placer}
	f.drain(time.Minute)
	const requests = 20
	for i := range requests {
		f.send("POST", "/stream/", "x", "Id", fmt.Sprint("r", i), "Wait", "30")
	}
	f.server.Close() // waits for the end of the requests
	for id, line := range f.logLines("request ended") {
		if line["ended-by"] != string(endedByDeadline) {
			t.Errorf("request %s was ended by %v, want the deadline", id, line["ended-by"])
		}
	}
	if handedBack, brokenOff := f.forwarder.StoppedRequests(); handedBack+brokenOff != 0 {
		t.Errorf("%d requests count as ended by the stop, want none", handedBack+brokenOff)
	}
}

// Guards against an answer that the stop cuts while its caller reads it, and whose log line
// says that the caller has left.
func TestAnswerCutByAStop(t *testing.T) {
	f := newStartedFixture(t, newFakeBackend(t, "p1", "plain", respondWith(http.StatusOK, strings.Repeat("x", 16<<20))))
	conn := f.dialCaller()
	// The target of the route does not limit the wait for the answer to an unsafe request.
	fmt.Fprint(conn, "POST /unsafe/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\nContent-Length: 1\r\n\r\nx")
	if _, err := bufio.NewReader(conn).Peek(1); err != nil {
		t.Fatal(err)
	}
	f.forwarder.EndRequests() // the rest of the answer waits for the caller
	time.Sleep(100 * time.Millisecond)
	f.server.CloseClientConnections()
	f.server.Close() // waits for the end of the request
	line := f.logLines("request ended")["r1"]
	if line["outcome"] != outcomeBrokenOff || line["ended-by"] != string(endedByStop) || line["phase"] != string(phaseWriting) {
		t.Errorf("outcome %v, ended by %v while %v, want %s by the stop while %s", line["outcome"], line["ended-by"], line["phase"], outcomeBrokenOff, phaseWriting)
	}
}

// Guards against requests that wait for room on a server when the daemon ends them, and
// whose callers read that no server is left.
func TestWaitForRoomEndedByAStop(t *testing.T) {
	f := newStartedFixture(t, newFakeBackend(t, "p1", "plain", respondWithLimit(http.StatusOK, "1", "")))
	f.forwarder.cfg.Limits = &fakeLimits{admission: schedules.Admission{Server: "p1", Wait: 2 * time.Second}}
	f.send("POST", "/safe/", "x", "Id", "names-the-limit")
	time.AfterFunc(300*time.Millisecond, f.forwarder.EndRequests)
	answer := f.send("POST", "/safe/", "x")
	f.server.Close() // waits for the end of the request
	if answer.status != http.StatusServiceUnavailable || !strings.Contains(answer.body, errStopped.Error()) {
		t.Errorf("response is %d %q, want a refusal that names the stop", answer.status, answer.body)
	}
	if line := f.logLines("request ended")["r1"]; line["ended-by"] != string(endedByStop) || line["cause"] == "" {
		t.Errorf("ended by %v with cause %q, want the stop", line["ended-by"], line["cause"])
	}
}

// Guards against requests that are accepted near the end of a drain, since they are sure to
// end before it, and are handed back all the same.
func TestRequestsThatEndBeforeTheStopAreServed(t *testing.T) {
	for _, path := range []string{"/stream/", "/safe/"} {
		t.Run(path, func(t *testing.T) {
			f := newStartedFixture(t, newFakeBackend(t, "e1", "engines", resumeAfterLastEvent(2)), newFakeBackend(t, "p1", "plain", respondWith(http.StatusOK, "ok")))
			now := time.Now()
			f.forwarder.Drain(DrainPlan{AcceptUntil: now, BreakOff: now.Add(handBackReserve - 100*time.Millisecond)})
			assertAnswer(t, f.send("POST", path, "x", "Wait", "300"), http.StatusOK, "")
		})
	}
}

// Guards against a stream that is cut by the stop although its request was complete only
// after the time in which requests are accepted.
func TestBodyThatEndsLateDuringAStop(t *testing.T) {
	f := newStartedFixture(t, newFakeBackend(t, "e1", "engines", endlessEvents))
	now := time.Now()
	f.forwarder.Drain(DrainPlan{AcceptUntil: now.Add(200 * time.Millisecond), BreakOff: now.Add(1500 * time.Millisecond)})
	time.AfterFunc(1500*time.Millisecond, f.forwarder.EndRequests)
	conn := f.dialCaller()
	fmt.Fprint(conn, "POST /stream/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\nWait: 4000\r\nContent-Length: 2\r\n\r\nx")
	time.Sleep(700 * time.Millisecond)
	fmt.Fprint(conn, "x")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got status %d with %d bytes and error %v, want a refusal", response.StatusCode, len(body), err)
	}
}

func endlessEvents(r *http.Request, _ string, conn net.Conn) {
	writeEvents(r, conn, 1, 1)
	for i := 2; i < 100; i++ {
		time.Sleep(50 * time.Millisecond)
		writeChunk(conn, fmt.Sprintf("id: %d\ndata: x\n\n", i))
	}
}

// secondLaterPlacer places the first job at once and the second one after a time. It hands
// all others back, as a scheduler does that predicts no end before the stop.
type secondLaterPlacer struct {
	*fakePlacer
	after time.Duration
	jobs  atomic.Int64
}

func (p *secondLaterPlacer) Place(ctx context.Context, job schedules.Job) (schedules.Decision, error) {
	switch p.jobs.Add(1) {
	case 1:
	case 2:
		time.Sleep(p.after)
	default:
		return schedules.Decision{Job: job.ID, Reason: "the daemon stops before the request could end", HandedBack: true}, nil
	}
	return p.fakePlacer.Place(ctx, job)
}

// Guards against a stream that is cut well before the stop of its daemon, although its engine
// only pauses: it is given up for another engine, which fails, and no third one is found.
func TestPausingStreamIsKeptWhenAnotherEngineFails(t *testing.T) {
	reject := func(_ *http.Request, _ string, conn net.Conn) {
		fmt.Fprint(conn, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	}
	for _, c := range []struct {
		name          string
		events        int // before the pause
		other         func(*http.Request, string, net.Conn)
		beginsAfter   time.Duration // the stop
		secondDecided time.Duration // after the silence was noticed
	}{
		{name: "no event, the other refuses", other: reject},
		{name: "two events, the other refuses", events: 2, other: reject},
		{name: "two events, the other resets", events: 2, other: func(_ *http.Request, _ string, conn net.Conn) { resetConnection(conn) }},
		{name: "the stop begins while another engine is sought", events: 2, other: reject, beginsAfter: minSilence + 300*time.Millisecond, secondDecided: 600 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := newFakeBackend(t, "e1", "engines", func(r *http.Request, _ string, conn net.Conn) {
				if c.events > 0 {
					writeEvents(r, conn, 1, c.events)
				}
				time.Sleep(2500 * time.Millisecond)
				if c.events == 0 {
					fmt.Fprint(conn, responseHeader(r, http.StatusOK, "Transfer-Encoding: chunked\r\n"))
				}
				for i := c.events + 1; i <= 4; i++ {
					writeChunk(conn, fmt.Sprintf("id: %d\ndata: x\n\n", i))
				}
				endChunkedBody(conn)
			})
			other := newFakeBackend(t, "e2", "engines", c.other)
			f := newStartedFixture(t, first, other)
			f.forwarder.cfg.Placer = &secondLaterPlacer{fakePlacer: f.placer, after: c.secondDecided}
			time.AfterFunc(c.beginsAfter, func() { f.drainFor(5 * time.Second) })
			assertAnswer(t, f.send("POST", "/stream/", "x"), http.StatusOK, eventText(1, 4))
			assertCount(t, other, 0)
		})
	}
}

// Guards against a stream that waits for the whole drain for an engine that is dead, while
// another one could go on with it.
func TestStreamOfADeadEngineIsTakenOverDuringAStop(t *testing.T) {
	hang := func(r *http.Request, _ string, conn net.Conn) { writeEvents(r, conn, 1, 2) }
	p := newMemoryProtocol()
	p.report = func() error { return errNoReport }
	f := newFixtureWith(t, p, newFakeBackend(t, "e1", "engines", hang), newFakeBackend(t, "e2", "engines", resumeAfterLastEvent(4)))
	f.forwarder.SetCatalog(newCatalog(t))
	f.forwarder.cfg.MemoryBound = 2 * time.Second
	f.drainFor(10 * time.Second)
	assertAnswer(t, f.send("POST", "/stream/", "x"), http.StatusOK, eventText(1, 4))
}

// Guards against requests that wait for a plain server until the daemon breaks off, although
// it knew from the begin of the stop that they would not be sent before, and against those
// that are handed back although they can be served.
func TestStopHandsBackWhatWaitsForAPlainServer(t *testing.T) {
	const (
		breakOff = handBackReserve + 1300*time.Millisecond
		atOnce   = 500 * time.Millisecond // allows for a busy machine
	)
	for _, c := range []struct {
		name         string
		wait         time.Duration // until the server has room
		breakOff     time.Duration // after the begin of the stop
		noServer     bool
		wantStatus   int
		wantAnswered time.Duration // after the begin of the stop, at most
	}{
		{name: "room after the stop", wait: 3 * time.Second, breakOff: breakOff, wantStatus: http.StatusServiceUnavailable, wantAnswered: atOnce},
		{name: "room before the stop, without time for an answer", wait: breakOff, breakOff: breakOff, wantStatus: http.StatusServiceUnavailable, wantAnswered: atOnce},
		{name: "room in time", wait: time.Second, breakOff: breakOff, wantStatus: http.StatusOK, wantAnswered: breakOff},
		{name: "no server is known", noServer: true, breakOff: handBackReserve, wantStatus: http.StatusServiceUnavailable, wantAnswered: announcementWait / 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			var servers []*fakeBackend
			if !c.noServer {
				servers = append(servers, newFakeBackend(t, "p1", "plain", respondWithLimit(http.StatusOK, "1", "")))
			}
			f := newStartedFixture(t, servers...)
			f.forwarder.cfg.Limits = &fakeLimits{admission: schedules.Admission{Server: "p1", Wait: c.wait}}
			if !c.noServer {
				f.send("POST", "/safe/", "x", "Id", "names-the-limit")
			}
			begun := make(chan time.Time, 1)
			time.AfterFunc(200*time.Millisecond, func() {
				begun <- time.Now()
				f.drainFor(c.breakOff)
				time.AfterFunc(c.breakOff, f.forwarder.EndRequests)
			})
			answer := f.send("POST", "/safe/", "x")
			assertAnswer(t, answer, c.wantStatus, "")
			if took := time.Since(<-begun); took > c.wantAnswered {
				t.Errorf("answered %v after the begin of the stop, want at most %v", took, c.wantAnswered)
			}
			if c.wantStatus == http.StatusOK {
				return
			}
			if retry := answer.header.Get("Retry-After"); retry != "0.050" {
				t.Errorf("Retry-After is %q, want the time of a new connection", retry)
			}
			if !c.noServer {
				assertCount(t, servers[0], 1)
			}
			f.assertEndedByStop("r1", outcomeRefused, phaseWaiting)
		})
	}
}

// Guards against causes that name the stop twice.
func TestCauseOfAnAttemptEndedByAStop(t *testing.T) {
	for path, service := range map[string]string{"/stream/": "engines", "/unsafe/": "plain"} {
		t.Run(service, func(t *testing.T) {
			f := newStartedFixture(t, newFakeBackend(t, "s1", service, func(*http.Request, string, net.Conn) {}))
			time.AfterFunc(300*time.Millisecond, f.forwarder.EndRequests)
			assertAnswer(t, f.send("POST", path, "x"), http.StatusBadGateway, "")
			f.server.Close() // waits for the end of the request
			if cause := fmt.Sprint(f.logLines("request ended")["r1"]["cause"]); strings.Count(cause, errStopped.Error()) != 1 {
				t.Errorf("the cause is %q, want %q once", cause, errStopped.Error())
			}
		})
	}
}

// Guards against requests that a daemon with a short grace period refuses while it still
// accepts requests.
func TestShortGracePeriodLeavesTimeToServe(t *testing.T) {
	const acceptUntil, breakOff = 500 * time.Millisecond, 875 * time.Millisecond // for a grace period of 1 s
	for _, path := range []string{"/stream/", "/safe/"} {
		t.Run(path, func(t *testing.T) {
			f := newStartedFixture(t, newFakeBackend(t, "e1", "engines", resumeAfterLastEvent(2)), newFakeBackend(t, "p1", "plain", respondWith(http.StatusOK, "ok")))
			now := time.Now()
			f.forwarder.Drain(DrainPlan{AcceptUntil: now.Add(acceptUntil), BreakOff: now.Add(breakOff)})
			time.Sleep(breakOff - handBackReserve)
			assertAnswer(t, f.send("POST", path, "x"), http.StatusOK, "")
		})
	}
}
