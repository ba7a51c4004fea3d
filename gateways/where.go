package gateways

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf/forwards"
)

// WherePath is the path at which operators ask where a request would go.
const WherePath = "/where"

// Parameters of a query at WherePath.
const (
	ParameterHost      = "host"
	ParameterPath      = "path"
	ParameterTokens    = "tokens"
	ParameterAnswer    = "answer"
	ParameterWorkspace = "workspace"
)

// whereHandler answers one query at a time, so that operators take no time from requests.
type whereHandler struct {
	gateway *Gateway
	busy    sync.Mutex
}

// WhereHandler returns the handler of queries where a request would go.
func (g *Gateway) WhereHandler() http.Handler { return &whereHandler{gateway: g} }

// ServeHTTP implements http.Handler.
func (h *whereHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", http.MethodGet)
		http.Error(w, "only GET is allowed", http.StatusMethodNotAllowed)
		return
	}
	if !h.busy.TryLock() {
		http.Error(w, "another query is being answered", http.StatusTooManyRequests)
		return
	}
	defer h.busy.Unlock()
	g := h.gateway
	request, err := parseWhere(r.URL.Query())
	var preview forwards.Preview
	if err == nil {
		preview, err = g.forwarder.Preview(request)
	}
	switch {
	case errors.Is(err, forwards.ErrNoRoute):
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	case errors.Is(err, forwards.ErrInvalidPreview):
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	case err != nil:
		g.cfg.Log.WithError(err).Warn("cannot tell where a request would go")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	preview.StateAgeMs = (time.Since(g.started) - time.Duration(g.lastViewNanos.Load())).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(preview); err != nil {
		g.cfg.Log.WithError(err).Warn("cannot write where a request would go")
	}
}

func parseWhere(query url.Values) (forwards.PreviewRequest, error) {
	r := forwards.PreviewRequest{Host: query.Get(ParameterHost), Path: query.Get(ParameterPath), Workspace: query.Get(ParameterWorkspace)}
	for name, n := range map[string]*int{ParameterTokens: &r.PromptTokens, ParameterAnswer: &r.AnswerTokens} {
		text := query.Get(name)
		if text == "" {
			continue
		}
		var err error
		if *n, err = strconv.Atoi(text); err != nil {
			return r, fmt.Errorf("%w: %s is %q, want a number", forwards.ErrInvalidPreview, name, text)
		}
	}
	return r, nil
}
