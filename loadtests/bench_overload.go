package loadtests

import (
	"context"
	"fmt"
	"maps"
	"slices"
)

// overloadShares are the offered loads as shares of the capacity.
var overloadShares = []float64{0.7, 1, 2}

// measureOverload offers load up to twice the capacity.
func measureOverload(ctx context.Context, cfg MeasureConfig) error {
	mixture := DefaultMixture()
	capacity := cfg.capacity(mixture)
	fmt.Fprintf(cfg.Out, "capacity %.1f requests/s; target: useful answers near the capacity\n", capacity)
	table := cfg.newTable()
	fmt.Fprintln(table, "offered\trequests\twhole\trefused\tlost\twrong\tnot sent\tseconds to the last answer\twhole/s of capacity\tshort in time\tshort first p95\t")
	var failureLines []string
	for _, share := range overloadShares {
		rep, err := cfg.runOnNewCluster(ctx, firstOrEmpty(cfg.Policies), mixture, share*capacity)
		if err != nil {
			return err
		}
		short := rep.Buckets[0]
		fmt.Fprintf(table, "%.0f%%\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.0f%%\t%.0f%%\t%s\t\n", share*100,
			rep.Requests, rep.Whole, rep.Refused, rep.Broken, rep.Wrong, rep.Unsent, rep.TimeToLastAnswer.Seconds(),
			100*float64(rep.Whole)/rep.TimeToLastAnswer.Seconds()/capacity, 100*float64(short.InTime)/float64(max(1, short.Requests)), ms(short.FirstToken.P95))
		for _, key := range slices.Sorted(maps.Keys(rep.Failures)) {
			failureLines = append(failureLines, fmt.Sprintf("  %.0f%%: %s: %d", share*100, key, rep.Failures[key]))
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, line := range failureLines {
		fmt.Fprintln(cfg.Out, line)
	}
	return ctx.Err()
}
