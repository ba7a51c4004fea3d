package schedules

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Guards against engines that count as slow after a single late event, or for ever.
func TestRatio(t *testing.T) {
	record := func(observed ...float64) *ratio {
		r := &ratio{}
		for _, o := range observed {
			r.record(origin, o)
		}
		return r
	}
	for _, test := range []struct {
		name     string
		observed []float64
		want     float64
	}{
		{"nothing", nil, 1},
		{"one outlier", []float64{6}, 1},
		{"outliers between others", []float64{6, 1, 6, 1}, 1},
		{"the second of two", []float64{6, 4}, 4},
		{"faster than predicted", []float64{0.5, 0.1}, 1},
		{"beyond the bound", []float64{100, 100}, maxRatio},
		{"no number", []float64{math.NaN(), math.NaN()}, 1},
		{"infinite", []float64{math.Inf(1), math.Inf(1)}, maxRatio},
		{"negative", []float64{-4, -4}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			assertAbout(t, "ratio", record(test.observed...).get(origin), test.want, 0)
		})
	}
	t.Run("decays", func(t *testing.T) {
		r := record(5, 5)
		assertAbout(t, "ratio", r.get(origin.Add(ratioDecayTime)), 1+4/math.E, 1e-6)
		assertAbout(t, "ratio", r.get(origin.Add(20*ratioDecayTime)), 1, 1e-6)
	})
	t.Run("two outliers long apart", func(t *testing.T) {
		r := record(8)
		r.record(origin.Add(5*ratioDecayTime), 8)
		if got := r.get(origin.Add(5 * ratioDecayTime)); got >= slowdownThreshold {
			t.Errorf("the ratio is %.2f, want less than %v", got, slowdownThreshold)
		}
	})
	t.Run("overdue", func(t *testing.T) {
		r := &ratio{}
		r.recordOverdue(origin, []float64{7})
		assertAbout(t, "ratio with one", r.get(origin), 1, 0)
		r.recordOverdue(origin, []float64{3, 7})
		assertAbout(t, "ratio with two", r.get(origin), 3, 0)
	})
}

func TestMedianOfOthers(t *testing.T) {
	for _, test := range []struct {
		sorted    []float64
		own       float64
		contained bool
		want      float64
	}{
		{nil, 4, false, 1},
		{[]float64{4}, 4, true, 1},
		{[]float64{1, 4}, 4, true, 1},
		{[]float64{1, 4}, 1, true, 4},
		{[]float64{1, 2, 3}, 2, true, 3},
		{[]float64{1, 2, 3}, 9, false, 2},
		{[]float64{2, 2, 2}, 2, true, 2},
	} {
		t.Run(fmt.Sprint(test.sorted, test.own), func(t *testing.T) {
			assertAbout(t, "median", medianOfOthers(test.sorted, test.own, test.contained), test.want, 0)
		})
	}
}

// firstEvents lets engines have two jobs each whose first events take a multiple of the
// predicted time.
func firstEvents(t *testing.T, s *Scheduler, factor func(gypsumshelf.ServerID) float64) time.Time {
	t.Helper()
	now := origin
	for round := range 2 {
		begin, last := now, now
		placed := map[JobID]*Placement{}
		for i := range len(s.pools["llm"].sorted) {
			j := jobIn("a", fmt.Sprintf("%d-%d", round, i))
			placed[j.ID] = requirePlacement(t, s.Submit(begin, j))
		}
		for id, p := range placed {
			now = begin.Add(time.Duration(factor(p.Server)*float64(p.First)) + pauseMargin)
			s.Started(now, id)
			s.End(now, id, Completed, "")
			if now.After(last) {
				last = now
			}
		}
		now = last
	}
	s.Tick(now)
	return now
}

func slowEngines(s *Scheduler) int {
	n := 0
	for _, e := range s.pools["llm"].sorted {
		if e.learnedSlowdown >= slowdownThreshold {
			n++
		}
	}
	return n
}

func newLearningScheduler(t *testing.T, engines int) *Scheduler {
	t.Helper()
	s := newTestScheduler(engines)
	s.cfg.Policy.LearnPredictions = true
	s.pools["llm"].policy = s.cfg.Policy
	for _, e := range s.pools["llm"].sorted {
		e.learns = true
	}
	return s
}

