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
	"gypsumshelf.example/gypsumshelf/routes"
	"gypsumshelf.example/gypsumshelf/servers"
)

const (
	poison    = 666 // body hash of the request that crashes its servers
	randSteps = "400"
	randRuns  = "250"
)

// fakeAttempt is an attempt as its backend server knows it.
type fakeAttempt struct {
	start attempts.Start
	req   *fakeRequest
	inc   string
	began bool // bytes have reached the server
}

// fakeRequest is a request as its caller knows it.
type fakeRequest struct {
	gypsumshelf.Request
	running  *fakeAttempt
	position int
	truth    gypsumshelf.Verdict // what the servers know of the request
	starts   int
	closed   bool
}

// fakeKey is a key in the fake replicated state.
type fakeKey struct {
	holder  gypsumshelf.RequestID
	outcome *attempts.Outcome
	runs    int
}

// world drives a reducer with fake servers, callers and replicated state, and
// checks every effect against what they know.
type world struct {
	t        *rapid.T
	r        *Reducer
	now      time.Time
	server   map[gypsumshelf.ServerID]string // incarnations of running servers
	requests []*fakeRequest
	running  []*fakeAttempt
	asked    []attempts.BeginKey
	keys     map[attempts.Key]*fakeKey
	late     []gypsumshelf.Event // events that may be delivered again
	first    int
	retries  int
	struck   int // servers crashed by the poison request
}

// totals over all runs, reported at the end.
var totals = map[string]int{}

func newWorld(t *rapid.T, seed uint64) *world {
	policy, _ := routes.New(routes.RoundRobin)
	w := &world{
		t: t, now: time.Unix(1_800_000_000, 0), server: map[gypsumshelf.ServerID]string{}, keys: map[attempts.Key]*fakeKey{},
		r: NewReducer(ReducerConfig{Daemon: "d-1", Policy: policy, Servers: servers.Config{Expiry: 3 * time.Second},
			Attempts: attempts.Config{MaxAttempts: 3, Keep: time.Minute, Retries: attempts.BudgetConfig{Rand: rand.New(rand.NewPCG(seed, 0))}}}),
	}
	for i := range 5 {
		w.announce(gypsumshelf.ServerID(fmt.Sprintf("s-%d", i)), true)
	}
	return w
}

func (w *world) announce(id gypsumshelf.ServerID, fresh bool) {
	if fresh {
		w.server[id] = fmt.Sprintf("i-%d-%d", w.now.UnixNano(), totals["steps"])
	}
	a := gypsumshelf.Announcement{Server: id, Incarnation: w.server[id], Address: "127.0.0.1:1", State: gypsumshelf.ServerReady,
		Service: "book", Kind: gypsumshelf.KindPlain, Models: []string{"quill"}}
	w.step(servers.Announced{Announcement: a})
}

func (w *world) step(ev gypsumshelf.Event) {
	totals["steps"]++
	for _, effect := range w.r.Step(w.now, ev) {
		w.apply(effect)
	}
}

func (w *world) find(id gypsumshelf.RequestID) *fakeRequest {
	i := slices.IndexFunc(w.requests, func(r *fakeRequest) bool { return r.ID == id })
	return w.requests[i]
}

func (w *world) apply(effect gypsumshelf.Effect) {
	switch e := effect.(type) {
	case attempts.Start:
		w.start(e)
	case attempts.Refuse:
		totals["refused "+string(e.Err.Code)]++
		w.close(w.find(e.Request), e.Err.Verdict, e.Err)
	case attempts.Finish:
		totals["finished"]++
		w.close(w.find(e.Request), gypsumshelf.Ran, nil)
	case attempts.Replay:
		totals["replayed"]++
		w.close(w.find(e.Request), gypsumshelf.Ran, nil)
	case attempts.BeginKey:
		w.asked = append(w.asked, e)
	case attempts.FinishKey:
		w.finishKey(e)
	case attempts.Quarantine:
		w.late = append(w.late, attempts.Quarantined(e))
	case attempts.Abort:
		if req := w.find(e.Request); req.running != nil {
			w.fail(req.running, attempts.Failed{Broken: true}, gypsumshelf.MayHaveRun)
		}
	}
}

func (w *world) start(e attempts.Start) {
	req := w.find(e.Request)
	if req.closed || req.running != nil {
		w.t.Fatalf("attempt %s starts on a request that is closed (%v) or running", e.Attempt, req.closed)
	}
	if e.Resume != req.position {
		w.t.Fatalf("attempt %s resumes at %d, caller has %d tokens", e.Attempt, e.Resume, req.position)
	}
	if !req.Idempotent && req.truth != gypsumshelf.NotRun {
		w.t.Fatalf("non-idempotent request %s starts again", req.ID)
	}
	if req.starts++; req.starts == 1 {
		w.first++
	} else {
		w.retries++
	}
	if allowed := 20 + float64(w.first)*0.1 + w.now.Sub(w.requests[0].Arrived).Seconds(); float64(w.retries) > allowed {
		w.t.Fatalf("%d retries, the budget allows %.1f", w.retries, allowed)
	}
	a := &fakeAttempt{start: e, req: req, inc: w.server[e.Server]}
	req.running = a
	w.running = append(w.running, a)
}

