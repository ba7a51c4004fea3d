package daemons

import (
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/replicas"
	"gypsumshelf.example/gypsumshelf/routes"
	"gypsumshelf.example/gypsumshelf/servers"
	"gypsumshelf.example/gypsumshelf/shares"
)

func newLoadedSim(loss float64) *sim {
	s := newSim(simConfig{seed: seed(), policy: routes.EarliestDeadline, daemons: 4, engines: 6, tokensPerSecond: 100_000, memoryTokens: 1_500_000, linkLoss: loss})
	s.run(4 * time.Second)
	s.generateLoad(20, true, func() string { return "w" })
	s.run(20 * time.Second)
	return s
}

// countStarts counts attempts on the engines for which match returns true.
func (s *sim) countStarts(match func(*queueEngine) bool) *int {
	n := 0
	s.onStart = func(e *queueEngine, _ *engineJob) {
		if match(e) {
			n++
		}
	}
	return &n
}

func assertStarts(t *testing.T, phase string, got int, want bool) {
	t.Helper()
	if (got > 0) != want {
		t.Fatalf("%s: %d attempts started, want some: %v", phase, got, want)
	}
}

// Guards against new work, retries and resumes in a data centre taken out of
// service, and against the loss of requests in progress there (R4 in
// docs/design.md).
func TestDataCentreTakenOut(t *testing.T) {
	s := newLoadedSim(0)
	inside := func(e *queueEngine) bool { return e.dataCentre == "dc-0" }
	n := s.countStarts(inside)
	s.run(2 * time.Second)
	assertStarts(t, "before", *n, true)
	s.takenOut["dc-0"] = true
	*n = 0
	s.run(5 * time.Second)
	for _, e := range s.engines {
		if e.dataCentre == "dc-1" {
			s.failAttempts(e)
		}
	}
	s.run(10 * time.Second)
	assertStarts(t, "taken out", *n, false)
	s.takenOut["dc-0"] = false
	s.run(5 * time.Second)
	assertStarts(t, "brought back", *n, true)
	s.run(70 * time.Second)
	assertAllEnded(t, s)
}

// failAttempts ends all attempts on an engine with an error.
func (s *sim) failAttempts(e *queueEngine) {
	lost := e.jobs
	e.jobs = nil
	for _, j := range lost {
		e.count(j, -1)
		s.step(j.daemon, attempts.Failed{Attempt: j.attempt, Failure: gypsumshelf.Errorf(gypsumshelf.MayHaveRun, gypsumshelf.CodeBackendFailed, "connection closed")})
	}
}

func (s *sim) explain(id gypsumshelf.RequestID) (notes []attempts.Note) {
	for _, d := range s.daemons {
		notes = append(notes, d.attempts.Explain(id)...)
	}
	return notes
}

// restart starts a new incarnation; the attempts on the old one fail.
func (e *queueEngine) restart(incarnation string) {
	lost := e.jobs
	e.jobs, e.incarnation, e.busy = nil, incarnation, false
	e.running, e.staleRunning, e.usedTokens, e.completed, e.peakRunning = 0, 0, 0, 0, 0
	e.announce()
	for _, j := range lost {
		e.sim.step(j.daemon, attempts.Failed{Attempt: j.attempt, Failure: gypsumshelf.Errorf(gypsumshelf.MayHaveRun, gypsumshelf.CodeBackendFailed, "connection closed")})
	}
}

// assertAllEnded asserts that every request has ended within the finish time of
// its class (R1 in docs/design.md).
func assertAllEnded(t *testing.T, s *sim) {
	t.Helper()
	for id, r := range s.results {
		if !r.ended && s.now.Sub(r.req.Arrived) > r.req.Class.Target.Finish+tickPeriod {
			t.Fatalf("request %s of %d tokens has not ended after %s: %v", id, r.req.PromptTokens, s.now.Sub(r.req.Arrived), s.explain(id))
		}
	}
}

// Guards against new work on a server that has announced to one daemon that it is
// leaving, with lost messages between daemons and late copies of older
// announcements (R8 in docs/design.md).
func TestLeavingServer(t *testing.T) {
	for _, loss := range []float64{0, 0.2} {
		s := newLoadedSim(loss)
		e := s.engines[0]
		n := s.countStarts(func(o *queueEngine) bool { return o == e })
		e.state = gypsumshelf.ServerLeaving
		e.announce()
		s.run(3 * time.Second)
		*n = 0
		s.run(10 * time.Second)
		assertStarts(t, "leaving", *n, false)
	}
}

