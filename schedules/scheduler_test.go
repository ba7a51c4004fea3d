package schedules

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/costs"
)

var origin = time.Unix(1000, 0)

// newTestScheduler returns a scheduler with n engines named e00, e01, ...
func newTestScheduler(n int) *Scheduler {
	s := New(Config{})
	var states []EngineState
	for i := range n {
		states = append(states, EngineState{ID: gypsumshelf.ServerID(fmt.Sprintf("e%02d", i)), Service: "llm", DataCentre: "a"})
	}
	s.UpdateEngines(origin, map[string]*costs.Profile{"llm": testProfile()}, states)
	return s
}

func newJob(id string, prompt int, target time.Duration) Job {
	return Job{
		ID: JobID(id), Service: "llm", DataCentre: "a", Prompt: prompt, Answer: 1600, Expected: 1600,
		Target: target, Patience: 4 * target, Deadline: 15 * time.Second, Gap: 800 * time.Millisecond,
	}
}

func shortJob(id string) Job {
	j := newJob(id, 5000, 300*time.Millisecond)
	j.Gap, j.Patience = 200*time.Millisecond, 2*time.Second
	return j
}

// requirePlacement returns the placement of the only decision and fails the
// test if there is none.
func requirePlacement(t *testing.T, decisions []Decision) *Placement {
	t.Helper()
	if len(decisions) != 1 || decisions[0].Placement == nil {
		t.Fatalf("got decisions %+v, want one placement", decisions)
	}
	return decisions[0].Placement
}

func updateLoad(t *testing.T, s *Scheduler, now time.Time, id gypsumshelf.ServerID, l Load) {
	t.Helper()
	if err := s.UpdateLoad(now, id, l); err != nil {
		t.Fatal(err)
	}
}

func assertWaits(t *testing.T, decisions []Decision) {
	t.Helper()
	if len(decisions) != 0 {
		t.Errorf("got decisions %+v, want none while the job waits", decisions)
	}
}

// Guards against the prefill of a long prompt on one engine while others are
// idle.
func TestLongPromptIsSplit(t *testing.T) {
	s := newTestScheduler(14)
	p := requirePlacement(t, s.Submit(origin, newJob("review", 210_000, 3*time.Second)))
	if len(p.Helpers) < 8 {
		t.Errorf("got %d helpers, want at least 8 of the 14 idle engines", len(p.Helpers))
	}
	if p.First > 500*time.Millisecond {
		t.Errorf("first event predicted after %v, want at most 500ms", p.First)
	}
}

// Guards against parts that delay each other. Engines prefill the newest part
// first, so prompts of 170,000 tokens waited for seconds behind newer ones on
// the grown Schriftgilde deployment.
func TestEnginePrefillsOneLongPartAtATime(t *testing.T) {
	s := newTestScheduler(14)
	first := requirePlacement(t, s.Submit(origin, newJob("first", 400_000, 3*time.Second)))
	prefilling := map[gypsumshelf.ServerID]bool{}
	for _, id := range first.engines() {
		prefilling[id] = true
	}
	now := origin.Add(100 * time.Millisecond)
	for _, d := range s.Submit(now, newJob("second", 210_000, 3*time.Second)) {
		for _, id := range d.Placement.engines() {
			if prefilling[id] {
				t.Errorf("engine %s got a part of the second prompt during the prefill of the first", id)
			}
		}
	}
	t.Run("until its prefill has ended", func(t *testing.T) {
		s := newTestScheduler(2)
		requirePlacement(t, s.Submit(origin, newJob("first", 210_000, 3*time.Second)))
		assertWaits(t, s.Submit(now, newJob("second", 210_000, 3*time.Second)))
		s.Started(now, "first")
		s.End(now, "first", Completed, "")
		requirePlacement(t, s.Tick(now))
	})
}

