package forwards

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/crashes"
	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// endingServer begins to run a request and goes on with it when its connection is closed.
// Then it ends, with all its connections.
type endingServer struct {
	*fakeBackend
	listener net.Listener
	begun    chan struct{} // closed when the request runs
}

// newEndingServer returns a server that ends a time after the begin of the request, never if
// it is 0. It first sends a number of events, if any.
func newEndingServer(t *testing.T, id, service string, endsAfter time.Duration, events int) *endingServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &endingServer{listener: l, begun: make(chan struct{})}
	s.fakeBackend = newFakeBackendAt(t, l, id, service, func(r *http.Request, body string, conn net.Conn) {
		if r.URL.Path == "/health" {
			respondWith(http.StatusOK, "")(r, body, conn)
			return
		}
		if events > 0 {
			writeEvents(r, conn, 1, events)
		}
		close(s.begun)
		if endsAfter > 0 {
			time.AfterFunc(endsAfter, s.end)
		}
	})
	return s
}

func (s *endingServer) end() { s.listener.Close() }

// sendAndLeave sends a request whose caller leaves after a time.
func (f *fixture) sendAndLeave(path, body string, after time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), after)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.server.URL+path, strings.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return
	}
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "k")
	if response, err := f.client.Do(r); err == nil {
		response.Body.Close()
	}
}

// Guards against a crashing request that is named by nobody, since its attempt was given up
// before its backend server ended: the server goes on with it.
func TestCrashUnderAbandonedRequestIsReported(t *testing.T) {
	const (
		patience  = 100 * time.Millisecond
		endsAfter = 400 * time.Millisecond
	)
	leave := func(path string) func(*fixture, *endingServer) {
		return func(f *fixture, _ *endingServer) { f.sendAndLeave(path, "body", patience) }
	}
	stop := func(f *fixture, s *endingServer) {
		go f.sendAndLeave("/unsafe/x", "body", 2*time.Second)
		<-s.begun
		f.drain(0)
		f.forwarder.EndRequests()
	}
	for _, c := range []struct {
		name     string
		service  string
		events   int // before the end
		other    bool
		relays   int
		playCall func(*fixture, *endingServer)
	}{
		{name: "caller of an unsafe request leaves", service: "plain", playCall: leave("/unsafe/x")},
		{name: "caller of a safe request leaves", service: "plain", playCall: leave("/safe/x")},
		{name: "caller of a stream leaves before the first event", service: "engines", playCall: leave("/stream/x")},
		{name: "caller leaves a running stream", service: "engines", events: 3, playCall: leave("/stream/x")},
		{name: "deadline", service: "plain", playCall: func(f *fixture, _ *endingServer) {
			assertAnswer(t, f.send("POST", "/unsafe/x", "body", "Wait", "100"), http.StatusGatewayTimeout, "")
		}},
		{name: "another server answers", service: "plain", other: true, playCall: func(f *fixture, _ *endingServer) {
			assertAnswer(t, f.send("POST", "/safe/x", "body"), http.StatusOK, "answer")
		}},
		{name: "another request meets the next start at the address", service: "plain", playCall: func(f *fixture, s *endingServer) {
			f.sendAndLeave("/unsafe/x", "body", patience)
			time.Sleep(endsAfter)
			f.forwarder.cfg.Fleet.MarkGone(entryOf(f, s.record))
		}},
		{name: "the daemon stops", service: "plain", playCall: stop},
		{name: "caller leaves, through another daemon", service: "plain", relays: 1, playCall: leave("/unsafe/x")},
		{name: "the other daemon is lost", service: "plain", relays: 2, playCall: func(f *fixture, s *endingServer) {
			go f.sendAndLeave("/unsafe/x", "body", 2*time.Second)
			<-s.begun
			for _, relay := range f.relays {
				if relay.Active() > 0 {
					relay.Close()
				}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newEndingServer(t, "s1", c.service, endsAfter, c.events)
			f := newStartedFixture(t, s.fakeBackend)
			if c.other {
				// The first attempt goes to the server that is idle.
				other := newFakeBackend(t, "s2", c.service, respondWith(http.StatusOK, "answer"))
				f.forwarder.cfg.Fleet.Merge([]rosters.Record{other.record})
				defer f.forwarder.cfg.Fleet.track(entryOf(f, other.record)).abandon()
			}
			if c.relays > 0 {
				f.relays = f.relayThroughAny(t, c.relays, s.fakeBackend)
			}
			recorder := &crashRecorder{}
			f.forwarder.cfg.Crashes = recorder
			c.playCall(f, s)
			recorder.assertReports(t, 3*time.Second, 1)
			recorder.assertNames(t, "s1", 1)
		})
	}
}

func entryOf(f *fixture, r rosters.Record) rosters.Entry {
	e, _ := f.forwarder.cfg.Fleet.Get(r.ID)
	return e
}

// assertNames checks the server of the first report and the number of its requests.
func (c *crashRecorder) assertNames(t *testing.T, server string, runs int) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.reports) == 0 {
		return
	}
	r := c.reports[0]
	if string(r.Server) != server || len(r.Runs) != runs {
		t.Fatalf("report is %+v, want %d requests at %s", r, runs, server)
	}
	for _, run := range r.Runs {
		if len(run.Causes) == 0 || run.Duration <= 0 {
			t.Errorf("the report has the run %+v", run)
		}
	}
}

