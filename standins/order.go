package standins

import (
	"encoding/json"
	"net/http"
	"sync"

	"gypsumshelf.example/gypsumshelf/engines"
)

// orderHandler accepts orders to an engine. If checksFencing is set, it rejects
// orders whose fencing number is lower than the highest accepted one.
type orderHandler struct {
	checksFencing bool

	mu             sync.Mutex
	highestFencing uint64
	accepted       []engines.Order
}

func (o *orderHandler) accept(order engines.Order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checksFencing && order.Fencing < o.highestFencing {
		return false
	}
	o.highestFencing = max(o.highestFencing, order.Fencing)
	o.accepted = append(o.accepted, order)
	return true
}

func (o *orderHandler) list() []engines.Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]engines.Order{}, o.accepted...)
}

// ServeHTTP implements http.Handler.
func (o *orderHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
