package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"gypsumshelf.example/gypsumshelf/daemons"
	"gypsumshelf.example/gypsumshelf/settings"
)

func newServe() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run one daemon",
		Args:  cobra.NoArgs,
		RunE: run(func(*cobra.Command, []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			instance, err := daemons.Start(s)
			if err != nil {
				return err
			}
			signals := make(chan os.Signal, 2)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			<-signals
			instance.Close()
			return nil
		}),
	}
	cmd.Flags().StringVar(&path, "config", "", "settings file")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}
