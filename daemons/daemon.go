package daemons

import (
	"context"
	"encoding/gob"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/announcements"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/configs"
	"gypsumshelf.example/gypsumshelf/disks"
	"gypsumshelf.example/gypsumshelf/engines"
	"gypsumshelf.example/gypsumshelf/entries"
	"gypsumshelf.example/gypsumshelf/leases"
	"gypsumshelf.example/gypsumshelf/listeners"
	"gypsumshelf.example/gypsumshelf/logs"
	"gypsumshelf.example/gypsumshelf/metrics"
	"gypsumshelf.example/gypsumshelf/peers"
	"gypsumshelf.example/gypsumshelf/placements"
	"gypsumshelf.example/gypsumshelf/replicas"
	"gypsumshelf.example/gypsumshelf/routes"
	"gypsumshelf.example/gypsumshelf/servers"
	"gypsumshelf.example/gypsumshelf/settings"
	"gypsumshelf.example/gypsumshelf/shares"
	"gypsumshelf.example/gypsumshelf/timers"
	"gypsumshelf.example/gypsumshelf/traces"
)

const (
	tickPeriod            = 50 * time.Millisecond
	endedRequestRetention = 10 * time.Minute // how long an ended request can be explained
	readHeaderTimeout     = 10 * time.Second
	traceFlushTimeout     = 2 * time.Second // for the export of the last spans
)

func init() {
	gob.Register(gypsumshelf.Announcement{})
	gob.Register(configs.Proposal{})
	gob.Register(attempts.Question{})
	gob.Register(attempts.Explanation{})
}

// Daemon is one running daemon with all its listeners.
type Daemon struct {
	settings  settings.Settings
	loop      *EventLoop
	timers    *timers.Service
	links     *peers.Links
	servers   *listeners.Servers
	handler   *entries.Handler
	canceller *engines.Canceller
	log       *logrus.Entry
	engines   *engines.Client
	traces    *traces.Provider
	storage   *storage
	metrics   *metrics.Recorder
	decisions pendingReplies[configs.CommandDecided]

	explanations pendingReplies[[]attempts.Note]
}

// Start opens the listeners of a daemon and runs it.
func Start(s settings.Settings) (*Daemon, error) {
	return start(s, func(*entries.Config) {})
}

// start is Start with a hook by which tests modify the configuration of the
// caller handler.
func start(s settings.Settings, modifyEntries func(*entries.Config)) (*Daemon, error) {
	return startOn(nil, s, modifyEntries)
}

// startOn is start with the function that opens the files of the data folder, nil for
// os.OpenFile.
func startOn(open disks.OpenFile, s settings.Settings, modifyEntries func(*entries.Config)) (*Daemon, error) {
	policy, err := routes.New(s.Routing.Policy)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, timers: timers.New(timers.Config{}), metrics: metrics.New()}
	log, err := logs.New(logs.Config{Writer: os.Stderr, Level: s.LogLevel, Daemon: s.Daemon})
	if err != nil {
		return nil, err
	}
	d.log, d.servers = log, listeners.NewServers(log)
	d.traces, err = traces.New(context.Background(), traces.Config{
		Endpoint: s.Traces.Endpoint, File: s.Traces.File, Deployment: s.Deployment, Daemon: s.Daemon,
	})
	if err != nil {
		return nil, err
	}
	opening, err := d.openStorage(open)
	if err != nil {
		return nil, err
	}
	d.loop = NewEventLoop(EventLoopConfig{
		Reducer: ReducerConfig{
			Daemon: s.Daemon, Policy: policy,
			Servers: servers.Config{Expiry: s.Limits.ServerExpiry.Std()},
			Shares:  d.shareConfig(), Started: d.timers.Now(),
			Attempts: attempts.Config{MaxAttempts: s.Limits.MaxAttempts, RecordTTL: endedRequestRetention},
			Session:  uuid.NewString(),
			Replica:  replicaConfig(s, opening),
			Lease:    leases.Config{Duration: s.Limits.FreshnessLease.Std()},

			LoadsPerMinute: s.Limits.LoadsPerMinute,
		},
		Timers: d.timers, TickPeriod: tickPeriod,
		Observers: []Observer{d.metrics, logs.NewObserver(logs.ObserverConfig{Log: log, Revision: d.revision})},
	})
	if opening == nil {
		d.loop.reducer.log.fail()
	}
	d.timers.Subscribe(timers.PauseCheckPeriod, (&pauseLog{log: log}).check)
	d.registerGauges()
	if err := d.openPeers(); err != nil {
		d.closeStorage()
		return nil, err
	}
	d.openCallerHandler(modifyEntries)
	RegisterDriver(d.loop, func(e servers.Send) { d.links.Send(e.To, e.Payload) })
	RegisterDriver(d.loop, func(e shares.Send) { d.links.Send(e.To, e.Payload) })
	RegisterDriver(d.loop, func(e configs.CommandDecided) { d.decisions.deliver(e.Ticket, e) })
	RegisterDriver(d.loop, d.sendProposal)
	RegisterDriver(d.loop, d.sendExplanation)
	d.registerLogDrivers()
	d.registerPlacementDrivers()
	d.loop.Run()
	if d.storage != nil {
		d.storage.folder.Run()
	}
	if err := d.openHTTP(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) openPeers() error {
	listener, err := net.Listen("tcp", d.settings.Listen.Peers)
	if err != nil {
		return merry.Prepend(err, "peer listener")
	}
	addresses := map[gypsumshelf.DaemonID]string{}
	for _, p := range d.settings.Peers {
		if p.Daemon != d.settings.Daemon {
			addresses[p.Daemon] = p.Address
		}
	}
	d.links = peers.New(peers.Config{
		Deployment: d.settings.Deployment, Daemon: d.settings.Daemon,
		Peers: addresses, Receive: d.handlePeerMessage,
	}, listener)
	d.metrics.Counter("gypsumshelf_peer_sent_bytes_total", "Bytes sent to other daemons.", func() float64 {
		sent, _ := d.links.Bytes()
		return float64(sent)
	})
	d.metrics.Counter("gypsumshelf_peer_received_bytes_total", "Bytes received from other daemons.", func() float64 {
		_, received := d.links.Bytes()
		return float64(received)
	})
	return nil
}

