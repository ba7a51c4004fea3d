package schedules

import (
	"fmt"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/paths"
)

// Guards against a preview that changes a later decision: jobs that it counts, trials or
// rates that it uses up, prefills that it forgets. Two schedulers get the same load with
// bad paths, limits, cold and failed engines; one of them is also asked for previews.
func TestPreviewChangesNothing(t *testing.T) {
	burst := func(_ *class, at time.Duration) float64 {
		if at > 3*time.Second && at < 5*time.Second {
			return 2.5
		}
		return 1
	}
	for _, engines := range []int{9, 30} {
		t.Run(fmt.Sprintf("%d engines", engines), func(t *testing.T) {
			run := func(previews bool) *simulation {
				s := newSpreadSimulation(t, engines, Policy{
					AvoidBadPaths: true, LearnPredictions: true, ForecastDemand: true, FindPace: true, ProtectFirstEvents: true, ShareBusyEngines: true,
				})
				s.network = &simNetwork{bad: "c", loss: 0.04, begin: 2 * time.Second, end: 6 * time.Second, streams: map[JobID]*simStream{}}
				disturb(s, engines)
				if previews {
					preview(s, 8*time.Second)
				}
				s.run(8*time.Second, burst)
				return s
			}
			assertSameDecisions(t, run(true), run(false))
		})
	}
}

// disturb makes some engines cold, limited, slow or failing.
func disturb(s *simulation, engines int) {
	states := spreadStates(engines)
	states[0].ColdUntil, states[0].ColdRequestsPerSecond = s.time().Add(4*time.Second), 6
	s.scheduler.UpdateEngines(s.time(), nil, states)
	for at := range 8 {
		s.after(time.Duration(at)*time.Second, func() {
			s.scheduler.RecordLimit(s.time(), ServerLimit{Server: states[1].ID, Named: true, PerSecond: float64(3 + at)})
			s.scheduler.MarkUnresponsive(s.time(), states[2+at%3].ID)
			s.scheduler.UpdateLoad(s.time(), states[5].ID, Load{Slowdown: 1 + float64(at%2)})
		})
	}
}

// preview asks for previews of each kind of prompt every 7 ms.
func preview(s *simulation, length time.Duration) {
	for at := time.Duration(0); at < length; at += 7 * time.Millisecond {
		s.after(at, func() {
			for i, prompt := range []int{1000, 5000, 45_000, 300_000, 900_000} {
				j := newJob("preview", prompt, []time.Duration{250 * time.Millisecond, 3 * time.Second}[min(1, i/2)])
				j.DataCentre = string("abc"[i%3])
				s.scheduler.Preview(s.time(), j)
			}
		})
	}
}

func assertSameDecisions(t *testing.T, a, b *simulation) {
	t.Helper()
	if len(a.submitted) != len(b.submitted) {
		t.Fatalf("%d and %d jobs", len(a.submitted), len(b.submitted))
	}
	for i, j := range a.submitted {
		o := b.submitted[i]
		if got, want := fmt.Sprintf("%+v %v %v", j.placement, j.refused, j.placedAt), fmt.Sprintf("%+v %v %v", o.placement, o.refused, o.placedAt); got != want {
			t.Fatalf("job %s after previews: %s, want %s", j.job.ID, got, want)
		}
	}
}

// Guards against a preview that differs from what then becomes of the job.
func TestPreviewIsTheDecision(t *testing.T) {
	for _, engines := range []int{4, 14} {
		s := newTestScheduler(engines)
		now := origin
		for i := range 40 * engines {
			now = now.Add(3 * time.Millisecond)
			job := shortJob(fmt.Sprint(i))
			if i%7 == 0 {
				job = newJob(fmt.Sprint(i), 100_000, 3*time.Second)
			}
			preview := s.Preview(now, job)
			var want Decision
			for _, d := range s.Submit(now, job) {
				if d.Job == job.ID {
					want = d
				}
			}
			if got, want := fmt.Sprintf("%+v %q", preview.Placement, preview.Refusal), fmt.Sprintf("%+v %q", want.Placement, want.Reason); got != want {
				t.Fatalf("%d engines, job %d: preview is %s, the decision %s", engines, i, got, want)
			}
		}
	}
}

func exclusionOf(t *testing.T, p Preview, id gypsumshelf.ServerID) string {
	t.Helper()
	for _, e := range p.Engines {
		if e.Server == id {
			return e.Exclusion
		}
	}
	t.Fatalf("the preview has no engine %s", id)
	return ""
}

