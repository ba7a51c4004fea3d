package schedules

import "time"

// orphan keeps the slots and the memory of a job whose daemon is not reachable any more
// until its answer is expected to end. An engine does not notice that a host has lost its
// power, and goes on with the answer. It answers the loss of entry hosts under load: the
// short prompts that were placed on slots that looked free waited for up to half a second.
func (s *Scheduler) orphan(now time.Time, j *jobState) {
	p := s.pools[j.request.Service]
	end := j.placedAt.Add(j.placement.First + p.profile.DecodeTime(j.request.Expected, p.profile.Slots/2, j.request.Prompt))
	if latest := j.due(j.request.Deadline); end.After(latest) {
		end = latest
	}
	if end.Before(now) {
		end = now
	}
	j.orphanUntil, j.unjudged = end, true
}

// isOrphanOver reports whether the answer to a lost daemon is expected to have ended.
func (j *jobState) isOrphanOver(now time.Time) bool {
	return !j.orphanUntil.IsZero() && now.After(j.orphanUntil)
}
