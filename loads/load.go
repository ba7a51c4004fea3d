package loads

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf/timers"
)

// Config configures a run of load.
type Config struct {
	Addresses    []string // listeners for callers of the daemons
	Model        string
	Seed         uint64
	Rate         float64       // requests per second
	Duration     time.Duration // of the arrivals
	MaxRequests  int           // bound on the count
	Mixture      Mixture
	MaxTokens    int // length of each answer
	Workspaces   []string
	Large        int // the first workspaces that send most requests
	Classes      []string
	WholeShare   float64       // share of requests whose answer is not streamed
	Target       time.Duration // first token within it counts as in time
	Outstanding  int           // bound on requests without an answer
	Grace        time.Duration // time for the last answers after the arrivals
	PlainService string
	PlainRate    float64               // calls per second
	Control      string                // control port of the stand-ins, to count runs of plain calls
	Runs         func() map[string]int // runs of plain calls, in place of Control
	TimeScale    float64               // of the stand-ins, only reported
}

// largeShare is the share of requests that the large workspaces send together.
const largeShare = 0.8

// repeatedKeys is the number of keyed calls of which one is sent twice.
const repeatedKeys = 5

// DefaultConfig returns the settings that hold where flags are silent.
func DefaultConfig() Config {
	return Config{
		Model: "quill", Seed: 1, Rate: 50, Duration: 30 * time.Second, MaxRequests: 100_000,
		Mixture: DefaultMixture(), MaxTokens: 32, Large: 2, Target: time.Second,
		Outstanding: 2_000, Grace: 90 * time.Second, TimeScale: 1,
	}
}

// Run sends load in an open loop: arrivals follow a Poisson process of the
// rate and do not wait for answers. It ends with the last answer.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if len(cfg.Addresses) == 0 || cfg.Rate < 0 || cfg.Duration <= 0 {
		return Report{}, fmt.Errorf("load needs an address, a rate and a duration")
	}
	g := newGenerator(ctx, cfg)
	defer g.caller.Close()
	var arrivals sync.WaitGroup
	start := time.Now()
	arrivals.Go(g.run)
	if cfg.PlainService != "" && cfg.PlainRate > 0 {
		arrivals.Go(g.runPlain)
	}
	arrivals.Wait()
	elapsed := time.Since(start)
	grace := time.AfterFunc(cfg.Grace, g.cancel)
	defer grace.Stop()
	g.answers.Wait()
	return g.report(ctx, elapsed, time.Since(start))
}

// generator makes the arrivals of a run.
type generator struct {
	cfg     Config
	ctx     context.Context
	cancel  context.CancelFunc
	caller  *Caller
	record  *recorder
	plain   *plainRecorder
	answers sync.WaitGroup
	slots   chan struct{}
}

func newGenerator(ctx context.Context, cfg Config) *generator {
	g := &generator{
		cfg: cfg, caller: NewCaller(), record: newRecorder(cfg.Mixture, cfg.Target), plain: newPlainRecorder(),
		slots: make(chan struct{}, max(1, cfg.Outstanding)),
	}
	g.ctx, g.cancel = context.WithCancel(ctx)
	return g
}

// arrivals calls send at the times of a Poisson process. The times do not
// depend on how long send or earlier answers take.
func (g *generator) arrivals(r *rand.Rand, rate float64, send func(i int, intended time.Time)) {
	if rate <= 0 {
		return
	}
	at := time.Now()
	end := at.Add(g.cfg.Duration)
	for i := range g.cfg.MaxRequests {
		at = at.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		if at.After(end) {
			return
		}
		timers.Pause(g.ctx, time.Until(at))
		if g.ctx.Err() != nil {
			return
		}
		send(i, at)
	}
}

