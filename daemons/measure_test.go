package daemons

import (
	"os"
	"slices"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/routes"
)

// capacityPerSecond is the number of requests of generateLoad that the fleet of
// fleetConfig can process in a second: 14 engines at 100,000 tokens a second, with
// a mean of 11,000 tokens per request.
const capacityPerSecond = 14 * 100_000 / 11_000.0

func fleetConfig(policy string) simConfig {
	return simConfig{seed: seed(), policy: policy, daemons: 4, engines: 14, tokensPerSecond: 100_000, memoryTokens: 1_500_000}
}

type simResults struct {
	p50, p95, p99  time.Duration
	useful         float64 // prompt tokens of complete answers, as a part of the capacity
	whole, refused int
	late           int // ended with an error after an attempt had started
	codes          map[gypsumshelf.Code]int
}

const (
	warmUpTime   = 30 * time.Second
	measuredTime = 90 * time.Second
)

func measurePolicy(policy string, load float64, long bool) simResults {
	s := newSim(fleetConfig(policy))
	s.run(4 * time.Second)
	s.generateLoad(load*capacityPerSecond, long, func() string { return "w" })
	s.run(warmUpTime + measuredTime)
	return s.summarize(simStart.Add(4*time.Second+warmUpTime), s.now.Add(-time.Minute/2))
}

// summarize evaluates the requests that arrived between two times.
func (s *sim) summarize(from, to time.Time) simResults {
	f := simResults{codes: map[gypsumshelf.Code]int{}}
	var short []time.Duration
	tokens := 0
	for _, r := range s.results {
		if r.req.Arrived.Before(from) || r.req.Arrived.After(to) {
			continue
		}
		switch {
		case r.refused != nil:
			f.refused++
			f.codes[r.refused.Code]++
			if r.refused.Verdict != gypsumshelf.NotRun {
				f.late++
			}
		case r.finish > 0:
			f.whole++
			tokens += r.req.PromptTokens
		}
		if r.firstToken > 0 && r.req.PromptTokens < routes.LongPrompt {
			short = append(short, r.firstToken)
		}
	}
	slices.Sort(short)
	at := func(q float64) time.Duration { return short[int(q*float64(len(short)-1))] }
	f.p50, f.p95, f.p99 = at(0.5), at(0.95), at(0.99)
	f.useful = float64(tokens) / to.Sub(from).Seconds() / (s.cfg.tokensPerSecond * float64(s.cfg.engines))
	return f
}

// Logs the comparison of routing policies for docs/measurements-routing.md.
func TestMeasurePolicies(t *testing.T) {
	if os.Getenv("GYPSUMSHELF_MEASURE") == "" {
		t.Skip("measurement, set GYPSUMSHELF_MEASURE=1")
	}
	t.Logf("seed %d", seed())
	for _, policy := range routes.Names() {
		t.Run(policy, func(t *testing.T) {
			t.Parallel()
			logPolicy(t, policy)
		})
	}
}

func logPolicy(t *testing.T, policy string) {
	for _, load := range []float64{0.5, 0.7} {
		without, with := measurePolicy(policy, load, false), measurePolicy(policy, load, true)
		t.Logf("%-18s load %.1f: short p50 %4d p95 %4d p99 %4d ms alone; p50 %4d p95 %4d p99 %4d ms with long; slowdown p95 %.2f; refused %d of %d %v", policy, load,
			without.p50.Milliseconds(), without.p95.Milliseconds(), without.p99.Milliseconds(),
			with.p50.Milliseconds(), with.p95.Milliseconds(), with.p99.Milliseconds(),
			float64(with.p95)/float64(without.p95), with.refused, with.refused+with.whole, with.codes)
	}
	if testing.Short() {
		return
	}
	over := measurePolicy(policy, 2, true)
	t.Logf("%-18s load 2.0: short p50 %4d p95 %4d p99 %4d ms; useful work %.2f; whole %d, refused %d %v, late %d", policy,
		over.p50.Milliseconds(), over.p95.Milliseconds(), over.p99.Milliseconds(), over.useful, over.whole, over.refused, over.codes, over.late)
}
