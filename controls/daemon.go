package controls

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/directories"
	"gypsumshelf.example/gypsumshelf/disks"
	"gypsumshelf.example/gypsumshelf/dispatchers"
	"gypsumshelf.example/gypsumshelf/faults"
	"gypsumshelf.example/gypsumshelf/peers"
	"gypsumshelf.example/gypsumshelf/replicas"
	"gypsumshelf.example/gypsumshelf/schedules"
	"gypsumshelf.example/gypsumshelf/timers"
)

const (
	// raftTickInterval is the interval of the replicated log's timer events, a
	// tenth of the shortest election timeout.
	raftTickInterval = 50 * time.Millisecond
	// eventQueueSize is the capacity of the reducer's event queue.
	eventQueueSize = 1024
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
	OpenFile   disks.OpenFile // opens the files of the data folder, nil for os.OpenFile
	DiskBytes  int64          // size of the disk, 0 when unknown
	Seeds      []string       // directory addresses that are always contacted
	// FirstStart is set when the whole deployment starts with empty disks. The
	// daemons at the seed addresses then become the first voters.
	FirstStart     bool
	Peers          net.Listener
	Directory      net.Listener
	Decode         catalogs.Decoder
	Reporter       dispatchers.Reporter
	SilenceTimeout time.Duration // time without an announcement after which a backend server counts as silent
	// StopTimeout bounds the time for which a planned stop waits until the replicated
	// log goes on without this daemon.
	StopTimeout time.Duration
	Policy      schedules.Policy
	Log         *logrus.Entry
	Timers      *timers.Service
}

// Daemon is a running control daemon.
type Daemon struct {
	cfg        Config
	id         atomic.Pointer[replicas.NodeID]
	reducer    *Reducer
	folder     *disks.Folder
	health     *disks.Health
	links      *peers.Links
	publisher  *directories.Publisher
	server     *directories.Server
	subscriber *directories.Subscriber
	registry   *registry
	dispatcher *dispatchers.Dispatcher

	events      chan any
	stop        chan struct{}
	stopGranted chan struct{}
	handOver    sync.Once
	stopping    atomic.Bool // set by HandOver
	wg          sync.WaitGroup

	lastTicket     atomic.Uint64
	appliedIndex   atomic.Uint64 // of the reducer
	leadership     atomic.Pointer[Leadership]
	status         atomic.Pointer[Status]
	mu             sync.Mutex
	pendingReplies map[Ticket]chan Reply
	// acknowledgedIndex is that of the last command that another daemon, the leader,
	// committed for this one.
	acknowledgedIndex uint64
}

// Start starts a control daemon.
func Start(cfg Config) (*Daemon, error) {
	d := &Daemon{
		cfg: cfg, publisher: directories.NewPublisher(cfg.Log), events: make(chan any, eventQueueSize),
		stop: make(chan struct{}), stopGranted: make(chan struct{}), pendingReplies: map[Ticket]chan Reply{},
	}
	replicaConfig, err := d.openStorage()
	if err != nil {
		return nil, err
	}
	d.reducer = NewReducer(replicaConfig)
	d.reducer.maxLogBytes = int(cfg.DiskBytes / diskShareOfLog)
	d.leadership.Store(&Leadership{})
	d.status.Store(&Status{Condition: replicas.NotMember, LeaderHeard: cfg.Timers.Now()})
	d.dispatcher = dispatchers.New(dispatchers.Config{DataCentre: cfg.DataCentre, Policy: cfg.Policy, Log: cfg.Log, Reporter: cfg.Reporter, Timers: cfg.Timers, HandleQuarantines: d.quarantine, HandleRefuted: d.liftRefuted})
	d.registry = newRegistry(cfg, d.publisher, d.dispatcher)
	d.links = peers.New(peers.Config{Daemon: cfg.Daemon, AllowUnlisted: true, Receive: d.handleEnvelope, Log: cfg.Log}, cfg.Peers)
	d.server, err = directories.NewServer(cfg.Directory, map[string]any{
		directories.ServiceName: d.publisher, dispatchers.ServiceName: dispatchers.NewService(d.dispatcher), ServiceName: &Service{daemon: d},
	})
	if err != nil {
		return nil, err
	}
	d.subscriber = directories.NewSubscriber(directories.SubscriberConfig{
		Daemon: cfg.Daemon, OwnAddress: cfg.Directory.Addr().String(), Seeds: cfg.Seeds, Log: cfg.Log, HandleView: d.handleView,
	})
	d.folder.Run()
	d.wg.Add(1)
	go d.loop()
	d.subscriber.Run()
	cfg.Timers.Subscribe(raftTickInterval, func(time.Time) { d.submit(Tick{}) })
	cfg.Timers.Subscribe(registryTickInterval, d.registry.tick)
	cfg.Timers.Subscribe(dispatcherUpdateInterval, d.registry.refreshDispatcher)
	return d, nil
}

