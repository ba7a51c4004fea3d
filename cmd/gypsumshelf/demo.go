package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"gypsumshelf.example/gypsumshelf/loadtests"
)

// demoTimeout bounds the duration of the demo.
const demoTimeout = 50 * time.Second

func newDemo() *cobra.Command {
	cfg := loadtests.DemoConfig{}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Serve a mixture of prompt lengths in one process and print first-token times",
		Args:  cobra.NoArgs,
		RunE: withExitCode(func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), demoTimeout)
			defer cancel()
			return loadtests.Demo(ctx, cmd.OutOrStdout(), cfg)
		}),
	}
	cmd.Flags().IntVar(&cfg.Daemons, "daemons", 3, "number of daemons")
	cmd.Flags().IntVar(&cfg.Engines, "engines", 6, "number of stand-in engines")
	cmd.Flags().IntVar(&cfg.Rounds, "rounds", 4, "requests of each length for each daemon")
	return cmd
}
