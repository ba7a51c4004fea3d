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
	benchModel         = "quill"
	benchPrefillRate   = 50_000 // prompt tokens per second
	benchTokenInterval = 50 * time.Millisecond
	benchMemory        = 2_500_000 // tokens
	benchLoadLag       = time.Second
	benchPeriod        = 200 * time.Millisecond // between announcements, not scaled
	benchTokens        = 64                     // of each answer
	benchTarget        = time.Second            // of the first token of a short prompt
	benchLoad          = 0.7                    // of the capacity
	// benchOutstanding bounds requests without an answer. At 70 KB for a mean
	// prompt, 2,000 were too few for twice the capacity: 1,084 were not sent.
	benchOutstanding = 6_000
)

// fleetConfig returns the stand-ins of a measurement.
func (cfg MeasureConfig) fleetConfig() standins.FleetConfig {
	return standins.FleetConfig{
		Service: "federkiel", Engines: cfg.Engines, Period: benchPeriod,
		PlainService: "auftragsbuch", Plains: cfg.Plains, PlainTime: 2 * time.Millisecond,
		RestartAfter: time.Second,
		Engine: standins.EngineConfig{
			Model: benchModel, TimeScale: cfg.TimeScale, PrefillRate: benchPrefillRate,
			TokenInterval: benchTokenInterval, MemoryTokens: benchMemory, LoadLag: benchLoadLag,
		},
	}
}

// cluster starts the daemons and stand-ins of a measurement.
func (cfg MeasureConfig) cluster(ctx context.Context, policy string) (*cluster, error) {
	return newCluster(ctx, clusterConfig{Daemons: cfg.Daemons, Policy: policy, Fleet: cfg.fleetConfig()})
}

// capacity returns the requests of a mixture that the engines can prefill in a
// second.
func (cfg MeasureConfig) capacity(m Mixture) float64 {
	return float64(cfg.Engines) * benchPrefillRate * cfg.TimeScale / m.meanTokens()
}

// rate returns the configured rate, or a share of the capacity.
func (cfg MeasureConfig) rate(m Mixture, share float64) float64 {
	if cfg.Rate > 0 {
		return cfg.Rate
	}
	return share * cfg.capacity(m)
}

// load returns the load of one part of a measurement.
func (cfg MeasureConfig) load(c *cluster, m Mixture, rate float64) Config {
	l := DefaultConfig()
	l.Addresses, l.Model, l.Seed, l.TimeScale = c.callers(), benchModel, cfg.Seed, cfg.TimeScale
	l.Rate, l.Duration, l.Mixture, l.MaxTokens = rate, cfg.Duration, m, benchTokens
	l.Outstanding = benchOutstanding
	l.Target = time.Duration(float64(benchTarget) / cfg.TimeScale)
	return l
}

// measureLength prints first-token times by prompt length at 70% of the capacity.
func measureLength(ctx context.Context, cfg MeasureConfig) error {
	c, err := cfg.cluster(ctx, first(cfg.Policies))
	if err != nil {
		return err
	}
	defer c.Close()
	mixture := DefaultMixture()
	rate := cfg.rate(mixture, benchLoad)
	l := cfg.load(c, mixture, rate)
	if cfg.Plains > 0 {
		l.PlainService, l.PlainRate = "auftragsbuch", rate/10
	}
	rep, err := runWith(ctx, c, l)
	if err != nil {
		return err
	}
	fmt.Fprintf(cfg.Out, "%.1f requests/s, capacity %.1f/s, first token in time within %s\n", rate, cfg.capacity(mixture), l.Target)
	return rep.WriteText(cfg.Out)
}

// runWith runs a load and reads the ledger of the cluster's plain services.
func runWith(ctx context.Context, c *cluster, l Config) (Report, error) {
	l.Runs = c.fleet.Ledger().Runs
	return Run(ctx, l)
}

func first(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[0]
}

// table returns a writer of aligned columns for a measurement.
func (cfg MeasureConfig) table() *tabwriter.Writer {
	return tabwriter.NewWriter(cfg.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
}
