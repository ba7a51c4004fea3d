package routes

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// EarliestDeadline is the name of the policy that takes the server with the
// earliest predicted first token, bounds the long work on each server and has
// engines process the prompt that is due first.
const EarliestDeadline = "earliest-deadline"

func init() { Register(EarliestDeadline, func() Policy { return earliestDeadline{} }) }

// longBound is the number of prompt tokens in long prompts that a server may
// have in progress, unless it has only one long prompt.
const longBound = 200_000

type earliestDeadline struct{}

// Choose implements Policy.
func (earliestDeadline) Choose(_ time.Time, req gypsumshelf.Request, candidates []Candidate) (int, bool) {
	best := -1
	for i, c := range candidates {
		if !c.Room || !longFits(req, c) {
			continue
		}
		if best < 0 || sooner(req, c, candidates[best]) {
			best = i
		}
	}
	return best, best >= 0
}

// Prioritizes implements Policy.
func (earliestDeadline) Prioritizes() bool { return true }

func longFits(req gypsumshelf.Request, c Candidate) bool {
	return req.PromptTokens < LongPrompt || c.LongTokens == 0 || c.LongTokens+req.PromptTokens <= longBound
}

// sooner reports whether a is predicted to deliver the first token before b.
// A cached prefix shortens the prompt, so a warm cache is preferred only as
// long as its server's queue costs less than the prefix saves.
func sooner(req gypsumshelf.Request, a, b Candidate) bool {
	x, y := firstToken(req, a), firstToken(req, b)
	if x != y {
		return x < y
	}
	return a.Tokens < b.Tokens
}

// unknownPerToken is taken for servers without a measured time; it is that of
// the stand-ins.
const unknownPerToken = 10e-6

func firstToken(req gypsumshelf.Request, c Candidate) float64 {
	perToken := c.PerToken
	if perToken == 0 {
		perToken = unknownPerToken
	}
	return perToken * float64(max(0, req.PromptTokens-c.CachedFor)+c.Ahead)
}
