// Package announcements implements the HTTP interface on which backend servers
// announce themselves.
package announcements

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/servers"
)

// maxBodyBytes is the largest accepted body of an announcement.
const maxBodyBytes = 64 << 10

// Config configures a Handler.
type Config struct {
	Submit          func(gypsumshelf.Event)
	AllowedNetworks []netip.Prefix // networks that may contain backend servers
}

// Handler accepts announcements of backend servers and submits them as events.
type Handler struct {
	cfg Config
	mux *http.ServeMux
}

// New returns a Handler.
func New(cfg Config) *Handler {
	h := &Handler{cfg: cfg, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /announce", h.announce)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) announce(w http.ResponseWriter, r *http.Request) {
	var a gypsumshelf.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&a); err != nil {
		http.Error(w, fmt.Sprintf("announcement is not valid JSON: %v", err), http.StatusBadRequest)
		return
	}
	if err := Check(a, h.cfg.AllowedNetworks); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.cfg.Submit(servers.Announced{Announcement: a})
	w.WriteHeader(http.StatusNoContent)
}

// Check returns an error that names the first invalid field of an announcement.
func Check(a gypsumshelf.Announcement, allowed []netip.Prefix) error {
	for _, f := range []struct{ key, value string }{
		{"backend-server", string(a.Server)}, {"incarnation", a.Incarnation},
		{"data-centre", a.DataCentre}, {"service", a.Service},
	} {
		if f.value == "" {
			return fmt.Errorf("field %q is missing", f.key)
		}
	}
	if a.Kind != gypsumshelf.KindEngine && a.Kind != gypsumshelf.KindPlain {
		return fmt.Errorf("field %q is %q, want %q or %q", "kind", a.Kind, gypsumshelf.KindEngine, gypsumshelf.KindPlain)
	}
	switch a.State {
	case gypsumshelf.ServerStarting, gypsumshelf.ServerReady, gypsumshelf.ServerLeaving:
	default:
		return fmt.Errorf("field %q has unknown value %q", "state", a.State)
	}
	if a.MemoryTokens < 0 || a.Load.Running < 0 || a.Load.Queued < 0 || a.Load.UsedTokens < 0 {
		return fmt.Errorf("a count in the announcement is negative: memory-tokens %d, running %d, queued %d, used-tokens %d",
			a.MemoryTokens, a.Load.Running, a.Load.Queued, a.Load.UsedTokens)
	}
	return checkAddress(a.Address, allowed)
}

func checkAddress(address string, allowed []netip.Prefix) error {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("field %q is %q, want IP:PORT", "address", address)
	}
	for _, network := range allowed {
		if network.Contains(ap.Addr()) {
			return nil
		}
	}
	return fmt.Errorf("address %s is outside the allowed networks", address)
}