// Guards against pauses in short answers, whose callers accept 200 ms, during
// the prefill of a long prompt on the same engine.
func TestLongPromptAvoidsEnginesOfShortAnswers(t *testing.T) {
	s := newTestScheduler(14)
	s.Submit(origin, newJob("review", 210_000, 3*time.Second)) // makes the scheduler reserve engines
	s.Started(origin, "review")
	var shortAnswerEngines []gypsumshelf.ServerID
	now := origin
	for i := range 20 {
		now = now.Add(30 * time.Millisecond)
		shortAnswerEngines = append(shortAnswerEngines, requirePlacement(t, s.Submit(now, shortJob(fmt.Sprint("draft", i)))).Server)
	}
	p := requirePlacement(t, s.Submit(now, newJob("big", 400_000, 3*time.Second)))
	for _, id := range p.engines() {
		for _, w := range shortAnswerEngines {
			if id == w {
				t.Errorf("engine %s generates a short answer and got a part with a prefill time of %v", id, testProfile().SharedPrefillTime(400_000, len(p.engines())))
			}
		}
	}
}

// Guards against the placement of a prompt that exceeds the memory of any
// engine without reservations for all of it. On scale-1 of Souffle Piste one
// such prompt stalled the streams of nine engines.
func TestOversizedPromptReservesMemory(t *testing.T) {
	s := newTestScheduler(14)
	const tokens = 1_000_000
	p := requirePlacement(t, s.Submit(origin, newJob("huge", tokens, 3*time.Second)))
	held := 0
	for _, h := range p.Holds {
		held += h.Tokens
		if h.Tokens > testProfile().MemoryTokens {
			t.Errorf("%d tokens reserved on engine %s, more than its memory", h.Tokens, h.Server)
		}
	}
	if rest := tokens + 1600 - held; rest > testProfile().MemoryTokens {
		t.Errorf("%d tokens are left for the primary, more than its memory", rest)
	}
}

// Guards against a deadlock of two oversized prompts that each hold memory
// which the other one needs. Reservations are decided for a whole prompt at
// once, so that both complete.
func TestTwoOversizedPromptsComplete(t *testing.T) {
	s := newTestScheduler(3)
	requirePlacement(t, s.Submit(origin, newJob("first", 700_000, 30*time.Second)))
	assertWaits(t, s.Submit(origin, newJob("second", 700_000, 30*time.Second)))
	s.Started(origin.Add(time.Second), "first")
	now := origin.Add(2 * time.Second)
	s.End(now, "first", Completed, "")
	d := s.Tick(now.Add(25 * time.Millisecond))
	requirePlacement(t, d)
}

// Guards against late requests that wait until their callers disconnect, while
// requests in time take the slots, as with nine engines for the short prompts of
// fourteen.
func TestOverloadIsRefusedInTime(t *testing.T) {
	s := newTestScheduler(2)
	var refused []Decision
	for i := range 100 {
		for _, d := range s.Submit(origin, shortJob(fmt.Sprint("draft", i))) {
			if d.Placement == nil {
				refused = append(refused, d)
			}
		}
	}
	for at := 25 * time.Millisecond; at < 3*time.Second; at += 25 * time.Millisecond {
		for _, d := range s.Tick(origin.Add(at)) {
			if d.Placement != nil {
				continue
			}
			refused = append(refused, d)
			if at > 2*time.Second-refusalMargin {
				t.Errorf("job %s is refused after %v, too late for its caller", d.Job, at)
			}
		}
	}
	if n := len(s.pools["llm"].queue); n != 0 {
		t.Errorf("%d requests wait after their callers have disconnected", n)
	}
	if len(refused) != 100-2*testProfile().Slots {
		t.Errorf("%d requests refused, want those in excess of the %d slots", len(refused), 2*testProfile().Slots)
	}
	for _, d := range refused {
		if d.RetryAfter < minRetryAfter || d.RetryAfter > maxRetryAfter {
			t.Errorf("job %s has a retry time of %v, want %v to %v", d.Job, d.RetryAfter, minRetryAfter, maxRetryAfter)
		}
	}
}

