// Package routes chooses a backend server for an attempt. Routing policies are
// registered by name, so that one program can run and compare several of them.
package routes

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// LongPrompt is the number of tokens from which a prompt counts as long. At a
// prefill rate of 100,000 tokens/s, that of the stand-in engines, such a prompt
// takes a third of a first-token target of one second.
const LongPrompt = 32_000

// Candidate is a backend server that may be chosen for an attempt.
type Candidate struct {
	Server          gypsumshelf.ServerID
	DataCentre      string
	Attempts        int     // attempts of all daemons in progress: last report plus those sent since
	Tokens          int     // tokens of all daemons in progress: last report plus those sent since
	TokensAhead     int     // prompt tokens that the server processes before this request
	SecondsPerToken float64 // seconds per prompt token, 0 when unknown
	Memory          int     // engine memory in tokens, 0 when unlimited
	LongTokens      int     // tokens of long prompts in progress
	CachedTokens    int     // prompt tokens of the request that are assumed to be cached
	Busy            bool    // the server has enough work that is due before this request
	HasRoom         bool    // not Busy, and this daemon's share of the server has room for the request
}

// Policy chooses one of the candidates.
type Policy interface {
	// Choose returns the index of the chosen candidate, or false when no candidate
	// may take the request now. Candidates must be sorted by server ID.
	Choose(now time.Time, req gypsumshelf.Request, candidates []Candidate) (int, bool)
	// Prioritizes reports whether engines process prompts in the order of Due
	// instead of the order of arrival.
	Prioritizes() bool
}

// Due returns the time at which the first token of a request is due. Engines order
// prompts by it. A prompt whose own processing takes longer than the first-token
// target can only meet the finish target and is due at three quarters of that.
// With the first-token target it would precede every short prompt, with half of the
// finish target the 99th percentile of short prompts is higher, and with the whole
// finish target any late prediction would make it miss the target.
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

// New returns a new instance of the policy registered under name.
func New(name string) (Policy, error) {
	factory, ok := registry[name]
	if !ok {
		return nil, fmt.Errorf("unknown routing policy %q, known: %v", name, Names())
	}
	return factory(), nil
}

// Names returns the sorted names of all registered policies.
func Names() []string { return slices.Sorted(maps.Keys(registry)) }
