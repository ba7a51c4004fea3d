package controls

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/desks"
	"gypsumshelf.example/gypsumshelf/directories"
	"gypsumshelf.example/gypsumshelf/peers"
	"gypsumshelf.example/gypsumshelf/replicas"
	"gypsumshelf.example/gypsumshelf/timers"
)

const (
	// raftTick is the interval of the replicated log's timer events, a tenth of
	// the shortest election timeout.
	raftTick = 50 * time.Millisecond
	// eventBacklog is the capacity of the reducer's event queue.
	eventBacklog = 1024
	// proposeTimeout bounds the wait for the commit of a command. It is below
	// 1 s, after which the operator asks another daemon.
	proposeTimeout = 900 * time.Millisecond
	// readTimeout bounds a read in the same way.
	readTimeout = 700 * time.Millisecond
)

// Config configures a Daemon.
type Config struct {
	Daemon     gypsumshelf.DaemonID // address of the peer listener
	DataCentre string
	DataFolder string
	Seeds      []string // directory addresses that are always contacted
	// FirstStart is set when the whole deployment starts with empty disks. The
	// daemons at the seed addresses then become the first voters.
	FirstStart bool
	Peers      net.Listener
	Directory  net.Listener
	Decode     catalogs.Decoder
	Reporter   desks.Reporter
	Silence    time.Duration // time without an announcement after which a backend server counts as silent
	Log        *logrus.Entry
	Timers     *timers.Service
}

// Daemon is a running control daemon.
type Daemon struct {
	cfg       Config
	id        replicas.NodeID
	reducer   *Reducer
	storage   *storage
	links     *peers.Links
	publisher *directories.Publisher
	server    *directories.Server
	feeds     *directories.Subscriber
	registry  *registry
	desk      *desks.Desk

	events chan any
	stop   chan struct{}
	wg     sync.WaitGroup

	tickets atomic.Uint64
	leader  atomic.Pointer[Lead]
	mu      sync.Mutex
	waiting map[Ticket]chan Answer
}

// Start starts a control daemon.
func Start(cfg Config) (*Daemon, error) {
	d := &Daemon{
		cfg: cfg, publisher: directories.NewPublisher(), events: make(chan any, eventBacklog),
		stop: make(chan struct{}), waiting: map[Ticket]chan Answer{},
	}
	d.storage = &storage{folder: cfg.DataFolder, log: cfg.Log, submit: d.submit}
	logConfig, err := d.storage.open(d.logConfig())
	if err != nil {
		return nil, err
	}
	d.id = logConfig.ID
	d.reducer = NewReducer(logConfig)
	d.leader.Store(&Lead{})
	d.desk = desks.New(desks.Config{Log: cfg.Log, Reporter: cfg.Reporter, Timers: cfg.Timers})
	d.registry = newRegistry(cfg, d.publisher, d.desk)
	d.links = peers.New(peers.Config{Daemon: cfg.Daemon, Open: true, Receive: d.receive}, cfg.Peers)
	d.server, err = directories.NewServer(cfg.Directory, map[string]any{
		directories.ServiceName: d.publisher, desks.ServiceName: desks.NewService(d.desk), ServiceName: &Service{daemon: d},
	})
	if err != nil {
		return nil, err
	}
	d.feeds = directories.NewSubscriber(directories.SubscriberConfig{
		Daemon: cfg.Daemon, Self: cfg.Directory.Addr().String(), Seeds: cfg.Seeds, Log: cfg.Log, Receive: d.hear,
	})
	d.storage.run()
	d.wg.Add(1)
	go d.loop()
	d.feeds.Run()
	cfg.Timers.Subscribe(raftTick, func(time.Time) { d.submit(Ticked{}) })
	cfg.Timers.Subscribe(registryTick, d.registry.tick)
	return d, nil
}

// logConfig returns the configuration of the replicated log without the values
// that are recovered from the data folder.
func (d *Daemon) logConfig() replicas.Config {
	var seeds []gypsumshelf.DaemonID
	for _, s := range d.cfg.Seeds {
		seeds = append(seeds, peerOf(s))
	}
	cfg := replicas.Config{
		ID: replicas.NodeID{Daemon: d.cfg.Daemon}, DataCentre: d.cfg.DataCentre, Durable: true, Peers: seeds,
		ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval, ReplaceAfter: replaceAfter,
		Voters: replicas.MaxVoters, Retain: compactEntries,
	}
	if d.cfg.FirstStart {
		cfg.Founders = seeds
	}
	return cfg
}

// ID returns the node ID, including the incarnation, with which the daemon
// started.
func (d *Daemon) ID() replicas.NodeID { return d.id }

// Leads reports whether this daemon is the leader of the replicated log.
func (d *Daemon) Leads() bool { return d.leader.Load().Self }

// Voters returns the number of voters in the membership that this daemon knows.
func (d *Daemon) Voters() int { return len(d.leader.Load().Members.Voters()) }

// Reseed replaces the directory addresses that are always contacted.
func (d *Daemon) Reseed(seeds []string) { d.feeds.Reseed(seeds) }

func (d *Daemon) submit(event any) {
	select {
	case d.events <- event:
	case <-d.stop:
	}
}

func (d *Daemon) loop() {
	defer d.wg.Done()
	for {
		select {
		case event := <-d.events:
			for _, effect := range d.reducer.Step(d.cfg.Timers.Now(), event) {
				d.perform(effect)
			}
		case <-d.stop:
			return
		}
	}
}

