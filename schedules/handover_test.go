package schedules

import (
	"fmt"
	"testing"

	"gypsumshelf.example/gypsumshelf/costs"
)

func newLeader(policy Policy, engines int) *Scheduler {
	s := New(Config{Policy: policy, DataCentre: "a", Polled: true})
	s.UpdateEngines(origin, map[string]*costs.Profile{"llm": testProfile()}, spreadStates(engines))
	return s
}

// Guards against slots that a new leader assigns before other daemons have handed over the
// jobs that use them.
func TestNewLeaderWaitsForReports(t *testing.T) {
	states := spreadStates(2)
	busy, idle := states[0].ID, states[1].ID
	t.Run("until they come", func(t *testing.T) {
		s := newLeader(Policy{LearnPredictions: true}, 2)
		assertWaits(t, s.Submit(origin, shortJob("first")))
		updateLoad(t, s, origin, busy, Load{Running: testProfile().Slots})
		updateLoad(t, s, origin, idle, Load{})
		if p := requirePlacement(t, s.Tick(origin)); p.Server != idle {
			t.Errorf("the job is placed on %s, which has no free slot", p.Server)
		}
	})
	t.Run("not for long", func(t *testing.T) {
		s := newLeader(Policy{LearnPredictions: true}, 2)
		assertWaits(t, s.Submit(origin, shortJob("first")))
		requirePlacement(t, s.Tick(origin.Add(firstReportWait)))
	})
	t.Run("not asked for", func(t *testing.T) {
		requirePlacement(t, newLeader(Policy{}, 2).Submit(origin, shortJob("first")))
	})
}

// Guards against jobs that are counted twice, as external and as handed over, which leaves
// slots unused until the next report.
func TestHandedOverJobsAreCountedOnce(t *testing.T) {
	s := newLeader(Policy{LearnPredictions: true}, 1)
	id := spreadStates(1)[0].ID
	const running = 10
	updateLoad(t, s, origin, id, Load{Running: running})
	e := s.pools["llm"].engines[id]
	for i := range running {
		s.Adopt(origin, shortJob(fmt.Sprint("adopted", i)), Placement{Server: id}, true)
		if n := e.activeAnswers(origin); n != running {
			t.Fatalf("%d answers count as active after %d jobs were handed over, want %d", n, i+1, running)
		}
	}
}
