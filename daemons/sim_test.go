package daemons

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/routes"
	"gypsumshelf.example/gypsumshelf/servers"
	"gypsumshelf.example/gypsumshelf/shares"
)

func seed() uint64 {
	if n, err := strconv.Atoi(os.Getenv("GYPSUMSHELF_SEED")); err == nil {
		return uint64(n)
	}
	return 1
}

// scheduledCall is a function to be called at a simulated time.
type scheduledCall struct {
	at       time.Time
	sequence int
	run      func()
}

type callQueue []scheduledCall

func (f callQueue) Len() int { return len(f) }
func (f callQueue) Less(i, j int) bool {
	return f[i].at.Before(f[j].at) || f[i].at.Equal(f[j].at) && f[i].sequence < f[j].sequence
}
func (f callQueue) Swap(i, j int) { f[i], f[j] = f[j], f[i] }
func (f *callQueue) Push(x any)   { *f = append(*f, x.(scheduledCall)) }
func (f *callQueue) Pop() any {
	old := *f
	x := old[len(old)-1]
	*f = old[:len(old)-1]
	return x
}

type simConfig struct {
	seed            uint64
	policy          string
	daemons         int
	engines         int
	tokensPerSecond float64 // prompt tokens per second of an engine
	memoryTokens    int
	linkLoss        float64 // fraction of the messages between daemons that is lost
}

// sim runs reducers and fake engines in simulated time.
type sim struct {
	cfg      simConfig
	rand     *rand.Rand
	now      time.Time
	calls    callQueue
	sequence int
	daemons  []*Reducer
	engines  []*queueEngine
	takenOut map[string]bool // data centres taken out of service
	results  map[gypsumshelf.RequestID]*result
	onStart  func(*queueEngine, *engineJob) // test hook, called at the start of an attempt
}

type result struct {
	req        gypsumshelf.Request
	firstToken time.Duration
	finish     time.Duration
	ended      bool
	refused    *gypsumshelf.Error
}

var simStart = time.Unix(1_700_000_000, 0)

func newSim(cfg simConfig) *sim {
	s := &sim{cfg: cfg, rand: rand.New(rand.NewPCG(cfg.seed, 2)), now: simStart, takenOut: map[string]bool{}, results: map[gypsumshelf.RequestID]*result{}}
	var ids []gypsumshelf.DaemonID
	for i := range cfg.daemons {
		ids = append(ids, gypsumshelf.DaemonID(fmt.Sprintf("d%d", i)))
	}
	for i, id := range ids {
		policy, err := routes.New(cfg.policy)
		if err != nil {
			panic(err)
		}
		sharing := shares.DefaultConfig(len(ids))
		sharing.Daemon, sharing.Daemons = id, ids
		sharing.Voters = func() []gypsumshelf.DaemonID { return ids[:min(3, len(ids))] }
		s.daemons = append(s.daemons, NewReducer(ReducerConfig{
			Daemon: id, Policy: policy, Shares: sharing, Started: s.now,
			Servers:  servers.Config{Expiry: 3 * time.Second, InService: func(dc string) bool { return !s.takenOut[dc] }},
			Attempts: attempts.Config{MaxAttempts: 3, RecordTTL: time.Minute},
		}))
		s.every(tickPeriod, time.Duration(i)*time.Millisecond, func() { s.step(i, Tick{}) })
		s.every(500*time.Millisecond, 0, func() {
			for j := range s.daemons {
				if j != i {
					s.deliver(func() { s.step(j, shares.DaemonHeard{From: id}) })
				}
			}
		})
	}
	for i := range cfg.engines {
		e := &queueEngine{sim: s, id: gypsumshelf.ServerID(fmt.Sprintf("fk-%02d", i)), incarnation: "i1", dataCentre: fmt.Sprintf("dc-%d", i%3), state: gypsumshelf.ServerReady}
		s.engines = append(s.engines, e)
		s.every(500*time.Millisecond, time.Duration(i)*7*time.Millisecond, e.announce)
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.calls, scheduledCall{at: s.now.Add(d), sequence: s.sequence, run: do})
}

