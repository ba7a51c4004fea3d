package standins

import (
	"encoding/json"
	"net/http"
	"sync"

	"gypsumshelf.example/gypsumshelf/engines"
)

// orders serves orders to an engine. If checks is set, it rejects orders whose
// fencing number is lower than the highest accepted one.
type orders struct {
	checks bool

	mu       sync.Mutex
	highest  uint64
	accepted []engines.Order
}

func (o *orders) accept(order engines.Order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checks && order.Fencing < o.highest {
		return false
	}
	o.highest = max(o.highest, order.Fencing)
	o.accepted = append(o.accepted, order)
	return true
}

func (o *orders) list() []engines.Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]engines.Order{}, o.accepted...)
}

// ServeHTTP implements http.Handler.
func (o *orders) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var order engines.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.Header().Set(engines.HeaderNotRun, "true")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !o.accept(order) {
		w.Header().Set(engines.HeaderNotRun, "true")
		http.Error(w, "fencing number is lower than the highest accepted one", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
