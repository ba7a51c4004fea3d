package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"gypsumshelf.example/gypsumshelf/standins"
)

const (
	// announcePeriod is the time between announcements of a stand-in.
	announcePeriod = 500 * time.Millisecond
	// drainTimeout bounds the wait for requests in progress after SIGTERM.
	drainTimeout = 30 * time.Second
)

func newStandIns() *cobra.Command {
	cfg := standins.FleetConfig{AnnouncePeriod: announcePeriod}
	var control string
	cmd := &cobra.Command{
		Use:   "stand-ins --daemon IP:PORT",
		Short: "Run stand-in backend servers",
		Long: "Run stand-in engines and plain services that announce themselves. On SIGTERM they announce\n" +
			"that they are leaving and exit once their requests have ended. Times and rates are those of\n" +
			"the simulated engines; the time scale speeds them up.",
		Args: cobra.NoArgs,
		RunE: withExitCode(func(cmd *cobra.Command, _ []string) error { return runStandIns(cmd, cfg, control) }),
	}
	f := cmd.Flags()
	f.StringSliceVar(&cfg.DaemonAddresses, "daemon", nil, "IP:PORT of a daemon's listener for backend servers (repeatable)")
	f.StringSliceVar(&cfg.DataCentres, "data-centre", []string{"wien-nord", "linz-hafen", "graz-sued"}, "data centres, assigned to the stand-ins in turn")
	f.StringVar(&cfg.Service, "service", "federkiel", "service name of the engines")
	f.IntVar(&cfg.Engines, "engines", 6, "number of stand-in engines")
	f.StringVar(&cfg.PlainService, "plain-service", "auftragsbuch", "name of the plain service")
	f.IntVar(&cfg.PlainServers, "plain-servers", 0, "number of stand-ins of the plain service")
	f.DurationVar(&cfg.PlainCallTime, "plain-time", 2*time.Millisecond, "duration of a call to the plain service")
	f.DurationVar(&cfg.RestartAfter, "restart-after", time.Second, "time from a crash to the restart")
	f.IntVar(&cfg.IgnoreFencingEvery, "ignore-fencing", 0, "every n-th engine ignores fencing numbers, 0 for none")
	f.StringVar(&control, "control", "127.0.0.1:0", "IP:PORT of the control interface")
	engineFlags(cmd, &cfg.Engine)
	_ = cmd.MarkFlagRequired("daemon")
	return cmd
}

func engineFlags(cmd *cobra.Command, e *standins.EngineConfig) {
	f := cmd.Flags()
	f.StringVar(&e.Model, "model", "quill", "model name")
	f.Float64Var(&e.TimeScale, "time-scale", 1, "factor by which the stand-ins are faster than the engines that they simulate")
	f.Float64Var(&e.PrefillRate, "prefill-rate", 1e6, "prompt tokens per second of each engine")
	f.DurationVar(&e.TokenInterval, "token-interval", time.Millisecond, "time between generated tokens")
	f.IntVar(&e.MaxBatch, "max-batch", 0, "concurrent streams that an engine serves at full speed, 0 for no limit")
	f.IntVar(&e.MemoryTokens, "memory-tokens", 1_500_000, "memory of each engine, in tokens")
	f.IntVar(&e.CacheTokens, "cache-tokens", 0, "prompt tokens in the prefix cache of each engine")
	f.DurationVar(&e.CacheDelay, "cache-delay", time.Second, "delay of cache events")
	f.IntVar(&e.CacheGapEvery, "cache-gap-every", 10, "every n-th cache event is lost, 0 for none")
	f.DurationVar(&e.LoadLag, "load-lag", 0, "delay of the reported load")
	f.IntVar(&e.ColdMaxRequests, "warmup-limit", 0, "concurrent requests above which a cold engine fails all of them, 0 for no limit")
	f.IntVar(&e.RequestsUntilWarm, "warmup-work", 0, "completed requests after which an engine is warm")
	f.Float64Var(&e.ColdSlowdown, "cold-penalty", 1, "factor by which a cold engine is slower")
	f.StringVar(&e.CrashMark, "crash-mark", "", "text that crashes an engine when a prompt contains it")
}

func runStandIns(cmd *cobra.Command, cfg standins.FleetConfig, controlAddress string) error {
	listener, err := net.Listen("tcp", controlAddress)
	if err != nil {
		return merry.Prepend(err, "control listener")
	}
	fleet, err := standins.NewFleet(cfg)
	if err != nil {
		return err
	}
	defer fleet.Close()
	controlHTTP := &controlServer{server: &http.Server{Handler: standins.NewControl(fleet)}, listener: listener}
	defer controlHTTP.server.Close()
	go controlHTTP.run()
	fmt.Fprintf(cmd.OutOrStdout(), "%d engines, %d plain servers, time scale %g, control %s\n",
		cfg.Engines, cfg.PlainServers, cfg.Engine.TimeScale, listener.Addr())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	if remaining := fleet.Leave(drainTimeout); remaining > 0 {
		return fmt.Errorf("%d requests were still in progress %s after the stop signal", remaining, drainTimeout)
	}
	return nil
}

type controlServer struct {
	server   *http.Server
	listener net.Listener
}

func (s *controlServer) run() { _ = s.server.Serve(s.listener) }
