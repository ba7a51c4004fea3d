package loadtests

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf/timers"
)

// Config configures a run of the load generator.
type Config struct {
	Addresses         []string // daemons' listeners for callers
	Model             string
	Seed              uint64
	Rate              float64       // requests per second
	Duration          time.Duration // time during which requests are sent
	MaxRequests       int           // bound on the number of requests
	Mixture           Mixture
	MaxTokens         int // tokens of each answer
	Workspaces        []string
	LargeWorkspaces   int // number of workspaces, the first in the list, that send most requests
	Classes           []string
	NonStreamingShare float64       // share of requests whose answer is not streamed
	FirstTokenTarget  time.Duration // a first token within this time counts as in time
	MaxOutstanding    int           // bound on requests that wait for an answer
	Grace             time.Duration // time to wait for answers after the last request was sent
	PlainService      string
	PlainRate         float64               // calls per second
	ControlAddress    string                // control address of the stand-ins, from which run counts of plain calls are read
	PlainRuns         func() map[string]int // returns the run counts of plain calls, used instead of ControlAddress
	TimeScale         float64               // of the stand-ins, only printed in the report
}

// largeWorkspaceShare is the share of requests that the large workspaces send
// together.
const largeWorkspaceShare = 0.8

// keyedCallsPerRepeat is the mean number of calls with an idempotency key per call
// that is sent twice.
const keyedCallsPerRepeat = 5

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		Model: "quill", Seed: 1, Rate: 50, Duration: 30 * time.Second, MaxRequests: 100_000,
		Mixture: DefaultMixture(), MaxTokens: 32, LargeWorkspaces: 2, FirstTokenTarget: time.Second,
		MaxOutstanding: 2_000, Grace: 90 * time.Second, TimeScale: 1,
	}
}

// Run generates load in an open loop: requests are sent as a Poisson process and do
// not wait for earlier answers. It returns after the last answer.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if len(cfg.Addresses) == 0 || cfg.Rate < 0 || cfg.Duration <= 0 {
		return Report{}, fmt.Errorf("load needs at least one address, a rate of at least 0 and a positive duration")
	}
	g := newGenerator(ctx, cfg)
	defer g.caller.Close()
	var arrivals sync.WaitGroup
	start := time.Now()
	arrivals.Go(g.sendRequests)
	if cfg.PlainService != "" && cfg.PlainRate > 0 {
		arrivals.Go(g.sendPlainCalls)
	}
	arrivals.Wait()
	arrivalDuration := time.Since(start)
	grace := time.AfterFunc(cfg.Grace, g.cancel)
	defer grace.Stop()
	g.inFlight.Wait()
	return g.report(ctx, arrivalDuration, time.Since(start))
}

// generator sends the requests of a run.
type generator struct {
	cfg           Config
	ctx           context.Context
	cancel        context.CancelFunc
	caller        *Caller
	recorder      *recorder
	plainRecorder *plainRecorder
	inFlight      sync.WaitGroup
	slots         chan struct{} // one element for each request that waits for an answer
}

func newGenerator(ctx context.Context, cfg Config) *generator {
	g := &generator{
		cfg: cfg, caller: NewCaller(), recorder: newRecorder(cfg.Mixture, cfg.FirstTokenTarget), plainRecorder: newPlainRecorder(),
		slots: make(chan struct{}, max(1, cfg.MaxOutstanding)),
	}
	g.ctx, g.cancel = context.WithCancel(ctx)
	return g
}

// scheduleArrivals calls send at the times of a Poisson process. The times do not
// depend on how long send or earlier answers take.
func (g *generator) scheduleArrivals(r *rand.Rand, rate float64, send func(i int, intended time.Time)) {
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
		timers.Sleep(g.ctx, time.Until(at))
		if g.ctx.Err() != nil {
			return
		}
		send(i, at)
	}
}

