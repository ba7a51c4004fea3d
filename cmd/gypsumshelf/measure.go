package main

import (
	"context"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"gypsumshelf.example/gypsumshelf/loadtests"
)

// measureTimeout bounds the duration of a measurement.
const measureTimeout = 20 * time.Minute

func newMeasure() *cobra.Command {
	var cfg loadtests.MeasureConfig
	var descriptions []string
	for _, m := range loadtests.Measurements() {
		descriptions = append(descriptions, "  "+m.Name()+": "+m.Summary())
	}
	cmd := &cobra.Command{
		Use:   "measure NAME",
		Short: "Measure daemons and stand-ins in this process and print a table",
		Long:  "Measurements:\n" + strings.Join(descriptions, "\n"),
		Args:  cobra.ExactArgs(1),
		RunE: withExitCode(func(cmd *cobra.Command, args []string) error {
			m, err := loadtests.FindMeasurement(args[0])
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), measureTimeout)
			defer cancel()
			cfg.Out = cmd.OutOrStdout()
			return m.Run(ctx, cfg)
		}),
	}
	f := cmd.Flags()
	f.Uint64Var(&cfg.Seed, "seed", 1, "seed of the arrivals and lengths")
	f.Float64Var(&cfg.TimeScale, "time-scale", 5, "factor by which the stand-ins are faster than the engines that they simulate")
	f.DurationVar(&cfg.Duration, "duration", 10*time.Second, "duration of each phase of the measurement")
	f.DurationVar(&cfg.WarmUp, "warm-up", 6*time.Second, "duration of load before the measurement starts, so that slow start is over by then")
	f.IntVar(&cfg.Daemons, "daemons", 4, "number of daemons")
	f.IntVar(&cfg.Engines, "engines", 14, "number of stand-in engines")
	f.IntVar(&cfg.PlainServers, "plain-servers", 3, "number of stand-ins of a plain service")
	f.Float64Var(&cfg.Rate, "rate", 0, "requests per second, 0 for the default of the measurement")
	f.StringVar(&cfg.LeaveMethod, "by", loadtests.LeaveByAnnouncement, "how the data centre leaves in the measurement of leaving: announcement, operator or crash")
	f.StringSliceVar(&cfg.Policies, "policy", nil, "routing policies to compare, all when empty")
	return cmd
}
