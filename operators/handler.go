// Package operators implements the HTTP interface for operator commands and its
// client.
package operators

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/configs"
)

// maxCommandBytes is the maximum size of the body of a command.
const maxCommandBytes = 64 << 10

// Config configures a Handler. Status and History report false when the daemon
// is stopping, Explain when it has no notes of the request.
type Config struct {
	Status  func(context.Context) (Status, bool)
	Explain func(context.Context, gypsumshelf.RequestID) ([]attempts.Note, bool)
	History func(context.Context) ([]configs.AcceptedChange, bool)
	// Execute returns the result of a command, or an error when its outcome is
	// unknown.
	Execute func(context.Context, configs.OperatorCommand) (configs.Result, error)
}

// Handler serves the commands and queries of operators.
type Handler struct {
	cfg Config
	mux *http.ServeMux
}

// New returns a Handler.
func New(cfg Config) *Handler {
	h := &Handler{cfg: cfg, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /status", h.status)
	h.mux.HandleFunc("GET /history", h.history)
	h.mux.HandleFunc("GET /explain/{request}", h.explain)
	h.mux.HandleFunc("POST /commands", h.operate)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	status, ok := h.cfg.Status(r.Context())
	if !ok {
		writeProblem(w, http.StatusServiceUnavailable, CodeStopping, "daemon is stopping")
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func (h *Handler) history(w http.ResponseWriter, r *http.Request) {
	history, ok := h.cfg.History(r.Context())
	if !ok {
		writeProblem(w, http.StatusServiceUnavailable, CodeStopping, "daemon is stopping")
		return
	}
	writeJSON(w, http.StatusOK, history)
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	id := gypsumshelf.RequestID(r.PathValue("request"))
	notes, ok := h.cfg.Explain(r.Context(), id)
	if !ok {
		writeProblem(w, http.StatusNotFound, CodeUnknownRequest, fmt.Sprintf("request %q is unknown to this daemon", id))
		return
	}
	writeJSON(w, http.StatusOK, notes)
}

func (h *Handler) operate(w http.ResponseWriter, r *http.Request) {
	var command configs.OperatorCommand
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommandBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&command); err != nil {
		writeProblem(w, http.StatusBadRequest, string(configs.CodeInvalid), fmt.Sprintf("command cannot be decoded from JSON: %v", err))
		return
	}
	if command.CommandID == "" || command.Operator == "" {
		writeProblem(w, http.StatusBadRequest, string(configs.CodeInvalid), "fields command-id and operator must not be empty")
		return
	}
	result, err := h.cfg.Execute(r.Context(), command)
	if err != nil {
		writeProblem(w, http.StatusGatewayTimeout, CodeUnknownOutcome,
			fmt.Sprintf("%v; send the command again with the same command id, %s", err, command.CommandID))
		return
	}
	writeJSON(w, statusForResult(result), CommandResponse{CommandID: command.CommandID, Accepted: result.Accepted(), Result: result})
}

// statusForResult returns the HTTP status for the result of a command.
func statusForResult(r configs.Result) int {
	switch {
	case r.Accepted():
		return http.StatusOK
	case r.Code == configs.CodeInvalid:
		return http.StatusBadRequest
	case r.Code == configs.CodeNotFound:
		return http.StatusNotFound
	}
	return http.StatusConflict
}

func writeProblem(w http.ResponseWriter, status int, code, text string) {
	writeJSON(w, status, Problem{Code: code, Text: text})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
