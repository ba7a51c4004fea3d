package daemons

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/engines"
	"gypsumshelf.example/gypsumshelf/entries"
	"gypsumshelf.example/gypsumshelf/routes"
	"gypsumshelf.example/gypsumshelf/servers"
	"gypsumshelf.example/gypsumshelf/settings"
)

const fakeTokens = 6

// fakeEngine is an engine with faults chosen by the test, at token positions. A
// position of -1 disables the fault.
type fakeEngine struct {
	disconnectAt, silentAt, skipAt, foreignIDAt int
	ignoreResume, noPositions                   bool
	frozen                                      bool // answers no request or health probe, only cancellations
	padding                                     string
	calls, cancels                              atomic.Int32
	testEnded                                   chan struct{}
}

func healthyEngine() *fakeEngine {
	return &fakeEngine{disconnectAt: -1, silentAt: -1, skipAt: -1, foreignIDAt: -1}
}

func engineWith(change func(*fakeEngine)) func() *fakeEngine {
	return func() *fakeEngine {
		e := healthyEngine()
		change(e)
		return e
	}
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodDelete:
		e.cancels.Add(1)
		return
	case e.frozen:
		_, _ = io.Copy(io.Discard, r.Body)
		<-e.testEnded
		return
	case r.URL.Path == "/healthz":
		return
	}
	e.calls.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	from, _ := strconv.Atoi(r.Header.Get(engines.HeaderResume))
	if e.ignoreResume {
		from = 0
	}
	for i := from; i < fakeTokens; i++ {
		switch i {
		case e.disconnectAt:
			panic(http.ErrAbortHandler)
		case e.silentAt:
			<-e.testEnded
			return
		case e.skipAt:
			continue
		}
		e.send(w, r.Header.Get(engines.HeaderAttempt), i)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *fakeEngine) send(w http.ResponseWriter, id string, i int) {
	if i == e.foreignIDAt {
		id = "other.1"
	}
	chunk := map[string]any{"id": id, "position": i, "choices": []any{map[string]any{"text": fmt.Sprint(i) + e.padding}}}
	if e.noPositions {
		delete(chunk, "position")
	}
	if i == fakeTokens-1 {
		chunk["choices"] = []any{map[string]any{"text": fmt.Sprint(i), "finish_reason": "stop"}}
	}
	data, _ := json.Marshal(chunk)
	fmt.Fprintf(w, "data: %s\n\n", data)
	w.(http.Flusher).Flush()
}

// daemonConfig holds the settings that vary between tests of the request path.
type daemonConfig struct {
	finish   time.Duration
	progress time.Duration
	budget   int64
}

