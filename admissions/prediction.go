package admissions

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// maxWaitFactor bounds the predicted wait before a prompt is processed, as a
// multiple of the sum of the first-token target and the prompt's own processing
// time. A longer wait means that the fleet is overloaded.
const maxWaitFactor = 4

// Estimate holds the predicted times of a request on one server with enough memory
// for it. All are zero while the server's speed is unknown.
type Estimate struct {
	Wait       time.Duration // until the server starts to process the prompt
	FirstToken time.Duration
	Finish     time.Duration
}

// Decide returns nil to admit a request, or an error when no server is available or
// the request would miss the finish time of its class or wait too long for its
// first token. The queue argument is the predicted wait in this daemon.
func Decide(now time.Time, req gypsumshelf.Request, servers []Estimate, queue time.Duration) *gypsumshelf.Error {
	if len(servers) == 0 {
		return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeNoBackendServer,
			"no backend server in a data centre in service takes new work for this request")
	}
	best := servers[0]
	for _, e := range servers[1:] {
		if e.Finish < best.Finish {
			best = e
		}
	}
	target := req.Class.Target
	if finish := now.Add(queue + best.Finish); finish.After(req.Deadline()) {
		return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeDeadline,
			"predicted to finish %s after arrival, class %s allows %s",
			finish.Sub(req.Arrived).Round(time.Millisecond), req.Class.Name, target.Finish)
	}
	allowed := maxWaitFactor * (target.FirstToken + best.FirstToken - best.Wait)
	if wait := queue + best.Wait; wait > allowed && target.FirstToken > 0 {
		return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeOverloaded,
			"predicted to wait %s before its first token, class %s has a target of %s",
			wait.Round(time.Millisecond), req.Class.Name, target.FirstToken)
	}
	return nil
}
