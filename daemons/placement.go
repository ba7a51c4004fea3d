package daemons

import (
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/configs"
	"gypsumshelf.example/gypsumshelf/placements"
)

const (
	placementPeriod = time.Second
	// orderRetryInterval is the time after which an order that has not taken effect is sent again.
	orderRetryInterval = 5 * time.Second
	// orderTimeout covers the completion of requests in progress and the model load.
	orderTimeout = 3 * time.Minute
	// orderSendTimeout bounds one call to an engine. No order is sent after the
	// leader's freshness lease has expired, so that an order is in flight for at
	// most the lease and this timeout.
	orderSendTimeout         = 2 * time.Second
	shrinkDelay              = 10 * time.Minute
	placementProposalTimeout = 5 * time.Second // for the result of a proposal
	demandHeadroom           = 1.25
	// defaultEngineTokensPerSecond is the assumed prompt rate of an engine until
	// first tokens have been timed.
	defaultEngineTokensPerSecond = 50_000
	loadBurst                    = 2
)

// placement is the part of the reducer that decides, on the leader, which engine
// holds which model.
type placement struct {
	planner        *placements.Planner
	meter          *placements.DemandMeter
	lease          time.Duration
	loadsPerMinute float64
	nextTick       time.Time
	term           uint64 // in which this daemon requested its epoch
	epoch          uint64 // fencing epoch of this leader, 0 while it has none
	issued         []*issuedOrder
}

// issuedOrder is an order of this leader that is recorded in the log.
type issuedOrder struct {
	order    placements.Order
	issuedAt time.Time
	sentAt   time.Time
}

func newPlacement(cfg ReducerConfig) *placement {
	return &placement{
		planner: placements.New(placements.Config{
			MinCopies: 2, MinIdleCopies: 1, Headroom: demandHeadroom, ShrinkDelay: shrinkDelay,
			OrderTimeout: orderTimeout, MaxOrderTransit: cfg.Lease.Duration + orderSendTimeout, ModelsPerEngine: 1,
		}),
		meter: placements.NewDemandMeter(), lease: cfg.Lease.Duration, loadsPerMinute: cfg.LoadsPerMinute,
	}
}

func (r *Reducer) registerPlacementHandlers() {
	registerHandler(r, func(now time.Time, e placements.Reported) { r.placement.meter.StoreReport(now, e.From, e.Report) })
}

// tickPlacement reports this daemon's demand and, on the leader, issues orders.
func (r *Reducer) tickPlacement(now time.Time) {
	p := r.placement
	if p.loadsPerMinute <= 0 || now.Before(p.nextTick) {
		return
	}
	p.nextTick = now.Add(placementPeriod)
	own := p.meter.LocalDemand(now)
	leader, ok := r.configuration.log.Leader()
	switch {
	case !ok || !r.configuration.leaseValid(now):
		p.stepDown()
	case leader == r.cfg.Daemon:
		p.meter.StoreReport(now, leader, own)
		r.planPlacement(now)
	default:
		p.stepDown()
		r.emit(placements.SendReport{To: leader, Report: own})
	}
}

func (p *placement) stepDown() {
	p.planner.StepDown()
	p.term, p.epoch, p.issued = 0, 0, nil
}

// planPlacement issues orders as the leader, once it has a fencing epoch.
func (r *Reducer) planPlacement(now time.Time) {
	p := r.placement
	if term := r.configuration.log.Term(); p.term != term {
		p.stepDown()
		p.term = term
		r.advancePlacementEpoch(now, term)
		return
	}
	if p.epoch == 0 {
		return
	}
	v := r.placementView(now)
	for _, order := range p.planner.Plan(now, v) {
		r.issueOrder(now, order)
	}
	r.updateOrders(now)
}

// advancePlacementEpoch requests a new fencing epoch for this leader's orders.
func (r *Reducer) advancePlacementEpoch(now time.Time, term uint64) {
	p := r.placement
	command := configs.AdvanceEpoch{
		Name: configs.PlacementEpoch, From: r.configuration.state.Epoch(configs.PlacementEpoch).Number, Owner: r.cfg.Daemon,
	}
	r.configuration.propose(now, command, placementProposalTimeout, func(now time.Time, result configs.Result, err error) {
		switch {
		case p.term != term:
		case err != nil || !result.Accepted():
			p.term = 0 // requests the epoch again
		default:
			p.epoch = result.Epoch
			p.planner.StartEpoch(now)
		}
	})
}

