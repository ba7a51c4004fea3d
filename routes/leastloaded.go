package routes

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// LeastLoaded is the name of the policy that takes the server with the fewest
// tokens in progress.
const LeastLoaded = "least-loaded"

func init() { Register(LeastLoaded, func() Policy { return leastLoaded{} }) }

type leastLoaded struct{}

func (leastLoaded) Choose(_ time.Time, _ gypsumshelf.Request, candidates []Candidate) (int, bool) {
	best := -1
	for i, c := range candidates {
		if c.Limit > 0 && c.Attempts >= c.Limit {
			continue
		}
		if best < 0 || c.Tokens < candidates[best].Tokens {
			best = i
		}
	}
	return best, best >= 0
}