func (s *sim) every(period, first time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		s.after(period, again)
	}
	s.after(first, again)
}

func (s *sim) deliver(do func()) {
	if s.rand.Float64() >= s.cfg.linkLoss {
		s.after(time.Millisecond, do)
	}
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.calls) > 0 && !s.calls[0].at.After(end) {
		f := heap.Pop(&s.calls).(scheduledCall)
		s.now = f.at
		f.run()
	}
	s.now = end
}

func (s *sim) step(i int, ev gypsumshelf.Event) {
	for _, effect := range s.daemons[i].Step(s.now, ev) {
		switch e := effect.(type) {
		case servers.Send:
			s.deliver(func() {
				s.step(s.daemonIndex(e.To), servers.Received{From: s.daemons[i].cfg.Daemon, Payload: e.Payload})
			})
		case shares.Send:
			s.deliver(func() {
				s.step(s.daemonIndex(e.To), shares.Received{From: s.daemons[i].cfg.Daemon, Payload: e.Payload})
			})
		case attempts.Start:
			if !e.NotAfter.After(s.now) || e.NotAfter.Sub(s.now) > shares.DefaultConfig(len(s.daemons)).ShareTTL {
				panic(fmt.Sprintf("attempt at %s may be sent until %s, beyond the share", s.now, e.NotAfter))
			}
			s.start(i, e)
		case attempts.Refuse:
			s.results[e.Request].refused = e.Err
			s.results[e.Request].ended = true
		case attempts.Finish:
			s.results[e.Request].finish = s.now.Sub(s.results[e.Request].req.Arrived)
			s.results[e.Request].ended = true
		}
	}
}

func (s *sim) daemonIndex(id gypsumshelf.DaemonID) int {
	return slices.IndexFunc(s.daemons, func(r *Reducer) bool { return r.cfg.Daemon == id })
}

func (s *sim) start(i int, e attempts.Start) {
	n := slices.IndexFunc(s.engines, func(f *queueEngine) bool { return f.id == e.Server })
	engine := s.engines[n]
	res := s.results[e.Request]
	j := &engineJob{
		request: res, attempt: e.Attempt, daemon: i, priority: e.Priority, promptLeft: res.req.PromptTokens,
		tokens: res.req.PromptTokens + res.req.MaxTokens,
		stale:  s.daemons[i].servers.Server(e.Server).Announcement().Incarnation != engine.incarnation,
	}
	if s.onStart != nil {
		s.onStart(engine, j)
	}
	engine.add(j)
}

// sendRequest submits a request to a daemon.
func (s *sim) sendRequest(i int, req gypsumshelf.Request) {
	req.ID = gypsumshelf.RequestID(fmt.Sprintf("r%06d", len(s.results)))
	req.Model, req.Arrived, req.Idempotent = "m", s.now, true
	if req.Class.Name == "" {
		req.Class = gypsumshelf.Class{Name: "default", Target: gypsumshelf.Target{FirstToken: time.Second, Finish: time.Minute}}
	}
	s.results[req.ID] = &result{req: req}
	s.step(i, attempts.Arrived{Request: req})
}

// engineJob is an attempt on a fake engine.
type engineJob struct {
	request    *result
	attempt    gypsumshelf.AttemptID
	daemon     int
	priority   int
	promptLeft int
	tokens     int
	stale      bool // sent by a daemon that had not heard of the engine's restart
}

// queueEngine is an engine whose prompts share one prefill rate. It processes them
// in slices, the most urgent prompt first, and generates tokens at a fixed
// interval.
type queueEngine struct {
	sim          *sim
	id           gypsumshelf.ServerID
	incarnation  string
	dataCentre   string
	state        gypsumshelf.ServerState
	slowdown     float64 // factor on the processing time of a prompt; 0 means 1
	jobs         []*engineJob
	running      int
	staleRunning int
	usedTokens   int
	peakRunning  int
	completed    int
	busy         bool
	processed    int
}