// Guards against daemons that together send a restarted server more than its slow
// start allows: one attempt more than it has completed (R3 in docs/design.md). A
// daemon that has not heard of the restart may use its share of the old
// incarnation until that expires.
func TestRestartedServerUnderLoad(t *testing.T) {
	for _, loss := range []float64{0, 0.1, 0.3} {
		s := newLoadedSim(loss)
		s.run(123 * time.Millisecond) // so that the restart is not at the time of an announcement
		e := s.engines[0]
		e.restart("i2")
		restart, stale := s.now, 0
		s.onStart = func(o *queueEngine, j *engineJob) {
			if o != e {
				return
			}
			since := s.now.Sub(restart)
			if j.stale {
				if stale++; since > shares.DefaultConfig(4).ShareTTL {
					t.Errorf("loss %.1f, %s after the restart: a share of the old incarnation is used", loss, since)
				}
			} else if n := e.running - e.staleRunning + 1; n > 1+e.completed && e.completed < 32 {
				t.Errorf("loss %.1f, %s after the restart: %d attempts in progress after %d completed", loss, since, n, e.completed)
			}
		}
		s.run(20 * time.Second)
		if e.completed == 0 {
			t.Fatalf("loss %.1f: restarted server completed nothing", loss)
		}
		t.Logf("seed %d, loss %.1f: completed %d, peak %d, %d sent by daemons unaware of the restart", seed(), loss, e.completed, e.peakRunning, stale)
	}
}

// Guards against a server that keeps its load after it has become slow without
// announcing it.
func TestServerTurnsCold(t *testing.T) {
	s := newLoadedSim(0)
	e := s.engines[0]
	s.run(20 * time.Second)
	n := s.countStarts(func(o *queueEngine) bool { return o == e })
	s.run(30 * time.Second)
	before := *n
	e.slowdown = 20
	s.run(5 * time.Second)
	*n = 0
	s.run(30 * time.Second)
	t.Logf("seed %d: %d attempts in 30 s before, %d after", seed(), before, *n)
	if *n > before/2 {
		t.Fatalf("a server 20 times slower gets %d attempts in 30 s, want at most half of the %d before", *n, before)
	}
}

// Guards against a request that is queued although it cannot meet its deadline.
func TestInfeasibleRequestIsRefusedAtOnce(t *testing.T) {
	s := newLoadedSim(0)
	class := gypsumshelf.Class{Name: "quick", Target: gypsumshelf.Target{FirstToken: time.Second, Finish: 2 * time.Second}}
	s.sendRequest(0, gypsumshelf.Request{Workspace: "w", PromptTokens: 900_000, MaxTokens: 64, Class: class})
	assertRefusedAtOnce(t, s, gypsumshelf.CodeDeadline)
	s.sendRequest(0, gypsumshelf.Request{Workspace: "w", PromptTokens: 1_600_000, MaxTokens: 64})
	assertRefusedAtOnce(t, s, gypsumshelf.CodePromptTooLong)
	s.takenOut["dc-0"], s.takenOut["dc-1"], s.takenOut["dc-2"] = true, true, true
	s.sendRequest(0, gypsumshelf.Request{Workspace: "w", PromptTokens: 1000, MaxTokens: 64})
	assertRefusedAtOnce(t, s, gypsumshelf.CodeNoBackendServer)
}

// assertRefusedAtOnce asserts that the last request was refused at once.
func assertRefusedAtOnce(t *testing.T, s *sim, code gypsumshelf.Code) {
	t.Helper()
	for _, r := range s.results {
		if r.req.Arrived.Equal(s.now) && r.refused != nil && r.refused.Code == code && r.refused.Verdict == gypsumshelf.NotRun {
			return
		}
	}
	t.Fatalf("request was not refused at once with %s and not-run", code)
}

