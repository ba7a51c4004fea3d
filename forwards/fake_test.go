package forwards

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/costs"
	"gypsumshelf.example/gypsumshelf/crashes"
	"gypsumshelf.example/gypsumshelf/metrics"
	"gypsumshelf.example/gypsumshelf/relays"
	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// fakeProtocol implements Protocol with short header names.
type fakeProtocol struct{}

func (fakeProtocol) ParseRequest(r *http.Request) RequestMeta {
	last, err := strconv.Atoi(r.Header.Get("Last"))
	if err != nil {
		last = NoEvent
	}
	ms, _ := strconv.Atoi(r.Header.Get("Wait"))
	meta := RequestMeta{
		ID: gypsumshelf.RequestID(r.Header.Get("Id")), Key: r.Header.Get("Key"), PromptTokens: 1000, MaxAnswerTokens: 100,
		LastEvent: last, Deadline: time.Duration(ms) * time.Millisecond, Conditional: r.Header.Get("Condition") != "",
	}
	for _, part := range strings.Fields(r.Header.Get("Parts")) {
		meta.Parts = append(meta.Parts, crashes.Cause(part))
	}
	return meta
}

func (fakeProtocol) SetHeaders(h http.Header, c Call) {
	h.Set("Server", string(c.Server))
	h.Set("Workspace", c.Workspace)
	h.Set("Left", strconv.FormatInt(c.Remaining.Milliseconds(), 10))
	h.Del("Last")
	if c.LastEvent != NoEvent {
		h.Set("Last", strconv.Itoa(c.LastEvent))
	}
	if c.StripKey {
		h.Del("Key")
	}
}

func (fakeProtocol) ParseResponse(h http.Header, status int) ResponseMeta {
	meta := ResponseMeta{
		Request: gypsumshelf.RequestID(h.Get("Id")), FromBackendServer: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != "",
		WrongServer: status == http.StatusMisdirectedRequest, Blamed: gypsumshelf.ServerID(h.Get("Blamed")),
	}
	if limit := h.Get("Limit"); limit != "" {
		var err error
		meta.Limit, err = strconv.ParseFloat(limit, 64)
		if meta.HasLimit = err == nil; err != nil {
			meta.UnreadableLimit = limit
		}
	}
	return meta
}

func (fakeProtocol) EventID(event []byte) (int, bool) {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			n, err := strconv.Atoi(strings.TrimSpace(string(v)))
			return n, err == nil
		}
	}
	return 0, false
}

func (fakeProtocol) Reserve(context.Context, string, string, int, time.Duration) (bool, error) {
	return true, nil
}
func (fakeProtocol) Release(context.Context, string, string) error { return nil }
func (fakeProtocol) Report(context.Context, string) (schedules.Load, error) {
	return schedules.Load{Slowdown: 1}, nil
}

// fakeBackend is a backend server that passes each request and its connection to
// handler.
type fakeBackend struct {
	t       testing.TB
	record  rosters.Record
	handler func(r *http.Request, body string, conn net.Conn)
	// earlyHandler, if not nil, is called in place of handler before the body is read. The
	// connection is closed when it returns.
	earlyHandler func(r *http.Request, conn net.Conn)

	mu           sync.Mutex
	requests     []*http.Request
	disconnected chan struct{} // receives a value when the client closes a connection that handler left open
}

func newFakeBackend(t testing.TB, id, service string, handler func(r *http.Request, body string, conn net.Conn)) *fakeBackend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newFakeBackendAt(t, l, id, service, handler)
}

func newFakeBackendAt(t testing.TB, l net.Listener, id, service string, handler func(r *http.Request, body string, conn net.Conn)) *fakeBackend {
	t.Cleanup(func() { l.Close() })
	b := &fakeBackend{t: t, handler: handler, disconnected: make(chan struct{}, 16), record: rosters.Record{
		ID: gypsumshelf.ServerID(id), Born: 1, Sequence: 1, Service: service, Address: l.Addr().String(), DataCentre: "a", Slots: 4,
	}}
	go b.run(l)
	return b
}

func (b *fakeBackend) run(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go b.serve(conn)
	}
}

