package dispatchers

import (
	"cmp"
	"slices"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// maxSampledEngines is the number of engines of one service that a local scheduler
// uses. It is twice the largest number of engines that prefill one prompt. The polls
// of all local schedulers then grow with the hosts, and not with the hosts times the
// engines, and fewer schedulers that do not know of each other share an engine.
const maxSampledEngines = 32

// sampleEngines returns at most maxSampledEngines engines of each service. Each
// daemon gets other ones, chosen by rendezvous hashing, so that an engine that comes
// or goes changes one engine of a sample at most.
func sampleEngines(daemon gypsumshelf.DaemonID, engines []Engine) []Engine {
	byService := map[string][]Engine{}
	for _, e := range engines {
		byService[e.State.Service] = append(byService[e.State.Service], e)
	}
	var sample []Engine
	for _, candidates := range byService {
		if len(candidates) > maxSampledEngines {
			candidates = highestScored(daemon, candidates)
		}
		sample = append(sample, candidates...)
	}
	return sample
}

// highestScored returns the maxSampledEngines engines with the highest scores.
func highestScored(daemon gypsumshelf.DaemonID, engines []Engine) []Engine {
	type scored struct {
		engine Engine
		score  uint64
	}
	all := make([]scored, 0, len(engines))
	for _, e := range engines {
		all = append(all, scored{engine: e, score: schedules.RendezvousScore(e.State.ID, daemon)})
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	sample := make([]Engine, 0, maxSampledEngines)
	for _, s := range all[:maxSampledEngines] {
		sample = append(sample, s.engine)
	}
	return sample
}
