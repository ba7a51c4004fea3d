package forwards

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/crashes"
	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// crashRecorder collects what a forwarder reports about crashes.
type crashRecorder struct {
	mu        sync.Mutex
	reports   []crashes.Report
	completed [][]crashes.Cause
	abandoned []crashes.Report
}

func (c *crashRecorder) ReportCrash(r crashes.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports = append(c.reports, r)
}

func (c *crashRecorder) ReportCompleted(causes []crashes.Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completed = append(c.completed, causes)
}

func (c *crashRecorder) ReportAbandoned(r crashes.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = append(c.abandoned, r)
}

func (c *crashRecorder) count() (reports, completed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.reports), len(c.completed)
}

// losingServer loses the first connection. Then it ends, or answers with a status.
type losingServer struct {
	listener       net.Listener
	status         int           // 0 if it ends
	silentFor      time.Duration // after the loss
	bytesAfterLoss atomic.Int64
}

func newLosingServer(t *testing.T, status int) (*losingServer, rosters.Record) {
	return newSilentServer(t, status, 0)
}

func newSilentServer(t *testing.T, status int, silentFor time.Duration) (*losingServer, rosters.Record) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &losingServer{listener: l, status: status, silentFor: silentFor}
	go s.run()
	return s, rosters.Record{ID: "p1", Born: 7, Sequence: 1, Service: "plain", Address: l.Addr().String(), DataCentre: "a", Slots: 4}
}

func (s *losingServer) run() {
	var lostAt time.Time
	for first := true; ; first = false {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		// The request has arrived once its header has.
		n, err := conn.Read(make([]byte, 4096))
		if err != nil && err != io.EOF {
			return
		}
		if !first {
			s.bytesAfterLoss.Add(int64(n))
		}
		switch {
		case first:
			if s.status == 0 {
				s.listener.Close()
			}
			lostAt = time.Now()
			resetConnection(conn)
		case time.Since(lostAt) < s.silentFor:
			// The connection stays open without an answer.
		case s.status > 0:
			fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", s.status)
			conn.Close()
		}
	}
}

// Guards against backend servers that count as crashed although they live, and against
// crashes that are overlooked.
func TestLostConnectionIsACrashOnlyIfTheServerHasEnded(t *testing.T) {
	const silent = -1 // neither answers nor closes
	for _, c := range []struct {
		name     string
		status   int
		leaving  bool
		noHealth bool // the service has no health check
		crashed  bool
	}{
		{name: "refuses connections", status: 0, crashed: true},
		{name: "another start at its address", status: http.StatusMisdirectedRequest, crashed: true},
		{name: "is healthy", status: http.StatusOK},
		{name: "is full", status: http.StatusServiceUnavailable},
		{name: "does not answer", status: silent},
		{name: "announced its end", status: 0, leaving: true},
		{name: "refuses connections and has no health check", status: 0, noHealth: true, crashed: true},
		{name: "accepts connections and has no health check", status: http.StatusMisdirectedRequest, noHealth: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newStartedFixture(t)
			recorder := &crashRecorder{}
			f.forwarder.cfg.Crashes = recorder
			server, record := newLosingServer(t, c.status)
			f.forwarder.cfg.Fleet.Merge([]rosters.Record{record})
			if c.noHealth {
				f.forwarder.Catalog().Service("plain").HealthPath = ""
			}
			if c.leaving {
				// The announcement arrives while the request runs.
				f.forwarder.crashChecks.recordEnd(&proxyRequest{forwarder: f.forwarder}, &attempt{server: leavingEntry(f, record)}, time.Now(), schedules.Lost)
			} else {
				assertAnswer(t, f.send("POST", "/unsafe/x", "body"), http.StatusBadGateway, "")
			}
			time.Sleep(probeTimeout + 200*time.Millisecond)
			reports, _ := recorder.count()
			if n := server.bytesAfterLoss.Load(); c.noHealth && n > 0 {
				t.Errorf("a server without a health check got %d bytes, which it could run as a request", n)
			}
			if got := reports > 0; got != c.crashed {
				t.Fatalf("%d crashes reported, want any: %v", reports, c.crashed)
			}
			if !c.crashed {
				return
			}
			if r := recorder.reports[0]; r.Server != "p1" || r.Born != 7 || len(r.Runs) != 1 || !r.Runs[0].Causes[0].IsRequest() {
				t.Errorf("report is %+v", r)
			}
		})
	}
}