// ID returns the node ID, whose incarnation changes when the data folder is replaced.
// It is empty until the folder could be opened.
func (d *Daemon) ID() replicas.NodeID { return *d.id.Load() }

// IsLeader reports whether this daemon is the leader of the replicated log.
func (d *Daemon) IsLeader() bool { return d.leadership.Load().IsLeader }

// Voters returns the number of voters in the membership that this daemon knows.
func (d *Daemon) Voters() int { return len(d.leadership.Load().Members.Voters()) }

// DataFolder returns whether the data folder serves, and its failures.
func (d *Daemon) DataFolder() *disks.Health { return d.health }

// SetSeeds replaces the directory addresses that are always contacted.
func (d *Daemon) SetSeeds(seeds []string) { d.subscriber.SetSeeds(seeds) }

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
			effects := d.reducer.Step(d.cfg.Timers.Now(), event)
			d.appliedIndex.Store(d.reducer.AppliedIndex())
			for _, effect := range effects {
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
		d.folder.Write(e.Session, e.Persist)
	case Renew:
		d.renewStorage(e.Session)
	case Publish:
		d.publishState(e.State)
	case Leadership:
		d.publishLeadership(e)
	case Reply:
		d.deliverReply(e)
	case ChangeProposed:
		d.cfg.Log.WithFields(logrus.Fields{
			"member": e.Change.Member.String(), "votes": e.Change.Role != replicas.Learner, "reason": e.Change.Reason, "voters": e.Change.Voters,
		}).Info("membership change proposed")
	case StopGranted:
		close(d.stopGranted)
	case Skipped:
		d.cfg.Log.WithError(e.Err).Error("a committed command cannot be applied; every daemon skips it")
	case Halted:
		faults.Report(d.cfg.Log.WithField("event", fmt.Sprintf("%T", e.Event)), "replicated log", e.Panic)
		d.reopenStorage(e.Session)
	case Status, LeaderMissing, LeaderHeard, ElectionStarted, LeadLost:
		d.observe(effect)
	default:
		panic(fmt.Sprintf("unknown effect %T", effect))
	}
}

// publishState passes a new replicated state to the publisher, for all daemons,
// and to the local registry.
func (d *Daemon) publishState(s catalogs.State) {
	d.publisher.SetState(s)
	d.registry.setState(s)
	d.cfg.Log.WithFields(logrus.Fields{"index": s.Index, "version": s.Version, "out": s.OutOfService, "quarantines": len(s.Quarantines)}).Info("state in force")
}

// publishLeadership stores and publishes a change of the leader or of the
// members, and activates the dispatcher while this daemon is the leader.
func (d *Daemon) publishLeadership(l Leadership) {
	d.leadership.Store(&l)
	var controls []string
	for _, m := range l.Members {
		controls = append(controls, directoryAddress(m.ID.Daemon))
	}
	address := ""
	if l.Leader != "" {
		address = directoryAddress(l.Leader)
	}
	// Entry daemons hand over their jobs as soon as they hear of the leader.
	d.dispatcher.SetActive(l.IsLeader)
	d.publisher.SetLeader(address, l.Term, controls)
	d.cfg.Log.WithFields(logrus.Fields{"leader": l.Leader, "term": l.Term, "voters": len(l.Members.Voters()), "members": len(l.Members)}).Info("leader or members changed")
}

// handleEnvelope handles an envelope from another control daemon. A message
// whose sender differs from that of the envelope is dropped.
func (d *Daemon) handleEnvelope(e peers.Envelope) {
	m, ok := e.Payload.(replicas.Message)
	if !ok || m.From.Daemon != e.From {
		return
	}
	if err := m.Validate(); err != nil {
		d.cfg.Log.WithField("from", e.From).WithError(err).Error("a message was dropped")
		return
	}
	d.submit(MessageReceived{Message: m})
}

// handleView handles a view from another control daemon.
func (d *Daemon) handleView(from string, v directories.View) {
	d.registry.merge(v.Records)
	known := []gypsumshelf.DaemonID{peerID(from)}
	for _, a := range append(v.Controls, d.cfg.Seeds...) {
		known = append(known, peerID(a))
	}
	if v.Leader != "" {
		known = append(known, peerID(v.Leader))
	}
	d.submit(PeersDiscovered{IDs: known})
}

// newTicket creates a ticket and the channel that receives its reply.
func (d *Daemon) newTicket() (Ticket, chan Reply) {
	t, c := Ticket(d.lastTicket.Add(1)), make(chan Reply, 1)
	d.mu.Lock()
	d.pendingReplies[t] = c
	d.mu.Unlock()
	return t, c
}

func (d *Daemon) deliverReply(r Reply) {
	d.mu.Lock()
	c := d.pendingReplies[r.Ticket]
	delete(d.pendingReplies, r.Ticket)
	d.mu.Unlock()
	if c != nil {
		c <- r
	}
}