// Guards against a large workspace that takes the capacity of a small one, and
// against idle capacity when only one workspace has work.
func TestFairSharesUnderOverload(t *testing.T) {
	s := newSim(simConfig{seed: seed(), policy: routes.EarliestDeadline, daemons: 2, engines: 2, tokensPerSecond: 20_000, memoryTokens: 1_500_000})
	s.run(4 * time.Second)
	short := s.cfg.tokensPerSecond * 2 / 3400 // requests per second that the fleet can process
	large := func() string { return "large" }
	s.generateLoad(3*short, false, large)
	s.run(40 * time.Second)
	if alone := s.servedCapacity("large", 15*time.Second); alone < 0.85 {
		t.Fatalf("one workspace alone gets %.2f of the capacity, want at least 0.85", alone)
	}
	s.generateLoad(short/3, false, func() string { return "small" })
	s.run(40 * time.Second)
	small, asked := s.servedCapacity("small", 20*time.Second), s.requestedCapacity("small", 20*time.Second)
	t.Logf("seed %d: small workspace gets %.2f of the capacity, asks for %.2f", seed(), small, asked)
	if small < 0.85*asked {
		t.Fatalf("small workspace gets %.2f of the capacity, want 0.85 of the %.2f it asks for", small, asked)
	}
}

// requestedCapacity returns the part of the capacity that a workspace requested in
// the last d.
func (s *sim) requestedCapacity(workspace string, d time.Duration) float64 {
	tokens := 0
	for _, r := range s.results {
		if r.req.Workspace == workspace && s.now.Sub(r.req.Arrived) <= d {
			tokens += r.req.PromptTokens
		}
	}
	return float64(tokens) / d.Seconds() / (s.cfg.tokensPerSecond * float64(s.cfg.engines))
}

// servedCapacity returns the part of the capacity used for prompts of a workspace
// whose first token was produced in the last d.
func (s *sim) servedCapacity(workspace string, d time.Duration) float64 {
	tokens := 0
	for _, r := range s.results {
		if first := r.req.Arrived.Add(r.firstToken); r.req.Workspace == workspace && r.firstToken > 0 && s.now.Sub(first) <= d {
			tokens += r.req.PromptTokens
		}
	}
	return float64(tokens) / d.Seconds() / (s.cfg.tokensPerSecond * float64(s.cfg.engines))
}

// Guards against daemons that lose track of a server when there are too many of
// them to be notified directly: the owner then sends its load with the shares.
func TestManyDaemons(t *testing.T) {
	s := newSim(simConfig{seed: seed(), policy: routes.EarliestDeadline, daemons: 20, engines: 6, tokensPerSecond: 100_000, memoryTokens: 1_500_000})
	s.run(30 * time.Second)
	s.generateLoad(20, false, func() string { return "w" })
	s.run(20 * time.Second)
	e := s.engines[0]
	n := s.countStarts(func(o *queueEngine) bool { return o == e })
	s.run(10 * time.Second)
	assertStarts(t, "ready", *n, true)
	e.state = gypsumshelf.ServerLeaving
	e.announce()
	s.run(3 * time.Second)
	*n = 0
	s.run(10 * time.Second)
	assertStarts(t, "leaving", *n, false)
	for id, r := range s.results {
		if r.refused != nil {
			t.Fatalf("request %s refused: %v", id, r.refused)
		}
	}
}

// Guards against an owner that counts promises of the voters in the settings
// before the log names its voters: those in the settings may have been replaced.
func TestNoOwnerWithoutVotersOfTheLog(t *testing.T) {
	policy, err := routes.New(routes.EarliestDeadline)
	if err != nil {
		t.Fatal(err)
	}
	ids := []gypsumshelf.DaemonID{"d1", "d2"}
	sharing := shares.DefaultConfig(len(ids))
	sharing.Daemon, sharing.Daemons = "d1", ids
	sharing.Voters = func() []gypsumshelf.DaemonID { return ids[:1] }
	r := NewReducer(ReducerConfig{
		Daemon: "d1", Policy: policy, Session: "s", Shares: sharing, Started: simStart,
		Servers: servers.Config{Expiry: time.Hour},
		Replica: replicas.Config{ID: replicas.NodeID{Daemon: "d1", Incarnation: "i"}, ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond},
	})
	a := gypsumshelf.Announcement{Server: "fk-01", Incarnation: "i1", State: gypsumshelf.ServerReady, Kind: gypsumshelf.KindEngine, Models: []string{"m"}}
	r.Step(simStart, servers.Announced{Announcement: a})
	for i := range 200 {
		r.Step(simStart.Add(time.Duration(i)*tickPeriod), Tick{})
	}
	if share, _ := r.shares.Share(simStart.Add(200*tickPeriod), "fk-01"); share != (shares.Amount{}) {
		t.Fatalf("share is %+v although the log names no voters, want none", share)
	}
}