func (b *fakeBackend) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if b.earlyHandler != nil {
		b.recordRequest(r)
		b.earlyHandler(r, conn)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.recordRequest(r)
	b.handler(r, string(body), conn)
	if _, err := reader.ReadByte(); err != nil {
		b.disconnected <- struct{}{}
	}
}

func (b *fakeBackend) recordRequest(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, r)
}

func (b *fakeBackend) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.requests)
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

func responseHeader(r *http.Request, status int, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\nSeal: s\r\n%s\r\n", status, r.Header.Get("Id"), more)
}

// respondWith returns a handler that sends a complete response with a
// Content-Length.
func respondWith(status int, text string) func(*http.Request, string, net.Conn) {
	return func(r *http.Request, _ string, conn net.Conn) {
		fmt.Fprintf(conn, "%s%s", responseHeader(r, status, fmt.Sprintf("Content-Length: %d\r\n", len(text))), text)
	}
}

// writeEvents writes a response header and the events from to to, without the end
// of the chunked body.
func writeEvents(r *http.Request, conn net.Conn, from, to int) {
	fmt.Fprint(conn, responseHeader(r, http.StatusOK, "Transfer-Encoding: chunked\r\n"))
	for i := from; i <= to; i++ {
		writeChunk(conn, fmt.Sprintf("id: %d\ndata: x\n\n", i))
	}
}

func writeChunk(conn net.Conn, text string) { fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }

func endChunkedBody(conn net.Conn) { fmt.Fprint(conn, "0\r\n\r\n") }

// fakePlacer places each job on the next engine and refuses jobs when none is left.
type fakePlacer struct {
	mu       sync.Mutex
	engines  []gypsumshelf.ServerID
	outcomes []schedules.Outcome
}

func (p *fakePlacer) Place(_ context.Context, job schedules.Job) (schedules.Decision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.engines) == 0 {
		return schedules.Decision{Job: job.ID, Reason: "no engine is free", RetryAfter: time.Second}, nil
	}
	id := p.engines[0]
	p.engines = p.engines[1:]
	return schedules.Decision{Job: job.ID, Placement: &schedules.Placement{Server: id, First: time.Millisecond}}, nil
}

func (p *fakePlacer) Started(schedules.JobID) {}

func (p *fakePlacer) End(_ schedules.JobID, outcome schedules.Outcome, _ gypsumshelf.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = append(p.outcomes, outcome)
}

// fixture is a forwarder in front of fake backend servers.
type fixture struct {
	t         testing.TB
	forwarder *Forwarder
	server    *httptest.Server
	client    *http.Client
	metrics   *metrics.Recorder
	placer    *fakePlacer
	log       *bytes.Buffer
	relays    []*relays.Relay // of other daemons, if connections go through them
}

const (
	// testBodyBudget is the budget of a host with 256 MB.
	testBodyBudget = 32 << 20
	// testMemoryBound is the time within which engines' memory must be free after the
	// end of its request.
	testMemoryBound = 4 * time.Second
)

func newFixture(t testing.TB, backends ...*fakeBackend) *fixture {
	return newFixtureWith(t, fakeProtocol{}, backends...)
}

func newFixtureWith(t testing.TB, protocol Protocol, backends ...*fakeBackend) *fixture {
	f := newForwarderFixture(t, protocol, nil, backends...)
	f.server, f.client = httptest.NewServer(f.forwarder), http.DefaultClient
	f.closeAtEnd()
	return f
}

// newPipeFixture returns a fixture whose connections are those of a pipeNetwork.
func newPipeFixture(t *testing.T, protocol Protocol, n *pipeNetwork, backends ...*fakeBackend) *fixture {
	t.Cleanup(func() { time.Sleep(time.Minute) }) // until the handlers of the backend servers have returned
	f := newForwarderFixture(t, protocol, n, backends...)
	f.server = &httptest.Server{Listener: n.listen(), Config: &http.Server{Handler: f.forwarder}}
	f.server.Start()
	f.client = &http.Client{Transport: &http.Transport{DialContext: n.dialContext, DisableKeepAlives: true}}
	f.closeAtEnd()
	f.forwarder.SetCatalog(newCatalog(t))
	return f
}

