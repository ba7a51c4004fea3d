package standins

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/engines"
	"gypsumshelf.example/gypsumshelf/streams"
)

func startEngine(t *testing.T, cfg EngineConfig) (*Engine, string) {
	t.Helper()
	if cfg.PrefillRate == 0 {
		cfg.PrefillRate = 1e9
	}
	e := NewEngine(cfg)
	server := httptest.NewServer(e)
	t.Cleanup(func() { e.Close(); server.CloseClientConnections(); server.Close() })
	return e, server.URL
}

// sendRequest sends a request and returns its status, headers, body and error.
func sendRequest(t *testing.T, method, url string, header map[string]string, body any) (*http.Response, string, error) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range header {
		r.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

func sendCompletion(t *testing.T, url, id, prompt string, n, resume int) (*http.Response, string, error) {
	t.Helper()
	header := map[string]string{engines.HeaderAttempt: id, engines.HeaderResume: strconv.Itoa(resume)}
	return sendRequest(t, http.MethodPost, url+"/v1/completions", header, map[string]any{"prompt": prompt, "max_tokens": n})
}

// readStream reads a stream with the reader that the daemons use.
func readStream(id, body string, start int) (string, error) {
	r := streams.NewReader(streams.ReaderConfig{Source: strings.NewReader(body), AttemptID: id, StartPosition: start})
	var text strings.Builder
	for {
		c, err := r.Next()
		if err == io.EOF {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		text.WriteString(c.Text())
	}
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// Guards against faults that are not injected into the stream: tests of the
// daemons that rely on them would pass without checking anything.
func TestStreams(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults Faults
		resume int
		want   string // part of the error, empty for a whole answer
	}{
		{name: "whole"},
		{name: "resumed", resume: 3},
		{name: "duplicate is passed over", faults: Faults{DuplicateChunk: true}},
		{name: "foreign", faults: Faults{ForeignChunk: true}, want: "another attempt"},
		{name: "missing", faults: Faults{MissingChunk: true}, want: "expected position"},
		{name: "no end", faults: Faults{NoEnd: true}, want: "end marker"},
		{name: "dropped in mid-stream", faults: Faults{DropMidStream: true}, want: "EOF"},
		{name: "dropped after reading", faults: Faults{DropAfterRead: true}, want: "EOF"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e, url := startEngine(t, EngineConfig{})
			e.SetFaults(tc.faults)
			_, body, err := sendCompletion(t, url, "a.1", "prompt", 8, tc.resume)
			var text string
			if err == nil {
				text, err = readStream("a.1", body, tc.resume)
			}
			if tc.want == "" && (err != nil || text != strings.Join(strings.SplitAfter(Answer("prompt", 8), " ")[tc.resume:8], "")) {
				t.Errorf("got %q, %v", text, err)
			}
			if tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want)) {
				t.Errorf("got error %v, want %q", err, tc.want)
			}
		})
	}
}

// Guards against an engine that runs a refused request, or does not free the
// memory of a completed one.
func TestMemory(t *testing.T) {
	e, url := startEngine(t, EngineConfig{MemoryTokens: 100})
	assertStatus(t, url, "/v1/kv/reservations", reserveRequest{Reservation: "r", Tokens: 95}, http.StatusNoContent)
	resp, _, err := sendCompletion(t, url, "a.1", "12345678", 8, 0)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(engines.HeaderNotRun) != "true" {
		t.Fatalf("full memory: %v, %v", resp, err)
	}
	if n, _ := e.Arrivals(); n != 0 {
		t.Errorf("refused request ran: %d arrivals, want 0", n)
	}
	if _, _, err := sendRequest(t, http.MethodDelete, url+"/v1/kv/reservations/r", nil, nil); err != nil {
		t.Fatal(err)
	}
	if resp, _, err := sendCompletion(t, url, "a.2", "12345678", 8, 0); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("free memory: %v, %v", resp, err)
	}
	waitFor(t, "memory is free", func() bool { return e.memory.inUse() == 0 })
}

func assertStatus(t *testing.T, url, path string, body any, want int) {
	t.Helper()
	resp, text, err := sendRequest(t, http.MethodPost, url+path, nil, body)
	if err != nil || resp.StatusCode != want {
		t.Errorf("%s: got %v %q %v, want status %d", path, resp, text, err, want)
	}
}

