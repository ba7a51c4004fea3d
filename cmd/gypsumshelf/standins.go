package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"gypsumshelf.example/gypsumshelf/standins"
)

// announcePeriod is the time between two announcements of a stand-in.
const announcePeriod = 500 * time.Millisecond

func newStandIns() *cobra.Command {
	cfg := standins.FleetConfig{Period: announcePeriod}
	cmd := &cobra.Command{
		Use:   "stand-ins --daemon IP:PORT",
		Short: "Run stand-in backend servers",
		Args:  cobra.NoArgs,
		RunE: run(func(*cobra.Command, []string) error {
			fleet, err := standins.NewFleet(cfg)
			if err != nil {
				return err
			}
			defer fleet.Close()
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			<-signals
			return nil
		}),
	}
	f := cmd.Flags()
	f.StringSliceVar(&cfg.Daemons, "daemon", nil, "listener for backend servers of a daemon (repeatable)")
	f.StringSliceVar(&cfg.DataCentres, "data-centre", []string{"wien-nord", "linz-hafen", "graz-sued"}, "data centres of the stand-ins, in turn")
	f.StringVar(&cfg.Service, "service", "federkiel", "service name")
	f.IntVar(&cfg.Engines, "engines", 6, "number of stand-in engines")
	f.StringVar(&cfg.Engine.Model, "model", "quill", "model name")
	f.Float64Var(&cfg.Engine.PrefillRate, "prefill-rate", 1e6, "prompt tokens per second of each engine")
	f.DurationVar(&cfg.Engine.TokenInterval, "token-interval", time.Millisecond, "time between generated tokens")
	f.IntVar(&cfg.Engine.MemoryTokens, "memory-tokens", 1_500_000, "memory of each engine in tokens")
	_ = cmd.MarkFlagRequired("daemon")
	return cmd
}
