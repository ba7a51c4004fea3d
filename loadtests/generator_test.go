package loadtests

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/standins"
)

// Guards against a default mixture that lacks the long prompts for which the targets are
// stated.
func TestDefaultMixture(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	long, n := 0, 100_000
	sum := 0.0
	for range n {
		i, tokens := DefaultMixture().draw(r)
		if b := DefaultMixture()[i]; tokens < b.Min || tokens > b.Max {
			t.Fatalf("%d tokens are outside bucket %s", tokens, b)
		}
		if tokens > 100_000 {
			long++
		}
		sum += float64(tokens)
	}
	if share := float64(long) / float64(n); share < 0.018 || share > 0.022 {
		t.Errorf("share of prompts over 100,000 tokens is %.3f, want 0.02", share)
	}
	if mean := DefaultMixture().meanTokens(); sum/float64(n) < 0.95*mean || sum/float64(n) > 1.05*mean {
		t.Errorf("mean is %.0f tokens, computed %.0f", sum/float64(n), mean)
	}
}

// Guards against flag values that are parsed as a different bucket.
func TestParseBucket(t *testing.T) {
	for text, ok := range map[string]bool{
		"1000-2000=3": true, "1-1=0.5": true, "0-1=1": false, "2-1=1": false, "1-2": false, "1=2": false, "a-b=c": false, "1-2=-1": false,
	} {
		b, err := ParseBucket(text)
		if (err == nil) != ok || (ok && b.String() != text) {
			t.Errorf("%q: got %v, %v", text, b, err)
		}
	}
}

// slowServer answers only after a number of requests have arrived, so that a client that
// waits for an answer before it sends the next request never finishes.
type slowServer struct {
	arrived        chan struct{}
	release        chan struct{}
	outstanding    atomic.Int32
	maxOutstanding atomic.Int32 // largest number of requests without an answer
}

func (s *slowServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.maxOutstanding.Store(max(s.maxOutstanding.Load(), s.outstanding.Add(1)))
	defer s.outstanding.Add(-1)
	s.arrived <- struct{}{}
	<-s.release
	w.WriteHeader(http.StatusTooManyRequests)
	_, _ = w.Write([]byte(`{"code":"overloaded","text":"full","verdict":"not-run"}`))
}

// Guards against a closed loop, against more outstanding requests than the bound allows,
// and against refusals that are not counted by code and verdict.
func TestOpenLoop(t *testing.T) {
	s := &slowServer{arrived: make(chan struct{}, 100), release: make(chan struct{})}
	server := httptest.NewServer(s)
	defer server.Close()
	cfg := DefaultConfig()
	cfg.Addresses = []string{server.Listener.Addr().String()}
	cfg.Mixture, cfg.Rate, cfg.Duration, cfg.MaxRequests, cfg.MaxOutstanding = Mixture{{1, 1, 1}}, 1e4, time.Minute, 30, 20
	go s.releaseAfter(20)
	rep, err := Run(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	if rep.Refused < 20 || rep.Refused+rep.Unsent != 30 || rep.Failures["refused overloaded not-run"] != rep.Refused || rep.Err() != nil {
		t.Errorf("got %+v", rep)
	}
	if s.maxOutstanding.Load() > 20 {
		t.Errorf("%d requests without an answer, bound 20", s.maxOutstanding.Load())
	}
	var text, data bytes.Buffer
	if err := rep.WriteText(&text); err != nil || !strings.Contains(text.String(), "refused overloaded not-run: ") {
		t.Errorf("text: %v\n%s", err, text.String())
	}
	var back Report
	if err := rep.WriteJSON(&data); err != nil || json.Unmarshal(data.Bytes(), &back) != nil || back.Refused != rep.Refused {
		t.Errorf("json: %v\n%s", err, data.String())
	}
}

func (s *slowServer) releaseAfter(n int) {
	for range n {
		<-s.arrived
	}
	close(s.release)
}

// Guards against latency that is measured from the actual instead of the intended send
// time.
func TestLatencyCountsFromIntendedTime(t *testing.T) {
	engine := standins.NewEngine(standins.EngineConfig{PrefillRate: 1e9})
	defer engine.Close()
	server := httptest.NewServer(engine)
	defer server.Close()
	out := NewCaller().Do(t.Context(), Request{
		Address: server.Listener.Addr().String(), Model: "m", PromptTokens: 10, MaxTokens: 3, Intended: time.Now().Add(-time.Hour),
	})
	if out.Result != Whole || out.FirstToken < time.Hour || out.Total < out.FirstToken || out.Tokens != 3 || out.Verdict != gypsumshelf.Ran {
		t.Errorf("got %+v", out)
	}
}

// Guards against runs that are not reproducible by their seed, and against a wrong share
// of requests from large workspaces.
func TestDrawRequest(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Addresses, cfg.Workspaces, cfg.LargeWorkspaces = []string{"a", "b"}, []string{"w1", "w2", "w3", "w4"}, 1
	draw := func(seed uint64) (requests []Request, large int) {
		g := newGenerator(t.Context(), cfg)
		defer g.cancel()
		r := rand.New(rand.NewPCG(seed, 1))
		for i := range 1_000 {
			req := g.drawRequest(r, i).request
			requests = append(requests, req)
			if req.Workspace == "w1" {
				large++
			}
		}
		return requests, large
	}
	first, large := draw(7)
	second, _ := draw(7)
	for i := range first {
		if first[i] != second[i] {
			t.Fatalf("request %d differs: %+v, %+v", i, first[i], second[i])
		}
	}
	if large < 750 || large > 850 {
		t.Errorf("the large workspace sent %d of 1,000 requests, want about 800", large)
	}
}
