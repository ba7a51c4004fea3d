package loadtests

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"gypsumshelf.example/gypsumshelf/standins"
)

// Parameters of the engines that the stand-ins simulate, and of the load on them.
const (
	benchModel            = "quill"
	benchPrefillRate      = 50_000 // prompt tokens per second
	benchTokenInterval    = 50 * time.Millisecond
	benchMemoryTokens     = 2_500_000 // tokens
	benchLoadLag          = time.Second
	benchAnnouncePeriod   = 200 * time.Millisecond // not affected by the time scale
	benchAnswerTokens     = 64
	benchFirstTokenTarget = time.Second // for short prompts
	benchLoadShare        = 0.7         // share of the capacity
	warmUpSteps           = 4
	// benchMaxOutstanding bounds the requests that wait for an answer. With a mean
	// prompt of 70 KB, a bound of 2,000 left 1,084 requests unsent at twice the
	// capacity.
	benchMaxOutstanding = 6_000
)

// fleetConfig returns the configuration of the stand-ins of a measurement.
func (cfg MeasureConfig) fleetConfig() standins.FleetConfig {
	return standins.FleetConfig{
		Service: "federkiel", Engines: cfg.Engines, AnnouncePeriod: benchAnnouncePeriod,
		PlainService: "auftragsbuch", PlainServers: cfg.PlainServers, PlainCallTime: 2 * time.Millisecond,
		RestartAfter: time.Second,
		Engine: standins.EngineConfig{
			Model: benchModel, TimeScale: cfg.TimeScale, PrefillRate: benchPrefillRate,
			TokenInterval: benchTokenInterval, MemoryTokens: benchMemoryTokens, LoadLag: benchLoadLag,
		},
	}
}

// startCluster starts the daemons and stand-ins of a measurement and warms them up.
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

// runWarmUp sends load at a rate that grows in steps. Its results are discarded;
// it ends the slow start in which daemons limit the load on new backend servers.
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

// capacity returns the number of requests per second that the engines can
// prefill for a mixture.
func (cfg MeasureConfig) capacity(m Mixture) float64 {
	return float64(cfg.Engines) * benchPrefillRate * cfg.TimeScale / m.meanTokens()
}

// requestRate returns the configured rate, or the given share of the capacity when
// none is configured.
func (cfg MeasureConfig) requestRate(m Mixture, share float64) float64 {
	if cfg.Rate > 0 {
		return cfg.Rate
	}
	return share * cfg.capacity(m)
}

// loadConfig returns the load configuration of one part of a measurement.
func (cfg MeasureConfig) loadConfig(c *cluster, m Mixture, rate float64) Config {
	load := DefaultConfig()
	load.Addresses, load.Model, load.Seed, load.TimeScale = c.callerAddresses(), benchModel, cfg.Seed, cfg.TimeScale
	load.Rate, load.Duration, load.Mixture, load.MaxTokens = rate, cfg.Duration, m, benchAnswerTokens
	load.MaxOutstanding = benchMaxOutstanding
	load.FirstTokenTarget = time.Duration(float64(benchFirstTokenTarget) / cfg.TimeScale)
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
	if cfg.PlainServers > 0 {
		load.PlainService, load.PlainRate = "auftragsbuch", rate/10
	}
	rep, err := runLoad(ctx, c, load)
	if err != nil {
		return err
	}
	fmt.Fprintf(cfg.Out, "%.1f requests/s, capacity %.1f/s, first token in time within %s\n", rate, cfg.capacity(mixture), load.FirstTokenTarget)
	return rep.WriteText(cfg.Out)
}

// runLoad sends load to a cluster and checks plain calls against the call
// counter of its stand-ins.
func runLoad(ctx context.Context, c *cluster, load Config) (Report, error) {
	load.PlainRuns = c.fleet.CallCounter().Runs
	return Run(ctx, load)
}

func firstOrEmpty(values []string) string {
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

// newTable returns a writer that prints aligned columns to the measurement's output.
func (cfg MeasureConfig) newTable() *tabwriter.Writer {
	return tabwriter.NewWriter(cfg.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
}
