package traces

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// Guards against a hop that starts a new trace instead of continuing the caller's,
// or that does not propagate the trace context.
func TestHopsShareOneTrace(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	p, err := New(context.Background(), Config{Exporter: exporter})
	if err != nil {
		t.Fatal(err)
	}
	var passedOn string
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		passedOn = r.Header.Get("traceparent")
	}))
	defer backend.Close()
	client := &http.Client{Transport: p.Transport("engine", http.DefaultTransport)}
	entry := p.Handler("caller", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, _ := http.NewRequestWithContext(r.Context(), http.MethodPost, backend.URL, nil)
		resp, err := client.Do(out)
		if err != nil {
			t.Error(err)
			return
		}
		resp.Body.Close()
		w.WriteHeader(http.StatusTeapot)
	}))
	const traceID = "0af7651916cd43dd8448eb211c80319c"
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", nil)
	r.Header.Set("traceparent", "00-"+traceID+"-b7ad6b7169203331-01")
	entry.ServeHTTP(httptest.NewRecorder(), r)
	if err := p.sdk.ForceFlush(context.Background()); err != nil {
		t.Fatal(err)
	}
	spans := exporter.GetSpans()
	if len(spans) != 2 {
		t.Fatalf("got %d spans, want 2, one for each hop", len(spans))
	}
	for _, s := range spans {
		if s.SpanContext.TraceID().String() != traceID {
			t.Errorf("span %q is in trace %s, want %s", s.Name, s.SpanContext.TraceID(), traceID)
		}
	}
	if want := "00-" + traceID + "-" + spans[0].SpanContext.SpanID().String() + "-01"; passedOn != want {
		t.Errorf("backend received traceparent %q, want %q", passedOn, want)
	}
}
