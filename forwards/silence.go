package forwards

import "time"

const (
	// finalWait is the last part of a silence. A process that was paused before it
	// reads in it what arrived during the pause.
	finalWait = 100 * time.Millisecond
	// maxFinalWaits limits how often finalWait starts again after a pause within it.
	maxFinalWaits = 2
)

// silenceTimer measures how long an engine sends no event. A pause of this process is
// not silence of the engine.
type silenceTimer struct {
	*time.Timer
	now        func() time.Time
	due        time.Time
	finalWaits int
}

func newSilenceTimer(now func() time.Time, silence time.Duration) *silenceTimer {
	return &silenceTimer{Timer: time.NewTimer(silence - finalWait), now: now}
}

// restart starts the timer for a new silence.
func (s *silenceTimer) restart(silence time.Duration) {
	s.finalWaits = 0
	s.Reset(silence - finalWait)
}

// expired is to be called when the timer has fired. It reports whether the silence has
// lasted for its whole time, and starts the final wait otherwise.
func (s *silenceTimer) expired() bool {
	late := s.now().Sub(s.due) > finalWait
	if s.finalWaits == 0 || late && s.finalWaits < maxFinalWaits {
		s.finalWaits++
		s.due = s.now().Add(finalWait)
		s.Reset(finalWait)
		return false
	}
	return true
}
