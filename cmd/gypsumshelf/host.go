package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"gypsumshelf.example/gypsumshelf/logs"
	"gypsumshelf.example/gypsumshelf/platform"
	"gypsumshelf.example/gypsumshelf/settings"
)

// settingsVariable is the environment variable with the default of --config.
const settingsVariable = "GYPSUMSHELF_SETTINGS"

func newHost() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "host [--config FILE]",
		Short: "Run the daemon of a host on the users' platform, in the role given by its settings",
		Args:  cobra.NoArgs,
		RunE:  withExitCode(func(*cobra.Command, []string) error { return runHost(path) }),
	}
	cmd.Flags().StringVar(&path, "config", os.Getenv(settingsVariable), "settings file; the default is the value of "+settingsVariable)
	return cmd
}

// heapMemoryShare is the part of the process's memory that the Go runtime may use
// before it collects garbage more often. The rest is for the buffers of sockets.
const heapMemoryShare = 0.7

// runHost runs a daemon until SIGTERM or SIGINT. It reloads the settings on
// SIGHUP and when the settings file changes.
func runHost(path string) error {
	watch := settings.NewWatcher(path) // before the first load, so that no change is missed
	s, err := settings.LoadHost(path)
	if err != nil {
		return err
	}
	logWriter := logs.NewAsyncWriter(os.Stdout)
	defer logWriter.Close()
	log, err := logs.New(logs.Config{Writer: logWriter, Level: s.LogLevel, Daemon: s.Daemon})
	if err != nil {
		return err
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapMemoryShare * float64(s.MemoryBytes())))
	}
	signals := notifyHost()
	host, err := platform.Start(platform.Config{Settings: s, Log: log, DroppedLines: logWriter.Dropped})
	if err != nil {
		log.WithError(err).Error("the daemon could not start")
		return err
	}
	lastError := ""
	for {
		select {
		case sig := <-signals.stop:
			log.WithField("signal", sig.String()).Info("stopping")
			host.Stop()
			log.Info("stopped")
			return nil
		case <-signals.reload:
		case <-watch.Ticks():
			if !watch.Changed() {
				continue
			}
		}
		next, err := settings.LoadHost(path)
		if err != nil {
			if watch.Retry(); err.Error() != lastError {
				log.WithError(err).Error("changed settings cannot be loaded; the previous settings stay in force until they can")
			}
			lastError = err.Error()
			continue
		}
		lastError = ""
		host.Reload(next)
		log.WithField("seeds", next.Seeds).Info("settings reloaded")
	}
}

// hostSignals receives signals. A stop has a channel of its own, since package os/signal
// drops signals for which there is no room.
type hostSignals struct {
	stop   chan os.Signal
	reload chan os.Signal
}

func notifyHost() hostSignals {
	s := hostSignals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}