// Guards against an engine that misreports its load and gets as much work as others, and
// against a burst that makes all engines count as slow.
func TestSlowEnginesAreLearned(t *testing.T) {
	for _, engines := range []int{12, 40} {
		t.Run(fmt.Sprintf("one of %d", engines), func(t *testing.T) {
			s := newLearningScheduler(t, engines)
			now := firstEvents(t, s, func(id gypsumshelf.ServerID) float64 {
				if id == "e03" {
					return 5
				}
				return 1
			})
			updateLoad(t, s, now, "e03", Load{Slowdown: 1}) // it reports no running requests
			if n := slowEngines(s); n != 1 {
				t.Fatalf("%d engines count as slow, want one", n)
			}
			for i := range engines {
				if p := requirePlacement(t, s.Submit(now, jobIn("a", fmt.Sprint("after", i)))); p.Server == "e03" {
					t.Error("a request is placed on the slow engine")
				}
			}
			if changes := s.TakeSlowChanges(); len(changes) != 1 || !changes[0].Slow || changes[0].Server != "e03" {
				t.Errorf("got changes %+v, want that e03 is slow", changes)
			}
			s.Tick(now.Add(10 * ratioDecayTime))
			if n := slowEngines(s); n != 0 {
				t.Errorf("%d engines count as slow after a while, want none", n)
			}
		})
		t.Run(fmt.Sprintf("all of %d at once", engines), func(t *testing.T) {
			s := newLearningScheduler(t, engines)
			firstEvents(t, s, func(gypsumshelf.ServerID) float64 { return 5 })
			if n := slowEngines(s); n != 0 {
				t.Errorf("%d engines count as slow, want none", n)
			}
		})
	}
	t.Run("the larger of both slowdowns", func(t *testing.T) {
		e := newLearningScheduler(t, 1).pools["llm"].engines["e00"]
		e.learnedSlowdown = 3
		e.load, e.loadAt = Load{Slowdown: 2}, origin
		assertAbout(t, "slowdown", e.slowdown(origin), 3, 0)
		e.load.Slowdown = 4
		assertAbout(t, "slowdown", e.slowdown(origin), 4, 0)
	})
	t.Run("not asked for", func(t *testing.T) {
		s := newTestScheduler(12)
		firstEvents(t, s, func(id gypsumshelf.ServerID) float64 { return map[bool]float64{true: 8, false: 1}[id == "e03"] })
		if n := slowEngines(s); n != 0 {
			t.Errorf("%d engines count as slow, want none", n)
		}
	})
}

// Guards against engines that are blamed for retransmissions.
func TestNothingIsLearnedOverBadPaths(t *testing.T) {
	s := newSpreadScheduler(6)
	p := s.pools["llm"]
	p.policy.LearnPredictions = true
	j := &jobState{request: jobIn("a", "j"), placement: &Placement{First: time.Second}, slowdown: 1}
	remote := p.engines[spreadStates(6)[2].ID]
	if !p.isLearnable(origin, j, remote) {
		t.Error("nothing is learned over a sound path")
	}
	makeBad(t, s, origin, "a", "c", 1)
	if p.isLearnable(origin, j, remote) {
		t.Error("a first event over a bad path counts")
	}
}

// Guards against slow engines, a tenth of all, that get as much work as the others since
// they report nothing.
func TestSimulatedSlowEngines(t *testing.T) {
	const seeds = 4
	loads := []demandLoad{waves(11*time.Second, 0.2), doubledShortPrompts()}
	replay := func(engines int, slowdown float64, policy Policy) outcomes {
		out := outcomes{}
		for _, l := range loads {
			out.add(l.replay(t, engines, policy, seeds, func(s *simulation) {
				for i, state := range spreadStates(engines) {
					if i%10 == 7 {
						s.engines[state.ID].slowdown = slowdown
					}
				}
			}))
		}
		return out
	}
	t.Run("none is slow", func(t *testing.T) {
		without, with := outcomes{}, outcomes{}
		for _, engines := range demandEngines {
			without.add(replay(engines, 1, Policy{}))
			with.add(replay(engines, 1, Policy{LearnPredictions: true}))
		}
		logShares(t, without, with)
		assertFewerLate(t, "draft", without, with, 1.05) // chance alone changes 780 late ones by 5%
		assertLongClassesKeep(t, without, with)
	})
	for _, slowdown := range []float64{4, 8} {
		t.Run(fmt.Sprintf("a tenth %v times slower", slowdown), func(t *testing.T) {
			allWithout, allWith := outcomes{}, outcomes{}
			for _, engines := range demandEngines {
				t.Run(fmt.Sprintf("%d engines", engines), func(t *testing.T) {
					without, with := replay(engines, slowdown, Policy{}), replay(engines, slowdown, Policy{LearnPredictions: true})
					logShares(t, without, with)
					assertFewerLate(t, "draft", without, with, 0.95)
					assertFewerLate(t, "check", without, with, 0.8)
					allWithout.add(without)
					allWith.add(with)
				})
			}
			// One size has too few of the longest prompts for maxLongLoss.
			logShares(t, allWithout, allWith)
			assertLongClassesKeep(t, allWithout, allWith)
		})
	}
}

