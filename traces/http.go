package traces

import (
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Handler returns next with a server span around each request, a child of the
// trace context in its headers.
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

// statusWriter remembers the status of an answer.
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

// FlushError lets http.ResponseController see that the caller is gone.
func (w *statusWriter) FlushError() error {
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap lets http.ResponseController reach the wrapped writer.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Transport returns next with a client span around each call, whose trace
// context is passed on in the headers.
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