// Guards against a reservation that is held after its lease expired.
func TestReservationLease(t *testing.T) {
	m, now := newMemory(100), time.Unix(0, 0)
	if !m.reserve(now, "r", 100, time.Second) || m.allocate(now, 1) {
		t.Fatal("reservation does not hold its tokens")
	}
	if !m.allocate(now.Add(2*time.Second), 100) {
		t.Error("reservation is held after its lease")
	}
}

// Guards against an engine that accepts an outdated fencing number although it
// checks them, or rejects one although it does not.
func TestOrders(t *testing.T) {
	for _, tc := range []struct {
		checks bool
		want   int
	}{{true, http.StatusConflict}, {false, http.StatusNoContent}} {
		_, url := startEngine(t, EngineConfig{ChecksFencing: tc.checks})
		assertStatus(t, url, "/v1/orders", engines.Order{ID: "2", Fencing: 2}, http.StatusNoContent)
		assertStatus(t, url, "/v1/orders", engines.Order{ID: "1", Fencing: 1}, tc.want)
	}
}

// Guards against a long prompt that delays a more urgent short one.
func TestPrefillPriority(t *testing.T) {
	chunks := make(chan struct{})
	p := &prefillQueue{ctx: t.Context(), wake: make(chan struct{}, 1), processingTime: func(int) time.Duration { <-chunks; return 0 }}
	go p.loop()
	long := p.enqueue(9, 100*prefillChunkTokens)
	chunks <- struct{}{}
	short := p.enqueue(1, prefillChunkTokens)
	for range 2 {
		chunks <- struct{}{}
	}
	<-short.done
	select {
	case <-long.done:
		t.Error("long prompt ended first")
	default:
	}
	p.remove(long)
	close(chunks)
}

// Guards against a cold engine that runs more requests than its limit, and
// against a warm-up that does not end.
func TestCollapse(t *testing.T) {
	w := newWarmup(warmupConfig{MaxRequests: 1, RequestsUntilWarm: 2, Slowdown: 4})
	if w.checkOverload(1) || !w.checkOverload(2) || w.slowdown() != 4 {
		t.Error("cold engine does not fail exactly above its limit of 1 request, or is not 4 times slower")
	}
	w.recordCompletion()
	if w.checkOverload(2) {
		t.Error("limit does not grow with completed requests")
	}
	w.recordCompletion()
	if w.checkOverload(99) || w.slowdown() != 1 {
		t.Error("engine is not warm after 2 completed requests")
	}
	w.makeCold()
	if !w.checkOverload(2) {
		t.Error("engine is still warm after makeCold")
	}
}

// Guards against cache events that are readable too early or never lost, and
// against a cache that exceeds its size.
func TestPrefixCache(t *testing.T) {
	c, now := newPrefixCache(cacheConfig{Blocks: 2, Delay: time.Second, GapEvery: 2}), time.Unix(0, 0)
	a, b := strings.Repeat("a", 2*cacheBlockBytes), strings.Repeat("b", 2*cacheBlockBytes)
	if c.lookupAndStore(now, a) != 0 || c.lookupAndStore(now, a) != 512 {
		t.Error("repeated prompt is not found")
	}
	c.lookupAndStore(now, b) // evicts both blocks of a
	if c.lookupAndStore(now, a) != 0 {
		t.Error("cache holds more than its size")
	}
	if len(c.eventsSince(now, 0)) != 0 {
		t.Error("event is readable before its delay")
	}
	for _, e := range c.eventsSince(now.Add(time.Second), 0) {
		if e.Sequence%2 == 0 {
			t.Errorf("event %d is not lost", e.Sequence)
		}
	}
}

// Guards against load reports without the configured delay.
func TestLoadLag(t *testing.T) {
	l, now := &delayedLoad{lag: time.Second}, time.Unix(0, 0)
	for i, want := range []int{0, 1, 2} {
		got := l.record(now.Add(time.Duration(i)*time.Second), gypsumshelf.Load{Running: i + 1})
		if got.Running != want {
			t.Errorf("report %d: got %d running, want %d", i, got.Running, want)
		}
	}
}

// Guards against a cancelled request that keeps running.
func TestCancel(t *testing.T) {
	e, url := startEngine(t, EngineConfig{TokenInterval: time.Hour})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(`{"prompt":"p","max_tokens":9}`))
	r.Header.Set(engines.HeaderAttempt, "a.1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp, _, err := sendRequest(t, http.MethodDelete, url+"/v1/requests/a.1", nil, nil); err != nil || resp.StatusCode != http.StatusNoContent {
		t.Fatalf("cancel: %v, %v", resp, err)
	}
	waitFor(t, "request has ended", func() bool { return e.Running() == 0 })
}
