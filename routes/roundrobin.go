package routes

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// RoundRobin is the name of the policy that chooses the servers in turn.
const RoundRobin = "round-robin"

func init() { Register(RoundRobin, func() Policy { return &roundRobin{} }) }

type roundRobin struct{ next int }

// Choose implements Policy.
func (p *roundRobin) Choose(_ time.Time, _ gypsumshelf.Request, candidates []Candidate) (int, bool) {
	for range candidates {
		i := p.next % len(candidates)
		p.next++
		if candidates[i].HasRoom {
			return i, true
		}
	}
	return 0, false
}

// Prioritizes implements Policy.
func (*roundRobin) Prioritizes() bool { return false }
