package schedules

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/costs"
	"gypsumshelf.example/gypsumshelf/paces"
)

// simCold is a simulated engine whose caches are empty: it is slower with each request
// beyond those that it serves at once.
type simCold struct {
	until    time.Duration
	requests int
}

// coldSlowdownPerRequest makes an engine with 12 more requests than it serves while cold 4
// times slower, which is the least slowdown that the page of requirements names.
const coldSlowdownPerRequest = 0.25

func (c *simCold) slowdown(now time.Duration, requests int) float64 {
	if c == nil || now >= c.until {
		return 1
	}
	return 1 + coldSlowdownPerRequest*float64(max(0, requests-c.requests))
}

// failureDelay is the time until an entry daemon notes that an engine has broken off a
// request.
const failureDelay = 20 * time.Millisecond

// fail breaks off a placed job, which its daemon submits again as it does for a caller.
func (s *simulation) fail(j *simJob, server gypsumshelf.ServerID) {
	s.after(failureDelay, func() {
		s.apply(s.scheduler.End(s.time(), j.job.ID, Broken, ""))
		j.job.ID += "+"
		j.job.Avoid = append(slices.Clone(j.job.Avoid), server)
		j.job.Target = j.class.target - (s.now - j.arrived)
		s.jobs[j.job.ID] = j
		s.apply(s.scheduler.Submit(s.time(), j.job))
	})
}

// paceTrial is a load on engines of which some restart.
type paceTrial struct {
	*simulation
	states  []EngineState
	watched []gypsumshelf.ServerID                 // engines that restart
	since   map[gypsumshelf.ServerID]time.Duration // last start
	carries map[gypsumshelf.ServerID]time.Duration // time from the last start until the engine carries its share
	average map[gypsumshelf.ServerID]float64       // of its requests, smoothed
}

// newPaceTrial returns a trial with engines that have run for long.
func newPaceTrial(t testing.TB, engines int, policy Policy) *paceTrial {
	s := newSimulation(t, 0, 17)
	s.scheduler = New(Config{Policy: policy, DataCentre: "a"})
	p := &paceTrial{simulation: s, since: map[gypsumshelf.ServerID]time.Duration{}, carries: map[gypsumshelf.ServerID]time.Duration{}, average: map[gypsumshelf.ServerID]float64{}}
	s.profile.Slots = 12
	s.spread = true
	p.states = spreadStates(engines)
	for i := range p.states {
		p.states[i].Born = simStart.Add(-time.Hour).UnixMilli()
		s.engines[p.states[i].ID] = &simEngine{id: p.states[i].ID}
	}
	p.list(func(EngineState) bool { return true })
	p.sample()
	return p
}

// list tells the scheduler of the engines that are listed now.
func (p *paceTrial) list(listed func(EngineState) bool) {
	var states []EngineState
	for _, state := range p.states {
		if listed(state) {
			states = append(states, state)
		}
	}
	p.scheduler.UpdateEngines(p.time(), map[string]*costs.Profile{"llm": p.profile}, states)
}

// restart lets engines leave, and return after a time with empty caches.
func (p *paceTrial) restart(indices []int, away, cold time.Duration) {
	leaving := map[gypsumshelf.ServerID]bool{}
	for _, i := range indices {
		leaving[p.states[i].ID] = true
	}
	p.list(func(state EngineState) bool { return !leaving[state.ID] })
	p.after(away, func() {
		for _, i := range indices {
			id := p.states[i].ID
			p.states[i].Born = p.time().UnixMilli()
			if p.states[i].ColdRequestsPerSecond > 0 {
				p.states[i].ColdUntil = p.time().Add(cold)
			}
			if !slices.Contains(p.watched, id) {
				p.watched = append(p.watched, id)
			}
			p.engines[id].cold = &simCold{until: p.now + cold, requests: 2}
			p.since[id] = p.now
			delete(p.carries, id)
		}
		p.list(func(EngineState) bool { return true })
	})
}

const (
	loadSamplePeriod = 50 * time.Millisecond
	loadSampleWeight = 0.2
	// carriesFraction is the fraction of the mean load of all other engines from which
	// an engine carries its share.
	carriesFraction = 0.75
)

