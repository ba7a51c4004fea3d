package schedules

import (
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// A planned stop of an entry daemon gives its waiting jobs less time than their deadlines.
// Those that cannot end before it are handed back at once, while their callers have time to
// be served by another daemon, and keep their places in the queue for their return.

const (
	// HandBackRetryAfter is the time that a new connection to another entry daemon takes.
	HandBackRetryAfter = 50 * time.Millisecond
	// placeTTL is the time for which a place in the queue is kept. Callers that come later
	// did not come for HandBackRetryAfter.
	placeTTL = 2 * time.Second
)

// keptPlace is the place in the queue of a job that was handed back, or the place that is
// booked for the caller of one that was refused.
type keptPlace struct {
	targetDue time.Time // when the first event of a job that was handed back was due
	until     time.Time
	refused   bool
	returnAt  time.Time // when the caller of a refused job was told to return
}

// StopDaemon records that an entry daemon breaks off its requests after a time, and hands
// back those of its waiting jobs that cannot end before.
func (s *Scheduler) StopDaemon(now time.Time, daemon gypsumshelf.DaemonID, after time.Duration) []Decision {
	for _, j := range s.jobs {
		if j.request.Daemon == daemon {
			j.stopAt = now.Add(after)
		}
	}
	var decisions []Decision
	for _, p := range s.pools {
		decisions = append(decisions, s.processQueue(now, p, allJobs)...)
	}
	return decisions
}

// outlastsStop reports whether a job that is placed after a wait ends after the stop of its
// daemon.
func (p *pool) outlastsStop(now time.Time, j *jobState, wait time.Duration) bool {
	return !j.stopAt.IsZero() && now.Add(max(0, wait)+p.minServiceTime(j)).After(j.stopAt)
}

// waitBehind returns the predicted wait of a job behind others, 0 if no stop of its daemon
// makes it matter.
func (p *pool) waitBehind(j *jobState, ahead []*jobState) time.Duration {
	if j.stopAt.IsZero() {
		return 0
	}
	return p.predictWait(j, ahead)
}

// handBack refuses a job whose daemon stops, and keeps its place.
func (s *Scheduler) handBack(now time.Time, p *pool, j *jobState) Decision {
	s.removeJob(j)
	if f := j.request.Fingerprint; f != "" {
		s.places[f] = keptPlace{targetDue: j.due(j.request.Target), until: now.Add(placeTTL)}
	}
	return Decision{
		Job: j.request.ID, RetryAfter: HandBackRetryAfter, Reason: "the daemon stops before the request could end", HandedBack: true,
		Waited: now.Sub(j.arrived), Waiting: len(p.queue),
	}
}

// jobsAhead returns the jobs that wait before a new one. A copy of a request that was
// handed back takes the place that was kept for it, once, if its target can still be met
// there: its first event is due when it was for the first copy. Any other job is taken to
// wait behind all.
func (s *Scheduler) jobsAhead(now time.Time, p *pool, j *jobState) []*jobState {
	place, kept := s.places[j.request.Fingerprint]
	if place.refused {
		return p.queue
	}
	delete(s.places, j.request.Fingerprint)
	if target := place.targetDue.Sub(now); kept && now.Before(place.until) && target < j.request.Target {
		original := j.request.Target
		j.request.Target = target
		if !p.isLate(now, j) {
			return slices.DeleteFunc(slices.Clone(p.queue), func(o *jobState) bool { return p.compare(now, o, j) > 0 })
		}
		j.request.Target = original
	}
	return p.queue
}

func (s *Scheduler) forgetPlaces(now time.Time) {
	for f, place := range s.places {
		if !now.Before(place.until) {
			delete(s.places, f)
		}
	}
}
