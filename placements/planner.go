// Package placements decides which engine holds which model, based on demand,
// memory and data centres. It plans orders; only the leader issues them.
package placements

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Config configures a Planner.
type Config struct {
	MinCopies       int           // least number of engines that hold a model with demand
	MinIdleCopies   int           // engines that keep a model without demand, so that the model stays known
	Headroom        float64       // factor by which planned capacity exceeds demand, above 1
	ShrinkDelay     time.Duration // time for which a surplus copy is kept
	OrderTimeout    time.Duration // time after which an order without effect is replaced
	MaxOrderTransit time.Duration // longest time for which an order of an earlier leader may be in flight
	ModelsPerEngine int
}

// Engine is the planner's view of an engine.
type Engine struct {
	Server      gypsumshelf.ServerID
	Incarnation string
	DataCentre  string
	Service     string
	Models      []string
	InService   bool // its data centre is in service and it is not leaving
}

// Demand is the demand for one model.
type Demand struct {
	Model   string
	Service string  // service whose engines may hold the model
	Tokens  float64 // prompt tokens per second
}

// Order tells one incarnation of an engine to load a model, in place of another
// one if necessary.
type Order struct {
	Server      gypsumshelf.ServerID `json:"backend-server"`
	Incarnation string               `json:"incarnation"`
	Load        string               `json:"load"`
	Replace     string               `json:"replace,omitempty"` // model to unload, empty if there is free memory
}

// View is the input of a plan.
type View struct {
	Engines    []Engine
	Demand     []Demand
	EngineRate float64 // prompt tokens per second that one engine serves
}

// Planner plans orders. It has no clock and no I/O.
type Planner struct {
	cfg          Config
	epochStart   time.Time                          // start of this leader's epoch, zero if this daemon does not lead
	pending      map[gypsumshelf.ServerID]sentOrder // orders that have not taken effect yet
	failedUntil  map[engineIncarnation]time.Time    // end of the exclusion of engines that did not carry out an order
	surplusSince map[string]time.Time               // time since which a model has had surplus copies
}

type sentOrder struct {
	order  Order
	sentAt time.Time
}

type engineIncarnation struct {
	server      gypsumshelf.ServerID
	incarnation string
}

// New returns a Planner whose daemon does not lead.
func New(cfg Config) *Planner {
	p := &Planner{cfg: cfg}
	p.StepDown()
	return p
}

// StartEpoch starts an epoch of this leader. No order is planned for
// Config.MaxOrderTransit, because orders of an earlier leader may still be in
// flight.
func (p *Planner) StartEpoch(now time.Time) {
	p.StepDown()
	p.epochStart = now
}

// StepDown ends the epoch of this leader.
func (p *Planner) StepDown() {
	p.epochStart = time.Time{}
	p.pending = map[gypsumshelf.ServerID]sentOrder{}
	p.failedUntil = map[engineIncarnation]time.Time{}
	p.surplusSince = map[string]time.Time{}
}

// MayOrder reports whether this leader's epoch has begun and no order of an
// earlier leader can be in flight any more.
func (p *Planner) MayOrder(now time.Time) bool {
	return !p.epochStart.IsZero() && now.Sub(p.epochStart) >= p.cfg.MaxOrderTransit
}

// Plan returns the orders to issue now, at most one for each engine and each
// model.
func (p *Planner) Plan(now time.Time, v View) []Order {
	if !p.MayOrder(now) {
		return nil
	}
	p.updatePending(now, v.Engines)
	p.trackSurplus(now, v)
	v.Demand = slices.Clone(v.Demand)
	slices.SortFunc(v.Demand, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Model, b.Model))
	})
	var orders []Order
	for _, d := range v.Demand {
		if order, ok := p.planCopy(now, v, d); ok {
			orders = append(orders, order)
			p.pending[order.Server] = sentOrder{order: order, sentAt: now}
		}
	}
	return orders
}

// Pending reports whether an order is in progress: it has neither taken effect
// nor timed out.
func (p *Planner) Pending(o Order) bool { return p.pending[o.Server].order == o }

// Withdraw removes an order that was not issued, for example because the rate
// limit of the weight store is exhausted.
func (p *Planner) Withdraw(o Order) {
	if p.pending[o.Server].order == o {
		delete(p.pending, o.Server)
	}
}

