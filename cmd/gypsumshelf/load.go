package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"gypsumshelf.example/gypsumshelf/loads"
)

func newLoad() *cobra.Command {
	cfg := loads.DefaultConfig()
	var buckets []string
	var shortOnly bool
	var output string
	cmd := &cobra.Command{
		Use:   "load --server IP:PORT",
		Short: "Send open-loop load to running daemons and check every answer",
		Long: "Send load to running daemons with stand-ins behind them. Arrivals do not wait for answers;\n" +
			"latency counts from the intended send time. The exit status is 1 when an answer was wrong or\n" +
			"a call to a plain service ran twice.",
		Args: cobra.NoArgs,
		RunE: run(func(cmd *cobra.Command, _ []string) error {
			if output != "text" && output != "json" {
				return fmt.Errorf("output %q is neither text nor json", output)
			}
			if err := setMixture(&cfg, buckets, shortOnly); err != nil {
				return err
			}
			report, err := loads.Run(cmd.Context(), cfg)
			if err != nil {
				return err
			}
			if err := writeReport(cmd, report, output); err != nil {
				return err
			}
			return report.Err()
		}),
	}
	f := cmd.Flags()
	f.StringSliceVar(&cfg.Addresses, "server", nil, "listener for callers of a daemon (repeatable)")
	f.StringVar(&cfg.Model, "model", cfg.Model, "model name")
	f.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of the arrivals, lengths and prompts")
	f.Float64Var(&cfg.Rate, "rate", cfg.Rate, "requests per second")
	f.DurationVar(&cfg.Duration, "duration", cfg.Duration, "time of the arrivals")
	f.DurationVar(&cfg.Grace, "grace", cfg.Grace, "time for the last answers after the arrivals")
	f.IntVar(&cfg.MaxRequests, "max-requests", cfg.MaxRequests, "bound on the number of requests")
	f.IntVar(&cfg.Outstanding, "max-outstanding", cfg.Outstanding, "bound on requests without an answer; more are not sent and are counted")
	f.StringSliceVar(&buckets, "bucket", nil, "prompt lengths MIN-MAX=WEIGHT (repeatable), replaces the mixture")
	f.BoolVar(&shortOnly, "short-only", false, "send only the shortest bucket")
	f.IntVar(&cfg.MaxTokens, "max-tokens", cfg.MaxTokens, "tokens of each answer")
	f.StringSliceVar(&cfg.Workspaces, "workspace", nil, "workspace (repeatable)")
	f.IntVar(&cfg.Large, "large-workspaces", cfg.Large, "number of the first workspaces that send four fifths of the requests")
	f.StringSliceVar(&cfg.Classes, "class", nil, "class (repeatable)")
	f.Float64Var(&cfg.WholeShare, "whole-share", 0, "share of requests whose answer is not streamed")
	f.DurationVar(&cfg.Target, "first-token", cfg.Target, "a first token within this time counts as in time")
	f.StringVar(&cfg.PlainService, "plain-service", "", "plain service to call as well")
	f.Float64Var(&cfg.PlainRate, "plain-rate", 10, "calls per second to the plain service")
	f.StringVar(&cfg.Control, "control", "", "control port of the stand-ins, to check that no call ran twice")
	f.Float64Var(&cfg.TimeScale, "time-scale", cfg.TimeScale, "time scale of the stand-ins, printed in the report")
	f.StringVar(&output, "output", "text", "text or json")
	_ = cmd.MarkFlagRequired("server")
	return cmd
}

func setMixture(cfg *loads.Config, buckets []string, shortOnly bool) error {
	if len(buckets) > 0 {
		cfg.Mixture = nil
	}
	for _, text := range buckets {
		b, err := loads.ParseBucket(text)
		if err != nil {
			return err
		}
		cfg.Mixture = append(cfg.Mixture, b)
	}
	if shortOnly {
		cfg.Mixture = cfg.Mixture[:1]
	}
	return nil
}

func writeReport(cmd *cobra.Command, report loads.Report, output string) error {
	if output == "json" {
		return report.WriteJSON(cmd.OutOrStdout())
	}
	return report.WriteText(cmd.OutOrStdout())
}