// Guards against new requests for an engine that has just failed, and against a
// scheduler that excludes all engines when the fault is on its own side.
func TestFailedEngineIsAvoided(t *testing.T) {
	s := newTestScheduler(4)
	p := requirePlacement(t, s.Submit(origin, shortJob("a")))
	s.End(origin, "a", Broken, "")
	for i := range 6 {
		if next := requirePlacement(t, s.Submit(origin, shortJob(fmt.Sprint("b", i)))); next.Server == p.Server {
			t.Errorf("request %d is placed on the engine that has just failed", i)
		}
	}
	for i := range 4 {
		s.MarkUnresponsive(origin, gypsumshelf.ServerID(fmt.Sprintf("e%02d", i)))
	}
	requirePlacement(t, s.Submit(origin, shortJob("c")))
}

// Guards against more requests for a cold engine than its cold rate permits.
func TestColdEngineGetsFewRequests(t *testing.T) {
	s := New(Config{})
	s.UpdateEngines(origin, map[string]*costs.Profile{"llm": testProfile()}, []EngineState{
		{ID: "warm", Service: "llm"}, {ID: "cold", Service: "llm", ColdUntil: origin.Add(time.Minute), ColdRequestsPerSecond: 10},
	})
	cold := 0
	for i := range 100 {
		now := origin.Add(time.Duration(i) * 10 * time.Millisecond)
		for _, d := range s.Submit(now, shortJob(fmt.Sprint("d", i))) {
			if d.Placement != nil && d.Placement.Server == "cold" {
				cold++
			}
			s.Started(now, d.Job)
			s.End(now, d.Job, Completed, "")
		}
	}
	if cold > 10 {
		t.Errorf("%d requests within a second on the cold engine, want at most 10", cold)
	}
}

// Guards against policy changes that lower the value of the answers under
// simulated loads. The lower bounds leave room for the differences between
// seeds.
func TestSimulatedLoads(t *testing.T) {
	for _, c := range []struct {
		name    string
		engines int
		classes []class
		slots   int
		factor  func(*class, time.Duration) float64
		floor   float64 // lower bound of the value fraction
	}{
		{"usual load, 14 engines", 14, baseClasses, 16, steadyLoad, 0.8},
		{"phases, 14 engines", 14, baseClasses, 16, alternatingLoad, 0.84},
		{"usual load, 3 engines lost", 11, baseClasses, 16, steadyLoad, 0.84},
		{"phases, 18 engines", 18, baseClasses, 16, scaledAlternatingLoad(1.25), 0.84},
		{"phases, 45 engines", 45, largeDeploymentClasses, 12, alternatingLoad, 0.88},
		{"phases, a data centre of 14 engines out", 9, baseClasses, 16, alternatingLoad, 0.6},
		{"phases, a data centre of 45 engines out", 30, largeDeploymentClasses, 12, alternatingLoad, 0.6},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(t, c.engines, 7)
			s.classes, s.profile.Slots = c.classes, c.slots
			s.run(60*time.Second, c.factor)
			if got := valueFraction(t, c.name, s); got < c.floor {
				t.Errorf("value fraction %.3f, want at least %.3f", got, c.floor)
			}
		})
	}
}

// Guards against an order of the queue in which all short prompts are late when
// more arrive than slots become free: 30 of the 45 engines of the grown
// Schriftgilde deployment, as on trouble-3. In the order of their targets the
// value fraction is 0.741.
func TestMoreShortPromptsThanSlots(t *testing.T) {
	const seeds = 4
	sum := 0.0
	for seed := range uint64(seeds) {
		s := newSimulation(t, 30, seed+1)
		s.classes, s.profile.Slots = largeDeploymentClasses, 12
		s.run(40*time.Second, alternatingLoad)
		sum += valueFraction(t, fmt.Sprint("seed ", seed+1), s)
	}
	if got := sum / seeds; got < 0.755 {
		t.Errorf("value fraction %.3f, want at least 0.755", got)
	}
}

