package schedules

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/costs"
)

// newBusyScheduler returns a scheduler that divides by demand, and whose slots are all
// taken by short answers of a workspace.
func newBusyScheduler(t *testing.T, engines int, policy Policy, workspace string) *Scheduler {
	t.Helper()
	s := New(Config{Policy: policy, DataCentre: "a"})
	s.UpdateEngines(origin, map[string]*costs.Profile{"llm": testProfile()}, spreadStates(engines))
	for i := range engines * testProfile().Slots {
		j := callerJob(fmt.Sprint("running", i), workspace, "")
		j.Patience = time.Hour
		requirePlacement(t, s.Submit(origin, j))
	}
	return s
}

func callerJob(id, workspace, fingerprint string) Job {
	j := shortJob(id)
	j.Workspace, j.Fingerprint, j.Target = workspace, fingerprint, time.Second
	return j
}

// endAndPlace ends a running job and returns the one that takes its slot.
func endAndPlace(t *testing.T, s *Scheduler, now time.Time, ended JobID) JobID {
	t.Helper()
	decisions := s.End(now, ended, Completed, "")
	requirePlacement(t, decisions)
	return decisions[0].Job
}

func assertNext(t *testing.T, s *Scheduler, now time.Time, want ...JobID) {
	t.Helper()
	var got []JobID
	for i := range want {
		got = append(got, endAndPlace(t, s, now, JobID(fmt.Sprint("running", i))))
	}
	if !slices.Equal(got, want) {
		t.Errorf("jobs are placed in the order %v, want %v", got, want)
	}
}

// Guards against a workspace that takes the slots of the others by sending more, and against
// an order that ignores priorities.
func TestQueueOrder(t *testing.T) {
	policy := Policy{ForecastDemand: true}
	submit := func(t *testing.T, s *Scheduler, jobs ...Job) time.Time {
		t.Helper()
		for i, j := range jobs {
			assertWaits(t, s.Submit(origin.Add(time.Duration(i+1)*time.Millisecond), j))
		}
		return origin.Add(50 * time.Millisecond)
	}
	for _, engines := range []int{1, 3} {
		t.Run(fmt.Sprintf("workspaces, %d engines", engines), func(t *testing.T) {
			s := newBusyScheduler(t, engines, policy, "many")
			now := submit(t, s, callerJob("few", "few", ""), callerJob("many1", "many", ""), callerJob("many2", "many", ""))
			assertNext(t, s, now, "few", "many2", "many1")
		})
	}
	t.Run("workspaces within their shares", func(t *testing.T) {
		s := newBusyScheduler(t, 1, policy, "many")
		for i := 8; i < 16; i++ {
			s.End(origin, JobID(fmt.Sprint("running", i)), Completed, "")
			requirePlacement(t, s.Submit(origin, callerJob(fmt.Sprint("few", i), "few", "")))
		}
		now := submit(t, s, callerJob("older", "few", ""), callerJob("newer", "many", ""))
		assertNext(t, s, now, "newer")
	})
	t.Run("priorities before workspaces", func(t *testing.T) {
		s := newBusyScheduler(t, 1, policy, "many")
		urgent, other := callerJob("urgent", "many", ""), callerJob("other", "few", "")
		other.Priority = 1
		now := submit(t, s, other, urgent)
		assertNext(t, s, now, "urgent", "other")
	})
	t.Run("on time before priorities", func(t *testing.T) {
		s := newBusyScheduler(t, 1, policy, "many")
		late, other := callerJob("late", "many", ""), callerJob("other", "many", "")
		late.Target, other.Priority = time.Millisecond, 9
		now := submit(t, s, late, other)
		assertNext(t, s, now, "other", "late")
	})
	t.Run("not asked for", func(t *testing.T) {
		s := newBusyScheduler(t, 1, Policy{}, "many")
		now := submit(t, s, callerJob("few", "few", ""), callerJob("many1", "many", ""))
		assertNext(t, s, now, "many1", "few")
	})
}

