package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"gypsumshelf.example/gypsumshelf/loadtests"
)

func newLoad() *cobra.Command {
	cfg := loadtests.DefaultConfig()
	var buckets []string
	var shortOnly bool
	var output string
	cmd := &cobra.Command{
		Use:   "load --server IP:PORT",
		Short: "Send open-loop load to running daemons and check every answer",
		Long: "Send load to running daemons whose backend servers are stand-ins. Requests are sent without\n" +
			"waiting for earlier answers; latency counts from the intended send time. The exit status is 1\n" +
			"when an answer was wrong or a call to a plain service ran twice.",
		Args: cobra.NoArgs,
		RunE: withExitCode(func(cmd *cobra.Command, _ []string) error {
			if output != "text" && output != "json" {
				return fmt.Errorf("flag --output is %q, want text or json", output)
			}
			if err := setMixture(&cfg, buckets, shortOnly); err != nil {
				return err
			}
			report, err := loadtests.Run(cmd.Context(), cfg)
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
	f.StringSliceVar(&cfg.Addresses, "server", nil, "IP:PORT of a daemon's listener for callers (repeatable)")
	f.StringVar(&cfg.Model, "model", cfg.Model, "model name")
	f.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of the arrivals, lengths and prompts")
	f.Float64Var(&cfg.Rate, "rate", cfg.Rate, "requests per second")
	f.DurationVar(&cfg.Duration, "duration", cfg.Duration, "time during which requests are sent")
	f.DurationVar(&cfg.Grace, "grace", cfg.Grace, "time to wait for answers after the last request is sent")
	f.IntVar(&cfg.MaxRequests, "max-requests", cfg.MaxRequests, "maximum number of requests")
	f.IntVar(&cfg.MaxOutstanding, "max-outstanding", cfg.MaxOutstanding, "maximum number of requests without an answer; requests above it are counted but not sent")
	f.StringSliceVar(&buckets, "bucket", nil, "bucket of prompt lengths, MIN-MAX=WEIGHT (repeatable); replaces the default mixture")
	f.BoolVar(&shortOnly, "short-only", false, "send only requests of the first bucket, the shortest of the default mixture")
	f.IntVar(&cfg.MaxTokens, "max-tokens", cfg.MaxTokens, "length of each answer in tokens")
	f.StringSliceVar(&cfg.Workspaces, "workspace", nil, "workspace (repeatable)")
	f.IntVar(&cfg.LargeWorkspaces, "large-workspaces", cfg.LargeWorkspaces, "number of workspaces, the first of the list, that send four fifths of the requests")
	f.StringSliceVar(&cfg.Classes, "class", nil, "class (repeatable)")
	f.Float64Var(&cfg.NonStreamingShare, "whole-share", 0, "fraction of requests whose answer is not streamed")
	f.DurationVar(&cfg.FirstTokenTarget, "first-token", cfg.FirstTokenTarget, "target for the time to first token; answers that meet it are counted as in time")
	f.StringVar(&cfg.PlainService, "plain-service", "", "name of a plain service to call as well")
	f.Float64Var(&cfg.PlainRate, "plain-rate", 10, "calls per second to the plain service")
	f.StringVar(&cfg.ControlAddress, "control", "", "IP:PORT of the control interface of the stand-ins, to check that no call ran twice")
	f.Float64Var(&cfg.TimeScale, "time-scale", cfg.TimeScale, "time scale of the stand-ins, printed in the report")
	f.StringVar(&output, "output", "text", "text or json")
	_ = cmd.MarkFlagRequired("server")
	return cmd
}

func setMixture(cfg *loadtests.Config, buckets []string, shortOnly bool) error {
	if len(buckets) > 0 {
		cfg.Mixture = nil
	}
	for _, text := range buckets {
		b, err := loadtests.ParseBucket(text)
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

func writeReport(cmd *cobra.Command, report loadtests.Report, output string) error {
	if output == "json" {
		return report.WriteJSON(cmd.OutOrStdout())
	}
	return report.WriteText(cmd.OutOrStdout())
}
