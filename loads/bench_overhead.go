package loads

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

// measureOverhead compares the first token through a daemon with that of a
// direct call, one call at a time in turn, against one engine whose prefill
// takes no time.
func measureOverhead(ctx context.Context, cfg MeasureConfig) error {
	fleet := cfg.fleetConfig()
	fleet.Engines, fleet.Plains = 1, 0
	fleet.Engine = standins.EngineConfig{Model: benchModel, PrefillRate: 1e12}
	c, err := newCluster(ctx, clusterConfig{Daemons: cfg.Daemons, Policy: first(cfg.Policies), Fleet: fleet})
	if err != nil {
		return err
	}
	defer c.Close()
	table := cfg.table()
	fmt.Fprintln(table, "prompt tokens\tcalls each\tdirect p50\tp99\tdaemon p50\tp99\tadded p50\tadded p99\tfailed\t")
	for _, length := range overheadLengths {
		direct, through, failed := overhead(ctx, c, cfg, length)
		fmt.Fprintf(table, "%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t\n", length, direct.h.TotalCount(),
			ms(direct.at(50)), ms(direct.at(99)), ms(through.at(50)), ms(through.at(99)),
			ms(through.at(50)-direct.at(50)), ms(through.at(99)-direct.at(99)), failed)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(cfg.Out, "target: at most %s added at p99\n", overheadTarget)
	return ctx.Err()
}

func overhead(ctx context.Context, c *cluster, cfg MeasureConfig, length int) (direct, through timing, failed int) {
	direct, through = newTiming(), newTiming()
	caller := NewCaller()
	defer caller.Close()
	engine := c.fleet.Addresses()[0]
	end := time.Now().Add(cfg.Duration)
	for i := range overheadCalls {
		if time.Now().After(end) || ctx.Err() != nil {
			return direct, through, failed
		}
		for _, target := range []struct {
			address string
			times   timing
		}{{engine, direct}, {c.callers()[i%len(c.settings)], through}} {
			out := caller.Do(ctx, Order{
				Address: target.address, Model: benchModel, PromptTokens: length, MaxTokens: 2,
				Seed: cfg.Seed<<32 + uint64(i),
			})
			if out.Result == Whole {
				target.times.add(out.FirstToken)
			} else {
				failed++
			}
			timers.Pause(ctx, overheadPause)
		}
	}
	return direct, through, failed
}