func (w *world) close(req *fakeRequest, claimed gypsumshelf.Verdict, err *gypsumshelf.Error) {
	if req.closed {
		w.t.Fatalf("request %s ends twice", req.ID)
	}
	if claimed < req.truth {
		w.t.Fatalf("request %s ends with %s (%v), the servers know %s", req.ID, claimed, err, req.truth)
	}
	if claimed == gypsumshelf.MayHaveRun && req.truth == gypsumshelf.NotRun && req.running == nil && req.Key == "" {
		w.t.Fatalf("request %s ends with %v, but no attempt reached a server", req.ID, err)
	}
	req.closed = true
	if a := req.running; a != nil {
		// The cancelled attempt reports its end when the request is closed.
		w.late = append(w.late, attempts.Failed{Attempt: a.start.Attempt, Failure: failure(gypsumshelf.MayHaveRun)})
		w.drop(a)
	}
}

func (w *world) drop(a *fakeAttempt) {
	a.req.running = nil
	w.running = slices.DeleteFunc(w.running, func(b *fakeAttempt) bool { return a == b })
}

func failure(v gypsumshelf.Verdict) *gypsumshelf.Error {
	return gypsumshelf.Errorf(v, gypsumshelf.CodeBackendFailed, "fault")
}

// fail ends an attempt; the server knows truth of it.
func (w *world) fail(a *fakeAttempt, e attempts.Failed, truth gypsumshelf.Verdict) {
	totals["faults"]++
	if a.req.position > a.start.Resume || a.began {
		truth = gypsumshelf.MayHaveRun
	}
	a.req.truth = a.req.truth.Worse(truth)
	e.Attempt, e.Position, e.Failure = a.start.Attempt, a.req.position, failure(truth)
	w.drop(a)
	w.late = append(w.late, e)
	w.step(e)
}

// crash ends a server. With quick its successor answers the probes at once,
// and only the announcement shows that it is another incarnation.
func (w *world) crash(id gypsumshelf.ServerID, quick bool) {
	totals["crashes"]++
	for _, a := range slices.Clone(w.running) {
		if a.start.Server == id && a.req.running == a {
			w.fail(a, attempts.Failed{Broken: true, Dead: !quick}, gypsumshelf.MayHaveRun)
		}
	}
	w.announce(id, true)
}

func (w *world) finishKey(e attempts.FinishKey) {
	k := w.keys[e.Key]
	if k == nil || k.holder != e.Request || k.outcome != nil {
		w.t.Fatalf("key %v is finished by %s, which does not hold it", e.Key, e.Request)
	}
	if e.Outcome.Verdict == gypsumshelf.NotRun {
		delete(w.keys, e.Key)
		return
	}
	k.outcome = &e.Outcome
}

func (w *world) answerKey(e attempts.BeginKey) {
	switch k := w.keys[e.Key]; {
	case k == nil:
		w.keys[e.Key] = &fakeKey{holder: e.Request}
		w.step(attempts.KeyBegun{Request: e.Request})
	case k.outcome != nil:
		w.step(attempts.KeyOutcome{Request: e.Request, Outcome: *k.outcome})
	default:
		w.asked = append(w.asked, e) // a run is in progress
	}
}

func (w *world) arrive(kind string) {
	id := gypsumshelf.RequestID(fmt.Sprintf("r-%d", len(w.requests)))
	req := &fakeRequest{Request: gypsumshelf.Request{
		ID: id, Model: "quill", Idempotent: true, BodyHash: uint64(1000 + len(w.requests)), Arrived: w.now,
		Class: gypsumshelf.Class{Name: "c", Target: gypsumshelf.Target{FirstToken: time.Second, Finish: 10 * time.Second}},
	}}
	switch kind {
	case "poison":
		if w.struck == 0 && slices.ContainsFunc(w.requests, func(r *fakeRequest) bool { return r.BodyHash == poison && !r.closed }) {
			return // the first run is resent only after it has failed
		}
		req.BodyHash = poison
	case "plain", "keyed":
		req.Model, req.Service, req.Idempotent = "", "book", false
		if kind == "keyed" {
			req.Key = fmt.Sprintf("k%d", rapid.IntRange(1, 9).Draw(w.t, "key"))
		}
	}
	w.requests = append(w.requests, req)
	w.step(attempts.Arrived{Request: req.Request})
}

func (w *world) advance(d time.Duration) {
	for ; d > 0; d -= 50 * time.Millisecond {
		w.now = w.now.Add(50 * time.Millisecond)
		for id := range w.server {
			if w.now.UnixMilli()%500 == 0 {
				w.announce(id, false)
			}
		}
		w.step(Tick{})
	}
	for _, req := range w.requests {
		if !req.closed && !w.now.Before(req.Deadline()) {
			w.t.Fatalf("request %s is open %s after its deadline", req.ID, w.now.Sub(req.Deadline()))
		}
	}
}