func (d *Daemon) perform(effect any) {
	switch e := effect.(type) {
	case Send:
		d.links.Send(e.Message.To.Daemon, e.Message)
	case Write:
		d.storage.write(e.Persist)
	case Renew:
		d.storage.renew(d.logConfig())
	case Publish:
		d.publish(e.State)
	case Lead:
		d.lead(e)
	case Answer:
		d.answer(e)
	default:
		panic(fmt.Sprintf("unknown effect %T", effect))
	}
}

// publish passes a new replicated state to the publisher, for all daemons, and
// to the local registry.
func (d *Daemon) publish(s catalogs.State) {
	d.publisher.SetState(s)
	d.registry.setState(s)
	d.cfg.Log.WithFields(logrus.Fields{"index": s.Index, "version": s.Version, "out": s.Out}).Info("state in force")
}

// lead stores and publishes a change of the leader or of the members, and
// activates the desk while this daemon is the leader.
func (d *Daemon) lead(l Lead) {
	d.leader.Store(&l)
	var controls []string
	for _, m := range l.Members {
		controls = append(controls, directoryOf(m.ID.Daemon))
	}
	address := ""
	if l.Leader != "" {
		address = directoryOf(l.Leader)
	}
	d.publisher.SetLeader(address, l.Term, controls)
	d.desk.SetActive(l.Self)
	d.cfg.Log.WithFields(logrus.Fields{"leader": l.Leader, "term": l.Term, "voters": len(l.Members.Voters()), "members": len(l.Members)}).Info("leader or members changed")
}

// receive handles an envelope from another control daemon. A message whose
// sender differs from that of the envelope is dropped.
func (d *Daemon) receive(e peers.Envelope) {
	m, ok := e.Payload.(replicas.Message)
	if ok && m.From.Daemon == e.From {
		d.submit(Received{Message: m})
	}
}

// hear handles a view from another control daemon.
func (d *Daemon) hear(from string, v directories.View) {
	d.registry.merge(v.Records)
	known := []gypsumshelf.DaemonID{peerOf(from)}
	for _, a := range append(v.Controls, d.cfg.Seeds...) {
		known = append(known, peerOf(a))
	}
	if v.Leader != "" {
		known = append(known, peerOf(v.Leader))
	}
	d.submit(PeersKnown{IDs: known})
}

// wait creates a ticket and the channel that receives its answer.
func (d *Daemon) wait() (Ticket, chan Answer) {
	t, c := Ticket(d.tickets.Add(1)), make(chan Answer, 1)
	d.mu.Lock()
	d.waiting[t] = c
	d.mu.Unlock()
	return t, c
}

func (d *Daemon) answer(a Answer) {
	d.mu.Lock()
	c := d.waiting[a.Ticket]
	delete(d.waiting, a.Ticket)
	d.mu.Unlock()
	if c != nil {
		c <- a
	}
}

func (d *Daemon) dropTicket(t Ticket) {
	d.mu.Lock()
	delete(d.waiting, t)
	d.mu.Unlock()
}

// propose commits a command on this daemon, which must be the leader.
func (d *Daemon) propose(ctx context.Context, c catalogs.Command) error {
	t, answer := d.wait()
	defer d.dropTicket(t)
	d.submit(Proposed{Ticket: t, Command: c})
	select {
	case a := <-answer:
		return a.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Propose commits a command. If another daemon is the leader, the command is
// forwarded to it.
func (d *Daemon) Propose(ctx context.Context, c catalogs.Command) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	l := d.leader.Load()
	if l.Self || l.Leader == "" {
		return d.propose(ctx, c)
	}
	client, alive := d.feeds.Client(directoryOf(l.Leader))
	if !alive {
		return ErrNotLeader
	}
	deadline, _ := ctx.Deadline()
	return peers.Call(client, ServiceName+".Propose", c, &struct{}{}, time.Until(deadline))
}

// Newest returns the replicated state with a linearizable read. It fails if no
// quorum confirms in time that the state is current.
func (d *Daemon) Newest(ctx context.Context) (catalogs.State, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	t, answer := d.wait()
	defer d.dropTicket(t)
	d.submit(ReadAsked{Ticket: t})
	select {
	case a := <-answer:
		return a.State, a.Err
	case <-ctx.Done():
		d.submit(ReadDropped{Ticket: t})
		return catalogs.State{}, ctx.Err()
	}
}

// Close hands leadership over if this daemon is the leader, and stops it.
func (d *Daemon) Close() {
	d.submit(Stopping{})
	for end := time.Now().Add(handoverTime); time.Now().Before(end) && d.leader.Load().Self; {
		time.Sleep(raftTick)
	}
	d.feeds.Close()
	d.server.Close()
	d.links.Close()
	close(d.stop)
	d.wg.Wait()
	d.storage.close()
}

// handoverTime bounds the wait for the leadership handover at a planned stop.
const handoverTime = 600 * time.Millisecond

// Service is the net/rpc service between control daemons.
type Service struct{ daemon *Daemon }

// ServiceName is the name of the net/rpc service.
const ServiceName = "Control"

// Propose commits a command on this daemon, which must be the leader.
func (s *Service) Propose(c catalogs.Command, _ *struct{}) error {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	return s.daemon.propose(ctx, c)
}
