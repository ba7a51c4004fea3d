package daemons

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/configs"
	"gypsumshelf.example/gypsumshelf/servers"
)

const (
	poisonBodyHash  = 666 // marks the request that crashes its backend servers
	simulationSteps = "400"
	simulationRuns  = "250"
)

// fakeAttempt is an attempt as seen by its backend server.
type fakeAttempt struct {
	start       attempts.Start
	req         *fakeRequest
	incarnation string
	reached     bool // bytes of the request have reached the server
}

// fakeRequest is a request as seen by its caller.
type fakeRequest struct {
	gypsumshelf.Request
	running  *fakeAttempt
	position int
	verdict  gypsumshelf.Verdict // true verdict, known to the servers
	starts   int
	closed   bool
	daemon   *testReducer // daemon to which the caller sent it
}

// duplicateEvent is an event that may be delivered a second time.
type duplicateEvent struct {
	to *testReducer
	ev gypsumshelf.Event
}

// faultSimulation runs the reducers of two daemons with fake servers, callers and
// links, and checks every effect against the state of these.
type faultSimulation struct {
	t             *rapid.T
	group         *fakeGroup
	daemons       []*testReducer
	cutOff        *testReducer // daemon without a connection to the leader, or nil
	now           time.Time
	incarnations  map[gypsumshelf.ServerID]string // incarnations of running servers
	requests      []*fakeRequest
	running       []*fakeAttempt
	keyHolders    map[string]*fakeRequest // by key: the request that was started
	duplicates    []duplicateEvent
	firstAttempts map[*testReducer]int
	retries       map[*testReducer]int
	poisonCrashes int // number of servers crashed by the poison request
}

// totals counts events over all runs, for the log at the end.
var totals = map[string]int{}

func newFaultSimulation(t *rapid.T) *faultSimulation {
	w := &faultSimulation{
		t: t, now: testStart, group: &fakeGroup{}, incarnations: map[gypsumshelf.ServerID]string{},
		keyHolders: map[string]*fakeRequest{}, firstAttempts: map[*testReducer]int{}, retries: map[*testReducer]int{},
	}
	for _, id := range []gypsumshelf.DaemonID{"d-1", "d-2"} {
		m := newTestReducer(w.group, id)
		m.attempts = attempts.New(attempts.Config{MaxAttempts: 3, RecordTTL: time.Minute,
			Retries: attempts.BudgetConfig{Rand: rand.New(rand.NewPCG(1, uint64(len(w.daemons))))}})
		w.daemons = append(w.daemons, m)
	}
	w.group.lead("d-1", 0)
	w.replicate()
	for i := range 5 {
		w.announce(gypsumshelf.ServerID(fmt.Sprintf("s-%d", i)), true)
	}
	return w
}

// replicate commits and applies all entries and renews the leases.
func (w *faultSimulation) replicate() {
	for w.group.committed < len(w.group.entries) {
		w.group.commit()
	}
	for _, m := range w.daemons {
		if m == w.cutOff {
			continue
		}
		for m.log.applied < w.group.committed {
			w.applyAll(m, m.applyNext(w.now))
		}
		m.renewLease(w.now)
	}
}

func (w *faultSimulation) announce(id gypsumshelf.ServerID, fresh bool) {
	if fresh {
		w.incarnations[id] = fmt.Sprintf("i-%d-%d", w.now.UnixNano(), totals["steps"])
	}
	a := gypsumshelf.Announcement{Server: id, Incarnation: w.incarnations[id], Address: "127.0.0.1:1", State: gypsumshelf.ServerReady,
		Service: "book", Kind: gypsumshelf.KindPlain, Models: []string{"quill"}}
	for _, m := range w.daemons {
		w.step(m, servers.Announced{Announcement: a})
	}
}

func (w *faultSimulation) step(m *testReducer, ev gypsumshelf.Event) {
	totals["steps"]++
	w.applyAll(m, m.Step(w.now, ev))
}

func (w *faultSimulation) applyAll(m *testReducer, effects []gypsumshelf.Effect) {
	for _, effect := range slices.Clone(effects) {
		w.apply(m, effect)
	}
}

func (w *faultSimulation) findRequest(id gypsumshelf.RequestID) *fakeRequest {
	i := slices.IndexFunc(w.requests, func(r *fakeRequest) bool { return r.ID == id })
	return w.requests[i]
}