// assertReports checks the number of reported crashes after a time.
func (c *crashRecorder) assertReports(t *testing.T, after time.Duration, want int) {
	t.Helper()
	end := time.Now().Add(after)
	for reports := 0; time.Now().Before(end) && (want == 0 || reports < want); reports, _ = c.count() {
		time.Sleep(20 * time.Millisecond)
	}
	if reports, _ := c.count(); reports != want {
		t.Errorf("%d crashes are reported after %v, want %d", reports, after, want)
	}
}

// Guards against a crash that counts against nobody since the first probe of its backend
// server had no answer in time, or its address was taken again at once.
func TestCrashIsFoundAfterTheFirstProbe(t *testing.T) {
	const silence = probeTimeout + lossCollectTime + 100*time.Millisecond
	for _, c := range []struct {
		name      string
		status    int // after the silence
		silentFor time.Duration
		noHealth  bool // the service has no health check
		announced bool // a later start has announced itself at the address
		reports   int
	}{
		{name: "silent, then another start answers", status: http.StatusMisdirectedRequest, silentFor: silence, reports: 1},
		{name: "silent, then healthy", status: http.StatusOK, silentFor: silence},
		{name: "silent, and another start announces itself", status: http.StatusOK, silentFor: time.Minute, announced: true, reports: 1},
		{name: "no health check, and another start announces itself", status: http.StatusOK, noHealth: true, announced: true, reports: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newStartedFixture(t)
			recorder := &crashRecorder{}
			f.forwarder.cfg.Crashes = recorder
			_, record := newSilentServer(t, c.status, c.silentFor)
			f.forwarder.cfg.Fleet.Merge([]rosters.Record{record})
			if c.noHealth {
				f.forwarder.Catalog().Service("plain").HealthPath = ""
			}
			assertAnswer(t, f.send("POST", "/unsafe/x", "body"), http.StatusBadGateway, "")
			if c.announced {
				time.Sleep(probeTimeout + 2*lossCollectTime) // the first round is over
				record.ID, record.Born = "p2", record.Born+1
				f.forwarder.cfg.Fleet.Merge([]rosters.Record{record})
			}
			recorder.assertReports(t, 3*time.Second, c.reports)
		})
	}
}

// leavingEntry announces the end of a backend server and returns its earlier record.
func leavingEntry(f *fixture, record rosters.Record) rosters.Entry {
	entry, _ := f.forwarder.cfg.Fleet.Get(record.ID)
	record.Leaving, record.Sequence = true, record.Sequence+1
	f.forwarder.cfg.Fleet.Merge([]rosters.Record{record})
	return entry
}

// Guards against a quarantined request that reaches a backend server, and against
// refusals that do not say that it has not run.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	b := newFakeBackend(t, "p1", "plain", respondWith(http.StatusOK, "answer"))
	f := newStartedFixture(t, b)
	recorder := &crashRecorder{}
	f.forwarder.cfg.Crashes = recorder
	assertAnswer(t, f.send("POST", "/safe/x", "body"), http.StatusOK, "answer")
	if len(recorder.completed) != 1 {
		t.Fatalf("%d completed requests reported, want 1", len(recorder.completed))
	}
	q := []crashes.Quarantine{{Cause: recorder.completed[0][0], Until: time.Now().Add(time.Hour)}}
	for name, quarantine := range map[string]func([]crashes.Quarantine){"by all daemons": f.forwarder.SetQuarantines, "by this daemon": f.forwarder.AddLocalQuarantines} {
		t.Run(name, func(t *testing.T) {
			quarantine(q)
			response := f.send("POST", "/safe/x", "body", "Id", "r2")
			assertAnswer(t, response, http.StatusServiceUnavailable, crashes.QuarantineReason+"\n")
			if response.header.Get("Retry-After") == "" {
				t.Error("the refusal has no Retry-After")
			}
			assertAnswer(t, f.send("POST", "/safe/x", "another body"), http.StatusOK, "answer")
			if name == "by this daemon" {
				f.forwarder.RemoveLocalQuarantines([]crashes.Cause{"another", q[0].Cause})
				assertAnswer(t, f.send("POST", "/safe/x", "body", "Id", "r3"), http.StatusOK, "answer")
			}
			f.forwarder.SetQuarantines(nil)
		})
	}
}

