package configs

import (
	"maps"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/placements"
)

// PlacementEpoch is the name of the fencing epoch of the leader that issues
// orders to engines.
const PlacementEpoch = "placements"

// OrderRetention bounds the time for which an order without an end holds the model
// that it replaces out of routing.
const OrderRetention = 10 * time.Minute

// IssueOrder records an order before it is sent to its engine. Loads are held
// under the rate of the weight store by a token bucket in the replicated state,
// so that a change of leader does not start a new burst.
type IssueOrder struct {
	Epoch     uint64           `json:"epoch"` // of PlacementEpoch, belongs to the issuing leader
	Order     placements.Order `json:"order"`
	PerMinute float64          `json:"per-minute"` // loads that the weight store bears
	Burst     float64          `json:"burst"`
}

// EndOrder records that an order took effect or was given up.
type EndOrder struct {
	Epoch uint64           `json:"epoch"`
	Order placements.Order `json:"order"`
}

// CommandType implements Command.
func (IssueOrder) CommandType() string { return "issue-order" }

// CommandType implements Command.
func (EndOrder) CommandType() string { return "end-order" }

// IssuedOrder is an order that may be under way.
type IssuedOrder struct {
	Order placements.Order `json:"order"`
	Epoch uint64           `json:"epoch"`
	At    time.Time        `json:"at"`
}

// loadBucket is the token bucket of the weight store.
type loadBucket struct {
	Spent float64   `json:"spent"` // loads above the rate, falls with time
	At    time.Time `json:"at"`
}

// allow takes one load if the burst allows it.
func (b *loadBucket) allow(now time.Time, perMinute, burst float64) bool {
	spent := max(0, b.Spent-now.Sub(b.At).Minutes()*perMinute)
	if spent+1 > burst {
		return false
	}
	b.Spent, b.At = spent+1, now
	return true
}

func (s *State) issueOrder(c IssueOrder) Result {
	if current := s.d.Epochs[PlacementEpoch]; current.Number != c.Epoch {
		return s.refuse(CodeStaleEpoch, "orders of epoch %d are no longer accepted, epoch %d belongs to %s", c.Epoch, current.Number, current.Owner)
	}
	if issued, ok := s.d.Orders[c.Order.Server]; ok && issued.Order == c.Order && issued.Epoch == c.Epoch {
		return Result{Text: "order issued", Revision: s.d.Revision, Epoch: c.Epoch}
	}
	if !s.d.Loads.allow(s.d.Now, c.PerMinute, c.Burst) {
		return s.refuse(CodeRateLimited, "the weight store bears %g loads per minute", c.PerMinute)
	}
	s.d.Orders[c.Order.Server] = IssuedOrder{Order: c.Order, Epoch: c.Epoch, At: s.d.Now}
	return Result{Text: "order issued", Revision: s.d.Revision, Epoch: c.Epoch}
}

func (s *State) endOrder(c EndOrder) Result {
	if issued, ok := s.d.Orders[c.Order.Server]; ok && issued.Order == c.Order && issued.Epoch <= c.Epoch {
		delete(s.d.Orders, c.Order.Server)
	}
	return Result{Text: "order ended", Revision: s.d.Revision}
}

func (s *State) sweepOrders() {
	maps.DeleteFunc(s.d.Orders, func(_ gypsumshelf.ServerID, i IssuedOrder) bool { return s.d.Now.Sub(i.At) > OrderRetention })
}

// Orders returns the orders that may be under way, by engine.
func (s *State) Orders() map[gypsumshelf.ServerID]IssuedOrder { return maps.Clone(s.d.Orders) }

// Retiring reports whether an engine may be about to drop a model, so that it
// gets no new work for it.
func (s *State) Retiring(server gypsumshelf.ServerID, incarnation, model string) bool {
	issued, ok := s.d.Orders[server]
	return ok && model != "" && issued.Order.Incarnation == incarnation && issued.Order.Replace == model
}