// Guards against local schedulers that together exceed the request rate of a
// cold engine: 26 entry daemons without a leader after a power loss of all
// hosts, as on trouble-1 with seeds 187285715084 and 667865039470.
func TestLocalSchedulersShareAColdEngine(t *testing.T) {
	const schedulers, coldRate = 26, 14.0
	sent := make([]int, 30)
	for range schedulers {
		s := New(Config{ColdShare: 1.0 / schedulers})
		s.UpdateEngines(origin, map[string]*costs.Profile{"llm": testProfile()}, []EngineState{
			{ID: "cold", Service: "llm", ColdUntil: origin.Add(time.Minute), ColdRequestsPerSecond: coldRate},
		})
		for i := range 300 {
			now := origin.Add(time.Duration(i) * 100 * time.Millisecond)
			for _, d := range s.Submit(now, shortJob(fmt.Sprint("d", i))) {
				if d.Placement != nil {
					sent[i/10]++
				}
				s.Started(now, d.Job)
				s.End(now, d.Job, Completed, "")
			}
		}
	}
	for second, n := range sent {
		if limit := int(coldRate*1.5 + 5); n > limit {
			t.Errorf("%d requests in second %d on the cold engine, want at most %d", n, second, limit)
		}
	}
}

// Guards against the use of slots that other schedulers have filled. An entry
// daemon without a connection to the leader sees the requests of other daemons
// only in load reports; on trouble-2 of Schriftgilde both sides placed on the
// same slots.
func TestExternalRequestsTakeSlots(t *testing.T) {
	s := newTestScheduler(2)
	updateLoad(t, s, origin, "e00", Load{Slowdown: 1, Running: testProfile().Slots})
	for i := range 4 {
		if p := requirePlacement(t, s.Submit(origin, shortJob(fmt.Sprint("d", i)))); p.Server != "e01" {
			t.Errorf("a request is placed on engine %s, whose slots are taken", p.Server)
		}
	}
	later := origin.Add(2 * externalLoadTTL)
	for i := range 2 * testProfile().Slots {
		s.Submit(later, shortJob(fmt.Sprint("l", i)))
	}
	if n := s.pools["llm"].engines["e00"].summary.answers; n == 0 {
		t.Error("no request is placed on e00 after its report has expired")
	}
}

// Guards against slots that stay occupied by the requests of a dead daemon.
func TestJobsOfALostDaemonEnd(t *testing.T) {
	s := newTestScheduler(1)
	for i := range testProfile().Slots {
		j := shortJob(fmt.Sprint("d", i))
		j.Daemon = "lost"
		requirePlacement(t, s.Submit(origin, j))
	}
	assertWaits(t, s.Submit(origin, shortJob("next")))
	requirePlacement(t, s.EndDaemonJobs(origin, "lost"))
}

// Guards against the placement of a long prompt on engines that generate
// answers for other daemons, by a scheduler without recent load reports. On
// trouble-3 of Schriftgilde an entry daemon did so after it had been suspended,
// and 76 short answers on six engines paused for 400 ms.
func TestLongPromptWaitsForReports(t *testing.T) {
	s := New(Config{ColdShare: 0.25})
	var states []EngineState
	for i := range 8 {
		states = append(states, EngineState{ID: gypsumshelf.ServerID(fmt.Sprintf("e%02d", i)), Service: "llm"})
	}
	s.UpdateEngines(origin, map[string]*costs.Profile{"llm": testProfile()}, states)
	assertWaits(t, s.Submit(origin, newJob("review", 210_000, 3*time.Second)))
	requirePlacement(t, s.Submit(origin, shortJob("short")))
	for i, state := range states {
		l := Load{Slowdown: 1, Running: 14}
		if i >= 2 {
			l.Running = 0
		}
		updateLoad(t, s, origin, state.ID, l)
	}
	for _, id := range requirePlacement(t, s.Tick(origin)).engines() {
		if id < "e02" {
			t.Errorf("engine %s got a part although it generates 14 answers", id)
		}
	}
}