func (w *faultSimulation) apply(m *testReducer, effect gypsumshelf.Effect) {
	switch e := effect.(type) {
	case attempts.Start:
		w.startAttempt(e)
	case attempts.Refuse:
		totals["refused "+string(e.Err.Code)]++
		w.closeRequest(w.findRequest(e.Request), e.Err.Verdict, e.Err)
	case attempts.Finish:
		totals["finished"]++
		w.closeRequest(w.findRequest(e.Request), gypsumshelf.Ran, nil)
	case attempts.Replay:
		totals["replayed"]++
		w.closeRequest(w.findRequest(e.Request), gypsumshelf.Ran, nil)
	case configs.ForwardProposal:
		for _, to := range w.daemons {
			if to.log.id == e.To && m != w.cutOff && to != w.cutOff {
				w.step(to, configs.ProposalForwarded{Proposal: e.Proposal})
			}
		}
	case attempts.ShareSuspicion:
		for _, to := range w.daemons {
			if to != m {
				w.step(to, attempts.Suspected(e))
			}
		}
	case attempts.Abort:
		if req := w.findRequest(e.Request); req.running != nil {
			w.failAttempt(req.running, attempts.Failed{ConnectionBroken: true}, gypsumshelf.MayHaveRun)
		}
	}
}

func (w *faultSimulation) startAttempt(e attempts.Start) {
	req := w.findRequest(e.Request)
	if req.closed || req.running != nil {
		w.t.Fatalf("attempt %s starts on a request that is closed (%v) or running", e.Attempt, req.closed)
	}
	if e.Resume != req.position {
		w.t.Fatalf("attempt %s resumes at %d, caller has %d tokens", e.Attempt, e.Resume, req.position)
	}
	if !req.Idempotent && req.verdict != gypsumshelf.NotRun {
		w.t.Fatalf("non-idempotent request %s starts again", req.ID)
	}
	if req.Key != "" {
		if holder := w.keyHolders[req.Key]; holder != nil && holder != req {
			w.t.Fatalf("key %s runs for %s and %s", req.Key, holder.ID, req.ID)
		}
		w.keyHolders[req.Key] = req
	}
	if req.starts++; req.starts == 1 {
		w.firstAttempts[req.daemon]++
	} else {
		w.retries[req.daemon]++
	}
	if allowed := 20 + float64(w.firstAttempts[req.daemon])*0.1 + w.now.Sub(testStart).Seconds(); float64(w.retries[req.daemon]) > allowed {
		w.t.Fatalf("%d retries, the budget allows %.1f", w.retries[req.daemon], allowed)
	}
	a := &fakeAttempt{start: e, req: req, incarnation: w.incarnations[e.Server]}
	req.running = a
	w.running = append(w.running, a)
}

func (w *faultSimulation) closeRequest(req *fakeRequest, claimed gypsumshelf.Verdict, err *gypsumshelf.Error) {
	if req.closed {
		w.t.Fatalf("request %s ends twice", req.ID)
	}
	if claimed < req.verdict {
		w.t.Fatalf("request %s ends with %s (%v), the true verdict is %s", req.ID, claimed, err, req.verdict)
	}
	if claimed == gypsumshelf.MayHaveRun && req.verdict == gypsumshelf.NotRun && req.running == nil && req.Key == "" {
		w.t.Fatalf("request %s ends with %v, but no attempt reached a server", req.ID, err)
	}
	req.closed = true
	if a := req.running; a != nil {
		// The cancelled attempt reports its end after the request is closed.
		w.duplicates = append(w.duplicates, duplicateEvent{req.daemon, attempts.Failed{Attempt: a.start.Attempt, Failure: failure(gypsumshelf.MayHaveRun)}})
		w.removeAttempt(a)
	}
}

func (w *faultSimulation) removeAttempt(a *fakeAttempt) {
	a.req.running = nil
	w.running = slices.DeleteFunc(w.running, func(b *fakeAttempt) bool { return a == b })
}

func failure(v gypsumshelf.Verdict) *gypsumshelf.Error {
	return gypsumshelf.Errorf(v, gypsumshelf.CodeBackendFailed, "fault")
}