func (d *Daemon) openHTTP() error {
	for _, l := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", d.settings.Listen.Callers, d.traces.Handler("caller", d.handler)},
		{"backend-servers", d.settings.Listen.BackendServers, announcements.New(announcements.Config{
			Submit: d.loop.Submit, AllowedNetworks: d.settings.AllowedNetworks,
		})},
		{"operators", d.settings.Listen.Operators, d.traces.Handler("operator", d.operatorHandler())},
		{"metrics", d.settings.Listen.Metrics, d.metrics.Handler()},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return merry.Prependf(err, "listener for %s", l.name)
		}
		d.servers.Start(listener, &http.Server{Handler: l.handler, ReadHeaderTimeout: readHeaderTimeout})
	}
	return nil
}

// Close stops the daemon without waiting for requests in progress. Without Shutdown or
// Interrupt before, callers see what they see of a crash.
func (d *Daemon) Close() {
	d.servers.Close()
	d.links.Close()
	d.loop.Close()
	d.canceller.Close()
	d.engines.Close()
	d.timers.Close()
	d.closeStorage()
	ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	_ = d.traces.Close(ctx)
}

func (d *Daemon) handlePeerMessage(e peers.Envelope) {
	switch payload := e.Payload.(type) {
	case nil:
		d.loop.Submit(shares.DaemonHeard{From: e.From})
	case servers.Notice, servers.Pulses, servers.Want:
		d.loop.Submit(servers.Received{From: e.From, Payload: payload})
	case shares.Claim, shares.Promise, shares.Resign, shares.Leave, shares.Request, shares.Grant:
		d.loop.Submit(shares.Received{From: e.From, Payload: payload})
	case replicas.Message:
		d.handleLogMessage(e, payload)
	case placements.Report:
		d.loop.Submit(placements.Reported{From: e.From, Report: payload})
	case configs.Proposal:
		d.loop.Submit(configs.ProposalForwarded{Proposal: payload})
	case attempts.Question:
		d.loop.Submit(attempts.Asked{From: e.From, Question: payload})
	case attempts.Explanation:
		d.explanations.deliver(payload.Ticket, payload.Notes)
	case attempts.Suspicion:
		d.loop.Submit(attempts.Suspected{Suspicion: payload})
	case attempts.Quarantine:
		d.loop.Submit(attempts.Quarantined(payload))
	}
}

// shareConfig returns how the daemons of the settings divide the limits of the
// backend servers. It is empty for a single daemon, which uses them whole.
func (d *Daemon) shareConfig() shares.Config {
	var daemons, voters []gypsumshelf.DaemonID
	for _, p := range d.settings.Peers {
		daemons = append(daemons, p.Daemon)
	}
	for _, v := range d.settings.Voters {
		voters = append(voters, gypsumshelf.DaemonID(v))
	}
	if len(daemons) < 2 {
		return shares.Config{}
	}
	if len(voters) == 0 {
		voters = daemons
	}
	cfg := shares.DefaultConfig(len(daemons))
	cfg.Daemon, cfg.Daemons = d.settings.Daemon, daemons
	cfg.Voters = func() []gypsumshelf.DaemonID { return voters }
	return cfg
}