// sample notes which restarted engines carry their share of the load.
func (p *paceTrial) sample() {
	total, others := 0.0, 0
	for _, state := range p.states {
		e := p.engines[state.ID]
		p.average[e.id] += loadSampleWeight * (float64(len(e.answers)+len(e.prefills)) - p.average[e.id])
		if !slices.Contains(p.watched, e.id) {
			total += p.average[e.id]
			others++
		}
	}
	if others == 0 { // all have restarted
		for _, load := range p.average {
			total += load
		}
		others = len(p.average)
	}
	for id, since := range p.since {
		if _, known := p.carries[id]; !known && p.average[id] >= carriesFraction*total/float64(others) {
			p.carries[id] = p.now - since
		}
	}
	if p.now < 60*time.Second {
		p.after(loadSamplePeriod, p.sample)
	}
}

// paceResult is what callers got.
type paceResult struct {
	late, refused, lost float64       // shares of the requests
	carries             time.Duration // mean time until restarted engines carry their share
	never               int           // engines that did not
}

func (p *paceTrial) result(t testing.TB, name string, from, to time.Duration) paceResult {
	offered, late, refused, lost := 0, 0, 0, 0
	for _, j := range p.submitted {
		if j.arrived < from || j.arrived >= to {
			continue
		}
		offered++
		switch {
		case j.refused:
			refused++
		case !j.completed:
			lost++
		case j.timeToFirstEvent > j.class.target || j.maxGap > j.class.gap:
			late++
		}
	}
	r := paceResult{late: float64(late) / float64(offered), refused: float64(refused) / float64(offered), lost: float64(lost) / float64(offered)}
	for _, id := range p.watched {
		d, known := p.carries[id]
		if !known {
			r.never++
			continue
		}
		r.carries += d / time.Duration(len(p.watched))
	}
	t.Logf("%-12s %5d requests, late %.3f, refused %.3f, lost %.3f, share carried after %s, never by %d of %d engines",
		name, offered, r.late, r.refused, r.lost, r.carries.Round(10*time.Millisecond), r.never, len(p.watched))
	return r
}

// comparePace runs a load without and with the switch.
func comparePace(t *testing.T, engines int, from, to time.Duration, load func(*class, time.Duration) float64, prepare func(*paceTrial)) (without, with paceResult) {
	t.Helper()
	run := func(name string, policy Policy) paceResult {
		p := newPaceTrial(t, engines, policy)
		prepare(p)
		p.run(to+2*time.Second, load)
		return p.result(t, name, from, to)
	}
	return run("without pace", Policy{}), run("with pace", Policy{FindPace: true})
}

// paceTolerance is the share of requests by which callers may fare worse with the pace. It
// is the share of late short prompts that the goals of the deployments allow.
const paceTolerance = 0.03

func (r paceResult) bad() float64 { return r.late + r.refused + r.lost }

func assertNoWorse(t *testing.T, without, with paceResult) {
	t.Helper()
	if with.bad() > without.bad()+paceTolerance {
		t.Errorf("%.3f of the requests are late, refused or lost with the pace, want at most %.3f", with.bad(), without.bad()+paceTolerance)
	}
}

// sizedLoad returns a steady load of mostly short prompts, which fills a fraction of the
// slots of the engines that take them.
func sizedLoad(engines int, fraction float64) func(*class, time.Duration) float64 {
	return func(c *class, _ time.Duration) float64 {
		perEngine := fraction * float64(engines) / 14
		switch c.name {
		case "draft":
			return 2.4 * perEngine
		case "check":
			return 0.5 * perEngine
		}
		return 0.1 * perEngine
	}
}