// Guards against a crashing request that reaches backend servers in another session, and
// against refusals of requests that share its session, or its caller, path and body.
func TestCopiesInOtherSessionsAreRefused(t *testing.T) {
	b := newFakeBackend(t, "p1", "plain", respondWith(http.StatusOK, "answer"))
	f := newStartedFixture(t, b)
	recorder := &crashRecorder{}
	f.forwarder.cfg.Crashes = recorder
	assertAnswer(t, f.send("POST", "/safe/x", "body", "Parts", "aa s1"), http.StatusOK, "answer")
	i := slices.IndexFunc(recorder.completed[0], func(c crashes.Cause) bool { return strings.HasPrefix(string(c), "any-session:") })
	if i < 0 {
		t.Fatalf("the request has the causes %v", recorder.completed[0])
	}
	f.forwarder.SetQuarantines([]crashes.Quarantine{{Cause: recorder.completed[0][i], Until: time.Now().Add(time.Hour)}})
	for _, c := range []struct {
		name, path, body, parts string
		want                    int
	}{
		{"copy in its session", "/safe/x", "body", "aa s1", http.StatusServiceUnavailable},
		{"copy in another session", "/safe/x", "body", "aa s2", http.StatusServiceUnavailable},
		{"another prompt", "/safe/x", "body", "bb s1", http.StatusOK},
		{"another body in its session", "/safe/x", "other", "aa s1", http.StatusOK},
		{"another path in its session", "/safe/y", "body", "aa s1", http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertAnswer(t, f.send("POST", c.path, c.body, "Parts", c.parts), c.want, "")
		})
	}
}

// quarantiningPlacer refuses jobs for which no engine is left because of a quarantine.
type quarantiningPlacer struct{ *fakePlacer }

func (p quarantiningPlacer) Place(ctx context.Context, job schedules.Job) (schedules.Decision, error) {
	d, err := p.fakePlacer.Place(ctx, job)
	if d.Placement == nil {
		d.Reason = crashes.QuarantineReason
	}
	return d, err
}

// Guards against a 502 that says that a request has not run, which it may have.
func TestQuarantineAfterAnAttemptSaysNothingOfNotRun(t *testing.T) {
	assertMayHaveRun := func(t *testing.T, g callerResponse) {
		t.Helper()
		assertAnswer(t, g, http.StatusBadGateway, "")
		if strings.Contains(g.body, "not run") || !strings.Contains(g.body, crashes.QuarantineCause) {
			t.Errorf("the answer is %q", g.body)
		}
	}
	t.Run("found by this daemon", func(t *testing.T) {
		var f *fixture
		recorder := &crashRecorder{}
		f = newStartedFixture(t, newFakeBackend(t, "p1", "plain", func(r *http.Request, body string, conn net.Conn) {
			if _, completed := recorder.count(); completed == 0 {
				respondWith(http.StatusOK, "answer")(r, body, conn)
				return
			}
			f.forwarder.SetQuarantines([]crashes.Quarantine{{Cause: recorder.completed[0][0], Until: time.Now().Add(time.Hour)}})
			resetConnection(conn)
		}))
		f.forwarder.cfg.Crashes = recorder
		assertAnswer(t, f.send("POST", "/safe/x", "body"), http.StatusOK, "answer")
		assertMayHaveRun(t, f.send("POST", "/safe/x", "body", "Id", "r2"))
	})
	t.Run("found by the scheduler", func(t *testing.T) {
		f := newStartedFixture(t, newFakeBackend(t, "e1", "engines", func(_ *http.Request, _ string, conn net.Conn) { resetConnection(conn) }))
		f.forwarder.cfg.Placer = quarantiningPlacer{f.placer}
		assertMayHaveRun(t, f.send("POST", "/stream/", "x"))
		assertAnswer(t, f.send("POST", "/stream/", "x", "Id", "r2"), http.StatusServiceUnavailable, crashes.QuarantineReason+"; waited 0 ms among 0\n")
	})
}

// Guards against a request that ends all backend servers of a service before any other
// daemon knows of it, and against attempts that are withheld after lost connections to
// servers that live.
func TestRequestEndsAtMostTwoServers(t *testing.T) {
	for _, c := range []struct {
		name         string
		status       int // of the first two servers after the loss
		wantStatus   int
		wantAttempts int
	}{
		{name: "servers end", status: 0, wantStatus: http.StatusBadGateway},
		{name: "servers live", status: http.StatusOK, wantStatus: http.StatusOK, wantAttempts: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			third := newFakeBackend(t, "p3", "plain", respondWith(http.StatusOK, "answer"))
			f := newFixture(t)
			f.forwarder.SetCatalog(newCatalogWith(t, 3))
			f.forwarder.cfg.Crashes = &crashRecorder{}
			for _, id := range []gypsumshelf.ServerID{"p1", "p2"} {
				_, record := newLosingServer(t, c.status)
				record.ID = id
				f.forwarder.cfg.Fleet.Merge([]rosters.Record{record})
			}
			f.forwarder.cfg.Fleet.Merge([]rosters.Record{third.record})
			assertAnswer(t, f.send("POST", "/safe/x", "body"), c.wantStatus, "")
			assertCount(t, third, c.wantAttempts)
		})
	}
}
