package loads

import (
	"context"
	"fmt"
	"io"
	"time"

	"gypsumshelf.example/gypsumshelf/routes"
)

// measureSlowdown compares short requests with and without long ones present,
// for each routing policy. Without means the same requests except those over
// 100,000 tokens.
func measureSlowdown(ctx context.Context, cfg MeasureConfig) error {
	policies := cfg.Policies
	if len(policies) == 0 {
		policies = routes.Names()
	}
	mixture := DefaultMixture()
	rate := cfg.rate(mixture, benchLoad)
	fmt.Fprintf(cfg.Out, "%.1f requests/s with long ones, capacity %.1f/s; short: %d to %d tokens; target: slowdown at most 1.2\n",
		rate, cfg.capacity(mixture), mixture[0].Min, mixture[0].Max)
	table := cfg.table()
	fmt.Fprintln(table, "policy\tlong ones\tshort whole\tother ends\twrong\tfirst p50\tfirst p95\ttotal p95\tslowdown first p95\tslowdown total p95\t")
	for _, policy := range policies {
		without, err := cfg.runShort(ctx, policy, mixture[:len(mixture)-1], rate*longFree(mixture))
		if err != nil {
			return err
		}
		with, err := cfg.runShort(ctx, policy, mixture, rate)
		if err != nil {
			return err
		}
		writeShort(table, policy, "without", without, without)
		writeShort(table, policy, "with", with, without)
	}
	return table.Flush()
}

// longFree returns the share of requests that are not in the last bucket.
func longFree(m Mixture) float64 {
	total := 0.0
	for _, b := range m {
		total += b.Weight
	}
	return 1 - m[len(m)-1].Weight/total
}

func (cfg MeasureConfig) runShort(ctx context.Context, policy string, m Mixture, rate float64) (Report, error) {
	c, err := cfg.cluster(ctx, policy)
	if err != nil {
		return Report{}, err
	}
	defer c.Close()
	return runWith(ctx, c, cfg.load(c, m, rate))
}

func writeShort(w io.Writer, policy, long string, rep, base Report) {
	b, z := rep.Buckets[0], base.Buckets[0]
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t\n", policy, long, b.Whole, b.Requests-b.Whole, rep.Wrong,
		ms(b.FirstToken.P50), ms(b.FirstToken.P95), ms(b.Total.P95),
		ratio(b.FirstToken.P95, z.FirstToken.P95), ratio(b.Total.P95, z.Total.P95))
}

// ratio formats a quotient of durations.
func ratio(a, b time.Duration) string {
	if b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", float64(a)/float64(b))
}
