package schedules

import (
	"fmt"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// newWaitingScheduler returns a scheduler whose two engines prefill a long prompt, behind
// which n others wait. The jobs belong to the daemons "a" and "b" in turn.
func newWaitingScheduler(t *testing.T, n int) *Scheduler {
	t.Helper()
	s := newTestScheduler(2)
	requirePlacement(t, s.Submit(origin, newJob("running", 210_000, 3*time.Second)))
	for i := range n {
		assertWaits(t, s.Submit(origin.Add(time.Duration(i)*time.Millisecond), waitingJob(i)))
	}
	return s
}

func waitingJob(i int) Job {
	j := newJob(fmt.Sprint("waiting", i), 210_000, 6*time.Second)
	j.Daemon = []gypsumshelf.DaemonID{"a", "b"}[i%2]
	j.Fingerprint, j.Patience, j.Deadline = fmt.Sprint("request", i), time.Minute, time.Minute
	return j
}

func assertHandedBack(t *testing.T, decisions []Decision, want ...JobID) {
	t.Helper()
	got := map[JobID]bool{}
	for _, d := range decisions {
		if !d.HandedBack || d.Placement != nil {
			t.Errorf("decision %+v, want only jobs that are handed back", d)
		}
		got[d.Job] = true
	}
	for _, id := range want {
		if !got[id] {
			t.Errorf("job %s was not handed back: %+v", id, decisions)
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d jobs were handed back, want %d: %+v", len(got), len(want), decisions)
	}
}

// Guards against jobs that wait for engines until their daemon has stopped: those that
// cannot end before are handed back at once, the others keep waiting.
func TestStoppingDaemonsJobsAreHandedBack(t *testing.T) {
	now := origin.Add(100 * time.Millisecond)
	t.Run("no time for any", func(t *testing.T) {
		s := newWaitingScheduler(t, 4)
		assertHandedBack(t, s.StopDaemon(now, "a", 500*time.Millisecond), "waiting0", "waiting2")
	})
	t.Run("time for the first ones only", func(t *testing.T) {
		s := newWaitingScheduler(t, 8)
		p := s.pools["llm"]
		first := s.jobs["waiting0"]
		after := p.minServiceTime(first) + 3*first.prefillTime/2 // behind less than two others
		assertHandedBack(t, s.StopDaemon(now, "a", after), "waiting2", "waiting4", "waiting6")
	})
	t.Run("later, when its time has run out", func(t *testing.T) {
		s := newWaitingScheduler(t, 1)
		after := 4 * time.Second
		assertWaits(t, s.StopDaemon(now, "a", after))
		end := now.Add(after - s.pools["llm"].minServiceTime(s.jobs["waiting0"]))
		assertWaits(t, s.Tick(end.Add(-10*time.Millisecond)))
		assertHandedBack(t, s.Tick(end.Add(10*time.Millisecond)), "waiting0")
	})
	t.Run("that arrives during the stop", func(t *testing.T) {
		s := newWaitingScheduler(t, 4)
		j := waitingJob(4)
		j.Stop = time.Second
		assertHandedBack(t, s.Submit(now, j), "waiting4")
	})
}

// Guards against a prompt that is prefilled for a daemon that stops before the answer.
func TestNoPlacementThatOutlastsTheStop(t *testing.T) {
	s := newTestScheduler(2)
	j := newJob("review", 210_000, 3*time.Second)
	j.Stop = 300 * time.Millisecond
	assertHandedBack(t, s.Submit(origin, j), "review")
	j.ID, j.Stop = "again", 10*time.Second
	requirePlacement(t, s.Submit(origin, j))
}

// Guards against requests that a stop sends to the end of the queue, and against callers
// that get ahead of others by it.
func TestHandedBackJobKeepsItsPlace(t *testing.T) {
	handBack := func(t *testing.T) (*Scheduler, Job) {
		s := newWaitingScheduler(t, 4)
		now := origin.Add(500 * time.Millisecond)
		assertHandedBack(t, s.StopDaemon(now, "a", 400*time.Millisecond), "waiting0", "waiting2")
		returned := waitingJob(0)
		returned.ID, returned.Daemon = "returned", "c"
		return s, returned
	}
	// next returns the job that is placed when the running one has its first event.
	next := func(t *testing.T, s *Scheduler, now time.Time) JobID {
		t.Helper()
		s.Started(now, "running")
		s.End(now, "running", Completed, "")
		for _, d := range s.Tick(now) {
			if d.Placement != nil {
				return d.Job
			}
		}
		t.Fatal("no job was placed")
		return ""
	}
	now := origin.Add(600 * time.Millisecond)
	t.Run("comes back", func(t *testing.T) {
		s, returned := handBack(t)
		assertWaits(t, s.Submit(now, returned))
		if id := next(t, s, now); id != "returned" {
			t.Errorf("%s is placed first, want the job that was first before it was handed back", id)
		}
	})
	t.Run("a second copy", func(t *testing.T) {
		s, returned := handBack(t)
		assertWaits(t, s.Submit(now, returned))
		s.End(now, "returned", Cancelled, "")
		returned.ID = "copy"
		assertWaits(t, s.Submit(now, returned))
		if id := next(t, s, now); id != "waiting1" {
			t.Errorf("%s is placed first, want the first of those that have waited", id)
		}
	})
	t.Run("another request", func(t *testing.T) {
		s, returned := handBack(t)
		returned.Fingerprint = "other"
		assertWaits(t, s.Submit(now, returned))
		if id := next(t, s, now); id != "waiting1" {
			t.Errorf("%s is placed first, want the first of those that have waited", id)
		}
	})
	t.Run("too late", func(t *testing.T) {
		s, returned := handBack(t)
		now := now.Add(placeTTL)
		s.Tick(now.Add(-time.Millisecond))
		s.Submit(now, returned)
		if len(s.places) != 0 {
			t.Errorf("%d places are kept, want none", len(s.places))
		}
		if s.jobs["returned"] != nil && s.jobs["returned"].request.Target != returned.Target {
			t.Error("a place is taken after its time")
		}
	})
}

// newFullScheduler returns a scheduler whose engines have no memory left for another long
// prompt. No engine is reserved for long prompts, since none has come for decayed.
func newFullScheduler(t *testing.T, engines int, decayed time.Duration) *Scheduler {
	t.Helper()
	s := newTestScheduler(engines)
	for i := range 2 * engines { // the memory of an engine fits two
		at := origin.Add(time.Duration(i-2*engines) * 2 * decayed)
		j := newJob(fmt.Sprint("running", i), 210_000, time.Hour)
		j.Deadline = time.Hour
		requirePlacement(t, append(s.Submit(at, j), s.Tick(at.Add(decayed))...))
		s.Started(at.Add(decayed), j.ID)
	}
	return s
}

// Guards against jobs that are handed back for a wait that no engine causes. Some time after
// the last long prompt came, no engine is reserved for them, and all of them serve those
// that wait.
func TestWaitIsPredictedForAllEngines(t *testing.T) {
	const decayed = 8 * demandDecayTime
	for _, passed := range []time.Duration{0, decayed} {
		t.Run(fmt.Sprint(passed, " after the last prompt"), func(t *testing.T) {
			s := newFullScheduler(t, 10, decayed)
			for i := range 6 {
				assertWaits(t, s.Submit(origin, waitingJob(i)))
			}
			assertWaits(t, s.StopDaemon(origin.Add(passed), "a", 10*time.Second))
		})
	}
}
