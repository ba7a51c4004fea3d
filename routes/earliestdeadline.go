package routes

import (
	"hash/fnv"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// EarliestDeadline is the name of the policy that takes the server with the
// earliest predicted first token, bounds the long work on each server and has
// engines process the prompt that is due first.
const EarliestDeadline = "earliest-deadline"

func init() { Register(EarliestDeadline, func() Policy { return earliestDeadline{} }) }

const (
	// longBound is the number of prompt tokens in long prompts that a server may
	// have in progress, unless it has only one long prompt.
	maxLongTokens = 200_000
	// unknownPerToken is taken for servers without a measured time; it is that
	// of the stand-ins.
	defaultSecondsPerToken = 10e-6
	// tieFactor is the part by which predicted first tokens may differ to count
	// as equal.
	tieFactor = 1.1
)

type earliestDeadline struct{}

// Choose implements Policy.
func (earliestDeadline) Choose(_ time.Time, req gypsumshelf.Request, candidates []Candidate) (int, bool) {
	best := 0.0
	var eligible []int
	for i, c := range candidates {
		if !c.Room || !longPromptFits(req, c) {
			continue
		}
		if x := predictFirstToken(req, c); len(eligible) == 0 || x < best {
			best = x
		}
		eligible = append(eligible, i)
	}
	if len(eligible) == 0 {
		return 0, false
	}
	ties := eligible[:0]
	for _, i := range eligible {
		if predictFirstToken(req, candidates[i]) <= tieFactor*best {
			ties = append(ties, i)
		}
	}
	return lessLoaded(req, candidates, ties), true
}

// Prioritizes implements Policy.
func (earliestDeadline) Prioritizes() bool { return true }

// lighter takes the less loaded of two of the candidates, which the request's
// id selects. The reported loads lag, so that daemons which all took the least
// loaded server would meet on it.
func lessLoaded(req gypsumshelf.Request, candidates []Candidate, ties []int) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(req.ID))
	x := h.Sum64()
	n := uint64(len(ties))
	a, b := ties[x%n], ties[(x/n)%n]
	if candidates[b].Attempts < candidates[a].Attempts {
		return b
	}
	return a
}

func longPromptFits(req gypsumshelf.Request, c Candidate) bool {
	return req.PromptTokens < LongPrompt || c.LongTokens == 0 || c.LongTokens+req.PromptTokens <= maxLongTokens
}

// firstToken predicts the seconds to the first token. A cached prefix shortens
// the prompt, so a warm cache is preferred only as long as its server's queue
// costs less than the prefix saves. A long prompt waits for the work of other
// daemons too, which only the tokens in progress show.
func predictFirstToken(req gypsumshelf.Request, c Candidate) float64 {
	perToken := c.PerToken
	if perToken == 0 {
		perToken = defaultSecondsPerToken
	}
	ahead := c.Ahead
	if req.PromptTokens >= LongPrompt {
		ahead = max(ahead, c.Tokens)
	}
	return perToken * float64(max(0, req.PromptTokens-c.CachedFor)+ahead)
}
