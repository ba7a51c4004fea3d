package directories

import (
	"net"
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
	redialPause = 100 * time.Millisecond
	// pollTimeout is the time without an answer after which a connection counts
	// as failed; a healthy one answers at least once in pollHold.
	pollTimeout = 2 * pollHold
	// fetchTimeout bounds a fetch. Fetches run one at a time, so that a slow
	// control daemon delays those from the others.
	fetchTimeout = 800 * time.Millisecond
	// forgetAfter is the time after which a control daemon is no longer dialed
	// if no daemon lists it and it does not answer.
	forgetAfter = 20 * time.Second
	// aliveFor is the time after the last answer for which a connection counts
	// as alive.
	aliveFor = pollTimeout
)

// SubscriberConfig configures a Subscriber.
type SubscriberConfig struct {
	Daemon gypsumshelf.DaemonID
	Entry  bool     // the daemon accepts requests of callers
	Self   string   // directory address of this daemon, which is not polled
	Seeds  []string // directory addresses that are always polled
	Log    *logrus.Entry
	// Index returns the index of the replicated state that the daemon holds. If
	// it is nil, the state is not fetched.
	Index func() uint64
	// Install replaces the replicated state by one with a higher index.
	Install func(catalogs.State)
	// Receive handles a view. It is called concurrently.
	Receive func(from string, v View)
}

// Subscriber polls all known control daemons.
type Subscriber struct {
	cfg  SubscriberConfig
	stop chan struct{}
	wg   sync.WaitGroup

	fetching sync.Mutex // held while a state is fetched

	mu     sync.Mutex
	feeds  map[string]*feed
	seeds  []string
	closed bool
}

// feed polls one control daemon and reconnects to it after a failure.
type feed struct {
	owner   *Subscriber
	address string

	mu     sync.Mutex
	client *rpc.Client
	heard  time.Time // last answer
	listed time.Time // last time at which it was a seed or listed in a view
}

// NewSubscriber returns a Subscriber. It starts polling when Run is called.
func NewSubscriber(cfg SubscriberConfig) *Subscriber {
	return &Subscriber{cfg: cfg, stop: make(chan struct{}), feeds: map[string]*feed{}, seeds: cfg.Seeds}
}

// Run starts polling the seeds. It returns at once.
func (s *Subscriber) Run() { s.add(s.cfg.Seeds) }

// Reseed replaces the addresses that are always polled.
func (s *Subscriber) Reseed(seeds []string) {
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
		if a == s.cfg.Self || s.closed {
			continue
		}
		f := s.feeds[a]
		if f == nil {
			f = &feed{owner: s, address: a}
			s.feeds[a] = f
			s.wg.Add(1)
			go f.loop()
		}
		f.mu.Lock()
		f.listed = now
		f.mu.Unlock()
	}
}

// Client returns the connection to a control daemon and reports whether it is
// alive.
func (s *Subscriber) Client(address string) (*rpc.Client, bool) {
	s.mu.Lock()
	f := s.feeds[address]
	s.mu.Unlock()
	if f == nil {
		return nil, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.client, f.client != nil && time.Since(f.heard) < aliveFor
}

// Reachable returns the addresses of the control daemons with a live connection,
// sorted.
func (s *Subscriber) Reachable() []string {
	s.mu.Lock()
	addresses := make([]string, 0, len(s.feeds))
	for a := range s.feeds {
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

// Close closes all connections and waits until polling has ended.
func (s *Subscriber) Close() {
	s.mu.Lock()
	s.closed = true
	close(s.stop)
	for _, f := range s.feeds {
		f.drop()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (f *feed) drop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.client != nil {
		f.client.Close()
	}
}

func (f *feed) loop() {
	defer f.owner.wg.Done()
	lost := false
	for !f.forgotten() {
		conn, err := net.DialTimeout("tcp", f.address, dialTimeout)
		if err == nil {
			f.owner.cfg.Log.WithField("control-daemon", f.address).Info("connected to a control daemon")
			err = f.poll(rpc.NewClient(conn))
			lost = false
		}
		select {
		case <-f.owner.stop:
			return
		default:
		}
		if !lost {
			f.owner.cfg.Log.WithField("control-daemon", f.address).WithError(err).Warn("no connection to a control daemon")
			lost = true
		}
		select {
		case <-f.owner.stop:
			return
		case <-time.After(redialPause):
		}
	}
}

// forgotten removes the feed if its control daemon is neither a seed nor was
// listed or heard from recently. It reports whether it did.
func (f *feed) forgotten() bool {
	s := f.owner
	s.mu.Lock()
	defer s.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Contains(s.seeds, f.address) || time.Since(f.listed) < forgetAfter || time.Since(f.heard) < forgetAfter {
		return false
	}
	delete(s.feeds, f.address)
	return true
}

// poll polls on a connection until it fails, an answer takes longer than
// pollTimeout, or the Subscriber is closed.
func (f *feed) poll(client *rpc.Client) error {
	f.mu.Lock()
	f.client, f.heard = client, time.Now()
	f.mu.Unlock()
	defer func() {
		client.Close()
		f.mu.Lock()
		f.client = nil
		f.mu.Unlock()
	}()
	cfg := f.owner.cfg
	q := Poll{Daemon: cfg.Daemon, Entry: cfg.Entry}
	for {
		var v View
		if err := peers.Call(client, ServiceName+".Poll", q, &v, pollTimeout); err != nil {
			return err
		}
		f.mu.Lock()
		f.heard = time.Now()
		f.mu.Unlock()
		q.Epoch, q.Cursor = v.Epoch, v.Cursor
		f.owner.add(v.Controls)
		if err := f.owner.fetch(client, v.Index); err != nil {
			return err
		}
		cfg.Receive(f.address, v)
		select {
		case <-f.owner.stop:
			return net.ErrClosed
		default:
		}
	}
}

// fetch fetches and installs the replicated state if the daemon's own state is
// older than index.
func (s *Subscriber) fetch(client *rpc.Client, index uint64) error {
	if s.cfg.Index == nil {
		return nil
	}
	s.fetching.Lock()
	defer s.fetching.Unlock()
	if index <= s.cfg.Index() {
		return nil
	}
	packed := &Packed{}
	if err := peers.Call(client, ServiceName+".Fetch", struct{}{}, packed, fetchTimeout); err != nil {
		return err
	}
	state, err := packed.unpack()
	if err != nil {
		return err
	}
	if state.Index > s.cfg.Index() {
		s.cfg.Install(state)
	}
	return nil
}
