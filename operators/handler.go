// Package operators is the HTTP interface for operator commands, and its client.
package operators

import (
	"context"
	"encoding/json"
	"net/http"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
)

// Status is the answer to the status command.
type Status struct {
	Daemon         gypsumshelf.DaemonID `json:"daemon"`
	Ready          bool                 `json:"ready"`
	BackendServers []ServerStatus       `json:"backend-servers"`
}

// ServerStatus is one backend server as a daemon sees it.
type ServerStatus struct {
	gypsumshelf.Announcement
	Attempts int `json:"attempts"` // attempts of this daemon in progress
}

// Config configures a Handler.
type Config struct {
	Status  func(context.Context) (Status, bool)
	Explain func(context.Context, gypsumshelf.RequestID) ([]attempts.Note, bool)
}

// Handler serves operators.
type Handler struct {
	cfg Config
	mux *http.ServeMux
}

// New returns a Handler.
func New(cfg Config) *Handler {
	h := &Handler{cfg: cfg, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /status", h.status)
	h.mux.HandleFunc("GET /explain/{request}", h.explain)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	status, ok := h.cfg.Status(r.Context())
	if !ok {
		http.Error(w, "daemon is stopping", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, status)
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	notes, ok := h.cfg.Explain(r.Context(), gypsumshelf.RequestID(r.PathValue("request")))
	if !ok {
		http.Error(w, "request is not known to this daemon", http.StatusNotFound)
		return
	}
	writeJSON(w, notes)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
