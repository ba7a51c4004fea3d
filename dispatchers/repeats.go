package dispatchers

import (
	"errors"
	"time"

	"gypsumshelf.example/gypsumshelf/schedules"
)

// endedTTL is the time for which a repeated call for a job that has ended is recognised. A
// call on a connection that loses packets may arrive seconds late.
const endedTTL = 5 * time.Second

var errRepeated = errors.New("the job was placed or has ended already")

// repeatedPlace answers a call for a job whose placement was requested before; mu is held.
func (d *Dispatcher) repeatedPlace(now time.Time, id schedules.JobID) (decision *schedules.Decision, repeated bool, err error) {
	if !d.judgesPaths() {
		return nil, false, nil
	}
	if w := d.pending[id]; w != nil {
		return w.decision, true, nil
	}
	if at, ok := d.ended[id]; ok && now.Sub(at) <= endedTTL || d.scheduler.HasJob(id) {
		return nil, true, errRepeated
	}
	return nil, false, nil
}