// failAttempt ends an attempt with an error. truth is its true verdict.
func (w *faultSimulation) failAttempt(a *fakeAttempt, e attempts.Failed, truth gypsumshelf.Verdict) {
	totals["faults"]++
	if a.req.position > a.start.Resume || a.reached {
		truth = gypsumshelf.MayHaveRun
	}
	a.req.verdict = a.req.verdict.Worse(truth)
	e.Attempt, e.Position, e.Failure = a.start.Attempt, a.req.position, failure(truth)
	w.removeAttempt(a)
	w.duplicates = append(w.duplicates, duplicateEvent{a.req.daemon, e})
	w.step(a.req.daemon, e)
}

// crashServer restarts a server. If quick is set, the new incarnation answers
// probes at once, so that only its announcement reveals the restart.
func (w *faultSimulation) crashServer(id gypsumshelf.ServerID, quick bool) {
	totals["crashes"]++
	for _, a := range slices.Clone(w.running) {
		if a.start.Server == id && a.req.running == a {
			w.failAttempt(a, attempts.Failed{ConnectionBroken: true, ServerUnreachable: !quick}, gypsumshelf.MayHaveRun)
		}
	}
	w.announce(id, true)
}

func (w *faultSimulation) arrive(kind string) {
	m := rapid.SampledFrom(w.daemons).Draw(w.t, "daemon")
	id := gypsumshelf.RequestID(fmt.Sprintf("r-%d", len(w.requests)))
	req := &fakeRequest{daemon: m, Request: gypsumshelf.Request{
		ID: id, Model: "quill", Idempotent: true, BodyHash: uint64(1000 + len(w.requests)), Arrived: w.now,
		Class: gypsumshelf.Class{Name: "c", Target: gypsumshelf.Target{FirstToken: time.Second, Finish: 10 * time.Second}},
	}}
	switch kind {
	case "poison":
		if slices.ContainsFunc(w.requests, func(r *fakeRequest) bool {
			return r.BodyHash == poisonBodyHash && !r.closed && (w.poisonCrashes == 0 || r.daemon != m)
		}) {
			return // the caller tries another daemon only after an error
		}
		req.BodyHash = poisonBodyHash
	case "plain", "keyed":
		req.Model, req.Service, req.Idempotent = "", "book", false
		if kind == "keyed" {
			n := rapid.IntRange(1, 9).Draw(w.t, "key")
			req.Key, req.BodyHash = fmt.Sprintf("k%d", n), uint64(n)
		}
	}
	w.requests = append(w.requests, req)
	w.step(m, attempts.Arrived{Request: req.Request})
}

func (w *faultSimulation) advance(d time.Duration) {
	for ; d > 0; d -= 50 * time.Millisecond {
		w.now = w.now.Add(50 * time.Millisecond)
		for id := range w.incarnations {
			if w.now.UnixMilli()%500 == 0 {
				w.announce(id, false)
			}
		}
		if w.now.UnixMilli()%100 == 0 {
			w.replicate()
		}
		for _, m := range w.daemons {
			w.step(m, Tick{})
		}
	}
	for _, req := range w.requests {
		if !req.closed && !w.now.Before(req.Deadline()) {
			w.t.Fatalf("request %s is open %s after its deadline", req.ID, w.now.Sub(req.Deadline()))
		}
	}
}

// stepAttempt applies a random event to an attempt in progress.
func (w *faultSimulation) stepAttempt() {
	if len(w.running) == 0 {
		return
	}
	a := rapid.SampledFrom(w.running).Draw(w.t, "attempt")
	action := rapid.SampledFrom([]string{"token", "token", "end", "end", "reset", "not-run", "refused", "silent"}).Draw(w.t, "action")
	if action != "refused" && action != "not-run" && !a.reached {
		a.reached = true
		w.step(a.req.daemon, attempts.Sent{Attempt: a.start.Attempt})
	}
	a.req.verdict = a.req.verdict.Worse(map[bool]gypsumshelf.Verdict{true: gypsumshelf.MayHaveRun}[a.reached])
	switch {
	case a.req.BodyHash == poisonBodyHash && a.reached:
		if w.poisonCrashes++; w.poisonCrashes > 2 {
			w.t.Fatalf("the poison request crashes %d servers, at most 2 are allowed", w.poisonCrashes)
		}
		totals["poison crashes"]++
		w.crashServer(a.start.Server, rapid.Bool().Draw(w.t, "quick"))
	case action == "token" && a.req.Model != "":
		a.req.position++
		w.step(a.req.daemon, attempts.FirstToken{Attempt: a.start.Attempt})
	case action == "end":
		a.req.verdict = gypsumshelf.Ran
		w.removeAttempt(a)
		e := attempts.Ended{Attempt: a.start.Attempt, Position: a.req.position, Outcome: &attempts.Outcome{Verdict: gypsumshelf.Ran}}
		w.duplicates = append(w.duplicates, duplicateEvent{a.req.daemon, e})
		w.step(a.req.daemon, e)
	case action == "not-run", action == "refused":
		w.failAttempt(a, attempts.Failed{}, gypsumshelf.NotRun)
	case action == "reset":
		w.failAttempt(a, attempts.Failed{ConnectionBroken: true}, gypsumshelf.MayHaveRun)
	default:
		w.failAttempt(a, attempts.Failed{ServerUnreachable: rapid.Bool().Draw(w.t, "dead")}, gypsumshelf.MayHaveRun)
	}
}

