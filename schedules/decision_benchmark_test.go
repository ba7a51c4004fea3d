package schedules

import (
	"fmt"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/costs"
)

// BenchmarkDecision measures the placement of a short prompt, its first event and its end,
// while every engine generates two answers and some prefill long prompts.
func BenchmarkDecision(b *testing.B) {
	all := Policy{AvoidBadPaths: true, LearnPredictions: true, ForecastDemand: true, FindPace: true, ProtectFirstEvents: true, ShareBusyEngines: true}
	for _, policy := range []struct {
		name string
		Policy
	}{{"without policies", Policy{}}, {"with all policies", all}} {
		for _, engines := range []int{45, 60, 300, 1000} {
			b.Run(fmt.Sprintf("%s/%d engines", policy.name, engines), func(b *testing.B) {
				s := New(Config{Policy: policy.Policy, DataCentre: "a"})
				profile := testProfile()
				profile.Slots = 12
				s.UpdateEngines(origin, map[string]*costs.Profile{"llm": profile}, spreadStates(engines))
				now := origin.Add(time.Minute)
				for i := range 2 * engines {
					j := jobIn(string("abc"[i%3]), fmt.Sprintf("active-%d", i))
					j.Deadline = time.Hour
					s.Adopt(now, j, Placement{Server: gypsumshelf.ServerID(s.pools["llm"].sorted[i%engines].id()), First: time.Millisecond}, true)
				}
				for i := range engines / 30 {
					s.Submit(now, newJob(fmt.Sprintf("long-%d", i), 100_000, 10*time.Second))
				}
				b.ReportAllocs()
				n := 0
				for b.Loop() {
					n++
					now = now.Add(time.Millisecond)
					j := jobIn(string("abc"[n%3]), "measured")
					s.Submit(now, j)
					s.Started(now, j.ID)
					s.End(now, j.ID, Completed, "")
				}
			})
		}
	}
}