// Guards against full load on engines with empty caches, and against idle ones: all engines
// are replaced in turn under load, while those that return are cold for 0 s, 3 s or 6 s and
// do not say so.
func TestRollingRelease(t *testing.T) {
	for _, engines := range []int{12, 24} {
		for _, cold := range []time.Duration{0, 3 * time.Second, 6 * time.Second} {
			t.Run(fmt.Sprintf("%d engines, cold for %s", engines, cold), func(t *testing.T) {
				release := func(p *paceTrial) {
					const group = 3
					for i := 0; i < engines; i += group {
						p.after(3*time.Second+time.Duration(i/group)*2*time.Second, func() { p.restart([]int{i, i + 1, i + 2}, time.Second, cold) })
					}
				}
				end := 3*time.Second + time.Duration(engines/3)*2*time.Second + 4*time.Second
				without, with := comparePace(t, engines, 3*time.Second, end, sizedLoad(engines, 0.9), release)
				assertNoWorse(t, without, with)
				if cold > 0 && with.bad() >= without.bad() {
					t.Errorf("%.3f of the requests are late, refused or lost with the pace, want fewer than %.3f", with.bad(), without.bad())
				}
				if cold == 0 && (with.carries > without.carries+time.Second || with.never > without.never) {
					t.Errorf("warm engines carry their share after %s and %d never, want at most %s later than after %s", with.carries, with.never, time.Second, without.carries)
				}
			})
		}
	}
}

// Guards against a returning data centre whose engines get what all callers wait for as soon
// as their cold time ends, and against a stated rate that is exceeded meanwhile.
func TestReturnOfADataCentre(t *testing.T) {
	for _, engines := range []int{12, 24} {
		for _, c := range []struct {
			name   string
			stated float64
		}{{"stated", 2}, {"not stated", 0}} {
			t.Run(fmt.Sprintf("%d engines, cold time %s", engines, c.name), func(t *testing.T) {
				without, with := comparePace(t, engines, 3*time.Second, 16*time.Second, sizedLoad(engines, 0.9), func(p *paceTrial) {
					var indices []int
					for i := range p.states {
						p.states[i].ColdRequestsPerSecond = c.stated
						if p.states[i].DataCentre == "c" {
							indices = append(indices, i)
						}
					}
					p.after(3*time.Second, func() { p.restart(indices, 2*time.Second, 4*time.Second) })
				})
				assertNoWorse(t, without, with)
			})
		}
	}
}

// Guards against an engine that fails, recovers, and gets its full load at once, and
// against one that is left idle although it has recovered.
func TestEngineRecovers(t *testing.T) {
	for _, engines := range []int{6, 12} {
		t.Run(fmt.Sprintf("%d engines", engines), func(t *testing.T) {
			without, with := comparePace(t, engines, 3*time.Second, 12*time.Second, sizedLoad(engines, 0.9), func(p *paceTrial) {
				id := p.states[engines-1].ID // one that takes short prompts
				p.watched = []gypsumshelf.ServerID{id}
				p.failing = func(server gypsumshelf.ServerID) bool {
					return server == id && p.now > 3*time.Second && p.now < 4*time.Second
				}
				p.after(4*time.Second, func() {
					p.since[id] = p.now
					p.engines[id].cold = &simCold{until: p.now + 3*time.Second, requests: 2}
				})
			})
			assertNoWorse(t, without, with)
		})
	}
}

// Guards against an engine that starts again and again, cold each time, and gets full load
// each time.
func TestFlappingEngine(t *testing.T) {
	for _, engines := range []int{6, 12} {
		t.Run(fmt.Sprintf("%d engines", engines), func(t *testing.T) {
			without, with := comparePace(t, engines, 3*time.Second, 20*time.Second, sizedLoad(engines, 0.85), func(p *paceTrial) {
				for i := range 4 {
					p.after(time.Duration(3+4*i)*time.Second, func() { p.restart([]int{engines - 1}, 500*time.Millisecond, 3*time.Second) })
				}
			})
			assertNoWorse(t, without, with)
		})
	}
}

// Guards against a pace that holds back engines that have run for long: under any load the
// decisions are the same with and without the switch.
func TestPaceLeavesSteadyEnginesAlone(t *testing.T) {
	for _, engines := range []int{8, 14} {
		for _, fraction := range []float64{1, 1.5} {
			t.Run(fmt.Sprintf("%d engines, %.1f of their load", engines, fraction), func(t *testing.T) {
				load := func(c *class, at time.Duration) float64 {
					return fraction * float64(engines) / 14 * alternatingLoad(c, at)
				}
				without, with := comparePace(t, engines, 0, 20*time.Second, load, func(*paceTrial) {})
				if with != without {
					t.Errorf("callers got %+v with the pace, want %+v as without", with, without)
				}
			})
		}
	}
}

