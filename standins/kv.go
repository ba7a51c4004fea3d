package standins

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf/engines"
)

// kvStore serves the reservation of engine memory and the export and import of
// KV caches. A cache is represented by its length in tokens.
//
//	POST   /v1/kv/reservations            {"reservation", "tokens", "lease-ms"}
//	GET    /v1/kv/reservations            list of reservations
//	DELETE /v1/kv/reservations/{id}       release; no error if it does not exist
//	GET    /v1/kv/caches/{id}             export
//	PUT    /v1/kv/caches/{id}             import into the reservation with that id
type kvStore struct {
	memory *memory

	mu     sync.Mutex
	caches map[string]kvCache
}

type reserveRequest struct {
	Reservation string `json:"reservation"`
	Tokens      int    `json:"tokens"`
	LeaseMS     int64  `json:"lease-ms"`
}

type kvCache struct {
	Tokens int `json:"tokens"`
}

func newKVStore(m *memory) *kvStore { return &kvStore{memory: m, caches: map[string]kvCache{}} }

func (k *kvStore) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/kv/reservations", k.reserve)
	mux.HandleFunc("GET /v1/kv/reservations", k.list)
	mux.HandleFunc("DELETE /v1/kv/reservations/{id}", k.release)
	mux.HandleFunc("GET /v1/kv/caches/{id}", k.export)
	mux.HandleFunc("PUT /v1/kv/caches/{id}", k.importCache)
}

func (k *kvStore) reserve(w http.ResponseWriter, r *http.Request) {
	var body reserveRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Reservation == "" || body.Tokens <= 0 {
		refuse(w, http.StatusBadRequest, "reservation must have an id and a positive number of tokens")
		return
	}
	if !k.memory.reserve(time.Now(), body.Reservation, body.Tokens, time.Duration(body.LeaseMS)*time.Millisecond) {
		refuse(w, http.StatusServiceUnavailable, "memory is full")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (k *kvStore) list(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, k.memory.list(time.Now()))
}

func (k *kvStore) release(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	k.memory.release(id)
	k.mu.Lock()
	delete(k.caches, id)
	k.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (k *kvStore) export(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	cache, ok := k.caches[r.PathValue("id")]
	k.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, cache)
}

func (k *kvStore) importCache(w http.ResponseWriter, r *http.Request) {
	var cache kvCache
	if err := json.NewDecoder(r.Body).Decode(&cache); err != nil || cache.Tokens < 0 {
		refuse(w, http.StatusBadRequest, "cache must have a non-negative number of tokens")
		return
	}
	id := r.PathValue("id")
	if k.memory.reservedTokens(id) < cache.Tokens {
		refuse(w, http.StatusConflict, "reservation of this id is missing or too small for the cache")
		return
	}
	k.mu.Lock()
	k.caches[id] = cache
	k.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// refuse writes an error response, with the header which says that the request
// was not run.
func refuse(w http.ResponseWriter, status int, text string) {
	w.Header().Set(engines.HeaderNotRun, "true")
	http.Error(w, text, status)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
