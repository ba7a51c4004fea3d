package entries

import (
	"context"
	"errors"
	"net/http"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/engines"
)

// Headers of the caller interface.
const (
	HeaderWorkspace = "Gypsumshelf-Workspace"
	HeaderClass     = "Gypsumshelf-Class"
	HeaderRequestID = "Gypsumshelf-Request-Id"
	HeaderVerdict   = "Gypsumshelf-Verdict"
	HeaderKey       = "Idempotency-Key"
)

// Config configures a Handler.
type Config struct {
	Engine       engines.Completer
	Submit       func(gypsumshelf.Event)
	Ready        func(context.Context) bool
	Class        func(ctx context.Context, name string) (gypsumshelf.Class, bool)
	Workspaces   []string // allowed workspaces, any when empty
	MaxBodyBytes int64
	Now          func() time.Time
}

// Handler serves callers.
type Handler struct {
	cfg       Config
	mux       *http.ServeMux
	exchanges exchanges
}

// New returns a Handler.
func New(cfg Config) *Handler {
	h := &Handler{cfg: cfg, mux: http.NewServeMux()}
	h.exchanges.open = map[gypsumshelf.RequestID]*exchange{}
	h.mux.HandleFunc("POST /v1/completions", h.complete)
	h.mux.HandleFunc("POST /v1/chat/completions", h.complete)
	h.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	h.mux.HandleFunc("GET /readyz", h.readyz)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// Start carries out attempts.Start.
func (h *Handler) Start(e attempts.Start) { h.exchanges.decide(e.Request, e) }

// Refuse carries out attempts.Refuse.
func (h *Handler) Refuse(e attempts.Refuse) { h.exchanges.decide(e.Request, e) }

// Finish carries out attempts.Finish.
func (h *Handler) Finish(e attempts.Finish) { h.exchanges.decide(e.Request, e) }

func (h *Handler) readyz(w http.ResponseWriter, r *http.Request) {
	if !h.cfg.Ready(r.Context()) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (h *Handler) complete(w http.ResponseWriter, r *http.Request) {
	req, body, err := h.parse(w, r)
	if err != nil {
		writeError(w, req.ID, err)
		return
	}
	x, ok := h.exchanges.add(r.Context(), req.ID)
	if !ok {
		writeError(w, req.ID, gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest, "request id %q is in use", req.ID))
		return
	}
	defer h.exchanges.remove(req.ID)
	h.cfg.Submit(attempts.Arrived{Request: req})
	answer := newAnswer(w, r.URL.Path, req.ID, body.stream)
	h.follow(x, req, body, answer)
}

// follow carries out the reducer's decisions for one request until its end.
func (h *Handler) follow(x *exchange, req gypsumshelf.Request, body body, answer *answer) {
	for {
		select {
		case d := <-x.decisions:
			switch d := d.(type) {
			case attempts.Start:
				h.attempt(x, d, body, answer)
			case attempts.Refuse:
				answer.fail(d.Err)
				return
			case attempts.Finish:
				answer.finish()
				return
			}
		case <-x.ctx.Done():
			select {
			case d := <-x.decisions:
				if refuse, ok := d.(attempts.Refuse); ok {
					answer.fail(refuse.Err)
					return
				}
			default:
			}
			h.cfg.Submit(attempts.CallerGone{Request: req.ID})
			return
		}
	}
}

func (h *Handler) attempt(x *exchange, start attempts.Start, body body, answer *answer) {
	if !start.NotAfter.IsZero() && !h.cfg.Now().Before(start.NotAfter) {
		// The process was stopped between the decision and now.
		h.cfg.Submit(attempts.Failed{Attempt: start.Attempt, Position: answer.position, Failure: gypsumshelf.Errorf(
			gypsumshelf.NotRun, gypsumshelf.CodeNotReady, "freshness lease expired before attempt %s was sent", start.Attempt)})
		return
	}
	call := engines.Call{
		Attempt: start.Attempt, Address: start.Address, Path: answer.path,
		Body: body.data, Priority: start.Priority, Resume: start.Resume,
	}
	err := h.cfg.Engine.Complete(x.ctx, call, &sink{handler: h, attempt: start.Attempt, answer: answer})
	if err == nil {
		h.cfg.Submit(attempts.Ended{Attempt: start.Attempt, Position: answer.position})
		return
	}
	failure := new(gypsumshelf.Error)
	if !errors.As(err, &failure) {
		failure = gypsumshelf.Errorf(gypsumshelf.MayHaveRun, gypsumshelf.CodeBackendFailed, "attempt %s: %v", start.Attempt, err)
	}
	h.cfg.Submit(attempts.Failed{Attempt: start.Attempt, Position: answer.position, Failure: failure})
}