// acquireSlot reserves a slot for a request. It returns false when too many requests
// wait for an answer.
func (g *generator) acquireSlot() bool {
	select {
	case g.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (g *generator) sendRequests() {
	lengths := rand.New(rand.NewPCG(g.cfg.Seed, 1))
	arrivalTimes := rand.New(rand.NewPCG(g.cfg.Seed, 2))
	g.scheduleArrivals(arrivalTimes, g.cfg.Rate, func(i int, intended time.Time) {
		pending := g.drawRequest(lengths, i)
		pending.request.Intended = intended
		if !g.acquireSlot() {
			g.recorder.addUnsent()
			return
		}
		g.inFlight.Go(pending.send)
	})
}

// pendingRequest is a request that is being sent.
type pendingRequest struct {
	generator *generator
	bucket    int
	request   Request
}

func (g *generator) drawRequest(r *rand.Rand, i int) *pendingRequest {
	pending := &pendingRequest{generator: g}
	var tokens int
	pending.bucket, tokens = g.cfg.Mixture.draw(r)
	pending.request = Request{
		Address: g.cfg.Addresses[r.IntN(len(g.cfg.Addresses))], Model: g.cfg.Model,
		Workspace: g.drawWorkspace(r), PromptTokens: tokens, MaxTokens: g.cfg.MaxTokens,
		Seed: g.cfg.Seed<<32 + uint64(i), NonStreaming: r.Float64() < g.cfg.NonStreamingShare,
	}
	if len(g.cfg.Classes) > 0 {
		pending.request.Class = g.cfg.Classes[r.IntN(len(g.cfg.Classes))]
	}
	return pending
}

func (g *generator) drawWorkspace(r *rand.Rand) string {
	names := g.cfg.Workspaces
	if len(names) == 0 {
		return ""
	}
	large := min(g.cfg.LargeWorkspaces, len(names))
	if large > 0 && (large == len(names) || r.Float64() < largeWorkspaceShare) {
		return names[r.IntN(large)]
	}
	return names[large+r.IntN(len(names)-large)]
}

func (p *pendingRequest) send() {
	defer func() { <-p.generator.slots }()
	p.generator.recorder.add(p.bucket, p.generator.caller.Do(p.generator.ctx, p.request))
}

func (g *generator) sendPlainCalls() {
	r := rand.New(rand.NewPCG(g.cfg.Seed, 3))
	g.scheduleArrivals(r, g.cfg.PlainRate, func(i int, _ time.Time) {
		call := plainCall{id: fmt.Sprintf("%d-%d-%x", g.cfg.Seed, i, r.Uint64()), nonIdempotent: r.IntN(2) == 0}
		call.hasKey = call.nonIdempotent && r.IntN(2) == 0
		call.sentTwice = call.hasKey && r.IntN(keyedCallsPerRepeat) == 0
		g.sendPlainCall(r, call)
		if call.sentTwice {
			g.sendPlainCall(r, call)
		}
	})
}

func (g *generator) sendPlainCall(r *rand.Rand, call plainCall) {
	pending := &pendingPlainCall{generator: g, address: g.cfg.Addresses[r.IntN(len(g.cfg.Addresses))], call: call}
	if g.acquireSlot() {
		g.inFlight.Go(pending.send)
	}
}

// pendingPlainCall is a call to a plain service that is being sent.
type pendingPlainCall struct {
	generator *generator
	address   string
	call      plainCall
}

func (p *pendingPlainCall) send() {
	defer func() { <-p.generator.slots }()
	p.generator.caller.callPlainService(p.generator.ctx, p.address, p.generator.cfg.PlainService, p.call, p.generator.plainRecorder)
}

func (g *generator) report(ctx context.Context, arrivalDuration, timeToLastAnswer time.Duration) (Report, error) {
	rep := g.recorder.report()
	rep.Seed, rep.ArrivalDuration, rep.TimeToLastAnswer, rep.TimeScale = g.cfg.Seed, arrivalDuration, timeToLastAnswer, g.cfg.TimeScale
	if g.plainRecorder.report.Requests == 0 {
		return rep, nil
	}
	rep.Plain = &g.plainRecorder.report
	runs, err := g.plainRuns(ctx)
	if runs != nil {
		checked := g.plainRecorder.compareWithRuns(runs)
		rep.Plain = &checked
	}
	return rep, err
}

// plainRuns returns how often each plain call ran, or nil when no source of run
// counts is configured.
func (g *generator) plainRuns(ctx context.Context) (map[string]int, error) {
	switch {
	case g.cfg.PlainRuns != nil:
		return g.cfg.PlainRuns(), nil
	case g.cfg.ControlAddress != "":
		return g.caller.fetchPlainRuns(ctx, g.cfg.ControlAddress)
	}
	return nil, nil
}
