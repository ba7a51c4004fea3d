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
	// dialTimeout is short because a host that starts does not answer attempts
	// that were made before; control daemons are some ms away.
	dialTimeout = 250 * time.Millisecond
	redialPause = 100 * time.Millisecond
	// pollTimeout is the time without an answer after which a connection is
	// taken for dead; a healthy one answers every pollHold.
	pollTimeout = 2 * pollHold
	// fetchTimeout bounds the time for which one slow control daemon keeps the
	// others from delivering a newer state.
	fetchTimeout = 800 * time.Millisecond
	// forgetAfter is the time after which a control daemon that nobody lists
	// and that does not answer is no longer dialed.
	forgetAfter = 20 * time.Second
	// aliveFor is the time after an answer for which a connection counts as alive.
	aliveFor = pollTimeout
)

// SubscriberConfig configures a Subscriber.
type SubscriberConfig struct {
	Daemon gypsumshelf.DaemonID
	Entry  bool
	Self   string // address of the own directory, which is not polled
	Seeds  []string
	Log    *logrus.Entry
	// Index returns the index of the replicated state that the daemon holds.
	// Without it the daemon does not want the state.
	Index func() uint64
	// Install takes a replicated state with a higher index.
	Install func(catalogs.State)
	// Receive takes a view; it is called from several goroutines.
	Receive func(from string, v View)
}

// Subscriber polls all control daemons.
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

// feed is the connection to one control daemon.
type feed struct {
	owner   *Subscriber
	address string

	mu     sync.Mutex
	client *rpc.Client
	heard  time.Time // last answer
	listed time.Time // last time that a daemon named it
}

// NewSubscriber returns a Subscriber that polls once it is run.
func NewSubscriber(cfg SubscriberConfig) *Subscriber {
	return &Subscriber{cfg: cfg, stop: make(chan struct{}), feeds: map[string]*feed{}, seeds: cfg.Seeds}
}

// Run starts polling.
func (s *Subscriber) Run() { s.add(s.cfg.Seeds) }

// Reseed replaces the addresses that are always dialed.
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

// Client returns the live connection to a control daemon.
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

// Reachable returns the addresses of the control daemons that answer.
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

// Close ends all connections.
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

// forgotten removes a feed that is no longer needed.
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

// poll asks for news until the connection fails or goes silent.
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

// fetch gets the replicated state when the daemon's own is older than index.
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
