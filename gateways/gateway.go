// Package gateways is the entry daemon: it takes callers' requests and carries
// them to backend servers. It keeps no durable state.
package gateways

import (
	"context"
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/controls"
	"gypsumshelf.example/gypsumshelf/desks"
	"gypsumshelf.example/gypsumshelf/directories"
	"gypsumshelf.example/gypsumshelf/forwards"
	"gypsumshelf.example/gypsumshelf/timers"
)

const (
	// takingTime is the time after a stop signal for which requests are still
	// taken: the load balancer needs two misses, a second apart, to notice.
	acceptAfterStop = 2500 * time.Millisecond
	// stopMargin is left of the grace period when the last requests are cut off.
	stopMargin = 400 * time.Millisecond
	// stopPoll is the period at which a stopping daemon looks for requests in progress.
	drainPollPeriod = 20 * time.Millisecond
	// entriesLife is the time for which the highest number of entry daemons that
	// a control daemon knew of is believed.
	entryCountTTL = 5 * time.Second
	// leastEntries is the number of entry daemons of the smallest deployment.
	minEntryDaemons = 4
	// Limits on callers before the first catalog is known.
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// headerSlack is what net/http adds to its limit by itself, which is taken
	// off so that the limit of the catalog holds.
	headerSlack = 4096
)

// Config configures a Gateway.
type Config struct {
	Daemon     gypsumshelf.DaemonID
	DataCentre string
	Callers    net.Listener
	Seeds      []string // addresses of directories
	Decode     catalogs.Decoder
	Protocol   forwards.Protocol
	Retries    forwards.Retries
	Recorder   forwards.Recorder
	StaleState time.Duration // time without a control daemon after which requests are refused, 0 for never
	Log        *logrus.Entry
	Timers     *timers.Service
}

// Gateway is a running entry daemon.
type Gateway struct {
	cfg           Config
	fleet         *forwards.Fleet
	forwarder     *forwards.Forwarder
	localDesk     *desks.Desk
	deskClient    *desks.Client
	subscriber    *directories.Subscriber
	server        *http.Server
	stopping      atomic.Bool
	lastViewNanos atomic.Int64 // last view of a control daemon, in ns since started
	started       time.Time
	wg            sync.WaitGroup

	mu           sync.Mutex
	state        catalogs.State
	entryCount   int       // daemons that take requests
	entryCountAt time.Time // when a control daemon last knew of as many
}

// Start starts an entry daemon.
func Start(cfg Config) *Gateway {
	g := &Gateway{cfg: cfg, started: time.Now(), fleet: forwards.NewFleet(cfg.DataCentre, cfg.Timers.Now)}
	g.localDesk = desks.New(desks.Config{Log: cfg.Log, Timers: cfg.Timers, Reporter: cfg.Protocol, Local: true})
	g.subscriber = directories.NewSubscriber(directories.SubscriberConfig{
		Daemon: cfg.Daemon, Entry: true, Seeds: cfg.Seeds, Log: cfg.Log,
		Index: g.stateIndex, Install: g.installState, Receive: g.receiveView,
	})
	g.deskClient = desks.NewClient(desks.ClientConfig{Feeds: g.subscriber, Local: g.localDesk, Log: cfg.Log})
	g.forwarder = forwards.New(forwards.Config{
		Daemon: cfg.Daemon, DataCentre: cfg.DataCentre, Protocol: cfg.Protocol, Fleet: g.fleet, Placer: g.deskClient,
		Retries: cfg.Retries, StateFresh: g.stateFresh, Log: cfg.Log, Recorder: cfg.Recorder,
	})
	g.server = &http.Server{
		Handler: g.forwarder, MaxHeaderBytes: defaultHeaderBytes - headerSlack,
		ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		ErrorLog: stdlog.New(cfg.Log.WriterLevel(logrus.DebugLevel), "", 0),
	}
	cfg.Timers.Subscribe(forwards.PauseCheckPeriod, g.forwarder.CheckPause)
	g.subscriber.Run()
	g.wg.Add(1)
	go g.run()
	return g
}

