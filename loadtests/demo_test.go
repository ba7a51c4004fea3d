package loadtests

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/standins"
)

// Guards against a demo that fails because of truthful refusals: engines in slow start
// were predicted to take 4.6 s for prompts of 300,000 tokens.
func TestDemoCallerReturnsAfterARefusal(t *testing.T) {
	engine := standins.NewEngine(standins.EngineConfig{Model: demoModel, PrefillRate: 1e9, TokenInterval: time.Millisecond, MemoryTokens: demoMemoryTokens})
	for _, test := range []struct {
		name    string
		verdict string
		sent    int64
		result  Result
	}{
		{"not run", "not-run", 3, Whole},
		{"may have run", "may-have-run", 1, Refused},
	} {
		t.Run(test.name, func(t *testing.T) {
			var sent atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if sent.Add(1) <= 2 {
					w.WriteHeader(http.StatusServiceUnavailable)
					fmt.Fprintf(w, `{"code":"overloaded","text":"later","verdict":%q}`, test.verdict)
					return
				}
				engine.ServeHTTP(w, r)
			}))
			defer server.Close()
			out := NewCaller().doUntilAdmitted(t.Context(), Request{
				Address: strings.TrimPrefix(server.URL, "http://"), Model: demoModel, PromptTokens: 1000, MaxTokens: 4, Intended: time.Now(),
			})
			if out.Result != test.result || sent.Load() != test.sent {
				t.Errorf("the request was sent %d times and ended as %v with error %v, want %d times and %v", sent.Load(), out.Result, out.Err, test.sent, test.result)
			}
			if test.result == Whole && (out.Verdict == gypsumshelf.MayHaveRun || out.FirstToken < 2*demoRetryDelay) {
				t.Errorf("first token after %v, want at least %v", out.FirstToken, 2*demoRetryDelay)
			}
		})
	}
}
