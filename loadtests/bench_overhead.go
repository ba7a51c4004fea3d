package loadtests

import (
	"context"
	"fmt"
	"time"

	"gypsumshelf.example/gypsumshelf/standins"
	"gypsumshelf.example/gypsumshelf/timers"
)

const (
	overheadTarget = 2 * time.Millisecond
	overheadPause  = 2 * time.Millisecond // between calls, so that they do not queue
	overheadCalls  = 3_000
)

// overheadLengths are the prompt lengths for which the overhead is measured.
var overheadLengths = []int{1_000, 4_000, 30_000}

// measureOverhead compares first-token times through a daemon with those of direct
// calls to the same engine. Calls of both kinds alternate, one at a time, and the
// engine's prefill takes no time.
func measureOverhead(ctx context.Context, cfg MeasureConfig) error {
	fleet := cfg.fleetConfig()
	fleet.Engines, fleet.PlainServers = 1, 0
	fleet.Engine = standins.EngineConfig{Model: benchModel, PrefillRate: 1e12}
	c, err := newCluster(ctx, clusterConfig{Daemons: cfg.Daemons, Policy: firstOrEmpty(cfg.Policies), Fleet: fleet})
	if err != nil {
		return err
	}
	defer c.Close()
	table := cfg.newTable()
	fmt.Fprintln(table, "prompt tokens\tcalls each\tdirect p50\tp99\tdaemon p50\tp99\tadded p50\tadded p99\tfailed\t")
	for _, length := range overheadLengths {
		direct, viaDaemon, failed := measureOverheadAt(ctx, c, cfg, length)
		fmt.Fprintf(table, "%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t\n", length, direct.histogram.TotalCount(),
			ms(direct.percentile(50)), ms(direct.percentile(99)), ms(viaDaemon.percentile(50)), ms(viaDaemon.percentile(99)),
			ms(viaDaemon.percentile(50)-direct.percentile(50)), ms(viaDaemon.percentile(99)-direct.percentile(99)), failed)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(cfg.Out, "target: at most %s added at p99\n", overheadTarget)
	return ctx.Err()
}

// measureOverheadAt measures direct calls and calls through daemons for one prompt
// length.
func measureOverheadAt(ctx context.Context, c *cluster, cfg MeasureConfig, length int) (direct, viaDaemon durationHistogram, failed int) {
	direct, viaDaemon = newDurationHistogram(), newDurationHistogram()
	caller := NewCaller()
	defer caller.Close()
	engine := c.fleet.Addresses()[0]
	deadline := time.Now().Add(cfg.Duration)
	for i := range overheadCalls {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return direct, viaDaemon, failed
		}
		for _, target := range []struct {
			address   string
			histogram durationHistogram
		}{{engine, direct}, {c.callerAddresses()[i%len(c.settings)], viaDaemon}} {
			out := caller.Do(ctx, Request{
				Address: target.address, Model: benchModel, PromptTokens: length, MaxTokens: 2,
				Seed: cfg.Seed<<32 + uint64(i),
			})
			if out.Result == Whole {
				target.histogram.record(out.FirstToken)
			} else {
				failed++
			}
			timers.Sleep(ctx, overheadPause)
		}
	}
	return direct, viaDaemon, failed
}
