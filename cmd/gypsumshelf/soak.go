package main

import (
	"fmt"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"gypsumshelf.example/gypsumshelf/platform/trials"
)

func newSoak() *cobra.Command {
	var seed uint64
	var previous string
	var seconds, runs, controls, entries int
	var planned bool
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run daemons as processes on this machine, inject faults and check what callers see",
		Args:  cobra.NoArgs,
		RunE: withExitCode(func(cmd *cobra.Command, _ []string) error {
			binary, err := os.Executable()
			if err != nil {
				return err
			}
			log := logrus.New()
			log.SetOutput(cmd.ErrOrStderr())
			log.SetFormatter(&logrus.JSONFormatter{})
			failed := 0
			for i := range uint64(runs) {
				folder, err := os.MkdirTemp("", "gypsumshelf-soak-")
				if err != nil {
					return err
				}
				result, err := trials.Run(cmd.Context(), trials.Config{
					Seed: seed + i, Duration: time.Duration(seconds) * time.Second, Binary: binary, Folder: folder, Log: logrus.NewEntry(log),
					Controls: controls, Entries: entries, Previous: previous, Planned: planned,
				})
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "seed %d: %d requests, %d served, %d violations\n", seed+i, result.Sent, result.Served, len(result.Violations))
				for _, line := range result.Census {
					fmt.Fprintf(cmd.OutOrStdout(), "  stops: %s\n", line)
				}
				for _, violation := range result.Violations {
					fmt.Fprintf(cmd.OutOrStdout(), "  %s\n", violation)
				}
				if len(result.Violations) > 0 {
					failed++
					fmt.Fprintf(cmd.OutOrStdout(), "  logs are in %s\n", folder)
				}
			}
			if failed > 0 {
				return fmt.Errorf("%d of %d soak runs had violations", failed, runs)
			}
			return nil
		}),
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the first run")
	cmd.Flags().IntVar(&seconds, "seconds", 20, "seconds of fault injection in each run")
	cmd.Flags().IntVar(&runs, "runs", 1, "number of runs; each uses the next seed")
	cmd.Flags().IntVar(&controls, "controls", 0, "number of control daemons, up to 5; 0 for 3")
	cmd.Flags().IntVar(&entries, "entries", 0, "number of entry daemons; 0 for 2")
	cmd.Flags().StringVar(&previous, "previous", "", "program of an earlier build with which all daemons start; they are replaced by this one in the middle of the faults")
	cmd.Flags().BoolVar(&planned, "planned", false, "only stop daemons as planned, and check that no request is cut")
	return cmd
}
