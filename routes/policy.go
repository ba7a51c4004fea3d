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

// Candidate is a backend server that may take an attempt.
type Candidate struct {
	Server     gypsumshelf.ServerID
	DataCentre string
	Attempts   int // attempts in progress, reported and sent since
	Tokens     int // tokens in progress, reported and sent since
	Limit      int // attempts that the server can bear now
	Memory     int // engine memory in tokens, 0 when unlimited
	LongTokens int // tokens of long prompts in progress
	CachedFor  int // prompt tokens believed cached for the request
}

// Policy chooses one of the candidates.
type Policy interface {
	// Choose returns the index of the chosen candidate, or false when none
	// may take the request now. Candidates are sorted by server id.
	Choose(now time.Time, req gypsumshelf.Request, candidates []Candidate) (int, bool)
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