// Guards against a sound request that is accused of the end of a backend server which has
// nothing to do with it: the server lived on after the request, or had announced its end.
func TestAbandonedRequestIsNotAccusedForLong(t *testing.T) {
	for _, c := range []struct {
		name     string
		after    time.Duration // from the end of the attempt to that of the server
		announce bool
		answers  bool // the server answers other requests meanwhile
	}{
		{name: "the server ends long after it", after: crashes.AbandonedTime + 2*maxProbePeriod},
		{name: "the server answers others and ends soon after its time", after: crashes.AbandonedTime + 200*time.Millisecond, answers: true},
		{name: "the server has announced its end", after: 300 * time.Millisecond, announce: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newEndingServer(t, "s1", "plain", 0, 0)
			handler := s.handler
			s.handler = func(r *http.Request, body string, conn net.Conn) {
				if body == "other" {
					respondWith(http.StatusOK, "answer")(r, body, conn)
					return
				}
				handler(r, body, conn)
			}
			f := newStartedFixture(t, s.fakeBackend)
			recorder := &crashRecorder{}
			f.forwarder.cfg.Crashes = recorder
			f.sendAndLeave("/unsafe/x", "body", 50*time.Millisecond)
			if c.announce {
				record := s.record
				record.Leaving, record.Sequence = true, record.Sequence+1
				f.forwarder.cfg.Fleet.Merge([]rosters.Record{record})
			}
			for end := time.Now().Add(c.after); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if c.answers {
					assertAnswer(t, f.send("POST", "/unsafe/x", "other", "Id", "r2"), http.StatusOK, "answer")
				}
			}
			s.end()
			recorder.assertReports(t, 2*maxProbePeriod, 0)
		})
	}
}

// Guards against memory that grows with the requests that are given up.
func TestWatchedRequestsAreBounded(t *testing.T) {
	s := newEndingServer(t, "s1", "plain", 0, 0)
	f := newStartedFixture(t, s.fakeBackend)
	recorder := &crashRecorder{}
	f.forwarder.cfg.Crashes = recorder
	service := f.forwarder.Catalog().Service("plain")
	large := strings.Repeat("a", 16<<10)
	for n := range 2 * maxWatchedBytes / len(large) {
		req := &proxyRequest{forwarder: f.forwarder, service: service, identity: &identity{causes: []crashes.Cause{crashes.Cause(fmt.Sprint(n, large))}}}
		f.forwarder.crashChecks.recordEnd(req, &attempt{server: entryOf(f, s.record), sentAt: time.Now(), verdict: gypsumshelf.MayHaveRun}, time.Now(), schedules.Cancelled)
	}
	checks := &f.forwarder.crashChecks
	bytes := func() int {
		checks.mu.Lock()
		defer checks.mu.Unlock()
		return checks.bytes
	}
	if n := bytes(); n > maxWatchedBytes || n < maxWatchedBytes/2 {
		t.Errorf("watched requests take %d bytes, want at most %d and more than half of it", n, maxWatchedBytes)
	}
	for end := time.Now().Add(crashes.AbandonedTime + 3*maxProbePeriod); bytes() > 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("watched requests still take %d bytes", bytes())
		}
	}
	if n := checks.active.Load(); n != 0 {
		t.Errorf("%d checks are left", n)
	}
}

// Guards against evidence that a planned stop of the daemon takes along.
func TestStopReportsWatchedRequests(t *testing.T) {
	s := newEndingServer(t, "s1", "plain", 0, 0)
	f := newStartedFixture(t, s.fakeBackend)
	recorder := &crashRecorder{}
	f.forwarder.cfg.Crashes = recorder
	f.sendAndLeave("/unsafe/x", "body", 50*time.Millisecond)
	for end := time.Now().Add(time.Second); f.forwarder.ActiveRequests() > 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	f.forwarder.ReportWatchedRequests()
	if n := len(recorder.abandoned); n != 1 || len(recorder.abandoned[0].Runs) != 1 || recorder.abandoned[0].Server != "s1" {
		t.Errorf("reported are %+v, want one request at s1", recorder.abandoned)
	}
	if reports, _ := recorder.count(); reports != 0 {
		t.Errorf("%d crashes are reported of a server that lives", reports)
	}
}
