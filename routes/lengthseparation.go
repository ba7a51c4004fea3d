package routes

import (
	"math"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// LengthSeparation is the name of the policy that keeps long prompts on a part
// of the servers; the part follows the demand.
const LengthSeparation = "length-separation"

func init() { Register(LengthSeparation, func() Policy { return &separation{} }) }

// demandMemory is the time after which demand counts 1/e.
const demandMemory = 30 * time.Second

type separation struct {
	long, short float64 // tokens asked for, decaying
	last        time.Time
}

// Choose implements Policy.
func (p *separation) Choose(now time.Time, req gypsumshelf.Request, candidates []Candidate) (int, bool) {
	isLong := req.PromptTokens >= LongPrompt
	p.observe(now, req, isLong)
	if len(candidates) < 2 {
		return fewestTokens(candidates, func(Candidate) bool { return true })
	}
	border := candidates[p.longServers(len(candidates))].Server
	i, ok := fewestTokens(candidates, func(c Candidate) bool { return (c.Server < border) == isLong })
	if !ok && !isLong {
		return fewestTokens(candidates, func(Candidate) bool { return true })
	}
	return i, ok
}

func (p *separation) observe(now time.Time, req gypsumshelf.Request, isLong bool) {
	if !p.last.IsZero() {
		decay := math.Exp(-now.Sub(p.last).Seconds() / demandMemory.Seconds())
		p.long *= decay
		p.short *= decay
	}
	p.last = now
	if isLong {
		p.long += float64(req.PromptTokens)
	} else {
		p.short += float64(req.PromptTokens)
	}
}

// longServers returns how many of n servers take long prompts, at least one
// and at most n-1.
func (p *separation) longServers(n int) int {
	part := p.long / (p.long + p.short)
	return min(max(int(math.Round(part*float64(n))), 1), n-1)
}

// Prioritizes implements Policy.
func (*separation) Prioritizes() bool { return false }
