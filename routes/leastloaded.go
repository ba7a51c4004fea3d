package routes

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// LeastLoaded is the name of the policy that chooses the server with the fewest
// tokens in progress.
const LeastLoaded = "least-loaded"

func init() { Register(LeastLoaded, func() Policy { return leastLoaded{} }) }

type leastLoaded struct{}

// Choose implements Policy.
func (leastLoaded) Choose(_ time.Time, _ gypsumshelf.Request, candidates []Candidate) (int, bool) {
	return fewestTokens(candidates, func(Candidate) bool { return true })
}

// Prioritizes implements Policy.
func (leastLoaded) Prioritizes() bool { return false }

// fewestTokens returns the index of the candidate with the fewest tokens among
// those with room for which allowed returns true.
func fewestTokens(candidates []Candidate, allowed func(Candidate) bool) (int, bool) {
	best := -1
	for i, c := range candidates {
		if c.HasRoom && allowed(c) && (best < 0 || c.Tokens < candidates[best].Tokens) {
			best = i
		}
	}
	return best, best >= 0
}
