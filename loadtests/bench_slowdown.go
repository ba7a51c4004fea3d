package loadtests

import (
	"context"
	"fmt"
	"io"
	"time"

	"gypsumshelf.example/gypsumshelf/routes"
)

// measureSlowdown measures, for each routing policy, how much long requests slow
// down short ones. The baseline is the same load without requests over 100,000
// tokens.
func measureSlowdown(ctx context.Context, cfg MeasureConfig) error {
	policies := cfg.Policies
	if len(policies) == 0 {
		policies = routes.Names()
	}
	mixture := DefaultMixture()
	rate := cfg.requestRate(mixture, benchLoadShare)
	fmt.Fprintf(cfg.Out, "%.1f requests/s with long ones, capacity %.1f/s; short: %d to %d tokens; target: slowdown at most 1.2\n",
		rate, cfg.capacity(mixture), mixture[0].Min, mixture[0].Max)
	table := cfg.newTable()
	fmt.Fprintln(table, "policy\tlong ones\tshort whole\tother ends\twrong\tfirst p50\tfirst p95\ttotal p95\tslowdown first p95\tslowdown total p95\t")
	for _, policy := range policies {
		without, err := cfg.runOnNewCluster(ctx, policy, mixture[:len(mixture)-1], rate*shareWithoutLongest(mixture))
		if err != nil {
			return err
		}
		with, err := cfg.runOnNewCluster(ctx, policy, mixture, rate)
		if err != nil {
			return err
		}
		writeSlowdownRow(table, policy, "without", without, without)
		writeSlowdownRow(table, policy, "with", with, without)
	}
	return table.Flush()
}

// shareWithoutLongest returns the share of requests outside the last bucket.
func shareWithoutLongest(m Mixture) float64 {
	total := 0.0
	for _, b := range m {
		total += b.Weight
	}
	return 1 - m[len(m)-1].Weight/total
}

// runOnNewCluster starts a cluster, sends load to it and stops it.
func (cfg MeasureConfig) runOnNewCluster(ctx context.Context, policy string, m Mixture, rate float64) (Report, error) {
	c, err := cfg.startCluster(ctx, policy, cfg.fleetConfig())
	if err != nil {
		return Report{}, err
	}
	defer c.Close()
	return runLoad(ctx, c, cfg.loadConfig(c, m, rate))
}

func writeSlowdownRow(w io.Writer, policy, variant string, report, baseline Report) {
	short, baselineShort := report.Buckets[0], baseline.Buckets[0]
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t\n", policy, variant, short.Whole, short.Requests-short.Whole, report.Wrong,
		ms(short.FirstToken.P50), ms(short.FirstToken.P95), ms(short.Total.P95),
		ratio(short.FirstToken.P95, baselineShort.FirstToken.P95), ratio(short.Total.P95, baselineShort.Total.P95))
}

// ratio formats the quotient of two durations.
func ratio(a, b time.Duration) string {
	if b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", float64(a)/float64(b))
}
