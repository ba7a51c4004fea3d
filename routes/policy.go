// Package routes chooses a backend server for an attempt. Policies are
// registered by name, so that they can be compared in one run.
package routes

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// LongPrompt is the number of prompt tokens from which a prompt counts as
// long. The stand-ins prefill about 100,000 tokens a second, so such a prompt
// alone takes a third of a first-token target of one second.
const LongPrompt = 32_000

// Candidate is a backend server that may take an attempt.
type Candidate struct {
	Server     gypsumshelf.ServerID
	DataCentre string
	Attempts   int     // attempts in progress for all daemons, reported and sent since
	Tokens     int     // tokens in progress for all daemons, reported and sent since
	Ahead      int     // prompt tokens that the server processes before this request
	PerToken   float64 // seconds for each prompt token, 0 when unknown
	Memory     int     // engine memory in tokens, 0 when unlimited
	LongTokens int     // tokens of long prompts in progress
	CachedFor  int     // prompt tokens believed cached for the request
	Busy       bool    // the server has enough work that is due earlier
	Room       bool    // not busy, and this daemon's share has room for the request
}

// Policy chooses one of the candidates.
type Policy interface {
	// Choose returns the index of the chosen candidate, or false when none
	// may take the request now. Candidates are sorted by server id.
	Choose(now time.Time, req gypsumshelf.Request, candidates []Candidate) (int, bool)
	// Prioritizes reports whether engines must process prompts in the order of
	// Due instead of arrival.
	Prioritizes() bool
}

// Due returns the time at which the first token of a request is due, which
// orders its prompt on an engine. A prompt that takes longer by itself than the
// first-token target can only meet the finish target and is due at three
// quarters of it: with the first-token target it would go before every short
// prompt, with the whole finish target it would be late whenever the
// prediction is. With half, the 99th percentile of short prompts was higher.
func Due(req gypsumshelf.Request, promptTime time.Duration) time.Time {
	target := req.Class.Target
	if promptTime <= target.FirstToken {
		return req.FirstTokenDeadline().Add(promptTime)
	}
	return req.Arrived.Add(max(target.Finish*3/4, min(target.FirstToken+promptTime, target.Finish)))
}

var registry = map[string]func() Policy{}

// Register makes a policy available by name; it is called from init functions.
func Register(name string, factory func() Policy) { registry[name] = factory }

// New returns a fresh policy by its registered name.
func New(name string) (Policy, error) {
	factory, ok := registry[name]
	if !ok {
		return nil, fmt.Errorf("unknown routing policy %q, known: %v", name, Names())
	}
	return factory(), nil
}

// Names returns the names of all registered policies in order.
func Names() []string { return slices.Sorted(maps.Keys(registry)) }
