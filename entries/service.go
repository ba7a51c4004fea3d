package entries

import (
	"context"
	"net/http"
	"path"
	"strings"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/engines"
)

// servicePrefix is the path under which plain services are served.
const servicePrefix = "/services/"

// hopHeaders are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// serviceCall is one call of a plain service as a job.
type serviceCall struct {
	writer
	handler *Handler
	request gypsumshelf.Request
	call    engines.ServiceCall
	lease   *lease
	begun   bool // the answer's status has been passed on
	gone    bool // the caller does not read; a keyed call runs on without it
	outcome *attempts.Outcome
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	req, failure := h.describe(r)
	if failure != nil {
		writeError(w, req.ID, failure)
		return
	}
	data, lease, failure := h.read(w, r)
	if failure != nil {
		writeError(w, req.ID, failure)
		return
	}
	defer lease.free()
	req.Service = r.PathValue("name")
	uri := "/" + strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix+escapedName(r))
	uri = "/" + strings.TrimLeft(uri, "/")
	req.Idempotent = h.idempotent(req.Service, r.Method, r.URL.Path)
	req.PromptTokens = 1
	if r.URL.RawQuery != "" {
		uri += "?" + r.URL.RawQuery
	}
	req.BodyHash = hashOf([]byte(req.Service), []byte(r.Method), []byte(uri), data)
	s := &serviceCall{
		writer: h.writer(w, req), handler: h, request: req, lease: lease,
		call: engines.ServiceCall{Method: r.Method, URI: uri, Header: endToEnd(r.Header), Body: data},
	}
	ctx := r.Context()
	if attempts.Keyed(req) {
		// The run goes on without its caller, so that a resend gets its outcome.
		ctx = context.WithoutCancel(ctx)
		s.outcome = &attempts.Outcome{}
	}
	h.run(ctx, req, s)
}

// escapedName returns the service name as it is written in the request's path.
func escapedName(r *http.Request) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix), "/")
	return name
}

// idempotent reports whether a call may be sent more than once. A path that a
// service may resolve to another one is matched by no prefix.
func (h *Handler) idempotent(service, method, urlPath string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	rest := strings.TrimPrefix(urlPath, servicePrefix+service)
	if clean := path.Clean(rest); clean != rest && clean+"/" != rest {
		return false
	}
	for _, rule := range h.cfg.Idempotent[service] {
		m, prefix, ok := strings.Cut(rule, " ")
		if !ok || m != method || !strings.HasPrefix(rest, prefix) {
			continue
		}
		if strings.HasSuffix(prefix, "/") || len(rest) == len(prefix) || rest[len(prefix)] == '/' {
			return true
		}
	}
	return false
}

// endToEnd returns a copy of the headers without those of the connection.
func endToEnd(from http.Header) http.Header {
	to := from.Clone()
	for _, list := range from.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
	return to
}

func (s *serviceCall) attempt(ctx context.Context, start attempts.Start) (attempts.Ended, error) {
	call := s.call
	call.Attempt, call.Address = start.Attempt, start.Address
	call.Answer, call.Deadline, call.NotAfter = start.Answer, start.Deadline, start.NotAfter
	err := s.handler.cfg.Services.Forward(ctx, call, &answerSink{call: s, start: start})
	return attempts.Ended{Attempt: start.Attempt, Position: s.delivered(), Outcome: s.outcome}, err
}

func (s *serviceCall) delivered() int {
	if s.begun {
		return 1
	}
	return 0
}

// fail implements job. An answer that has begun is cut off, which the caller
// sees as an answer that is not whole.
func (s *serviceCall) fail(err *gypsumshelf.Error) {
	if s.begun {
		panic(http.ErrAbortHandler)
	}
	s.extend()
	writeError(s.w, s.request.ID, err)
}

// finish implements job; the answer has been passed on already.
func (s *serviceCall) finish() {}

func (s *serviceCall) replay(o attempts.Outcome) {
	s.extend()
	if o.ContentType != "" {
		s.w.Header().Set("Content-Type", o.ContentType)
	}
	s.w.Header().Set(HeaderRequestID, string(s.request.ID))
	s.w.Header().Set(HeaderReplayed, "true")
	s.w.Header().Set(HeaderVerdict, gypsumshelf.Ran.String())
	s.w.WriteHeader(o.Status)
	_ = s.write(o.Body)
}

// answerSink passes the answer of one attempt to the caller.
type answerSink struct {
	call  *serviceCall
	start attempts.Start
}

// Sent implements engines.AnswerSink.
func (k *answerSink) Sent() { k.call.handler.cfg.Submit(attempts.Sent{Attempt: k.start.Attempt}) }

// Begin implements engines.AnswerSink.
func (k *answerSink) Begin(status int, header http.Header) error {
	s := k.call
	s.handler.cfg.Submit(attempts.FirstToken{Attempt: k.start.Attempt})
	s.begun = true // no attempt can follow, so the body is no longer needed
	s.lease.free()
	s.call.Body = nil
	header = endToEnd(header)
	if s.outcome != nil {
		s.outcome.Verdict, s.outcome.Status, s.outcome.ContentType = gypsumshelf.Ran, status, header.Get("Content-Type")
	}
	for name, values := range header {
		s.w.Header()[name] = values
	}
	s.w.Header().Set(HeaderRequestID, string(s.request.ID))
	s.extend()
	s.w.WriteHeader(status)
	return k.pass(nil)
}

// Body implements engines.AnswerSink.
func (k *answerSink) Body(p []byte) error {
	if o := k.call.outcome; o != nil && !o.Truncated {
		if len(o.Body)+len(p) > attempts.MaxOutcomeBytes {
			o.Truncated, o.Body = true, nil
		} else {
			o.Body = append(o.Body, p...)
		}
	}
	return k.pass(p)
}

func (k *answerSink) pass(p []byte) error {
	s := k.call
	if s.gone {
		return nil
	}
	err := s.write(p)
	if err != nil && s.outcome != nil {
		s.gone = true
		return nil
	}
	return err
}
