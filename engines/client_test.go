package engines

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
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/streams"
)

// droppingServer answers the first request that it receives on a kept-alive
// connection, and drops the connection after reading any later request.
type droppingServer struct {
	listener    net.Listener
	mu          sync.Mutex
	requests    map[string]int // by X-Request-Id
	hasAnswered bool
}

func newDroppingServer(t *testing.T) *droppingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &droppingServer{listener: l, requests: map[string]int{}}
	t.Cleanup(func() { l.Close() })
	go d.run()
	return d
}

func (d *droppingServer) run() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serve(conn)
	}
}

func (d *droppingServer) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if d.recordRequest(req.Header.Get(HeaderAttempt)) {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (d *droppingServer) requestCount(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requests[id]
}

func (d *droppingServer) recordRequest(id string) (drop bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id == "" {
		return false // a probe
	}
	d.requests[id]++
	drop = d.hasAnswered
	d.hasAnswered = true
	return drop
}

type discardSink struct{ status int }

func (*discardSink) Sent() {}

func (d *discardSink) Begin(status int, _ http.Header) error { d.status = status; return nil }

func (*discardSink) Body([]byte) error { return nil }

func (*discardSink) Chunk(streams.Chunk) error { return nil }

func newTestClient(t testing.TB, cfg ClientConfig) *Client {
	c := NewClient(cfg)
	t.Cleanup(c.Close)
	return c
}

func keyedCall(id string) ServiceCall {
	return ServiceCall{
		Attempt: gypsumshelf.AttemptID(id), Method: http.MethodPost, URI: "/charge", Body: []byte("10 euros"),
		Header: http.Header{"Idempotency-Key": {"k"}},
	}
}

// Guards against net/http resending work that must not run twice: when a kept-alive
// connection is dropped, it resends requests with an Idempotency-Key.
func TestWorkIsSentOnce(t *testing.T) {
	t.Run("control: the stand-in provokes a resend", func(t *testing.T) {
		d := newDroppingServer(t)
		client := &http.Client{Transport: &http.Transport{}}
		for _, id := range []string{"first", "second"} {
			r, _ := http.NewRequest(http.MethodPost, "http://"+d.listener.Addr().String(), bytes.NewReader([]byte("10 euros")))
			r.Header.Set("Idempotency-Key", "k")
			r.Header.Set(HeaderAttempt, id)
			if resp, err := client.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		}
		if d.requestCount("second") != 2 {
			t.Errorf("default client sent the work %d times, want 2: the server must provoke a resend", d.requestCount("second"))
		}
	})
	t.Run("client", func(t *testing.T) {
		d := newDroppingServer(t)
		c := newTestClient(t, ClientConfig{})
		for _, id := range []string{"first", "second"} {
			call := keyedCall(id)
			call.Address = d.listener.Addr().String()
			err := c.Forward(context.Background(), call, &discardSink{})
			if id == "second" {
				assertCallError(t, err, gypsumshelf.MayHaveRun, gypsumshelf.CodeBackendFailed)
			}
		}
		if d.requestCount("second") != 1 {
			t.Errorf("work was sent %d times, want 1", d.requestCount("second"))
		}
	})
}

func assertCallError(t *testing.T, err error, verdict gypsumshelf.Verdict, code gypsumshelf.Code) {
	t.Helper()
	f := AsCallError(err)
	if err == nil || f.Err.Verdict != verdict || f.Err.Code != code {
		t.Errorf("got %v, want %s with verdict %s", err, code, verdict)
	}
}

// Guards against a verdict of not-run when the work may have started, and against
// retries of responses that would be the same on every server.
func TestVerdicts(t *testing.T) {
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused.Close()
	status := func(code int, notRun string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderNotRun, notRun)
			w.WriteHeader(code)
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	for _, tt := range []struct {
		name, address string
		verdict       gypsumshelf.Verdict
		code          gypsumshelf.Code
	}{
		{"connection refused", refused.Addr().String(), gypsumshelf.NotRun, gypsumshelf.CodeBackendFailed},
		{"overloaded, not run", status(503, "true"), gypsumshelf.NotRun, gypsumshelf.CodeOverloaded},
		{"overloaded, silent on the work", status(503, ""), gypsumshelf.MayHaveRun, gypsumshelf.CodeOverloaded},
		{"header with another value", status(429, "yes"), gypsumshelf.MayHaveRun, gypsumshelf.CodeOverloaded},
		{"bad request", status(400, "true"), gypsumshelf.NotRun, gypsumshelf.CodeBadRequest},
		{"server error", status(500, ""), gypsumshelf.MayHaveRun, gypsumshelf.CodeBackendFailed},
		{"stream without an end", status(200, "true"), gypsumshelf.MayHaveRun, gypsumshelf.CodeBrokenStream},
	} {
		t.Run(tt.name, func(t *testing.T) {
			err := newTestClient(t, ClientConfig{}).Complete(context.Background(), Call{Attempt: "a.1", Address: tt.address, Path: "/"}, &discardSink{})
			assertCallError(t, err, tt.verdict, tt.code)
		})
	}
}

// Guards against calls that wait forever on a server or connection that has
// stalled, and against treating a live server as unreachable.
func TestStalledCalls(t *testing.T) {
	for _, tt := range []struct {
		name        string
		answer      time.Duration // time limit for the first chunk, 0 for none
		begin       bool          // the stream begins and then stalls
		probes      bool          // the server answers on new connections
		unreachable bool          // wanted ServerUnreachable
	}{
		{"stream goes silent, server alive", 0, true, true, false},
		{"no answer in time, server alive", 200 * time.Millisecond, false, true, false},
		{"no answer, server frozen", 0, false, false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			hold := make(chan struct{})
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/healthz" && tt.probes {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if tt.begin {
					_, _ = io.WriteString(w, `data: {"id":"a.1","choices":[{"text":"x"}]}`+"\n\n")
					w.(http.Flusher).Flush()
				}
				<-hold
			}))
			t.Cleanup(s.Close)
			t.Cleanup(func() { close(hold) })
			call := Call{Attempt: "a.1", Address: s.Listener.Addr().String(), Path: "/"}
			if tt.answer > 0 {
				call.AnswerDue = time.Now().Add(tt.answer)
			}
			c := newTestClient(t, ClientConfig{DialTimeout: 200 * time.Millisecond, ProgressTimeout: 100 * time.Millisecond})
			err := c.Complete(context.Background(), call, &discardSink{})
			if f := AsCallError(err); err == nil || f.ServerUnreachable != tt.unreachable || f.ConnectionBroken || f.Err.Verdict != gypsumshelf.MayHaveRun {
				t.Errorf("got %+v, want ServerUnreachable %v", f, tt.unreachable)
			}
		})
	}
}