// updatePending removes the orders that have taken effect, that have timed out,
// or whose engine is gone. An engine that let an order time out is excluded for
// another Config.OrderTimeout.
func (p *Planner) updatePending(now time.Time, engines []Engine) {
	for _, id := range slices.Sorted(maps.Keys(p.pending)) {
		pending := p.pending[id]
		i := slices.IndexFunc(engines, func(e Engine) bool { return e.Server == id && e.Incarnation == pending.order.Incarnation })
		switch {
		case i < 0 || slices.Contains(engines[i].Models, pending.order.Load):
			delete(p.pending, id)
		case now.Sub(pending.sentAt) >= p.cfg.OrderTimeout:
			delete(p.pending, id)
			p.failedUntil[engineIncarnation{id, pending.order.Incarnation}] = now.Add(p.cfg.OrderTimeout)
		}
	}
	maps.DeleteFunc(p.failedUntil, func(_ engineIncarnation, until time.Time) bool { return !now.Before(until) })
}

// CopiesForDemand returns the number of engines that should hold a model if
// each serves rate prompt tokens per second.
func (p *Planner) CopiesForDemand(d Demand, rate float64) int {
	if d.Tokens <= 0 {
		return 0
	}
	return max(p.cfg.MinCopies, int(math.Ceil(d.Tokens*p.cfg.Headroom/rate)))
}

// planCopy returns an order for one more copy of a model if there are too few.
// It selects the data centre with the fewest copies.
func (p *Planner) planCopy(now time.Time, v View, d Demand) (Order, bool) {
	copiesByDataCentre := map[string]int{} // including pending orders
	copies := 0
	for _, e := range v.Engines {
		if e.InService && (slices.Contains(e.Models, d.Model) || p.pending[e.Server].order.Load == d.Model) {
			copiesByDataCentre[e.DataCentre]++
			copies++
		}
	}
	if copies >= p.CopiesForDemand(d, v.EngineRate) {
		return Order{}, false
	}
	var best Order
	bestCopies := math.MaxInt
	for _, e := range v.Engines {
		order, ok := p.orderFor(now, v, d, e)
		if ok && copiesByDataCentre[e.DataCentre] < bestCopies {
			best, bestCopies = order, copiesByDataCentre[e.DataCentre]
		}
	}
	return best, bestCopies < math.MaxInt
}

// orderFor returns the order that makes an engine load the model, or false if
// the engine cannot load it.
func (p *Planner) orderFor(now time.Time, v View, d Demand, e Engine) (Order, bool) {
	_, busy := p.pending[e.Server]
	_, failed := p.failedUntil[engineIncarnation{e.Server, e.Incarnation}]
	if !e.InService || busy || failed || e.Service != d.Service || slices.Contains(e.Models, d.Model) {
		return Order{}, false
	}
	order := Order{Server: e.Server, Incarnation: e.Incarnation, Load: d.Model}
	if len(e.Models) < p.cfg.ModelsPerEngine {
		return order, true
	}
	for _, model := range e.Models {
		if p.mayReplace(now, v, model) {
			order.Replace = model
			return order, true
		}
	}
	return Order{}, false
}

// trackSurplus records since when each model has had more copies than wanted.
// The time restarts when the surplus ends, even briefly.
func (p *Planner) trackSurplus(now time.Time, v View) {
	copies := p.countCopies(v.Engines)
	maps.DeleteFunc(p.surplusSince, func(model string, _ time.Time) bool { return copies[model] == 0 })
	for model, n := range copies {
		if n <= p.wantedCopies(v, model) {
			delete(p.surplusSince, model)
		} else if _, ok := p.surplusSince[model]; !ok {
			p.surplusSince[model] = now
		}
	}
}

// countCopies returns the number of copies of each model, without those that a
// pending order replaces.
func (p *Planner) countCopies(engines []Engine) map[string]int {
	copies := map[string]int{}
	for _, e := range engines {
		for _, model := range e.Models {
			if e.InService && p.pending[e.Server].order.Replace != model {
				copies[model]++
			}
		}
	}
	return copies
}

// wantedCopies returns the number of copies that a model should have, which is
// at least Config.MinIdleCopies.
func (p *Planner) wantedCopies(v View, model string) int {
	i := slices.IndexFunc(v.Demand, func(d Demand) bool { return d.Model == model })
	if i < 0 {
		return p.cfg.MinIdleCopies
	}
	return max(p.cfg.MinIdleCopies, p.CopiesForDemand(v.Demand[i], v.EngineRate))
}

// mayReplace reports whether a copy of a model may be replaced. The model must
// have had a surplus copy for Config.ShrinkDelay, so that a short dip in its
// demand moves nothing.
func (p *Planner) mayReplace(now time.Time, v View, model string) bool {
	since, ok := p.surplusSince[model]
	return ok && now.Sub(since) >= p.cfg.ShrinkDelay && p.countCopies(v.Engines)[model] > p.wantedCopies(v, model)
}
