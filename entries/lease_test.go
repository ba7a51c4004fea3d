package entries

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/engines"
)

// countingEngine counts the attempts that reach it.
type countingEngine struct {
	engines.Completer
	calls int
}

func (e *countingEngine) Complete(context.Context, engines.Call, engines.Sink) error {
	e.calls++
	return nil
}

// Guards against an attempt that is sent after its freshness lease has expired.
// This happens when the process is suspended between the decision and the send.
func TestNoAttemptAfterLease(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name     string
		notAfter time.Time
		calls    int
	}{
		{"no lease", time.Time{}, 1},
		{"lease holds", now.Add(time.Millisecond), 1},
		{"lease expired", now, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			engine := &countingEngine{}
			var h *Handler
			var failed []attempts.Failed
			h = New(Config{
				Engine: engine, MaxBodyBytes: 1 << 20, Now: func() time.Time { return now },
				Class: func(context.Context, string) (gypsumshelf.Class, bool) { return gypsumshelf.Class{}, true },
				Submit: func(ev gypsumshelf.Event) {
					switch ev := ev.(type) {
					case attempts.Arrived:
						h.Start(attempts.Start{Request: ev.Request.ID, Attempt: "a", NotAfter: tc.notAfter})
					case attempts.Ended:
						h.Finish(attempts.Finish{Request: "r"})
					case attempts.Failed:
						failed = append(failed, ev)
						h.Refuse(attempts.Refuse{Request: "r", Err: ev.Failure})
					}
				},
			})
			r := httptest.NewRequest("POST", "/v1/completions", strings.NewReader(`{"model":"quill","prompt":"p"}`))
			r.Header.Set(HeaderRequestID, "r")
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			if engine.calls != tc.calls || len(failed) != 1-tc.calls {
				t.Errorf("engine got %d calls, failures %+v; want %d calls", engine.calls, failed, tc.calls)
			}
			if tc.calls == 0 && w.Header().Get(HeaderVerdict) != "not-run" {
				t.Errorf("verdict is %q, want not-run", w.Header().Get(HeaderVerdict))
			}
		})
	}
}