// startDaemon runs a daemon in front of backend servers, which are tried in order.
func startDaemon(t testing.TB, cfg daemonConfig, backends ...http.Handler) (string, *Daemon) {
	t.Helper()
	s := settings.Default()
	s.Deployment, s.Daemon, s.LogLevel = "test", "d-1", "error"
	s.DataFolder, s.Voters = filepath.Join(t.TempDir(), "data"), []string{"d-1"}
	s.Peers = []settings.Peer{{Daemon: "d-1", Address: "127.0.0.1:1"}}
	s.Routing.Policy = routes.RoundRobin // takes the backends in the order given
	s.Limits.ServerExpiry = settings.Duration(time.Hour)
	s.Limits.ProgressTimeout = settings.Duration(cfg.progress)
	s.Limits.DialTimeout = settings.Duration(300 * time.Millisecond)
	s.Limits.BodyBudgetBytes = cfg.budget
	s.Services = []settings.Service{{Name: "book", Idempotent: []string{"POST /search"}}}
	for _, l := range []*string{&s.Listen.Callers, &s.Listen.BackendServers, &s.Listen.Peers, &s.Listen.Operators, &s.Listen.Metrics} {
		*l = "127.0.0.1:0"
	}
	d, err := start(s, func(c *entries.Config) {
		c.Class = func(context.Context, string) (gypsumshelf.Class, bool) {
			return gypsumshelf.Class{Name: "c", Target: gypsumshelf.Target{FirstToken: time.Second, Finish: cfg.finish}}, true
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	for i, b := range backends {
		testEnded := make(chan struct{})
		if e, ok := b.(*fakeEngine); ok {
			e.testEnded = testEnded
		}
		server := httptest.NewServer(b)
		t.Cleanup(server.Close)
		t.Cleanup(func() { close(testEnded) })
		d.loop.Submit(servers.Announced{Forwarded: true, Announcement: gypsumshelf.Announcement{
			Server: gypsumshelf.ServerID(fmt.Sprintf("s-%d", i)), Incarnation: "i", Address: server.Listener.Addr().String(),
			Service: "book", Kind: gypsumshelf.KindPlain, Models: []string{"quill"}, State: gypsumshelf.ServerReady,
		}})
	}
	eventually(t, "daemon ready", func() bool { return d.ready(context.Background()) })
	callers := httptest.NewServer(d.handler)
	t.Cleanup(callers.Close)
	return callers.URL, d
}

func defaultDaemonConfig() daemonConfig {
	return daemonConfig{finish: 30 * time.Second, progress: 300 * time.Millisecond}
}

func sendCompletion(t *testing.T, url string, stream bool) (*http.Response, string) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"quill","prompt":"p","max_tokens":%d,"stream":%v}`, fakeTokens, stream)
	return sendRequest(t, http.MethodPost, url+"/v1/completions", body)
}

func sendRequest(t *testing.T, method, url, body string) (*http.Response, string) {
	t.Helper()
	r, _ := http.NewRequest(method, url, strings.NewReader(body))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp, string(data)
}

// streamText returns the text of a caller's stream and whether it has an end marker.
func streamText(body string) (text string, done bool) {
	for line := range strings.SplitSeq(body, "\n") {
		data, _ := strings.CutPrefix(line, "data: ")
		var c struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			text += c.Choices[0].Text
		}
		done = done || data == "[DONE]"
	}
	return text, done
}

// Guards against answers with lost, repeated or foreign tokens when a server fails
// in mid-stream, and against incomplete streams presented as complete.
func TestAnswersSurviveServerFailures(t *testing.T) {
	for _, tt := range []struct {
		name          string
		first, second func() *fakeEngine
		code          gypsumshelf.Code // empty for a complete answer
	}{
		{"dies in mid-stream", engineWith(func(e *fakeEngine) { e.disconnectAt = 3 }), healthyEngine, ""},
		{"dies before the first token", engineWith(func(e *fakeEngine) { e.disconnectAt = 0 }), healthyEngine, ""},
		{"goes silent in mid-stream", engineWith(func(e *fakeEngine) { e.silentAt = 3 }), healthyEngine, ""},
		{"is frozen", engineWith(func(e *fakeEngine) { e.frozen = true }), healthyEngine, ""},
		{"skips a token", engineWith(func(e *fakeEngine) { e.skipAt = 2 }), healthyEngine, ""},
		{"sends another request's chunk", engineWith(func(e *fakeEngine) { e.foreignIDAt = 2 }), healthyEngine, ""},
		{"successor ignores the resume position", engineWith(func(e *fakeEngine) { e.disconnectAt = 3 }), engineWith(func(e *fakeEngine) { e.ignoreResume = true }), ""},
		{"successor hides its positions", engineWith(func(e *fakeEngine) { e.disconnectAt = 3 }),
			engineWith(func(e *fakeEngine) { e.ignoreResume, e.noPositions = true, true }), gypsumshelf.CodeBackendFailed},
	} {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, stream %v", tt.name, stream), func(t *testing.T) {
				first := tt.first()
				url, _ := startDaemon(t, defaultDaemonConfig(), first, tt.second())
				resp, body := sendCompletion(t, url, stream)
				text, done := streamText(body)
				whole := text == "012345" && done == stream && resp.StatusCode == http.StatusOK
				failed := !done && strings.Contains(body, string(tt.code)) && (stream || resp.StatusCode == http.StatusBadGateway)
				if first.calls.Load() == 0 && !first.frozen {
					t.Error("the faulty server was not called")
				}
				if tt.code == "" && !whole || tt.code != "" && !failed {
					t.Errorf("status %d, answer %s", resp.StatusCode, body)
				}
			})
		}
	}
}

// Guards against requests that exceed the finish time of their class, and against
// engines that keep working for a caller that is gone or does not read.
func TestDeadlines(t *testing.T) {
	t.Run("every server is frozen", func(t *testing.T) {
		frozen := engineWith(func(e *fakeEngine) { e.frozen = true })
		cfg := defaultDaemonConfig()
		cfg.finish = 700 * time.Millisecond
		url, _ := startDaemon(t, cfg, frozen(), frozen(), frozen())
		resp, body := sendCompletion(t, url, true)
		if resp.StatusCode < 500 || resp.Header.Get(entries.HeaderVerdict) != "may-have-run" {
			t.Errorf("status %d, answer %s; want an error with verdict may-have-run", resp.StatusCode, body)
		}
	})
	t.Run("silent to the deadline", func(t *testing.T) {
		silent := engineWith(func(e *fakeEngine) { e.silentAt = 0 })
		cfg := daemonConfig{finish: 500 * time.Millisecond, progress: 10 * time.Second}
		url, _ := startDaemon(t, cfg, silent())
		if resp, body := sendCompletion(t, url, true); resp.StatusCode != http.StatusGatewayTimeout {
			t.Errorf("status %d, answer %s; want status 504", resp.StatusCode, body)
		}
	})
	for _, tt := range []struct {
		name  string
		reads bool // the caller reads, then closes its connection
		pad   int
	}{{"caller goes away", true, 0}, {"caller does not read", false, 8 << 20}} {
		t.Run(tt.name, func(t *testing.T) {
			engine := engineWith(func(e *fakeEngine) { e.silentAt, e.padding = 5, strings.Repeat("x", min(tt.pad, 900<<10)) })()
			cfg := defaultDaemonConfig()
			cfg.progress = time.Second
			url, d := startDaemon(t, cfg, engine)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions",
				strings.NewReader(fmt.Sprintf(`{"model":"quill","prompt":"p","max_tokens":%d,"stream":true}`, fakeTokens)))
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if tt.reads {
				cancel()
			}
			eventually(t, "cancellation on the engine", func() bool { return engine.cancels.Load() > 0 })
			eventually(t, "end of the request", func() bool { return d.handler.RequestsInProgress() == 0 })
			if n := engine.calls.Load(); n != 1 {
				t.Errorf("engine was called %d times, want 1", n)
			}
		})
	}
}

// eventually polls a condition. The long timeout only ends a test that has failed.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// fakeService is a plain service whose first calls are faulty: it drops the
// connection after reading them, refuses them without running them, or truncates
// the answer.
type fakeService struct {
	drop, refuse, truncate int32
	calls                  atomic.Int32
}

func (s *fakeService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if r.URL.Path == "/healthz" {
		return
	}
	n := s.calls.Add(1)
	switch {
	case n <= s.drop:
		panic(http.ErrAbortHandler)
	case n <= s.refuse:
		w.Header().Set(engines.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case n <= s.truncate:
		fmt.Fprint(w, "half")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Own", r.Header.Get("X-Own"))
	w.WriteHeader(http.StatusTeapot)
	fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
}

// Guards against a call of a plain service that is wrongly repeated, wrongly not
// repeated, or modified in transit.
func TestPlainServiceCalls(t *testing.T) {
	for _, tt := range []struct {
		name, method, path string
		service            *fakeService
		calls              int32
		answer             string // empty for an error
	}{
		{"passed through", "PUT", "/a%2Fb/c?d=e", &fakeService{}, 1, "PUT /a%2Fb/c?d=e body"},
		{"dropped POST", "POST", "/orders", &fakeService{drop: 1}, 1, ""},
		{"dropped DELETE", "DELETE", "/orders/1", &fakeService{drop: 1}, 1, ""},
		{"dropped GET", "GET", "/orders", &fakeService{drop: 1}, 2, "GET /orders body"},
		{"dropped POST listed as idempotent", "POST", "/search/x", &fakeService{drop: 1}, 2, "POST /search/x body"},
		{"dropped POST beside the listed prefix", "POST", "/searches", &fakeService{drop: 1}, 1, ""},
		{"dropped POST that leaves the listed prefix", "POST", "/search/%2e%2e/orders", &fakeService{drop: 1}, 1, ""},
		{"POST refused as not run", "POST", "/orders", &fakeService{refuse: 1}, 2, "POST /orders body"},
		{"GET cut off in its answer", "GET", "/orders", &fakeService{truncate: 1}, 1, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			url, _ := startDaemon(t, defaultDaemonConfig(), tt.service)
			r, _ := http.NewRequest(tt.method, url+"/services/book"+tt.path, strings.NewReader("body"))
			r.Header.Set("X-Own", "kept")
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if n := tt.service.calls.Load(); n != tt.calls {
				t.Errorf("service was called %d times, want %d", n, tt.calls)
			}
			if tt.answer != "" {
				if string(body) != tt.answer || resp.StatusCode != http.StatusTeapot || resp.Header.Get("X-Own") != "kept" {
					t.Errorf("status %d, answer %q, want %q", resp.StatusCode, body, tt.answer)
				}
				return
			}
			if err == nil && resp.Header.Get(entries.HeaderVerdict) != "may-have-run" {
				t.Errorf("status %d, verdict %q, answer %q; want verdict may-have-run", resp.StatusCode, resp.Header.Get(entries.HeaderVerdict), body)
			}
		})
	}
}

// Guards against memory that grows with the number of long prompts in progress,
// against short requests refused because of them, and against a budget that is
// not released.
func TestBodyBudget(t *testing.T) {
	slow := engineWith(func(e *fakeEngine) { e.silentAt = 2 })()
	cfg := daemonConfig{finish: 30 * time.Second, progress: 10 * time.Second, budget: 150 << 10}
	url, d := startDaemon(t, cfg, slow)
	long := fmt.Sprintf(`{"model":"quill","prompt":%q,"stream":true}`, strings.Repeat("x", 100<<10))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(long))
	first, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Body.Close()
	for _, body := range []io.Reader{strings.NewReader(long), io.MultiReader(strings.NewReader(long))} { // of known and unknown length
		resp, err := http.Post(url+"/v1/completions", "application/json", body)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusTooManyRequests || resp.Header.Get(entries.HeaderVerdict) != "not-run" {
			t.Errorf("second long prompt: status %d, verdict %q; want 429 and not-run", resp.StatusCode, resp.Header.Get(entries.HeaderVerdict))
		}
	}
	resp, _ := http.Post(url+"/v1/completions", "application/json", strings.NewReader(`{"model":"unknown","prompt":"short"}`))
	resp.Body.Close()
	if resp.StatusCode != http.StatusNotFound {
		t.Errorf("short prompt: status %d, want 404 from the reducer", resp.StatusCode)
	}
	cancel()
	eventually(t, "budget returned", func() bool { return d.handler.HeldBodyBytes() == 0 })
}

// BenchmarkFirstToken compares the time to the first token of a prompt of 1,000
// tokens through the daemon with that of a direct call.
func BenchmarkFirstToken(b *testing.B) {
	engine := healthyEngine()
	url, _ := startDaemon(b, daemonConfig{finish: 30 * time.Second, progress: 10 * time.Second}, engine)
	direct := httptest.NewServer(engine)
	b.Cleanup(direct.Close)
	body := fmt.Sprintf(`{"model":"quill","prompt":%q,"stream":true}`, strings.Repeat("abc ", 1000))
	for _, target := range []struct{ name, url string }{{"direct", direct.URL}, {"daemon", url}} {
		b.Run(target.name, func(b *testing.B) {
			var times []time.Duration
			for b.Loop() {
				start := time.Now()
				resp, err := http.Post(target.url+"/v1/completions", "application/json", strings.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}
				_, _ = resp.Body.Read(make([]byte, 64))
				times = append(times, time.Since(start))
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
		})
	}
}
