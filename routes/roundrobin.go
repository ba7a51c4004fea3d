package routes

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// RoundRobin is the name of the policy that takes the servers in turn.
const RoundRobin = "round-robin"

func init() { Register(RoundRobin, func() Policy { return &roundRobin{} }) }

type roundRobin struct{ next int }

func (p *roundRobin) Choose(_ time.Time, _ gypsumshelf.Request, candidates []Candidate) (int, bool) {
	for range candidates {
		i := p.next % len(candidates)
		p.next++
		if c := candidates[i]; c.Limit == 0 || c.Attempts < c.Limit {
			return i, true
		}
	}
	return 0, false
}