// Guards against callers that get ahead of others by repeating their requests.
func TestRepeatingCallersWait(t *testing.T) {
	policy := Policy{ForecastDemand: true}
	now := origin.Add(50 * time.Millisecond)
	t.Run("while a copy waits", func(t *testing.T) {
		s := newBusyScheduler(t, 1, policy, "w")
		assertWaits(t, s.Submit(now, callerJob("once", "w", "f1")))
		assertWaits(t, s.Submit(now.Add(1), callerJob("first", "w", "f2")))
		assertWaits(t, s.Submit(now.Add(2), callerJob("copy", "w", "f2")))
		assertNext(t, s, now, "first", "once", "copy")
	})
	t.Run("the daemon tries another engine", func(t *testing.T) {
		s := newBusyScheduler(t, 1, policy, "w")
		assertWaits(t, s.Submit(now, callerJob("once", "w", "f1")))
		assertWaits(t, s.Submit(now.Add(1), callerJob("first", "w", "f2")))
		again := callerJob("again", "w", "f2")
		again.Avoid = []gypsumshelf.ServerID{"gone"}
		assertWaits(t, s.Submit(now.Add(2), again))
		assertNext(t, s, now, "again", "first", "once")
	})
	t.Run("before the retry time", func(t *testing.T) {
		s := newBusyScheduler(t, 1, policy, "w")
		j := callerJob("refused", "w", "f1")
		d := s.refuse(now, s.pools["llm"], s.addJob(now, s.pools["llm"], j), "test")
		j.ID = "early"
		assertWaits(t, s.Submit(now.Add(d.RetryAfter/2), j))
		if !s.jobs["early"].repeated || s.jobs["early"].hasPlace {
			t.Error("a caller that returns before its retry time does not wait behind the others")
		}
		s.End(now, "early", Cancelled, "")
		j.ID = "in-time"
		assertWaits(t, s.Submit(now.Add(d.RetryAfter), j))
		if s.jobs["in-time"].repeated || !s.jobs["in-time"].hasPlace {
			t.Error("a caller that returns at its retry time has lost its place")
		}
	})
}

// Guards against refused callers that return all at once, and against those that are
// refused again although they did as they were told.
func TestRefusedCallersReturnInTurn(t *testing.T) {
	for _, engines := range []int{2, 6} {
		t.Run(fmt.Sprintf("%d engines", engines), func(t *testing.T) {
			s := newBusyScheduler(t, engines, Policy{ForecastDemand: true}, "w")
			p := s.pools["llm"]
			slots := engines * testProfile().Slots
			var returns []time.Duration
			for i := range slots {
				j := callerJob(fmt.Sprint("refused", i), "w", fmt.Sprint("f", i))
				returns = append(returns, s.refuse(origin, p, s.addJob(origin, p, j), "test").RetryAfter)
			}
			slices.Sort(returns)
			// As many callers as slots return within one answer, not before.
			if span := returns[len(returns)-1] - returns[0]; span < p.shortAnswerTime()*9/10 || span > p.shortAnswerTime() {
				t.Errorf("%d callers return within %v, want about %v", len(returns), span, p.shortAnswerTime())
			}
			for i := range returns {
				if at := returns[i]; at < minRetryAfter || at > maxRetryAfter {
					t.Errorf("retry time %v, want %v to %v", at, minRetryAfter, maxRetryAfter)
				}
			}
			t.Run("a repetition books no other place", func(t *testing.T) {
				at := origin.Add(10 * time.Millisecond)
				j := callerJob("again", "w", "f0")
				before := p.nextShortReturn
				d := s.refuse(at, p, s.addJob(at, p, j), "test")
				if !p.nextShortReturn.Equal(before) || d.RetryAfter != max(minRetryAfter, s.places["f0"].returnAt.Sub(at)) {
					t.Errorf("the repetition is told to return after %v and books another place", d.RetryAfter)
				}
			})
			t.Run("a kept place", func(t *testing.T) {
				at := s.places["f5"].returnAt
				assertWaits(t, s.Submit(at, callerJob("ahead", "w", "")))
				refusedForLength := func(id, fingerprint string) bool {
					j := callerJob(id, "w", fingerprint)
					j.Patience = 0 // any wait is too long
					for _, d := range s.Submit(at, j) {
						if d.Job == j.ID && d.Reason == "the queue is longer than the caller waits" {
							return true
						}
					}
					return false
				}
				if !refusedForLength("new", "other") {
					t.Error("a new caller is not refused for the length of the queue")
				}
				if refusedForLength("returned", "f5") {
					t.Error("a caller with a place is refused for the length of the queue")
				}
			})
			t.Run("places are forgotten", func(t *testing.T) {
				for round := range 2 { // the first one refuses what still waits
					s.Tick(origin.Add(time.Duration(round+1) * (maxRetryAfter + placeTTL + time.Millisecond)))
				}
				if len(s.places) != 0 {
					t.Errorf("%d places are kept, want none", len(s.places))
				}
			})
		})
	}
	t.Run("more than can be told", func(t *testing.T) {
		s := newBusyScheduler(t, 1, Policy{ForecastDemand: true}, "w")
		p := s.pools["llm"]
		for i := range 500 {
			d := s.refuse(origin, p, s.addJob(origin, p, callerJob(fmt.Sprint("refused", i), "w", fmt.Sprint("f", i))), "test")
			if d.RetryAfter < minRetryAfter || d.RetryAfter > maxRetryAfter {
				t.Fatalf("retry time %v, want %v to %v", d.RetryAfter, minRetryAfter, maxRetryAfter)
			}
		}
	})
}

