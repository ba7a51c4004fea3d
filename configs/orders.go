package configs

import (
	"maps"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/placements"
)

// PlacementEpoch is the name of the fencing epoch that the leader holds while it
// issues orders to engines.
const PlacementEpoch = "placements"

// OrderRetention is the time after which an order without an EndOrder is
// dropped. Until then, the engine gets no new work for the model that the order
// replaces.
const OrderRetention = 10 * time.Minute

// IssueOrder records an order before it is sent to its engine. A token bucket
// limits model loads to the rate that the weight store supports; it is part of
// the replicated state, so that a change of leader does not allow a new burst.
type IssueOrder struct {
	Epoch     uint64           `json:"epoch"` // epoch of PlacementEpoch that the issuing leader owns
	Order     placements.Order `json:"order"`
	PerMinute float64          `json:"per-minute"` // rate limit of model loads from the weight store
	Burst     float64          `json:"burst"`
}

// EndOrder records that an order took effect or was abandoned.
type EndOrder struct {
	Epoch uint64           `json:"epoch"`
	Order placements.Order `json:"order"`
}

// CommandType implements Command.
func (IssueOrder) CommandType() string { return "issue-order" }

// CommandType implements Command.
func (EndOrder) CommandType() string { return "end-order" }

// IssuedOrder is an order that the engine may still be carrying out.
type IssuedOrder struct {
	Order placements.Order `json:"order"`
	Epoch uint64           `json:"epoch"`
	At    time.Time        `json:"at"`
}

// loadBucket is the token bucket that limits model loads from the weight store.
type loadBucket struct {
	Spent float64   `json:"spent"` // tokens used at At; refilled at the rate limit
	At    time.Time `json:"at"`
}

// allow consumes a token for one load and reports whether one was available.
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
		return s.refuse(CodeRateLimited, "model loads from the weight store are limited to %g per minute", c.PerMinute)
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

// Orders returns the orders that have not ended, by engine.
func (s *State) Orders() map[gypsumshelf.ServerID]IssuedOrder { return maps.Clone(s.d.Orders) }

// ReplacementPending reports whether an engine may be about to unload a model
// because of an order that replaces it. Such an engine gets no new work for the
// model.
func (s *State) ReplacementPending(server gypsumshelf.ServerID, incarnation, model string) bool {
	issued, ok := s.d.Orders[server]
	return ok && model != "" && issued.Order.Incarnation == incarnation && issued.Order.Replace == model
}
