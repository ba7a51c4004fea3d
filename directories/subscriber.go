package directories

import (
	"maps"
	"net"
	"net/netip"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/peers"
)

const (
	// dialTimeout is short, so that a host that has just started is reached
	// soon: it does not answer connection attempts made before its start. The
	// round trip to a control daemon takes only a few ms.
	dialTimeout = 250 * time.Millisecond
	redialDelay = 100 * time.Millisecond
	// pollTimeout is the time without an answer after which a connection counts
	// as failed; a healthy one answers at least once in maxPollWait.
	pollTimeout = 2 * maxPollWait
	// fetchTimeout bounds the delay that one slow control daemon causes: fetches
	// run one at a time, so the newer states of the others wait for it.
	fetchTimeout = 800 * time.Millisecond
	// removeAfter is the time after which a control daemon is no longer dialed
	// if no daemon lists it and it does not answer.
	removeAfter = 20 * time.Second
	// aliveTimeout is the time after the last answer for which a connection
	// counts as alive.
	aliveTimeout = pollTimeout
)

// SubscriberConfig configures a Subscriber.
type SubscriberConfig struct {
	Daemon          gypsumshelf.DaemonID
	DataCentre      string
	AcceptsRequests bool     // the daemon accepts requests of callers
	OwnAddress      string   // directory address of this daemon, which is not polled
	Seeds           []string // directory addresses that are always polled
	Log             *logrus.Entry
	// StateIndex returns the index of the replicated state that the daemon
	// holds. If it is nil, the state is not fetched.
	StateIndex func() uint64
	// InstallState replaces the replicated state by one with a higher index.
	InstallState func(catalogs.State)
	// HandleView handles a view. It is called concurrently.
	HandleView func(from string, v View)
}

// Subscriber polls all known control daemons.
type Subscriber struct {
	cfg  SubscriberConfig
	stop chan struct{}
	wg   sync.WaitGroup

	fetchMu sync.Mutex // held while a state is fetched

	mu        sync.Mutex
	pollLoops map[string]*pollLoop
	seeds     []string
	closed    bool
}

// pollLoop polls one control daemon and reconnects to it after a failure.
type pollLoop struct {
	subscriber *Subscriber
	address    string
	// Position up to which views were handled. It outlives connections, so that a
	// publisher which was late does not have to send everything again.
	epoch, cursor, peersIndex uint64

	mu         sync.Mutex
	client     *rpc.Client
	lastAnswer time.Time
	lastListed time.Time // last time at which it was a seed or listed in a view
}

// NewSubscriber returns a Subscriber. It starts polling when Run is called.
func NewSubscriber(cfg SubscriberConfig) *Subscriber {
	return &Subscriber{cfg: cfg, stop: make(chan struct{}), pollLoops: map[string]*pollLoop{}, seeds: cfg.Seeds}
}

// Run starts polling the seeds. It returns at once.
func (s *Subscriber) Run() { s.add(s.cfg.Seeds) }

// SetSeeds replaces the addresses that are always polled.
func (s *Subscriber) SetSeeds(seeds []string) {
	s.mu.Lock()
	s.seeds = seeds
	s.mu.Unlock()
	s.add(seeds)
}

func (s *Subscriber) add(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, a := range addresses {
		if a == s.cfg.OwnAddress || s.closed {
			continue
		}
		l := s.pollLoops[a]
		if l == nil {
			l = &pollLoop{subscriber: s, address: a}
			s.pollLoops[a] = l
			s.wg.Add(1)
			go l.run()
		}
		l.mu.Lock()
		l.lastListed = now
		l.mu.Unlock()
	}
}

// Client returns the connection to a control daemon and reports whether it is
// alive.
func (s *Subscriber) Client(address string) (*rpc.Client, bool) {
	s.mu.Lock()
	l := s.pollLoops[address]
	s.mu.Unlock()
	if l == nil {
		return nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.client, l.client != nil && time.Since(l.lastAnswer) < aliveTimeout
}

// Known returns the directory addresses of the control daemons that are polled, sorted.
func (s *Subscriber) Known() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.pollLoops))
}

// Knows reports whether a control daemon with the directory address is polled.
func (s *Subscriber) Knows(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pollLoops[address] != nil
}

// Reachable returns the addresses of the control daemons with a live connection,
// sorted.
func (s *Subscriber) Reachable() []string {
	s.mu.Lock()
	addresses := make([]string, 0, len(s.pollLoops))
	for a := range s.pollLoops {
		addresses = append(addresses, a)
	}
	s.mu.Unlock()
	addresses = slices.DeleteFunc(addresses, func(a string) bool {
		_, alive := s.Client(a)
		return !alive
	})
	slices.Sort(addresses)
	return addresses
}