func (f *fixture) closeAtEnd() {
	f.t.Cleanup(func() {
		f.server.Close()
		if f.t.Failed() {
			f.t.Logf("log of the forwarder:\n%s", f.log)
		}
	})
}

func newForwarderFixture(t testing.TB, protocol Protocol, dialer Dialer, backends ...*fakeBackend) *fixture {
	f := &fixture{t: t, placer: &fakePlacer{}, metrics: metrics.New(), log: &bytes.Buffer{}}
	fleet := NewFleet("a", time.Now)
	for _, b := range backends {
		fleet.Merge([]rosters.Record{b.record})
		if b.record.Service == "engines" {
			f.placer.engines = append(f.placer.engines, b.record.ID)
		}
	}
	log := logrus.New()
	log.SetOutput(f.log)
	log.SetFormatter(&logrus.JSONFormatter{})
	f.forwarder = New(Config{
		DataCentre: "a", Protocol: protocol, Dialer: dialer, Fleet: fleet, Placer: f.placer, Recorder: metrics.NewForwardMetrics(f.metrics),
		Log: logrus.NewEntry(log), Retries: RetryBudget{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
		BodyBudget: testBodyBudget, MemoryBound: testMemoryBound,
	})
	return f
}

func newCatalog(t testing.TB) *catalogs.Catalog { return newCatalogWith(t, 2) }

// newCatalogWith returns a catalog whose routes for requests that may be repeated allow
// a number of attempts.
func newCatalogWith(t testing.TB, attempts int) *catalogs.Catalog {
	route := func(prefix, service string, kind catalogs.RouteKind, attempts int) catalogs.Route {
		return catalogs.Route{
			Name: prefix, Host: "127.0.0.1", Prefix: prefix, Kind: kind, Timeout: 5 * time.Second, Target: 100 * time.Millisecond,
			GapTarget: 100 * time.Millisecond, MaxAttempts: attempts, Resumable: kind == catalogs.Stream,
			Split: []catalogs.WeightedService{{Service: service, Weight: 1}},
		}
	}
	c, err := catalogs.New(catalogs.Spec{
		Version: 1,
		Routes: []catalogs.Route{
			route("/safe/", "plain", catalogs.Safe, attempts), route("/unsafe/", "plain", catalogs.Unsafe, 1),
			route("/stream/", "engines", catalogs.Stream, attempts),
		},
		Services:   []catalogs.Service{{Name: "plain", HealthPath: "/health"}, {Name: "engines", HealthPath: "/health", Engine: &costs.Profile{Slots: 4, MemoryTokens: 1000, PrefillRate: 1000}}},
		Workspaces: []catalogs.Workspace{{Name: "w", Keys: []string{"k"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func newStartedFixture(t *testing.T, backends ...*fakeBackend) *fixture {
	f := newFixture(t, backends...)
	f.forwarder.SetCatalog(newCatalog(t))
	return f
}

// callerResponse is a response as received by a caller.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error // set when the response is incomplete
}

func (f *fixture) send(method, path, body string, header ...string) callerResponse {
	f.t.Helper()
	r, err := http.NewRequest(method, f.server.URL+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "k")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := f.client.Do(r)
	if err != nil {
		return callerResponse{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

func assertAnswer(t *testing.T, g callerResponse, status int, body string) {
	t.Helper()
	if g.err != nil || g.status != status || body != "" && g.body != body {
		t.Errorf("response is %d %q with error %v, want %d %q", g.status, g.body, g.err, status, body)
	}
}

func assertCount(t *testing.T, b *fakeBackend, n int) {
	t.Helper()
	if got := b.count(); got != n {
		t.Errorf("%s got %d requests, want %d", b.record.ID, got, n)
	}
}

// assertOutcomes checks the outcomes of all jobs submitted to the scheduler.
func (f *fixture) assertOutcomes(want ...schedules.Outcome) {
	f.t.Helper()
	f.placer.mu.Lock()
	defer f.placer.mu.Unlock()
	if !slices.Equal(f.placer.outcomes, want) {
		f.t.Errorf("outcomes reported to the scheduler are %v, want %v", f.placer.outcomes, want)
	}
}