// Guards against requests of other schedulers that are not seen, and against own requests
// that are taken for such, since a report is 200 ms old.
func TestReportsAreReconciled(t *testing.T) {
	external := func(t *testing.T, s *Scheduler, now time.Time, running int) int {
		t.Helper()
		updateLoad(t, s, now, "e00", Load{Slowdown: 1, Running: running})
		return s.pools["llm"].engines["e00"].recentExternalRequests(now)
	}
	assertExternal := func(t *testing.T, got, want int) {
		t.Helper()
		if got != want {
			t.Errorf("%d requests count as external, want %d", got, want)
		}
	}
	// newLoaded returns a scheduler that placed three requests long before now.
	newLoaded := func(t *testing.T) (*Scheduler, time.Time) {
		s := newLearningScheduler(t, 1)
		for i := range 3 {
			requirePlacement(t, s.Submit(origin, shortJob(fmt.Sprint("d", i))))
		}
		return s, origin.Add(time.Second)
	}
	t.Run("requests of others", func(t *testing.T) {
		s, now := newLoaded(t)
		assertExternal(t, external(t, s, now, 7), 4)
	})
	t.Run("ended within the lag", func(t *testing.T) {
		s, now := newLoaded(t)
		s.End(now.Add(-reportLag/2), "d0", Completed, "")
		s.End(now.Add(-reportLag/2), "d1", Completed, "")
		assertExternal(t, external(t, s, now, 3), 0)
	})
	t.Run("ended before", func(t *testing.T) {
		s, now := newLoaded(t)
		s.End(now.Add(-2*reportLag), "d0", Completed, "")
		s.End(now.Add(-2*reportLag), "d1", Completed, "")
		assertExternal(t, external(t, s, now, 3), 2)
	})
	t.Run("placed within the lag", func(t *testing.T) {
		s, now := newLoaded(t)
		for i := range 3 {
			requirePlacement(t, s.Submit(now.Add(-reportLag/2), shortJob(fmt.Sprint("new", i))))
		}
		assertExternal(t, external(t, s, now, 6), 3)
	})
	t.Run("handed over within the lag", func(t *testing.T) {
		s, now := newLoaded(t)
		for i := range 3 {
			s.Adopt(now, shortJob(fmt.Sprint("adopted", i)), Placement{Server: "e00"}, true)
		}
		assertExternal(t, external(t, s, now, 6), 0)
	})
}

// Guards against reports that make predicted times impossible.
func TestInvalidReportsAreRefused(t *testing.T) {
	s := newLearningScheduler(t, 2)
	updateLoad(t, s, origin, "e00", Load{Slowdown: 2, Running: 1})
	for _, l := range []Load{
		{Slowdown: math.NaN()}, {Slowdown: math.Inf(1)}, {Slowdown: math.Inf(-1)}, {Slowdown: -1}, {Slowdown: 1, Running: -1}, {Slowdown: 1, Queued: -1},
		{Slowdown: 1, Running: math.MaxInt, Queued: math.MaxInt},
	} {
		t.Run(fmt.Sprintf("%+v", l), func(t *testing.T) {
			if err := s.UpdateLoad(origin, "e00", l); err == nil {
				t.Error("the report is accepted")
			}
			assertAbout(t, "slowdown", s.pools["llm"].engines["e00"].slowdown(origin), 2, 0)
		})
	}
}

// Guards against a burst that is placed at once and makes many engines count as slow: the
// first late events come before the others, so that the comparison with these lags.
func TestBurstMarksFewEngines(t *testing.T) {
	const at, perEngine, maxShare = 5 * time.Second, 4, 0.1
	for _, engines := range demandEngines {
		t.Run(fmt.Sprintf("%d engines", engines), func(t *testing.T) {
			s := newDemandSimulation(t, engines, 5, Policy{LearnPredictions: true})
			s.after(at, func() {
				for range perEngine * engines {
					s.submit(&s.classes[0], 5000, 33)
				}
			})
			most := 0
			for when := at; when < at+4*time.Second; when += 25 * time.Millisecond {
				s.after(when, func() { most = max(most, slowEngines(s.scheduler)) })
			}
			s.run(10*time.Second, steadyLoad)
			t.Logf("at most %d of %d engines count as slow at the same time", most, engines)
			if float64(most) > maxShare*float64(engines) {
				t.Errorf("%d of %d engines count as slow, want at most %.0f%%", most, engines, 100*maxShare)
			}
		})
	}
}
