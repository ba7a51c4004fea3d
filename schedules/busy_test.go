package schedules

import (
	"fmt"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/costs"
)

// Guards against short prompts that daemons without a leader place on engines which
// prefill long prompts for the lost leader: there they had no event for 1.2 s.
func TestSchedulerWithoutLeaderAvoidsBusyEngines(t *testing.T) {
	for _, engines := range []int{8, 20} {
		t.Run(fmt.Sprintf("%d engines", engines), func(t *testing.T) {
			leader, local := newTestScheduler(engines), newTestScheduler(engines)
			placement := requirePlacement(t, leader.Submit(origin, newJob("review", 210_000, 3*time.Second)))
			busy := leader.BusyEngines(origin, "llm")
			if len(busy) != len(placement.engines()) {
				t.Fatalf("busy engines are %v, want %v", busy, placement.engines())
			}
			local.SetBusyEngines(origin, "llm", busy)
			isBusy := map[gypsumshelf.ServerID]bool{}
			for _, id := range busy {
				isBusy[id] = true
			}
			p := requirePlacement(t, local.Submit(origin, shortJob("a")))
			if free := engines - len(busy); free > 0 && isBusy[p.Server] {
				t.Errorf("the short prompt is on %s, which prefills a long one, while %d engines are free", p.Server, free)
			}
			t.Run("until it is out of date", func(t *testing.T) {
				if e := local.pools["llm"].engines[busy[0]]; origin.Add(busyTTL).Before(e.busyUntil) {
					t.Errorf("%s is avoided until %v", e.id(), e.busyUntil)
				}
			})
		})
	}
}

// Guards against callers that are not served because all engines are busy.
func TestBusyEnginesAreBetterThanNone(t *testing.T) {
	s := newTestScheduler(2)
	s.SetBusyEngines(origin, "llm", []gypsumshelf.ServerID{"e00", "e01"})
	requirePlacement(t, s.Submit(origin, shortJob("a")))
}

// Guards against daemons that all choose the same one of equal engines when they lose the
// leader: 13 of 30 short prompts went to one engine, which prefilled a long prompt.
func TestSchedulersWithoutLeaderSpreadTheirJobs(t *testing.T) {
	for _, daemons := range []int{20, 60} {
		t.Run(fmt.Sprintf("%d daemons", daemons), func(t *testing.T) {
			placed := map[gypsumshelf.ServerID]int{}
			for i := range daemons {
				s := New(Config{Daemon: gypsumshelf.DaemonID(fmt.Sprintf("d%d", i)), DataCentre: "a", ColdShare: 1.0 / 16, Policy: Policy{ShareBusyEngines: true}})
				s.UpdateEngines(origin, map[string]*costs.Profile{"llm": testProfile()}, spreadStates(30))
				p := requirePlacement(t, s.Submit(origin, jobIn("a", "j")))
				placed[p.Server]++
				if dataCentreOf(p.Server) != "a" {
					t.Errorf("daemon %d uses %s in another data centre", i, p.Server)
				}
			}
			const engines = 10 // in the data centre
			for id, n := range placed {
				if n > 4*daemons/engines {
					t.Errorf("%d of %d daemons use %s, want an even spread over %d engines", n, daemons, id, engines)
				}
			}
		})
	}
}