func (d *Daemon) dropTicket(t Ticket) {
	d.mu.Lock()
	delete(d.pendingReplies, t)
	d.mu.Unlock()
}

// propose commits a command on this daemon, which must be the leader, and returns the
// index of its entry.
func (d *Daemon) propose(ctx context.Context, c catalogs.Command) (index uint64, err error) {
	if d.isTooLarge(c) {
		return 0, ErrTooLarge
	}
	t, reply := d.newTicket()
	defer d.dropTicket(t)
	d.submit(CommandProposed{Ticket: t, Command: c})
	select {
	case r := <-reply:
		return r.Index, r.Err
	case <-d.stop:
		return 0, ErrStopping
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// Propose commits a command. If another daemon is the leader, the command is
// forwarded to it.
func (d *Daemon) Propose(ctx context.Context, c catalogs.Command) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	l := d.leadership.Load()
	if !l.isRemote() || d.isTooLarge(c) {
		_, err := d.propose(ctx, c)
		return err
	}
	client, alive := d.leaderClient(*l)
	if !alive {
		return ErrNotLeader
	}
	deadline, _ := ctx.Deadline()
	var committed Commit
	if err := peers.Call(client, ServiceName+".Propose", c, &committed, time.Until(deadline)); err != nil {
		return merry.Prependf(err, "leader %s", l.Leader)
	}
	d.acknowledge(committed.Index)
	return nil
}

// leaderClient returns a client of another daemon that leads, and whether it is alive.
func (d *Daemon) leaderClient(l Leadership) (client *rpc.Client, alive bool) {
	return d.subscriber.Client(directoryAddress(l.Leader))
}

// ReadState returns the replicated state with a linearizable read. It fails if no
// quorum confirms in time that the state is current.
func (d *Daemon) ReadState(ctx context.Context) (catalogs.State, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	t, reply := d.newTicket()
	defer d.dropTicket(t)
	d.submit(ReadRequested{Ticket: t})
	select {
	case r := <-reply:
		return r.State, r.Err
	case <-d.stop:
		return catalogs.State{}, ErrStopping
	case <-ctx.Done():
		d.submit(ReadCancelled{Ticket: t})
		return catalogs.State{}, ctx.Err()
	}
}

// HandOver begins a planned stop. It hands leadership over if this daemon is the leader,
// and waits until a learner has taken the daemon's vote or the others need it no longer,
// for StopTimeout at most. The daemon serves calls until Close.
func (d *Daemon) HandOver() { d.handOver.Do(d.awaitStopGranted) }

func (d *Daemon) awaitStopGranted() {
	started := time.Now()
	d.stopping.Store(true)
	d.submit(ShutdownStarted{})
	select {
	case <-d.stopGranted:
		d.cfg.Log.WithField("waited-ms", time.Since(started).Milliseconds()).Info("the replicated log goes on without this daemon")
	case <-time.After(d.cfg.StopTimeout):
		d.cfg.Log.WithField("voters", d.Voters()).Warn("stopping although the replicated log may need this daemon's vote")
	}
}

// Close stops the daemon, after HandOver if that was not called before. Calls that are
// still pending fail with ErrStopping.
func (d *Daemon) Close() {
	d.HandOver()
	d.terminate()
}

// terminate ends the daemon without handing anything over. Pending calls end first, so
// that they are not taken for failures of the connections that are closed.
func (d *Daemon) terminate() {
	close(d.stop)
	d.wg.Wait()
	d.dispatcher.SetActive(false)
	d.publisher.Close()
	d.server.Close()
	d.subscriber.Close()
	d.links.Close()
	d.folder.Close()
}

// Service is the net/rpc service between control daemons.
type Service struct{ daemon *Daemon }

// ServiceName is the name of the net/rpc service.
const ServiceName = "Control"

// LeaveReport says which start of a backend server has said in an answer that it leaves.
type LeaveReport struct {
	Server gypsumshelf.ServerID
	Born   int64
}

// ReportLeave records a leave and tells all daemons.
func (s *Service) ReportLeave(r LeaveReport, _ *struct{}) (err error) {
	defer faults.Recover(s.daemon.cfg.Log, ServiceName+".ReportLeave", &err)
	s.daemon.registry.recordLeave(r.Server, r.Born)
	return nil
}

// Commit is the reply to a command that was committed.
type Commit struct {
	Index uint64 // of its entry, 0 from builds that do not tell
}

// Propose commits a command on this daemon, which must be the leader.
func (s *Service) Propose(c catalogs.Command, committed *Commit) (err error) {
	defer faults.Recover(s.daemon.cfg.Log, ServiceName+".Propose", &err)
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	committed.Index, err = s.daemon.propose(ctx, c)
	return err
}