// act does one random thing to an attempt in progress.
func (w *world) act() {
	if len(w.running) == 0 {
		return
	}
	a := rapid.SampledFrom(w.running).Draw(w.t, "attempt")
	action := rapid.SampledFrom([]string{"token", "token", "end", "end", "reset", "not-run", "refused", "silent"}).Draw(w.t, "action")
	if action != "refused" && action != "not-run" && !a.began {
		a.began = true
		if k := w.keys[attempts.KeyOf(a.req.Request)]; k != nil && a.req.Key != "" {
			if k.runs++; k.runs > 1 {
				w.t.Fatalf("key %s runs %d times", a.req.Key, k.runs)
			}
		}
		w.step(attempts.Sent{Attempt: a.start.Attempt})
	}
	a.req.truth = a.req.truth.Worse(map[bool]gypsumshelf.Verdict{true: gypsumshelf.MayHaveRun}[a.began])
	switch {
	case a.req.BodyHash == poison && a.began:
		if w.struck++; w.struck > 2 {
			w.t.Fatalf("the poison request crashes %d servers", w.struck)
		}
		totals["poison crashes"]++
		w.crash(a.start.Server, rapid.Bool().Draw(w.t, "quick"))
	case action == "token" && a.req.Model != "":
		a.req.position++
		w.step(attempts.FirstToken{Attempt: a.start.Attempt})
	case action == "end":
		a.req.truth = gypsumshelf.Ran
		w.drop(a)
		w.late = append(w.late, attempts.Ended{Attempt: a.start.Attempt, Position: a.req.position, Outcome: &attempts.Outcome{Verdict: gypsumshelf.Ran}})
		w.step(w.late[len(w.late)-1])
	case action == "not-run", action == "refused":
		w.fail(a, attempts.Failed{}, gypsumshelf.NotRun)
	case action == "reset":
		w.fail(a, attempts.Failed{Broken: true}, gypsumshelf.MayHaveRun)
	default:
		w.fail(a, attempts.Failed{Dead: rapid.Bool().Draw(w.t, "dead")}, gypsumshelf.MayHaveRun)
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	server := func() gypsumshelf.ServerID {
		return gypsumshelf.ServerID(fmt.Sprintf("s-%d", rapid.IntRange(0, 4).Draw(w.t, "server")))
	}
	return map[string]func(*rapid.T){
		"arrive": func(*rapid.T) {
			w.arrive(rapid.SampledFrom([]string{"model", "model", "plain", "keyed", "poison"}).Draw(w.t, "kind"))
		},
		"act":   func(*rapid.T) { w.act() },
		"again": func(*rapid.T) { w.act(); w.act() },
		"key": func(*rapid.T) {
			if len(w.asked) > 0 {
				e := w.asked[0]
				w.asked = w.asked[1:]
				w.answerKey(e)
			}
		},
		"crash": func(*rapid.T) { w.crash(server(), rapid.Bool().Draw(w.t, "quick")) },
		"two crash": func(*rapid.T) {
			w.crash(server(), true)
			w.crash(server(), false)
		},
		"late": func(*rapid.T) {
			if len(w.late) > 0 {
				w.step(rapid.SampledFrom(w.late).Draw(w.t, "event"))
			}
		},
		"gone": func(*rapid.T) {
			if len(w.requests) == 0 {
				return
			}
			req := rapid.SampledFrom(w.requests).Draw(w.t, "request")
			if !req.closed && req.Key == "" {
				w.close(req, gypsumshelf.Ran, nil)
				w.step(attempts.CallerGone{Request: req.ID})
			}
		},
		"tick": func(*rapid.T) { w.advance(50 * time.Millisecond) },
		"wait": func(*rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 40).Draw(w.t, "ticks")) * 50 * time.Millisecond)
		},
	}
}

// Guards against any order of faults, alone, together or twice, that lets a
// request run twice that may not, outlive its deadline, end twice, claim less
// than its servers know, lose a position, or crash more than two servers.
func TestRequestsUnderRandomFaults(t *testing.T) {
	seed := os.Getenv("GYPSUMSHELF_SEED")
	if seed == "" {
		seed = "1"
	}
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.steps": randSteps, "rapid.checks": randRuns} {
		if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				t.Fatal(err)
			}
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, 1)
		rt.Repeat(w.actions())
		for _, e := range w.asked {
			w.answerKey(e)
		}
		w.advance(11 * time.Second)
		for _, req := range w.requests {
			if !req.closed {
				rt.Fatalf("request %s never ends", req.ID)
			}
		}
		for key, k := range w.keys {
			if k.outcome == nil {
				rt.Fatalf("key %v of ended request %s has no outcome", key, k.holder)
			}
		}
		totals["requests"] += len(w.requests)
		totals["retries"] += w.retries
	})
	t.Logf("seed %s: %v", seed, totals)
}
