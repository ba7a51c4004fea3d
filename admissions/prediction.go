package admissions

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// waitFactor times the first-token target and the time of the prompt by itself
// is the longest predicted wait before the prompt is processed; a longer one
// means that the fleet is overloaded.
const maxWaitFactor = 4

// Estimate is the predicted time of a request on one server that has room for
// it in memory; zero while nothing is known of the server.
type Estimate struct {
	Wait       time.Duration // until the server begins with the prompt
	FirstToken time.Duration
	Finish     time.Duration
}

// Decide returns the refusal of a request that cannot meet the finish time of
// its class on any server, or nil. Queue is the predicted wait in this daemon.
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