func (w *faultSimulation) actions() map[string]func(*rapid.T) {
	server := func() gypsumshelf.ServerID {
		return gypsumshelf.ServerID(fmt.Sprintf("s-%d", rapid.IntRange(0, 4).Draw(w.t, "server")))
	}
	return map[string]func(*rapid.T){
		"arrive": func(*rapid.T) {
			w.arrive(rapid.SampledFrom([]string{"model", "model", "plain", "keyed", "poison"}).Draw(w.t, "kind"))
		},
		"act":       func(*rapid.T) { w.stepAttempt() },
		"again":     func(*rapid.T) { w.stepAttempt(); w.stepAttempt() },
		"replicate": func(*rapid.T) { w.replicate() },
		"leader": func(*rapid.T) {
			w.group.lead(rapid.SampledFrom([]gypsumshelf.DaemonID{"d-1", "d-2"}).Draw(w.t, "leader"), rapid.IntRange(0, 1).Draw(w.t, "kept"))
		},
		"cut": func(*rapid.T) {
			w.cutOff = map[bool]*testReducer{true: rapid.SampledFrom(w.daemons).Draw(w.t, "cut")}[w.cutOff == nil && rapid.Bool().Draw(w.t, "cut off")]
		},
		"crash": func(*rapid.T) { w.crashServer(server(), rapid.Bool().Draw(w.t, "quick")) },
		"two crash": func(*rapid.T) {
			w.crashServer(server(), true)
			w.crashServer(server(), false)
		},
		"late": func(*rapid.T) {
			if len(w.duplicates) > 0 {
				e := rapid.SampledFrom(w.duplicates).Draw(w.t, "event")
				w.step(e.to, e.ev)
			}
		},
		"gone": func(*rapid.T) {
			if len(w.requests) == 0 {
				return
			}
			req := rapid.SampledFrom(w.requests).Draw(w.t, "request")
			if !req.closed && req.Key == "" {
				w.closeRequest(req, gypsumshelf.Ran, nil)
				w.step(req.daemon, attempts.CallerGone{Request: req.ID})
			}
		},
		"tick": func(*rapid.T) { w.advance(50 * time.Millisecond) },
		"wait": func(*rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 40).Draw(w.t, "ticks")) * 50 * time.Millisecond)
		},
	}
}

// Guards against sequences of faults, single, simultaneous or repeated, after
// which a request runs twice although it must not, is open after its deadline,
// ends twice, reports a verdict below the true one, loses its position, or crashes
// more than two servers.
func TestRequestsUnderRandomFaults(t *testing.T) {
	seed := os.Getenv("GYPSUMSHELF_SEED")
	if seed == "" {
		seed = "1"
	}
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.steps": simulationSteps, "rapid.checks": simulationRuns} {
		if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				t.Fatal(err)
			}
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		w := newFaultSimulation(rt)
		rt.Repeat(w.actions())
		w.cutOff = nil
		w.advance(11 * time.Second)
		for _, req := range w.requests {
			if !req.closed {
				rt.Fatalf("request %s never ends", req.ID)
			}
		}
		for key, req := range w.keyHolders {
			if run := w.daemons[0].configuration.state.Run(configs.RunKey{Key: key}); run == nil || run.Outcome == nil {
				rt.Fatalf("key %s of ended request %s has no outcome", key, req.ID)
			}
		}
		totals["requests"] += len(w.requests)
		totals["retries"] += w.retries[w.daemons[0]] + w.retries[w.daemons[1]]
	})
	t.Logf("seed %s: %v", seed, totals)
}
