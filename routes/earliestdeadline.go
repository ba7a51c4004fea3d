package routes

import (
	"hash/fnv"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// EarliestDeadline is the name of the policy that chooses the server with the
// earliest predicted first token, limits the long prompts on each server and makes
// engines process prompts in the order in which they are due.
const EarliestDeadline = "earliest-deadline"

func init() { Register(EarliestDeadline, func() Policy { return earliestDeadline{} }) }

const (
	// maxLongTokens limits the tokens of long prompts in progress on a server. A
	// single long prompt may exceed it.
	maxLongTokens = 200_000
	// defaultSecondsPerToken is used for servers without a measured time. It is the
	// value of the stand-in engines.
	defaultSecondsPerToken = 10e-6
	// tieFactor times the earliest predicted first token is the limit up to which
	// candidates count as equally good.
	tieFactor = 1.1
)

type earliestDeadline struct{}

// Choose implements Policy.
func (earliestDeadline) Choose(_ time.Time, req gypsumshelf.Request, candidates []Candidate) (int, bool) {
	best := 0.0
	var eligible []int
	for i, c := range candidates {
		if !c.HasRoom || !longPromptFits(req, c) {
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

// lessLoaded returns the less loaded of two of the candidates in ties, selected by a
// hash of the request ID. Reported loads lag, so daemons that all chose the least
// loaded server would overload it.
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

// predictFirstToken predicts the seconds to the first token. A cached prefix
// shortens the prompt, so a server with a warm cache is preferred only while its
// queue costs less time than the prefix saves. A long prompt also waits for work of
// other daemons, which only Tokens includes.
func predictFirstToken(req gypsumshelf.Request, c Candidate) float64 {
	perToken := c.SecondsPerToken
	if perToken == 0 {
		perToken = defaultSecondsPerToken
	}
	ahead := c.TokensAhead
	if req.PromptTokens >= LongPrompt {
		ahead = max(ahead, c.Tokens)
	}
	return perToken * float64(max(0, req.PromptTokens-c.CachedTokens)+ahead)
}