// issueOrder has an order recorded in the replicated log before it is sent.
func (r *Reducer) issueOrder(now time.Time, order placements.Order) {
	p := r.placement
	epoch := p.epoch
	command := configs.IssueOrder{Epoch: epoch, Order: order, PerMinute: p.loadsPerMinute, Burst: loadBurst}
	r.configuration.propose(now, command, placementProposalTimeout, func(now time.Time, result configs.Result, err error) {
		switch {
		case p.epoch != epoch:
		case err != nil || !result.Accepted():
			p.planner.Withdraw(order)
		default:
			p.issued = append(p.issued, &issuedOrder{order: order, issuedAt: now})
		}
	})
}

// updateOrders sends the issued orders, again if necessary, and ends those that
// took effect or timed out.
func (r *Reducer) updateOrders(now time.Time) {
	p := r.placement
	p.issued = slices.DeleteFunc(p.issued, func(i *issuedOrder) bool {
		if p.planner.Pending(i.order) {
			return false
		}
		end := configs.EndOrder{Epoch: p.epoch, Order: i.order}
		r.configuration.propose(now, end, placementProposalTimeout, func(time.Time, configs.Result, error) {})
		return true
	})
	for _, i := range p.issued {
		s := r.servers.Server(i.order.Server)
		if s == nil || s.Announcement().Incarnation != i.order.Incarnation || now.Sub(i.sentAt) < orderRetryInterval || !r.drained(now, i) {
			continue
		}
		i.sentAt = now
		r.emit(placements.SendOrder{
			Address: s.Announcement().Address, Order: i.order, Fencing: p.epoch, NotAfter: r.configuration.lease.Expires(),
		})
	}
}

// drained reports whether no daemon uses an engine that is to drop a model. That
// holds once the engine reports no work and the lease duration has passed since
// the order was issued: every daemon with a valid lease then knows of the order.
func (r *Reducer) drained(now time.Time, i *issuedOrder) bool {
	if i.order.Replace == "" {
		return true
	}
	load := r.servers.Server(i.order.Server).Announcement().Load
	return now.Sub(i.issuedAt) > r.placement.lease && load.Running == 0 && load.Queued == 0
}

// placementView returns the engines and the demand as the planner needs them.
func (r *Reducer) placementView(now time.Time) placements.View {
	v := placements.View{EngineRate: defaultEngineTokensPerSecond}
	serviceOf := map[string]string{}
	var rates []float64
	for _, s := range r.servers.All() {
		a := s.Announcement()
		if a.Kind != gypsumshelf.KindEngine {
			continue
		}
		models := make([]string, len(a.Models))
		for i, model := range a.Models {
			models[i] = r.canonical(gypsumshelf.NameModel, model)
			serviceOf[models[i]] = a.Service
		}
		if t := s.SecondsPerPromptToken(now); t > 0 {
			rates = append(rates, 1/t)
		}
		v.Engines = append(v.Engines, placements.Engine{
			Server: a.Server, Incarnation: a.Incarnation, DataCentre: a.DataCentre, Service: a.Service,
			Models: models, InService: r.servers.Accepts(now, s),
		})
	}
	if len(rates) > 0 {
		slices.Sort(rates)
		v.EngineRate = rates[len(rates)/2]
	}
	v.Demand = r.placement.meter.TotalDemand(now, func(model string) string { return serviceOf[model] })
	return v
}

// retiring reports whether an engine is about to drop the request's model.
func (r *Reducer) retiring(req gypsumshelf.Request, a gypsumshelf.Announcement) bool {
	return r.configuration.state.ReplacementPending(a.Server, a.Incarnation, req.Model)
}

func (r *Reducer) countDemand(req gypsumshelf.Request) {
	if req.Model != "" {
		r.placement.meter.AddRequest(req.Model, req.PromptTokens)
	}
}
