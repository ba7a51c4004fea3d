package routes

import (
	"math"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// LengthSeparation is the name of the policy that reserves a part of the servers
// for long prompts, in proportion to their share of the demand.
const LengthSeparation = "length-separation"

func init() { Register(LengthSeparation, func() Policy { return &lengthSeparation{} }) }

// demandTimeConstant is the time in which the weight of past demand decays to 1/e.
const demandTimeConstant = 30 * time.Second

type lengthSeparation struct {
	longDemand, shortDemand float64 // requested prompt tokens, exponentially decaying
	lastObserved            time.Time
}

// Choose implements Policy.
func (p *lengthSeparation) Choose(now time.Time, req gypsumshelf.Request, candidates []Candidate) (int, bool) {
	isLong := req.PromptTokens >= LongPrompt
	p.observe(now, req, isLong)
	if len(candidates) < 2 {
		return fewestTokens(candidates, func(Candidate) bool { return true })
	}
	firstShortServer := candidates[p.longServerCount(len(candidates))].Server
	i, ok := fewestTokens(candidates, func(c Candidate) bool { return (c.Server < firstShortServer) == isLong })
	if !ok && !isLong {
		return fewestTokens(candidates, func(Candidate) bool { return true })
	}
	return i, ok
}

func (p *lengthSeparation) observe(now time.Time, req gypsumshelf.Request, isLong bool) {
	if !p.lastObserved.IsZero() {
		decay := math.Exp(-now.Sub(p.lastObserved).Seconds() / demandTimeConstant.Seconds())
		p.longDemand *= decay
		p.shortDemand *= decay
	}
	p.lastObserved = now
	if isLong {
		p.longDemand += float64(req.PromptTokens)
	} else {
		p.shortDemand += float64(req.PromptTokens)
	}
}

// longServerCount returns how many of n servers take long prompts: at least 1 and
// at most n-1.
func (p *lengthSeparation) longServerCount(n int) int {
	share := p.longDemand / (p.longDemand + p.shortDemand)
	return min(max(int(math.Round(share*float64(n))), 1), n-1)
}

// Prioritizes implements Policy.
func (*lengthSeparation) Prioritizes() bool { return false }
