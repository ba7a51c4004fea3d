// Package entries implements the HTTP interface for callers.
package entries

import (
	"context"
	"net/http"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/buffers"
	"gypsumshelf.example/gypsumshelf/engines"
)

// Headers of requests and responses.
const (
	HeaderWorkspace = "Gypsumshelf-Workspace"
	HeaderClass     = "Gypsumshelf-Class"
	HeaderRequestID = "Gypsumshelf-Request-Id"
	HeaderVerdict   = "Gypsumshelf-Verdict"
	HeaderKey       = "Idempotency-Key"
	// HeaderReplayed marks a response that was recorded for an idempotency key.
	HeaderReplayed = "Gypsumshelf-Replayed"
)

// Config configures a Handler.
type Config struct {
	Engine       engines.Completer
	Services     engines.Forwarder
	Idempotent   map[string][]string // by service: calls that may be sent more than once, as "METHOD /path-prefix"
	Submit       func(gypsumshelf.Event)
	Ready        func(context.Context) bool
	Class        func(ctx context.Context, name string) (gypsumshelf.Class, bool)
	Workspaces   []string // allowed workspaces, any when nil
	MaxBodyBytes int64
	BodyBudget   int64         // memory for long bodies kept for a retry, in bytes; unlimited when 0
	WriteTimeout time.Duration // timeout of each write to a caller; 20 s when 0
	Now          func() time.Time
}

// Handler serves the requests of callers.
type Handler struct {
	cfg            Config
	mux            *http.ServeMux
	activeRequests activeRequests
	// workspaces is the set of allowed workspaces, nil when any is. A linear search in a list of
	// 47,000 took half of the time for reading a request.
	workspaces map[string]bool
	bodyBudget *buffers.Budget
}

// New returns a Handler.
func New(cfg Config) *Handler {
	if cfg.WriteTimeout == 0 {
		cfg.WriteTimeout = defaultWriteTimeout
	}
	h := &Handler{cfg: cfg, mux: http.NewServeMux(), bodyBudget: buffers.NewBudget(cfg.BodyBudget)}
	if cfg.Workspaces != nil {
		h.workspaces = make(map[string]bool, len(cfg.Workspaces))
	}
	for _, workspace := range cfg.Workspaces {
		h.workspaces[workspace] = true
	}
	h.activeRequests.byID = map[gypsumshelf.RequestID]*activeRequest{}
	h.mux.HandleFunc("POST /v1/completions", h.handleCompletion)
	h.mux.HandleFunc("POST /v1/chat/completions", h.handleCompletion)
	h.mux.HandleFunc(servicePrefix+"{name}/", h.handleService)
	h.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	h.mux.HandleFunc("GET /readyz", h.readyz)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Reset the write deadline that an earlier request on the connection set.
	callerWriter{w: w, timeout: bodyReadTimeout + h.cfg.WriteTimeout}.extendDeadline()
	h.mux.ServeHTTP(w, r)
}

// Start carries out attempts.Start.
func (h *Handler) Start(e attempts.Start) { h.activeRequests.deliver(e.Request, e) }

// Refuse carries out attempts.Refuse.
func (h *Handler) Refuse(e attempts.Refuse) { h.activeRequests.deliver(e.Request, e) }

// Finish carries out attempts.Finish.
func (h *Handler) Finish(e attempts.Finish) { h.activeRequests.deliver(e.Request, e) }

func (h *Handler) readyz(w http.ResponseWriter, r *http.Request) {
	if !h.cfg.Ready(r.Context()) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Replay carries out attempts.Replay.
func (h *Handler) Replay(e attempts.Replay) { h.activeRequests.deliver(e.Request, e) }

// Abort carries out attempts.Abort.
func (h *Handler) Abort(e attempts.Abort) {
	if active := h.activeRequests.get(e.Request); active != nil {
		active.abortRestarted(e.Attempt)
	}
}

// RequestsInProgress returns the number of requests in progress.
func (h *Handler) RequestsInProgress() int { return h.activeRequests.count() }

// HeldBodyBytes returns the total size of the long bodies kept for a retry.
func (h *Handler) HeldBodyBytes() int64 { return h.bodyBudget.Reserved() }

func (h *Handler) newCallerWriter(w http.ResponseWriter, req gypsumshelf.Request) callerWriter {
	return callerWriter{w: w, timeout: h.cfg.WriteTimeout, deadline: req.Deadline()}
}