// startedEngine returns a scheduler with one engine that starts now.
func startedEngine(policy Policy, cold float64) *Scheduler {
	s := New(Config{Policy: policy})
	state := EngineState{ID: "e", Service: "llm", DataCentre: "a", Born: origin.UnixMilli()}
	if cold > 0 {
		state.ColdUntil, state.ColdRequestsPerSecond = origin.Add(10*time.Second), cold
	}
	s.UpdateEngines(origin, map[string]*costs.Profile{"llm": testProfile()}, []EngineState{state})
	return s
}

// placed returns how many of n short jobs are placed at once.
func placed(s *Scheduler, now time.Time, prefix string, n int) []JobID {
	var ids []JobID
	for i := range n {
		for _, d := range s.Submit(now, shortJob(fmt.Sprint(prefix, i))) {
			if d.Placement != nil {
				ids = append(ids, d.Job)
			}
		}
	}
	return ids
}

// Guards against a started engine that is left idle: the jobs that it has at once double
// with each round of first events that come in time.
func TestStartedEngineGrows(t *testing.T) {
	s := startedEngine(Policy{FindPace: true}, 0)
	now := origin
	var total int
	for round, want := range []int{1, 2, 4, 8, 16} {
		now = now.Add(100 * time.Millisecond)
		ids := placed(s, now, fmt.Sprint("round", round, "-"), 1)
		for _, d := range s.Tick(now) {
			if d.Placement != nil {
				ids = append(ids, d.Job)
			}
		}
		for more := true; more; {
			next := placed(s, now, fmt.Sprint("more", round, "-", len(ids), "-"), 1)
			ids, more = append(ids, next...), len(next) > 0 && len(ids) < 40
		}
		if total += len(ids); total != want {
			t.Fatalf("round %d: the engine has %d jobs, want %d", round, total, want)
		}
		now = now.Add(50 * time.Millisecond)
		for _, id := range ids {
			s.Started(now, id)
		}
	}
	if got := s.PaceCounts()[paces.Steady]; got != 1 {
		t.Errorf("%d engines are steady, want 1", got)
	}
}

// Guards against a stated cold rate or a named limit that a grown pace exceeds.
func TestPaceKeepsStatedBounds(t *testing.T) {
	for _, c := range []struct {
		name  string
		cold  float64
		limit float64
		most  int // jobs in 8 s
	}{
		{name: "cold rate", cold: 4, most: 24},
		{name: "named limit", limit: 2, most: 18},
		{name: "both", cold: 4, limit: 2, most: 18},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startedEngine(Policy{FindPace: true}, c.cold)
			if c.limit > 0 {
				s.RecordLimit(origin, named("e", origin.UnixMilli(), c.limit))
			}
			n := 0
			count := func(now time.Time, decisions []Decision) {
				for _, d := range decisions {
					if d.Placement != nil {
						n++
						s.Started(now, d.Job)
						s.End(now, d.Job, Completed, "")
					}
				}
			}
			for i := range 160 {
				now := origin.Add(time.Duration(i) * 50 * time.Millisecond)
				count(now, s.Submit(now, shortJob(fmt.Sprint(i))))
				count(now, s.Tick(now))
			}
			if n > c.most || n < c.most/2 {
				t.Errorf("%d jobs in 8 s, want %d to %d", n, c.most/2, c.most)
			}
		})
	}
}

// Guards against a new leader that holds back engines which have answered for the previous
// one, or gives full load to one that has just started.
func TestPaceAfterAdoption(t *testing.T) {
	s := startedEngine(Policy{FindPace: true}, 0)
	s.Adopt(origin, shortJob("waiting"), Placement{Server: "e"}, false)
	if got := s.PaceCounts(); got[paces.Starting] != 1 {
		t.Errorf("paces %v after a job without an event, want one that starts", got)
	}
	s.Started(origin.Add(time.Millisecond), "waiting")
	if got := s.PaceCounts(); got[paces.Starting] != 1 {
		t.Errorf("paces %v after the event of an adopted job, whose placement time is not known, want one that starts", got)
	}
	s.Adopt(origin, shortJob("answered"), Placement{Server: "e"}, true)
	if got := s.PaceCounts(); got[paces.Steady] != 1 {
		t.Errorf("paces %v after a job with an event, want one that is steady", got)
	}
}