const (
	// askTimeout bounds a question to a control daemon, and maxAsked the number of those
	// that are asked.
	askTimeout = 150 * time.Millisecond
	maxAsked   = 2
)

// IsEntryHost asks control daemons whether a daemon that accepts requests runs at an IP
// address.
func (s *Subscriber) IsEntryHost(ip netip.Addr) bool {
	reachable := s.Reachable()
	for _, address := range reachable[:min(maxAsked, len(reachable))] {
		client, _ := s.Client(address)
		if client == nil {
			continue
		}
		is := new(bool)
		if err := peers.Call(client, ServiceName+".IsEntryHost", ip, is, askTimeout); err != nil {
			s.cfg.Log.WithField("control-daemon", address).WithError(err).Warn("cannot ask whether another daemon belongs to the deployment")
		} else if *is {
			return true
		}
	}
	return false
}

// Close closes all connections and waits until polling has ended.
func (s *Subscriber) Close() {
	s.mu.Lock()
	s.closed = true
	close(s.stop)
	for _, l := range s.pollLoops {
		l.closeClient()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (l *pollLoop) closeClient() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		l.client.Close()
	}
}

func (l *pollLoop) run() {
	defer l.subscriber.wg.Done()
	disconnected := false
	for !l.removeIfUnused() {
		conn, err := net.DialTimeout("tcp", l.address, dialTimeout)
		if err == nil {
			l.subscriber.cfg.Log.WithField("control-daemon", l.address).Info("connected to a control daemon")
			err = l.poll(rpc.NewClient(conn))
			disconnected = false
		}
		select {
		case <-l.subscriber.stop:
			return
		default:
		}
		if !disconnected {
			l.subscriber.cfg.Log.WithField("control-daemon", l.address).WithError(err).Warn("no connection to a control daemon")
			disconnected = true
		}
		select {
		case <-l.subscriber.stop:
			return
		case <-time.After(redialDelay):
		}
	}
}

// removeIfUnused removes the loop if its control daemon is neither a seed nor
// was listed or heard from recently. It reports whether it did.
func (l *pollLoop) removeIfUnused() bool {
	s := l.subscriber
	s.mu.Lock()
	defer s.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Contains(s.seeds, l.address) || time.Since(l.lastListed) < removeAfter || time.Since(l.lastAnswer) < removeAfter {
		return false
	}
	delete(s.pollLoops, l.address)
	return true
}

// poll polls on a connection until it fails, an answer takes longer than
// pollTimeout, or the Subscriber is closed.
func (l *pollLoop) poll(client *rpc.Client) error {
	l.mu.Lock()
	l.client, l.lastAnswer = client, time.Now()
	l.mu.Unlock()
	defer func() {
		client.Close()
		l.mu.Lock()
		l.client = nil
		l.mu.Unlock()
	}()
	cfg := l.subscriber.cfg
	for {
		var v View
		q := PollRequest{Daemon: cfg.Daemon, DataCentre: cfg.DataCentre, Entry: cfg.AcceptsRequests, PeersIndex: l.peersIndex, Epoch: l.epoch, Cursor: l.cursor}
		if err := peers.Call(client, ServiceName+".Poll", q, &v, pollTimeout); err != nil {
			return err
		}
		l.mu.Lock()
		l.lastAnswer = time.Now()
		l.mu.Unlock()
		l.subscriber.add(v.Controls)
		if err := l.subscriber.fetch(client, v.Index); err != nil {
			return err
		}
		cfg.HandleView(l.address, v)
		l.epoch, l.cursor, l.peersIndex = v.Epoch, v.Cursor, v.PeersIndex
		select {
		case <-l.subscriber.stop:
			return net.ErrClosed
		default:
		}
	}
}

// fetch fetches and installs the replicated state if the daemon's own state is
// older than index.
func (s *Subscriber) fetch(client *rpc.Client, index uint64) error {
	if s.cfg.StateIndex == nil {
		return nil
	}
	s.fetchMu.Lock()
	defer s.fetchMu.Unlock()
	if index <= s.cfg.StateIndex() {
		return nil
	}
	compressed := &CompressedState{}
	if err := peers.Call(client, ServiceName+".Fetch", struct{}{}, compressed, fetchTimeout); err != nil {
		return err
	}
	state, err := compressed.decompress()
	if err != nil {
		return err
	}
	if state.Index > s.cfg.StateIndex() {
		s.cfg.InstallState(state)
	}
	return nil
}