// Guards against a frozen daemon that sends work when it resumes, although its
// decision to send has expired.
func TestExpiredDecisionIsNotSent(t *testing.T) {
	var calls atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	t.Cleanup(s.Close)
	c := newTestClient(t, ClientConfig{})
	for _, expires := range []time.Time{time.Now().Add(-time.Second), time.Now().Add(time.Hour)} {
		before := calls.Load()
		call := keyedCall("a.1")
		call.Address, call.NotAfter = s.Listener.Addr().String(), expires
		err := c.Forward(context.Background(), call, &discardSink{})
		if expired := time.Now().After(expires); expired {
			assertCallError(t, err, gypsumshelf.NotRun, gypsumshelf.CodeBackendFailed)
		} else if err != nil || calls.Load() != before+1 {
			t.Errorf("unexpired call: %v", err)
		}
	}
	if calls.Load() != 1 {
		t.Errorf("server was called %d times, want 1", calls.Load())
	}
}

// BenchmarkCall compares a new connection for each call with preopened and with
// pooled kept-alive connections, without a handshake delay and with one of 2 ms,
// the delay between two data centres of Souffle Piste.
func BenchmarkCall(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
	b.Cleanup(s.Close)
	for _, handshake := range []time.Duration{0, 2 * time.Millisecond} {
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(handshake)
			return new(net.Dialer).DialContext(ctx, network, address)
		}
		for _, name := range []string{"fresh", "ahead", "pooled"} {
			b.Run(fmt.Sprintf("%s-%s", name, handshake), func(b *testing.B) {
				c := newTestClient(b, ClientConfig{})
				ahead := newPreopenedConns(dial)
				b.Cleanup(ahead.close)
				switch name {
				case "fresh":
					c.freshHTTP = newHTTPClient(c.cfg, dial)
				case "ahead":
					c.freshHTTP = newHTTPClient(c.cfg, ahead.get)
				case "pooled":
					c.freshHTTP = newHTTPClient(c.cfg, dial)
					c.freshHTTP.Transport.(*http.Transport).DisableKeepAlives = false
				}
				benchmarkCalls(b, c, s.Listener.Addr().String())
			})
		}
	}
}

func benchmarkCalls(b *testing.B, c *Client, address string) {
	call := keyedCall("a.1")
	call.Address, call.Body = address, make([]byte, 4096)
	var times []time.Duration
	for b.Loop() {
		time.Sleep(5 * time.Millisecond) // spaces the calls
		start := time.Now()
		if err := c.Forward(context.Background(), call, &discardSink{}); err != nil {
			b.Fatal(err)
		}
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
}

// Guards against a preopened connection that is used after its server closed it or
// for two requests, and against preopened connections that are never used.
func TestPreopenedConnections(t *testing.T) {
	var opened, closed sync.Map
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, reused := closed.Swap(r.RemoteAddr, true)
		if reused {
			t.Errorf("connection %s carries a second request", r.RemoteAddr)
		}
		w.WriteHeader(http.StatusTeapot)
	}))
	s.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Store(c, true)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	c := newTestClient(t, ClientConfig{})
	address := s.Listener.Addr().String()
	call := func() {
		err := c.Complete(context.Background(), Call{Attempt: "a.1", Address: address, Path: "/"}, &discardSink{})
		assertCallError(t, err, gypsumshelf.MayHaveRun, gypsumshelf.CodeBadRequest)
	}
	ready := func() bool {
		c.preopened.mu.Lock()
		defer c.preopened.mu.Unlock()
		return len(c.preopened.idle[address]) == preopenedPerServer
	}
	call()
	for range 3 {
		for deadline := time.Now().Add(30 * time.Second); !ready(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("fewer than %d connections were preopened", preopenedPerServer)
			}
		}
		call()
		opened.Range(func(conn, _ any) bool { conn.(net.Conn).Close(); return true })
		call()
	}
}
