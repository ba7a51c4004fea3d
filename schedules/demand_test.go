package schedules

import (
	"fmt"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/costs"
)

// newBurstScheduler returns a scheduler and a time at which a burst of short prompts has
// just begun. All of them have ended, so that engines are idle.
func newBurstScheduler(t *testing.T, policy Policy, engines int) (*Scheduler, time.Time) {
	t.Helper()
	s := New(Config{Policy: policy, DataCentre: "a"})
	s.UpdateEngines(origin, map[string]*costs.Profile{"llm": testProfile()}, spreadStates(engines))
	s.Submit(origin, newJob("first", 210_000, 3*time.Second)) // makes the scheduler reserve engines
	s.End(origin, "first", Completed, "")
	const length = 1600 * time.Millisecond
	n, due := 0, 0.0
	for at := time.Duration(0); at < length; at += time.Millisecond {
		now := origin.Add(at)
		for due += float64(engines) * (1 + 4*max(0, (at-1200*time.Millisecond).Seconds())) / 1000; due >= 1; due-- {
			n++
			j := shortJob(fmt.Sprint("draft", n))
			s.Submit(now, j)
			s.End(now, j.ID, Completed, "")
		}
		if at%(25*time.Millisecond) == 0 {
			s.Tick(now)
		}
	}
	return s, origin.Add(length)
}

// Guards against long prompts that take the engines which a burst of short prompts is about
// to need, and against long prompts that wait for a burst until they are late.
func TestLongPromptWaitsForABurst(t *testing.T) {
	const target = 3 * time.Second
	for _, engines := range []int{30, 60} {
		t.Run(fmt.Sprintf("%d engines", engines), func(t *testing.T) {
			s, now := newBurstScheduler(t, Policy{ForecastDemand: true}, engines)
			assertWaits(t, s.Submit(now, newJob("review", 210_000, target)))
			longest := time.Duration(urgentWaitFraction * float64(target))
			p := requirePlacement(t, s.Tick(now.Add(longest+time.Millisecond)))
			if !s.pools["llm"].isOnTime(now.Add(longest), s.jobs["review"], p) {
				t.Errorf("the first event is predicted %v after a wait of %v, want it within %v", p.First, longest, target)
			}
		})
	}
	t.Run("no slack is left", func(t *testing.T) {
		s, now := newBurstScheduler(t, Policy{ForecastDemand: true}, 30)
		requirePlacement(t, s.Submit(now, newJob("review", 210_000, 200*time.Millisecond)))
	})
	t.Run("the burst ends", func(t *testing.T) {
		s, now := newBurstScheduler(t, Policy{ForecastDemand: true}, 30)
		j := newJob("review", 210_000, 6*time.Second)
		assertWaits(t, s.Submit(now, j))
		requirePlacement(t, s.Tick(now.Add(500*time.Millisecond)))
	})
	t.Run("not asked for", func(t *testing.T) {
		s, now := newBurstScheduler(t, Policy{}, 30)
		requirePlacement(t, s.Submit(now, newJob("review", 210_000, target)))
	})
}

// Guards against a burst that nobody can see in the log, and against a line for each request.
func TestDemandChangesAreReported(t *testing.T) {
	s, now := newBurstScheduler(t, Policy{ForecastDemand: true}, 30)
	changes := s.TakeDemandChanges()
	if len(changes) != 1 || !changes[0].Burst || changes[0].Service != "llm" || changes[0].Forecast <= changes[0].ShortAnswers {
		t.Errorf("got %+v, want the begin of a burst", changes)
	}
	s.Tick(now.Add(2 * time.Second))
	if changes := s.TakeDemandChanges(); len(changes) != 1 || changes[0].Burst {
		t.Errorf("got %+v, want the end of the burst", changes)
	}
}

// Guards against a part of a long prompt that still runs when short answers need its engine.
func TestPartsEndBeforeTheForecastNeedsTheirEngine(t *testing.T) {
	c := prefillCandidate{budget: time.Hour, backlog: 100 * time.Millisecond, slowdown: 1.5, isNeeded: true, neededIn: 400 * time.Millisecond}
	if !c.canPrefill(200 * time.Millisecond) {
		t.Error("a part that ends in time is refused")
	}
	if c.canPrefill(201 * time.Millisecond) {
		t.Error("a part that ends too late is accepted")
	}
}