// Reports the cost of a job while more short requests arrive than slots become
// free, which makes the queue long: 30 of the 45 engines of the grown
// Schriftgilde deployment.
func BenchmarkOverload(b *testing.B) {
	for _, policy := range []Policy{{}, {ForecastDemand: true, LearnPredictions: true}} {
		b.Run(fmt.Sprintf("%+v", policy), func(b *testing.B) {
			jobs := 0
			for b.Loop() {
				s := newSimulation(b, 30, 7)
				s.scheduler.cfg.Policy, s.scheduler.pools["llm"].policy = policy, policy
				s.classes, s.profile.Slots = largeDeploymentClasses, 12
				s.run(40*time.Second, alternatingLoad)
				jobs += len(s.submitted)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(jobs), "ns/job")
		})
	}
}

// Guards against parts of an oversized prompt on engines with an unfinished
// part of another prompt, which is delayed by them. On quiet-1 of the grown
// Schriftgilde deployment a prompt of 352,000 tokens with a predicted first
// event after 1.9 s got it after 9.8 s.
func TestOversizedPromptAvoidsPrefillingEngines(t *testing.T) {
	s := newTestScheduler(14)
	first := requirePlacement(t, s.Submit(origin, newJob("first", 350_000, 3*time.Second)))
	now := origin.Add(50 * time.Millisecond)
	for _, d := range s.Submit(now, newJob("huge", 720_000, 3*time.Second)) {
		for _, id := range d.Placement.engines() {
			if slices.Contains(first.engines(), id) {
				t.Errorf("engine %s got a part of the oversized prompt during an earlier prefill", id)
			}
		}
	}
}

// Guards against so few engines for an oversized prompt that the pass with its
// first event ends after the target. On quiet-1 of Schriftgilde all three late
// reviews of 42 were predicted 65 to 79 ms after their target, or came after
// it.
func TestOversizedPromptIsPredictedInTime(t *testing.T) {
	for tokens := 440_000; tokens < 800_000; tokens += 4000 {
		target := 3 * time.Second
		if p := requirePlacement(t, newTestScheduler(14).Submit(origin, newJob("huge", tokens, target))); p.First > target-oversizedPromptMargin {
			t.Errorf("%d tokens: first event predicted after %v with %d helpers, want at most %v", tokens, p.First, len(p.Helpers), target-oversizedPromptMargin)
		}
	}
}

// Guards against the placement of an oversized prompt on two engines that
// happen to be free but need more time than its target.
func TestOversizedPromptWaitsForEnoughEngines(t *testing.T) {
	s := newTestScheduler(4)
	s.Adopt(origin, newJob("long", 300_000, 3*time.Second), Placement{Server: "e00"}, false)
	oversized := newJob("huge", 620_000, 8*time.Second)
	assertWaits(t, s.Submit(origin, oversized))
	now := origin.Add(time.Second)
	s.End(now, "long", Completed, "")
	if p := requirePlacement(t, s.Tick(now)); p.First > oversized.Target-time.Second {
		t.Errorf("first event predicted after %v with %d helpers, want at most %v", p.First, len(p.Helpers), oversized.Target-time.Second)
	}
}

// Guards against a second cold period that is limited by the rate of the first one.
func TestSecondColdPeriodHasItsOwnRate(t *testing.T) {
	s := New(Config{})
	profiles := map[string]*costs.Profile{"llm": testProfile()}
	update := func(at time.Time, rate float64) {
		s.UpdateEngines(at, profiles, []EngineState{{ID: "e", Service: "llm", ColdUntil: at.Add(10 * time.Second), ColdRequestsPerSecond: rate}})
	}
	update(origin, 100)
	s.UpdateEngines(origin.Add(20*time.Second), profiles, []EngineState{{ID: "e", Service: "llm"}})
	again := origin.Add(time.Minute)
	update(again, 4)
	placed := 0
	for i := range 20 {
		for _, d := range s.Submit(again, shortJob(fmt.Sprint(i))) {
			if d.Placement != nil {
				placed++
			}
		}
	}
	if placed > 4 {
		t.Errorf("%d requests were placed at once on an engine that accepts 4 per second", placed)
	}
}