// take reserves a slot for an outstanding request.
func (g *generator) take() bool {
	select {
	case g.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (g *generator) run() {
	r := rand.New(rand.NewPCG(g.cfg.Seed, 1))
	times := rand.New(rand.NewPCG(g.cfg.Seed, 2))
	g.arrivals(times, g.cfg.Rate, func(i int, intended time.Time) {
		s := g.draw(r, i)
		s.order.Intended = intended
		if !g.take() {
			g.record.skip()
			return
		}
		g.answers.Go(s.run)
	})
}

// sending is one request on its way.
type sending struct {
	owner  *generator
	bucket int
	order  Order
}

func (g *generator) draw(r *rand.Rand, i int) *sending {
	s := &sending{owner: g}
	var tokens int
	s.bucket, tokens = g.cfg.Mixture.draw(r)
	s.order = Order{
		Address: g.cfg.Addresses[r.IntN(len(g.cfg.Addresses))], Model: g.cfg.Model,
		Workspace: g.workspace(r), PromptTokens: tokens, MaxTokens: g.cfg.MaxTokens,
		Seed: g.cfg.Seed<<32 + uint64(i), Whole: r.Float64() < g.cfg.WholeShare,
	}
	if len(g.cfg.Classes) > 0 {
		s.order.Class = g.cfg.Classes[r.IntN(len(g.cfg.Classes))]
	}
	return s
}

func (g *generator) workspace(r *rand.Rand) string {
	names := g.cfg.Workspaces
	if len(names) == 0 {
		return ""
	}
	large := min(g.cfg.Large, len(names))
	if large > 0 && (large == len(names) || r.Float64() < largeShare) {
		return names[r.IntN(large)]
	}
	return names[large+r.IntN(len(names)-large)]
}

func (s *sending) run() {
	defer func() { <-s.owner.slots }()
	s.owner.record.add(s.bucket, s.owner.caller.Do(s.owner.ctx, s.order))
}

func (g *generator) runPlain() {
	r := rand.New(rand.NewPCG(g.cfg.Seed, 3))
	g.arrivals(r, g.cfg.PlainRate, func(i int, _ time.Time) {
		call := plainCall{id: fmt.Sprintf("%d-%d-%x", g.cfg.Seed, i, r.Uint64()), post: r.IntN(2) == 0}
		call.key = call.post && r.IntN(2) == 0
		call.again = call.key && r.IntN(repeatedKeys) == 0
		g.sendPlain(r, call)
		if call.again {
			g.sendPlain(r, call)
		}
	})
}

func (g *generator) sendPlain(r *rand.Rand, call plainCall) {
	s := &plainSending{owner: g, address: g.cfg.Addresses[r.IntN(len(g.cfg.Addresses))], call: call}
	if g.take() {
		g.answers.Go(s.run)
	}
}

// plainSending is one call to a plain service on its way.
type plainSending struct {
	owner   *generator
	address string
	call    plainCall
}

func (s *plainSending) run() {
	defer func() { <-s.owner.slots }()
	s.owner.caller.plain(s.owner.ctx, s.address, s.owner.cfg.PlainService, s.call, s.owner.plain)
}

func (g *generator) report(ctx context.Context, elapsed, finished time.Duration) (Report, error) {
	rep := g.record.report()
	rep.Seed, rep.Elapsed, rep.Finished, rep.TimeScale = g.cfg.Seed, elapsed, finished, g.cfg.TimeScale
	if g.plain.report.Requests == 0 {
		return rep, nil
	}
	rep.Plain = &g.plain.report
	runs, err := g.runs(ctx)
	if runs != nil {
		checked := g.plain.check(runs)
		rep.Plain = &checked
	}
	return rep, err
}

// runs reads how often each plain call ran, nil when that is not known.
func (g *generator) runs(ctx context.Context) (map[string]int, error) {
	switch {
	case g.cfg.Runs != nil:
		return g.cfg.Runs(), nil
	case g.cfg.Control != "":
		return g.caller.fetchRuns(ctx, g.cfg.Control)
	}
	return nil, nil
}
