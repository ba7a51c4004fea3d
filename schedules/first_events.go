package schedules

import "time"

// firstEventSlack returns the prefill time that a further job may add before the first
// event of a short prompt that is placed on the engine becomes late. Prompts for which it
// is too late already do not count. An engine prefills the parts that it has as a helper
// before all other prompts, so that a part of a long prompt delays each short one that has
// not started. It answers bursts of long prompts beside a steady load of short ones.
func (e *engine) firstEventSlack(now time.Time) time.Duration {
	slack := time.Hour
	for _, a := range e.assignments {
		j := a.job
		if !a.primary || j.long || j.started || j.placement == nil {
			continue
		}
		expected := j.placedAt.Add(j.placement.First)
		if now.After(expected) {
			expected = now
		}
		if left := j.due(j.request.Target).Sub(expected); left >= 0 {
			slack = min(slack, left)
		}
	}
	return slack
}
