package standins

import (
	"encoding/json"
	"net/http"
	"sync"

	"gypsumshelf.example/gypsumshelf/engines"
)

// Order is the body of POST /v1/orders.
type Order struct {
	ID      string `json:"order"`
	Kind    string `json:"kind"` // such as load-model, load-adapter, set-role
	Target  string `json:"target"`
	Fencing uint64 `json:"fencing"`
}

// orders takes orders. One variant rejects an order whose fencing number is
// lower than the highest seen; the other ignores the number.
type orders struct {
	checks bool

	mu       sync.Mutex
	highest  uint64
	accepted []Order
}

func (o *orders) accept(order Order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checks && order.Fencing < o.highest {
		return false
	}
	o.highest = max(o.highest, order.Fencing)
	o.accepted = append(o.accepted, order)
	return true
}

func (o *orders) list() []Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Order{}, o.accepted...)
}

// ServeHTTP implements http.Handler.
func (o *orders) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.Header().Set(engines.HeaderNotRun, "true")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !o.accept(order) {
		w.Header().Set(engines.HeaderNotRun, "true")
		http.Error(w, "fencing number is older than the last accepted one", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