func (g *Gateway) run() {
	defer g.wg.Done()
	if err := g.server.Serve(g.cfg.Callers); !errors.Is(err, http.ErrServerClosed) {
		g.cfg.Log.WithError(err).Error("requests are no longer accepted")
	}
}

// Reseed replaces the addresses that are always asked for other daemons.
func (g *Gateway) Reseed(seeds []string) { g.subscriber.Reseed(seeds) }

func (g *Gateway) stateIndex() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Index
}

// install puts a newer state in force. A state never goes back within the life
// of the process.
func (g *Gateway) installState(s catalogs.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.Index <= g.state.Index {
		return
	}
	changed := s.Version != g.state.Version || g.state.Document == nil
	g.state = s
	if changed && s.Document != nil {
		c, err := g.cfg.Decode(s.Document)
		if err != nil {
			g.cfg.Log.WithError(err).WithField("version", s.Version).Error("the catalog in force cannot be read")
			return
		}
		g.forwarder.SetCatalog(c)
	}
	g.fleet.SetOutOfService(s.Out)
	g.updateLocalDesk()
	g.cfg.Log.WithFields(logrus.Fields{"index": s.Index, "version": s.Version, "out": s.Out}).Info("state in force")
}

// hear takes a view of a control daemon.
func (g *Gateway) receiveView(_ string, v directories.View) {
	g.lastViewNanos.Store(int64(time.Since(g.started)))
	g.deskClient.SetLeader(v.Leader, v.Term)
	g.updateEntryCount(v.Entries)
	if len(v.Records) == 0 || !g.fleet.Merge(v.Records) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateLocalDesk()
}

// shareRetries divides the budget of second attempts among the entry daemons.
// Control daemons that were cut off know of fewer.
func (g *Gateway) updateEntryCount(entries int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Timers.Now()
	if entries < g.entryCount && now.Sub(g.entryCountAt) < entryCountTTL {
		return
	}
	if entries != g.entryCount {
		g.forwarder.SetDaemonCount(max(minEntryDaemons, entries))
		g.localDesk.SetDesks(entries)
	}
	g.entryCount, g.entryCountAt = entries, now
}

// updateLocal tells the own desk which engines may get work; mu is held.
func (g *Gateway) updateLocalDesk() {
	c := g.forwarder.Catalog()
	if c == nil {
		return
	}
	records, out := g.fleet.Records()
	g.localDesk.Update(controls.Engines(c, records, out))
}

// fresh reports whether the state may still be used. By default it may be used
// for good: callers lose nothing by it, and the bounds on changes hold for
// daemons in touch with the control daemons.
func (g *Gateway) stateFresh() bool {
	return g.cfg.StaleState == 0 || time.Since(g.started)-time.Duration(g.lastViewNanos.Load()) <= g.cfg.StaleState
}

// Ready reports whether the daemon wants new connections.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.forwarder.Catalog() != nil && g.stateFresh()
}

// Stop ends the daemon within a grace period without cutting off requests that
// can end in it.
func (g *Gateway) Stop(grace time.Duration) {
	start := time.Now()
	g.stopping.Store(true)
	g.forwarder.DisableKeepAlives()
	time.Sleep(min(acceptAfterStop, grace/2))
	g.forwarder.DrainUntil(start.Add(grace - stopMargin))
	for time.Since(start) < grace-stopMargin && g.forwarder.ActiveRequests() > 0 {
		time.Sleep(drainPollPeriod)
	}
	g.cfg.Log.WithField("in-progress", g.forwarder.ActiveRequests()).Info("stopped taking requests; connections are closed")
	ctx, cancel := context.WithTimeout(context.Background(), stopMargin/2)
	defer cancel()
	if err := g.server.Shutdown(ctx); err != nil {
		g.cfg.Log.WithError(err).Warn("requests are cut off by the end of the grace period")
		g.server.Close()
	}
	g.subscriber.Close()
	g.deskClient.Close()
	g.wg.Wait()
}