// Guards against daemons that schedule by themselves and together send a starting engine
// more than one scheduler would.
func TestTwentyDaemonsShareThePace(t *testing.T) {
	const daemons = 20
	n := 0
	for d := range daemons {
		s := New(Config{Policy: Policy{FindPace: true}, ColdShare: 1.0 / daemons})
		s.UpdateEngines(origin, map[string]*costs.Profile{"llm": testProfile()}, []EngineState{{ID: "e", Service: "llm", DataCentre: "a", Born: origin.UnixMilli()}})
		for i := range 40 {
			now := origin.Add(time.Duration(i) * 50 * time.Millisecond)
			for _, decision := range slices.Concat(s.Submit(now, shortJob(fmt.Sprint(d, "-", i))), s.Tick(now)) {
				if decision.Placement != nil {
					n++
				}
			}
		}
	}
	if n > 3 {
		t.Errorf("%d jobs from %d daemons in 2 s on an engine that starts, want at most 3", n, daemons)
	}
}

// Guards against work on engines that have just failed while the others are sound and only
// at their pace, and against the jobs of a daemon that has died as evidence about engines.
func TestPaceAndFailures(t *testing.T) {
	s := New(Config{Policy: Policy{FindPace: true}})
	states := spreadStates(3)
	for i := range states {
		states[i].Born = origin.UnixMilli()
	}
	s.UpdateEngines(origin, map[string]*costs.Profile{"llm": testProfile()}, states)
	s.MarkUnresponsive(origin, states[0].ID)
	if n := len(placed(s, origin, "j", 3)); n != 2 {
		t.Errorf("%d jobs placed at once on two started engines and a failed one, want 2", n)
	}
	if got := s.PaceCounts()[paces.BackingOff]; got != 0 {
		t.Errorf("%d engines back off because one has sent no load report", got)
	}
	s.EndDaemonJobs(origin.Add(5*time.Second), "")
	if got := s.PaceCounts()[paces.BackingOff]; got != 0 {
		t.Errorf("%d engines back off because a daemon has died", got)
	}
}

// changeLeader lets another scheduler take over, which knows the jobs that entry daemons
// hand over.
func (p *paceTrial) changeLeader(policy Policy) {
	old := p.scheduler
	p.scheduler = New(Config{Policy: policy, DataCentre: "a"})
	p.list(func(EngineState) bool { return true })
	for _, id := range slices.Sorted(maps.Keys(old.jobs)) {
		if j := old.jobs[id]; j.placement != nil {
			p.scheduler.Adopt(p.time(), j.request, *j.placement, j.started)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(old.jobs)) {
		if j := old.jobs[id]; j.placement == nil {
			p.apply(p.scheduler.Submit(p.time(), j.request))
		}
	}
}

// Guards against a new leader that holds back sound engines under load, or gives full load
// to those that have started a moment before its election.
func TestChangeOfLeadersUnderLoad(t *testing.T) {
	for _, engines := range []int{12, 24} {
		for _, started := range []int{0, 3} {
			t.Run(fmt.Sprintf("%d engines, %d started", engines, started), func(t *testing.T) {
				without, with := comparePace(t, engines, 3*time.Second, 14*time.Second, sizedLoad(engines, 0.9), func(p *paceTrial) {
					indices := []int{engines - 1, engines - 2, engines - 3}[:started]
					p.after(3*time.Second, func() { p.restart(indices, time.Second, 3*time.Second) })
					p.after(4500*time.Millisecond, func() { p.changeLeader(p.scheduler.cfg.Policy) })
				})
				assertNoWorse(t, without, with)
				if started == 0 && with != without {
					t.Errorf("callers got %+v with the pace, want %+v as without", with, without)
				}
			})
		}
	}
}