// Guards against the records of jobs that have ended, which would make later requests count
// as repetitions and take shares from their workspaces.
func TestEndedJobsLeaveNoRecords(t *testing.T) {
	s := newBusyScheduler(t, 2, Policy{ForecastDemand: true}, "w")
	assertWaits(t, s.Submit(origin, callerJob("waits", "w", "f")))
	for id := range s.jobs {
		s.End(origin, id, Completed, "")
	}
	for id := range s.jobs { // placed meanwhile
		s.End(origin, id, Completed, "")
	}
	if len(s.copies) != 0 || len(s.pools["llm"].answersOf) != 0 {
		t.Errorf("fingerprints %v and workspaces %v are left", s.copies, s.pools["llm"].answersOf)
	}
}

// returns are what callers get who return after a refusal.
type returns struct {
	callers  [2]int // that wait as told, and that repeat at once
	served   [2]int // with the first event and the pauses of their last copy in time
	refusals [2]int
}

// replayReturns replays a load for which there are too few engines. Every fourth caller
// repeats a refused request at once, the others return when they are told to.
func replayReturns(t *testing.T, engines int, load float64, policy Policy, seed uint64) returns {
	t.Helper()
	const (
		maxReturns  = 6
		repeatDelay = 100 * time.Millisecond
	)
	s := newDemandSimulation(t, engines, seed, policy)
	for i := range s.classes {
		s.classes[i].ratePerSecond *= load
	}
	var out returns
	callers, copies := map[JobID]string{}, map[string]int{}
	kind := func(caller string) int {
		if caller[len(caller)-1]%4 == 0 {
			return 1
		}
		return 0
	}
	identify := func(j *simJob) string {
		if callers[j.job.ID] == "" {
			callers[j.job.ID] = string(j.job.ID)
		}
		return callers[j.job.ID]
	}
	s.refused = func(j *simJob, retryAfter time.Duration) {
		caller := identify(j)
		out.refusals[kind(caller)]++
		if kind(caller) == 1 {
			retryAfter = repeatDelay
		}
		most := maxReturns
		if kind(caller) == 1 {
			most *= 3
		}
		if copies[caller]++; copies[caller] > most {
			return
		}
		events := j.remainingEvents
		s.after(retryAfter, func() {
			again := &simJob{class: j.class, arrived: s.now, remainingEvents: events, job: j.job}
			again.job.ID = JobID(fmt.Sprintf("%s-again%d", caller, copies[caller]))
			callers[again.job.ID] = caller
			s.submitted = append(s.submitted, again)
			s.jobs[again.job.ID] = again
			s.apply(s.scheduler.Submit(s.time(), again.job))
		})
	}
	s.identify = func(j *simJob) { j.job.Fingerprint = identify(j) }
	s.run(10*time.Second, func(c *class, at time.Duration) float64 {
		if c.name == "draft" && at > 2*time.Second && at < 6*time.Second {
			return 2.8
		}
		return 1
	})
	last := map[string]*simJob{}
	for _, j := range s.submitted {
		last[identify(j)] = j
	}
	for caller, j := range last {
		out.callers[kind(caller)]++
		if j.completed && j.timeToFirstEvent <= j.class.target && j.maxGap <= j.class.gap {
			out.served[kind(caller)]++
		}
	}
	return out
}

// Guards against callers that are served worse for waiting as they were told, and against
// refused callers that return to another refusal.
func TestSimulatedReturns(t *testing.T) {
	for _, engines := range []int{14, 30} {
		t.Run(fmt.Sprintf("%d engines", engines), func(t *testing.T) {
			replay := func(policy Policy) returns {
				var sum returns
				for _, load := range []float64{1.5, 2} {
					for seed := range uint64(2) {
						r := replayReturns(t, engines, load, policy, seed+3)
						for k := range r.callers {
							sum.callers[k] += r.callers[k]
							sum.served[k] += r.served[k]
							sum.refusals[k] += r.refusals[k]
						}
					}
				}
				return sum
			}
			share := func(r returns, k int) float64 { return float64(r.served[k]) / float64(r.callers[k]) }
			without, with := replay(Policy{}), replay(Policy{ForecastDemand: true})
			for name, r := range map[string]returns{"without": without, "with": with} {
				t.Logf("%s: served in time %.3f of those that wait and %.3f of those that repeat; refusals %v", name, share(r, 0), share(r, 1), r.refusals)
			}
			if share(with, 0) < share(without, 0) {
				t.Errorf("%.3f of the callers that wait are served in time, want at least %.3f", share(with, 0), share(without, 0))
			}
			if share(with, 1) > share(with, 0) {
				t.Errorf("%.3f of the callers that repeat are served in time, more than %.3f of those that wait", share(with, 1), share(with, 0))
			}
			if with.refusals[0]*4 > without.refusals[0]*3 {
				t.Errorf("callers that wait are refused %d times, want at most three quarters of %d", with.refusals[0], without.refusals[0])
			}
		})
	}
}
