package schedules

import (
	"cmp"
	"time"
)

// returnTolerance is the time by which a caller may return before its retry time: answers
// state it in whole milliseconds, and clocks of callers differ by less than a millisecond in
// such a time.
const returnTolerance = 2 * time.Millisecond

// compareFairly defines the order of waiting jobs where the policy asks for a division by
// demand. Jobs that can still meet their target precede late ones, and more urgent ones the
// others. It answers callers that repeat their requests at once, and workspaces that send
// more than the others: among jobs of one priority, those of callers that ask once come
// first, and then those of the workspaces with the fewest active answers.
func (p *pool) compareFairly(now time.Time, a, b *jobState) int {
	lateA, lateB := p.isLate(now, a), p.isLate(now, b)
	if lateA != lateB {
		return compareFlags(lateA, lateB)
	}
	if c := cmp.Compare(a.request.Priority, b.request.Priority); c != 0 {
		return c
	}
	if a.repeated != b.repeated {
		return compareFlags(a.repeated, b.repeated)
	}
	if p.shareExceeded {
		if c := cmp.Compare(p.answersOf[a.request.Workspace], p.answersOf[b.request.Workspace]); c != 0 {
			return c
		}
	}
	switch {
	case lateA:
		return a.arrived.Compare(b.arrived)
	case !a.long && !b.long:
		return b.arrived.Compare(a.arrived)
	}
	return a.due(a.request.Target).Compare(b.due(b.request.Target))
}

// compareFlags orders false before true.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// countAnswer adds to the active answers of the workspace of a job.
func (p *pool) countAnswer(j *jobState, n int) {
	workspace := j.request.Workspace
	if p.answersOf[workspace] += n; p.answersOf[workspace] <= 0 {
		delete(p.answersOf, workspace)
	}
}

// updateShares finds out whether a workspace holds more than its equal share of the slots.
// The workspaces with active or waiting jobs share them.
func (p *pool) updateShares() {
	p.shareExceeded = false
	if !p.policy.ForecastDemand || len(p.queue) < 2 {
		return
	}
	most := 0
	for _, n := range p.answersOf {
		most = max(most, n)
	}
	waitingOnly := map[string]bool{}
	for _, j := range p.queue {
		if p.answersOf[j.request.Workspace] == 0 {
			waitingOnly[j.request.Workspace] = true
		}
	}
	workspaces := len(p.answersOf) + len(waitingOnly)
	p.shareExceeded = most*workspaces > len(p.sorted)*p.profile.Slots
}

// removeJob forgets a job.
func (s *Scheduler) removeJob(j *jobState) {
	delete(s.jobs, j.request.ID)
	if f := j.request.Fingerprint; f != "" {
		if s.copies[f]--; s.copies[f] <= 0 {
			delete(s.copies, f)
		}
	}
}

// judgeCaller finds out whether a new job is that of a caller that repeats its request at
// once: a copy is active or waiting, or was refused and returns too early. It also finds
// out whether a place is kept for the caller. Repetitions by the daemon itself avoid the
// engines that have failed.
func (s *Scheduler) judgeCaller(now time.Time, j *jobState) {
	f := j.request.Fingerprint
	if !s.cfg.Policy.ForecastDemand || f == "" {
		return
	}
	place, kept := s.places[f]
	kept = kept && place.refused && now.Before(place.until)
	early := kept && now.Before(place.returnAt.Add(-returnTolerance))
	j.repeated = early || s.copies[f] > 1 && len(j.request.Avoid) == 0
	if kept && !early {
		j.hasPlace = true
		delete(s.places, f)
	}
}

// refuse refuses a job. Where the policy asks for a division by demand, the retry time is
// the one at which there is capacity for the caller and for all that were told earlier to
// return, and a place is kept for the caller.
func (s *Scheduler) refuse(now time.Time, p *pool, j *jobState, reason string) Decision {
	s.removeJob(j)
	d := p.refuse(now, j, reason)
	if !s.cfg.Policy.ForecastDemand {
		return d
	}
	f := j.request.Fingerprint
	if place, kept := s.places[f]; kept && place.refused && now.Before(place.returnAt) {
		d.RetryAfter = max(minRetryAfter, place.returnAt.Sub(now))
		return d
	}
	d.RetryAfter = p.bookReturn(now, j, d.RetryAfter)
	if f != "" {
		returnAt := now.Add(d.RetryAfter)
		s.places[f] = keptPlace{refused: true, returnAt: returnAt, until: returnAt.Add(placeTTL)}
	}
	return d
}

// minReturnShare is the least share of the capacity that is offered to callers who return,
// however many new ones are expected: new ones are refused alike if there are too many.
const minReturnShare = 0.25

// bookReturn returns the time after which a refused caller finds capacity, and books it.
// The first one returns when the active answers have ended, or when the waiting long prompts
// have been prefilled, and each further one when the capacity that new callers are expected
// to leave has served the one before. Places beyond maxRetryAfter cannot be told; those
// callers get the usual retry times, which differ from each other.
func (p *pool) bookReturn(now time.Time, j *jobState, usual time.Duration) time.Duration {
	next := &p.nextShortReturn
	wait := max(minRetryAfter, p.shortAnswerTime(), p.predictWait(j, p.queue))
	capacity := float64(max(1, len(p.sorted)*p.profile.Slots)) / p.shortAnswerTime().Seconds()
	interval := time.Duration(float64(time.Second) / max(minReturnShare*capacity, capacity-p.demand.trend.rate(maxForecastTime)))
	if j.long {
		next = &p.nextLongReturn
		wait = max(minRetryAfter, p.predictWait(j, p.queue))
		interval = j.prefillTime / time.Duration(max(1, p.longPromptEngineCount()))
	}
	at := now.Add(wait)
	if next.After(at) {
		at = *next
	}
	if at.Sub(now) > maxRetryAfter {
		return max(usual, maxRetryAfter*3/4)
	}
	*next = at.Add(interval)
	return at.Sub(now)
}

// refuse returns the decision that refuses a job. The retry time is the time
// until the active answers have ended, or for a long job until the waiting long
// prompts have been prefilled. It varies between refused callers so that they do
// not return all at once.
func (p *pool) refuse(now time.Time, j *jobState, reason string) Decision {
	wait := p.predictWait(j, p.queue)
	if !j.long {
		wait = p.profile.DecodeTime(p.profile.MeanAnswerTokens, p.profile.Slots/2, 0)
	}
	p.refusedCount++
	wait += time.Duration(p.refusedCount%retryAfterSteps) * wait / time.Duration(2*retryAfterSteps)
	return Decision{
		Job: j.request.ID, Reason: reason, RetryAfter: min(maxRetryAfter, max(minRetryAfter, wait)),
		Waited: now.Sub(j.arrived), Waiting: len(p.queue),
	}
}
