package entries

import (
	"context"
	"net/http"
	"path"
	"strings"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/buffers"
	"gypsumshelf.example/gypsumshelf/engines"
)

// servicePrefix is the path under which plain services are served.
const servicePrefix = "/services/"

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// serviceRunner implements requestRunner for a call of a plain service.
type serviceRunner struct {
	callerWriter
	handler         *Handler
	request         gypsumshelf.Request
	call            engines.ServiceCall
	reservation     *buffers.Reservation
	responseStarted bool              // the status and headers have been written
	callerGone      bool              // a write to the caller failed; a keyed call runs on without it
	outcome         *attempts.Outcome // outcome to record, nil for a call without a key
}

func (h *Handler) handleService(w http.ResponseWriter, r *http.Request) {
	req, failure := h.requestFromHeaders(r)
	if failure != nil {
		writeError(w, req.ID, failure)
		return
	}
	data, res, failure := h.readBody(w, r)
	if failure != nil {
		writeError(w, req.ID, failure)
		return
	}
	defer res.Release()
	req.Service = r.PathValue("name")
	uri := "/" + strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix+escapedServiceName(r))
	uri = "/" + strings.TrimLeft(uri, "/")
	req.Idempotent = h.isIdempotent(req.Service, r.Method, r.URL.Path)
	req.PromptTokens = 1
	if r.URL.RawQuery != "" {
		uri += "?" + r.URL.RawQuery
	}
	req.BodyHash = stableHash([]byte(req.Service), []byte(r.Method), []byte(uri), data)
	s := &serviceRunner{
		callerWriter: h.newCallerWriter(w, req), handler: h, request: req, reservation: res,
		call: engines.ServiceCall{Method: r.Method, URI: uri, Header: endToEndHeaders(r.Header), Body: data},
	}
	ctx := r.Context()
	if attempts.Keyed(req) {
		// The run continues if the caller disconnects, so that a resent request gets
		// the recorded outcome.
		ctx = context.WithoutCancel(ctx)
		s.outcome = &attempts.Outcome{}
	}
	h.run(ctx, req, s)
}

// escapedServiceName returns the service name as escaped in the request path.
func escapedServiceName(r *http.Request) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix), "/")
	return name
}

// isIdempotent reports whether a call may be sent more than once. A path that is
// not clean matches no prefix, since a service may resolve it to another path.
func (h *Handler) isIdempotent(service, method, urlPath string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	callPath := strings.TrimPrefix(urlPath, servicePrefix+service)
	if clean := path.Clean(callPath); clean != callPath && clean+"/" != callPath {
		return false
	}
	for _, rule := range h.cfg.Idempotent[service] {
		m, prefix, ok := strings.Cut(rule, " ")
		if !ok || m != method || !strings.HasPrefix(callPath, prefix) {
			continue
		}
		if strings.HasSuffix(prefix, "/") || len(callPath) == len(prefix) || callPath[len(prefix)] == '/' {
			return true
		}
	}
	return false
}

// endToEndHeaders returns a copy of the headers without the hop-by-hop headers.
func endToEndHeaders(from http.Header) http.Header {
	to := from.Clone()
	for _, list := range from.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		to.Del(name)
	}
	return to
}

func (s *serviceRunner) runAttempt(ctx context.Context, start attempts.Start) (attempts.Ended, error) {
	call := s.call
	call.Attempt, call.Address = start.Attempt, start.Address
	call.AnswerDue, call.Deadline, call.NotAfter = start.AnswerDue, start.Deadline, start.NotAfter
	err := s.handler.cfg.Services.Forward(ctx, call, &serviceSink{runner: s, start: start})
	return attempts.Ended{Attempt: start.Attempt, Position: s.deliveredPosition(), Outcome: s.outcome}, err
}

func (s *serviceRunner) deliveredPosition() int {
	if s.responseStarted {
		return 1
	}
	return 0
}

// fail implements requestRunner. It aborts a response that has started, so that
// the caller sees that the response is incomplete.
func (s *serviceRunner) fail(err *gypsumshelf.Error) {
	if s.responseStarted {
		panic(http.ErrAbortHandler)
	}
	s.extendDeadline()
	writeError(s.w, s.request.ID, err)
}

// finish implements requestRunner. The response has already been forwarded.
func (s *serviceRunner) finish() {}

func (s *serviceRunner) replay(o attempts.Outcome) {
	s.extendDeadline()
	if o.ContentType != "" {
		s.w.Header().Set("Content-Type", o.ContentType)
	}
	s.w.Header().Set(HeaderRequestID, string(s.request.ID))
	s.w.Header().Set(HeaderReplayed, "true")
	s.w.Header().Set(HeaderVerdict, gypsumshelf.Ran.String())
	s.w.WriteHeader(o.Status)
	_ = s.writeAndFlush(o.Body)
}

// serviceSink forwards the response of one attempt to the caller.
type serviceSink struct {
	runner *serviceRunner
	start  attempts.Start
}

// Sent implements engines.ResponseSink.
func (k *serviceSink) Sent() { k.runner.handler.cfg.Submit(attempts.Sent{Attempt: k.start.Attempt}) }

// Begin implements engines.ResponseSink.
func (k *serviceSink) Begin(status int, header http.Header) error {
	s := k.runner
	s.handler.cfg.Submit(attempts.FirstToken{Attempt: k.start.Attempt})
	s.responseStarted = true // no attempt can follow, so the body is no longer needed
	s.reservation.Release()
	s.call.Body = nil
	header = endToEndHeaders(header)
	if s.outcome != nil {
		s.outcome.Verdict, s.outcome.Status, s.outcome.ContentType = gypsumshelf.Ran, status, header.Get("Content-Type")
	}
	for name, values := range header {
		s.w.Header()[name] = values
	}
	s.w.Header().Set(HeaderRequestID, string(s.request.ID))
	s.extendDeadline()
	s.w.WriteHeader(status)
	return k.forward(nil)
}

// Body implements engines.ResponseSink.
func (k *serviceSink) Body(p []byte) error {
	if o := k.runner.outcome; o != nil && !o.Truncated {
		if len(o.Body)+len(p) > attempts.MaxOutcomeBytes {
			o.Truncated, o.Body = true, nil
		} else {
			o.Body = append(o.Body, p...)
		}
	}
	return k.forward(p)
}

// forward writes a part of the body to the caller. When a write of a keyed call
// fails, the rest is discarded and the call continues.
func (k *serviceSink) forward(p []byte) error {
	s := k.runner
	if s.callerGone {
		return nil
	}
	err := s.writeAndFlush(p)
	if err != nil && s.outcome != nil {
		s.callerGone = true
		return nil
	}
	return err
}