// Guards against wrong reasons for which an engine is not used.
func TestPreviewExclusions(t *testing.T) {
	const id = "e01"
	fill := func(s *Scheduler, prompt int) {
		j := shortJob("filler")
		j.Prompt = prompt
		s.Adopt(origin, j, Placement{Server: id}, true)
	}
	for _, c := range []struct {
		name  string
		setUp func(s *Scheduler, job *Job)
		want  string
	}{
		{"free", func(*Scheduler, *Job) {}, ""},
		{"avoided", func(_ *Scheduler, j *Job) { j.Avoid = []gypsumshelf.ServerID{id} }, excludedAvoided},
		{"limited", func(s *Scheduler, _ *Job) {
			s.RecordLimit(origin, ServerLimit{Server: id, Named: true, PerSecond: 1})
		}, excludedLimited},
		{"failed", func(s *Scheduler, _ *Job) { s.MarkUnresponsive(origin, id) }, excludedFailed},
		{"slow", func(s *Scheduler, _ *Job) { s.UpdateLoad(origin, id, Load{Slowdown: 3}) }, excludedSlow},
		{"full", func(s *Scheduler, _ *Job) { s.UpdateLoad(origin, id, Load{Slowdown: 1, Running: 100}) }, excludedFull},
		{"without memory", func(s *Scheduler, _ *Job) { fill(s, testProfile().MemoryTokens) }, excludedMemory},
		{"with a long prefill", func(s *Scheduler, j *Job) {
			s.Adopt(origin, newJob("long", 200_000, 3*time.Second), Placement{Server: id}, false)
			j.Prompt = 100_000
		}, excludedPrefill},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, job := newTestScheduler(14), shortJob("preview")
			c.setUp(s, &job)
			if got := exclusionOf(t, s.Preview(origin, job), id); got != c.want {
				t.Errorf("the exclusion is %q, want %q", got, c.want)
			}
		})
	}
	for state, want := range map[paths.State]string{paths.Lossy: excludedLossy, paths.Lost: excludedLost} {
		t.Run(want, func(t *testing.T) {
			s := newSpreadScheduler(9)
			makeBad(t, s, origin, "a", "c", state)
			preview := s.Preview(origin, jobIn("a", "preview"))
			for _, e := range preview.Engines {
				if (e.DataCentre == "c") != (e.Exclusion == want) {
					t.Errorf("engine %s is excluded by %q", e.Server, e.Exclusion)
				}
			}
		})
	}
	t.Run("unknown service", func(t *testing.T) {
		job := shortJob("preview")
		job.Service = "other"
		if p := newTestScheduler(4).Preview(origin, job); p.Refusal == "" || len(p.Engines) > 0 {
			t.Errorf("the preview is %+v, want a refusal", p)
		}
	})
}

// Guards against a preview that marks waiting jobs as placed, or that leaves its own job.
func TestPreviewLeavesTheQueue(t *testing.T) {
	s := newTestScheduler(4)
	for _, e := range s.pools["llm"].sorted {
		s.UpdateLoad(origin, e.id(), Load{Slowdown: 1, Running: 100})
	}
	waiting := newJob("waiting", 5000, 3*time.Second)
	assertWaits(t, s.Submit(origin, waiting))
	later := origin.Add(externalLoadTTL + time.Millisecond) // the engines count as free again
	preview := s.Preview(later, newJob("preview", 5000, 3*time.Second))
	if preview.Placement == nil || preview.Waiting != 1 {
		t.Errorf("the preview is %+v, want a placement and one waiting job", preview)
	}
	if queue := s.pools["llm"].queue; len(queue) != 1 || queue[0].placement != nil || s.HasJob("preview") {
		t.Errorf("the preview has changed the queue or has left its job")
	}
	if p := requirePlacement(t, s.Tick(later)); p.Server != "e00" {
		t.Errorf("the waiting job is placed on %s, want e00", p.Server)
	}
}

// BenchmarkPreview measures for how long a preview keeps jobs from being placed.
func BenchmarkPreview(b *testing.B) {
	for _, engines := range []int{60, 1000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			s := newTestScheduler(engines)
			for i := range 10 * engines {
				s.Submit(origin.Add(time.Duration(i)*100*time.Microsecond), shortJob(fmt.Sprint(i)))
			}
			now := origin.Add(time.Duration(engines) * time.Millisecond)
			for b.Loop() {
				s.Preview(now, newJob("preview", 100_000, 3*time.Second))
			}
		})
	}
}