const (
	prefillSliceTokens = 2048
	tokenInterval      = 20 * time.Millisecond
)

func (e *queueEngine) announce() {
	s := e.sim
	a := gypsumshelf.Announcement{
		Server: e.id, Incarnation: e.incarnation, Address: "127.0.0.1:1", DataCentre: e.dataCentre, Service: "federkiel",
		Kind: gypsumshelf.KindEngine, Models: []string{"m"}, MemoryTokens: s.cfg.memoryTokens, State: e.state,
		Sequence: uint64(s.now.UnixMilli()),
		Load:     gypsumshelf.Load{Running: e.running - len(e.jobs), Queued: len(e.jobs), UsedTokens: e.usedTokens},
	}
	s.step(s.rand.IntN(len(s.daemons)), servers.Announced{Announcement: a})
}

func (e *queueEngine) add(j *engineJob) {
	e.count(j, 1)
	e.peakRunning = max(e.peakRunning, e.running)
	e.jobs = append(e.jobs, j)
	if !e.busy {
		e.next()
	}
}

func (e *queueEngine) count(j *engineJob, n int) {
	e.running += n
	e.usedTokens += n * j.tokens
	if j.stale {
		e.staleRunning += n
	}
}

func (e *queueEngine) next() {
	if len(e.jobs) == 0 {
		e.busy = false
		return
	}
	e.busy = true
	j := slices.MinFunc(e.jobs, func(a, b *engineJob) int { return a.priority - b.priority })
	n, incarnation := min(j.promptLeft, prefillSliceTokens), e.incarnation
	cost := float64(n) / e.sim.cfg.tokensPerSecond * max(1, e.slowdown)
	e.sim.after(time.Duration(cost*float64(time.Second)), func() {
		if e.incarnation != incarnation {
			return
		}
		j.promptLeft -= n
		e.processed += n
		if j.promptLeft == 0 {
			e.jobs = slices.DeleteFunc(e.jobs, func(o *engineJob) bool { return o == j })
			e.generate(j)
		}
		e.next()
	})
}

func (e *queueEngine) generate(j *engineJob) {
	s, incarnation := e.sim, e.incarnation
	j.request.firstToken = s.now.Sub(j.request.req.Arrived)
	s.step(j.daemon, attempts.FirstToken{Attempt: j.attempt})
	s.after(time.Duration(j.request.req.MaxTokens)*tokenInterval, func() {
		if e.incarnation != incarnation {
			return
		}
		e.count(j, -1)
		if !j.stale {
			e.completed++
		}
		s.step(j.daemon, attempts.Ended{Attempt: j.attempt, Position: j.request.req.MaxTokens})
	})
}

// shortPrompt draws from a log-normal distribution with a median of 2,500
// tokens, bounded to 1,000 to 31,999.
func (s *sim) shortPrompt() int {
	return min(max(int(2500*math.Exp(0.8*s.rand.NormFloat64())), 1000), routes.LongPrompt-1)
}

// longPrompt draws from 100,000 to 1,000,000 tokens, uniform in the logarithm.
func (s *sim) longPrompt() int { return int(100_000 * math.Pow(10, s.rand.Float64())) }

// generateLoad sends requests at a rate per second. Every fiftieth one is long, or
// left out if long is false.
func (s *sim) generateLoad(perSecond float64, long bool, workspace func() string) {
	var arrive func()
	n := 0
	arrive = func() {
		n++
		tokens := s.shortPrompt()
		if n%50 == 0 {
			if tokens = s.longPrompt(); !long {
				tokens = 0
			}
		}
		if tokens > 0 {
			s.sendRequest(s.rand.IntN(len(s.daemons)), gypsumshelf.Request{Workspace: workspace(), PromptTokens: tokens, MaxTokens: 64})
		}
		s.after(time.Duration(s.rand.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	s.after(0, arrive)
}
