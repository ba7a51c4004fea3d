package schedules

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/costs"
)

func newProtectingScheduler(engines int) *Scheduler {
	s := New(Config{Policy: Policy{ProtectFirstEvents: true}})
	var states []EngineState
	for i := range engines {
		states = append(states, EngineState{ID: gypsumshelf.ServerID(fmt.Sprintf("e%02d", i)), Service: "llm", DataCentre: "a"})
	}
	s.UpdateEngines(origin, map[string]*costs.Profile{"llm": testProfile()}, states)
	return s
}

// Guards against parts of long prompts that make the first event of a short prompt late
// which has just been placed on the engine: engines prefill parts for others first.
func TestPartsWaitForPlacedShortPrompts(t *testing.T) {
	for _, target := range []time.Duration{250 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(target.String(), func(t *testing.T) {
			s := newProtectingScheduler(12)
			short := shortJob("short")
			short.Target = target
			placed := requirePlacement(t, s.Submit(origin, short))
			long := requirePlacement(t, s.Submit(origin, newJob("review", 150_000, 3*time.Second)))
			part := s.pools["llm"].profile.PrefillTime(150_000) / time.Duration(len(long.engines()))
			for _, id := range long.engines() {
				if id == placed.Server && placed.First+part > target {
					t.Errorf("a part of %v delays a first event that is predicted after %v of %v", part, placed.First, target)
				}
			}
		})
	}
}

// Guards against long prompts that find no engine because late short prompts are protected
// for nothing.
func TestLateShortPromptsProtectNothing(t *testing.T) {
	s := newProtectingScheduler(1)
	requirePlacement(t, s.Submit(origin, shortJob("short")))
	now := origin.Add(2 * time.Second) // its first event has not come
	if slack := s.pools["llm"].sorted[0].firstEventSlack(now); slack < time.Minute {
		t.Errorf("a late first event leaves a slack of %v, want no bound", slack)
	}
}

// Guards against a burst of long prompts that makes short ones late, and against a
// protection of short prompts that costs the long ones their targets.
func TestBurstOfLongPromptsBesideShortOnes(t *testing.T) {
	burst := func(c *class, at time.Duration) float64 {
		if c.name == "review" && at > 3*time.Second && at < 9*time.Second {
			return 2.4
		}
		return 1
	}
	for _, engines := range []int{36, 45, 60} {
		t.Run(fmt.Sprintf("%d engines", engines), func(t *testing.T) {
			shortBefore, longBefore := meanLateShares(t, engines, Policy{}, burst)
			short, long := meanLateShares(t, engines, Policy{ProtectFirstEvents: true}, burst)
			t.Logf("late or refused: short %.3f to %.3f, long %.3f to %.3f", shortBefore, short, longBefore, long)
			if short > shortBefore+0.01 {
				t.Errorf("%.3f of the short prompts are late, want at most 1 in 100 more than the %.3f without protection", short, shortBefore)
			}
			if long > longBefore+0.02 {
				t.Errorf("%.3f of the long prompts are late, want at most 2 in 100 more than the %.3f without protection", long, longBefore)
			}
		})
	}
}

// meanLateShares returns the shares of short and long prompts that are late or refused, over
// several simulations of a load on engines with 12 slots.
func meanLateShares(t *testing.T, engines int, policy Policy, load func(*class, time.Duration) float64) (short, long float64) {
	t.Helper()
	const seeds = 4
	for seed := range uint64(seeds) {
		s := newSpreadSimulation(t, engines, policy)
		s.rand = rand.New(rand.NewPCG(seed, 1))
		s.profile.Slots = 12
		s.classes = largeDeploymentClasses
		s.run(12*time.Second, load)
		r := s.results()
		short += 1 - float64(r["draft"].onTime)/float64(r["draft"].submitted)
		long += 1 - float64(r["check"].onTime+r["review"].onTime)/float64(r["check"].submitted+r["review"].submitted)
	}
	return short / seeds, long / seeds
}

// Guards against slots that look free while engines go on with the answers to a host that
// has lost its power, and against slots that stay taken for ever.
func TestAnswersToLostDaemonsKeepTheirSlots(t *testing.T) {
	s := newProtectingScheduler(1)
	for i := range testProfile().Slots {
		j := shortJob(fmt.Sprintf("j%d", i))
		j.Daemon = "lost"
		s.Submit(origin, j)
	}
	e := s.pools["llm"].sorted[0]
	before := e.activeAnswers(origin)
	now := origin.Add(300 * time.Millisecond)
	s.EndDaemonJobs(now, "lost")
	if got := e.activeAnswers(now); got != before {
		t.Errorf("%d answers count after the loss, want the %d that the engine generates", got, before)
	}
	t.Run("until they are expected to end", func(t *testing.T) {
		end := origin.Add(10 * time.Second)
		s.Tick(end)
		if got := e.activeAnswers(end); got != 0 {
			t.Errorf("%d answers still count, want none", got)
		}
	})
	t.Run("unless the daemon is back", func(t *testing.T) {
		s, j := newProtectingScheduler(1), shortJob("back")
		j.Daemon = "lost"
		p := requirePlacement(t, s.Submit(origin, j))
		s.EndDaemonJobs(now, "lost")
		s.Adopt(now, j, *p, true)
		s.Tick(origin.Add(9 * time.Second)) // before its deadline
		if s.jobs["back"] == nil {
			t.Error("a job of a daemon that is back has ended")
		}
	})
}
