package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
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
		RunE: withExitCode(func(*cobra.Command, []string) error {
			logrus.SetFormatter(&logrus.JSONFormatter{})
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			daemon, err := daemons.Start(s)
			if err != nil {
				return err
			}
			signals := make(chan os.Signal, 2)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			<-signals
			return shutDown(daemon, signals)
		}),
	}
	cmd.Flags().StringVar(&path, "config", "", "settings file")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

// shutDown shuts the daemon down gracefully. A second signal interrupts the
// requests that are still in progress; each of them is answered and logged.
func shutDown(daemon *daemons.Daemon, signals <-chan os.Signal) error {
	logrus.Info("stopping: requests at backend servers may run until their deadlines")
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	canceller := &shutdownCanceller{signals: signals, cancel: cancel}
	go canceller.run(ctx)
	err := daemon.Shutdown(ctx)
	if err != nil {
		for _, id := range daemon.Interrupt() {
			logrus.WithField("request-id", id).Warn("request interrupted by a second stop signal")
		}
	}
	daemon.Close()
	return err
}

// shutdownCanceller cancels a graceful shutdown when the next signal arrives.
type shutdownCanceller struct {
	signals <-chan os.Signal
	cancel  context.CancelCauseFunc
}

func (c *shutdownCanceller) run(ctx context.Context) {
	select {
	case <-c.signals:
		c.cancel(errors.New("second stop signal"))
	case <-ctx.Done():
	}
}
