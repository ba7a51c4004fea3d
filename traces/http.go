package traces

import (
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Handler wraps next in a handler that records a server span for each request, as
// a child of the trace context in the request's headers.
func (p *Provider) Handler(name string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := p.propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := p.tracer.Start(ctx, name+" "+r.Method, trace.WithSpanKind(trace.SpanKindServer),
			trace.WithAttributes(attribute.String("url.path", r.URL.Path)))
		defer span.End()
		recorder := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(recorder, r.WithContext(ctx))
		span.SetAttributes(attribute.Int("http.response.status_code", recorder.status))
		if recorder.status >= http.StatusInternalServerError {
			span.SetStatus(codes.Error, http.StatusText(recorder.status))
		}
	})
}

// statusWriter records the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Flush implements http.Flusher.
func (w *statusWriter) Flush() { _ = w.FlushError() }

// FlushError lets http.ResponseController detect that the caller has disconnected.
func (w *statusWriter) FlushError() error {
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the wrapped writer to http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Transport wraps next in a transport that records a client span for each call
// and sends its trace context in the headers.
func (p *Provider) Transport(name string, next http.RoundTripper) http.RoundTripper {
	return roundTripper(func(r *http.Request) (*http.Response, error) {
		ctx, span := p.tracer.Start(r.Context(), name+" "+r.Method, trace.WithSpanKind(trace.SpanKindClient),
			trace.WithAttributes(attribute.String("server.address", r.URL.Host), attribute.String("url.path", r.URL.Path)))
		defer span.End()
		r = r.Clone(ctx)
		p.propagator.Inject(ctx, propagation.HeaderCarrier(r.Header))
		resp, err := next.RoundTrip(r)
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
			return nil, err
		}
		span.SetAttributes(attribute.Int("http.response.status_code", resp.StatusCode))
		return resp, nil
	})
}

type roundTripper func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
