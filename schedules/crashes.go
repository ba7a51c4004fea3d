package schedules

import (
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf/crashes"
)

// SetQuarantines adds quarantines that are in force for all daemons, and ends those
// that were lifted.
func (s *Scheduler) SetQuarantines(quarantines []crashes.Quarantine, lifts []crashes.Lift) {
	s.crashes.SetQuarantines(quarantines, lifts)
}

// RecordCrash records which requests were lost with a backend server that has ended.
func (s *Scheduler) RecordCrash(now time.Time, r crashes.Report) { s.crashes.RecordCrash(now, r) }

// RecordAbandoned records requests that a daemon was watching when it stopped.
func (s *Scheduler) RecordAbandoned(now time.Time, r crashes.Report) {
	s.crashes.RecordAbandoned(now, r)
}

// RecordCompleted clears the causes of a request that was answered without a job.
func (s *Scheduler) RecordCompleted(now time.Time, causes []crashes.Cause) {
	s.crashes.RecordCompleted(now, causes)
}

// QuestionedCauses returns the causes against which handed-over crashes count only if no
// request with them was answered since.
func (s *Scheduler) QuestionedCauses() []crashes.Cause { return s.crashes.Questioned() }

// CountHandedOverCrashes makes the crashes from before the start of the scheduler count.
func (s *Scheduler) CountHandedOverCrashes() { s.crashes.CountHandedOver() }

// TakeQuarantines returns the quarantines that this scheduler has found. Each is
// returned once.
func (s *Scheduler) TakeQuarantines() []crashes.Quarantine {
	found := s.found
	s.found = nil
	return found
}

// TakeRefutedQuarantines returns the quarantines that turned out to be wrong. Each is
// returned once.
func (s *Scheduler) TakeRefutedQuarantines() []crashes.Lift { return s.crashes.TakeRefuted() }

// running returns the jobs in progress that have had their first event. Those of a lost
// daemon may have ended.
func (s *Scheduler) running(now time.Time) []crashes.Running {
	var running []crashes.Running
	for _, j := range s.jobs {
		if j.started && j.placement != nil && j.orphanUntil.IsZero() {
			running = append(running, crashes.Running{Server: j.placement.Server, Causes: j.request.Causes, Duration: now.Sub(j.placedAt)})
		}
	}
	return running
}

// judgeCrashes looks for causes that crash backend servers, and refuses waiting jobs
// with such causes.
func (s *Scheduler) judgeCrashes(now time.Time) []Decision {
	if s.crashes.NeedsRunning(now) {
		s.crashes.RecordRunning(now, s.running(now))
	}
	found := s.crashes.Settle(now)
	if len(found) == 0 {
		return nil
	}
	s.found = append(s.found, found...)
	var decisions []Decision
	for _, p := range s.pools {
		p.queue = slices.DeleteFunc(p.queue, func(j *jobState) bool {
			refused := s.crashes.IsQuarantined(now, j.request.Causes)
			if refused {
				s.removeJob(j)
				decisions = append(decisions, Decision{Job: j.request.ID, RetryAfter: maxRetryAfter, Reason: crashes.QuarantineReason, Waited: now.Sub(j.arrived)})
			}
			return refused
		})
	}
	return decisions
}
