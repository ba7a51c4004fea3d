package loads

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"gypsumshelf.example/gypsumshelf/standins"
)

// Engines that the stand-ins of measurements stand for.
const (
	benchModel            = "quill"
	benchPrefillRate      = 50_000 // prompt tokens per second
	benchTokenInterval    = 50 * time.Millisecond
	benchMemoryTokens     = 2_500_000 // tokens
	benchLoadLag          = time.Second
	benchAnnouncePeriod   = 200 * time.Millisecond // between announcements, not scaled
	benchAnswerTokens     = 64                     // of each answer
	benchFirstTokenTarget = time.Second            // of the first token of a short prompt
	benchLoadShare        = 0.7                    // of the capacity
	warmUpSteps           = 4
	// benchMaxOutstanding bounds requests without an answer. At 70 KB for a mean
	// prompt, 2,000 were too few for twice the capacity: 1,084 were not sent.
	benchMaxOutstanding = 6_000
)

// fleetConfig returns the stand-ins of a measurement.
func (cfg MeasureConfig) fleetConfig() standins.FleetConfig {
	return standins.FleetConfig{
		Service: "federkiel", Engines: cfg.Engines, Period: benchAnnouncePeriod,
		PlainService: "auftragsbuch", Plains: cfg.Plains, PlainTime: 2 * time.Millisecond,
		RestartAfter: time.Second,
		Engine: standins.EngineConfig{
			Model: benchModel, TimeScale: cfg.TimeScale, PrefillRate: benchPrefillRate,
			TokenInterval: benchTokenInterval, MemoryTokens: benchMemoryTokens, LoadLag: benchLoadLag,
		},
	}
}

// startCluster starts the daemons and stand-ins of a measurement.
func (cfg MeasureConfig) startCluster(ctx context.Context, policy string, fleet standins.FleetConfig) (*cluster, error) {
	c, err := newCluster(ctx, clusterConfig{Daemons: cfg.Daemons, Policy: policy, Fleet: fleet})
	if err != nil {
		return nil, err
	}
	if err := cfg.runWarmUp(ctx, c); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// runWarmUp sends load that is not measured, so that the daemons' slow start of
// the new stand-ins is over: the rate grows in steps.
func (cfg MeasureConfig) runWarmUp(ctx context.Context, c *cluster) error {
	if cfg.WarmUp <= 0 {
		return nil
	}
	mixture := ShortMixture()
	full := cfg.requestRate(DefaultMixture(), benchLoadShare)
	for i := range warmUpSteps {
		load := cfg.loadConfig(c, mixture, full*float64(i+1)/warmUpSteps)
		load.Seed, load.Duration = cfg.Seed+1_000+uint64(i), cfg.WarmUp/warmUpSteps
		if _, err := Run(ctx, load); err != nil {
			return err
		}
	}
	return nil
}

// capacity returns the requests of a mixture that the engines can prefill in a
// second.
func (cfg MeasureConfig) capacity(m Mixture) float64 {
	return float64(cfg.Engines) * benchPrefillRate * cfg.TimeScale / m.meanTokens()
}

// requestRate returns the configured rate, or a share of the capacity.
func (cfg MeasureConfig) requestRate(m Mixture, share float64) float64 {
	if cfg.Rate > 0 {
		return cfg.Rate
	}
	return share * cfg.capacity(m)
}

// loadConfig returns the load of one part of a measurement.
func (cfg MeasureConfig) loadConfig(c *cluster, m Mixture, rate float64) Config {
	load := DefaultConfig()
	load.Addresses, load.Model, load.Seed, load.TimeScale = c.callerAddresses(), benchModel, cfg.Seed, cfg.TimeScale
	load.Rate, load.Duration, load.Mixture, load.MaxTokens = rate, cfg.Duration, m, benchAnswerTokens
	load.Outstanding = benchMaxOutstanding
	load.Target = time.Duration(float64(benchFirstTokenTarget) / cfg.TimeScale)
	return load
}

// measureFirstToken prints first-token times by prompt length at 70% of the capacity.
func measureFirstToken(ctx context.Context, cfg MeasureConfig) error {
	c, err := cfg.startCluster(ctx, firstOrEmpty(cfg.Policies), cfg.fleetConfig())
	if err != nil {
		return err
	}
	defer c.Close()
	mixture := DefaultMixture()
	rate := cfg.requestRate(mixture, benchLoadShare)
	load := cfg.loadConfig(c, mixture, rate)
	if cfg.Plains > 0 {
		load.PlainService, load.PlainRate = "auftragsbuch", rate/10
	}
	rep, err := runLoad(ctx, c, load)
	if err != nil {
		return err
	}
	fmt.Fprintf(cfg.Out, "%.1f requests/s, capacity %.1f/s, first token in time within %s\n", rate, cfg.capacity(mixture), load.Target)
	return rep.WriteText(cfg.Out)
}

// runLoad runs a load and reads the ledger of the cluster's plain services.
func runLoad(ctx context.Context, c *cluster, load Config) (Report, error) {
	load.PlainRuns = c.fleet.Ledger().Runs
	return Run(ctx, load)
}

func firstOrEmpty(values []string) string {
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

// newTable returns a writer of aligned columns for a measurement.
func (cfg MeasureConfig) newTable() *tabwriter.Writer {
	return tabwriter.NewWriter(cfg.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
}
