package relays

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/timers"
)

const (
	// directTimeout is far above the round trip between data centres, a few ms, and
	// below the 1 s after which TCP resends a lost first packet.
	directTimeout = 350 * time.Millisecond
	// hedgeDelay is the time without a direct connection after which another daemon is
	// asked to connect as well. Both only connect: the request is sent once.
	hedgeDelay = 100 * time.Millisecond
	// relayStagger is the time without an answer of one relay after which the next one
	// is asked.
	relayStagger = 80 * time.Millisecond
	// relayTimeout bounds the wait for one relay: the time in which the relay itself
	// tries to connect, and the way there and back.
	relayTimeout = relayDialTimeout + 100*time.Millisecond
	// maxRelaysAsked bounds the daemons that are asked for one connection.
	maxRelaysAsked = 3
)

// Servers is what a daemon knows of backend servers by their addresses.
type Servers interface {
	// ServiceAt returns the service of the backend server at an address.
	ServiceAt(address string) (service string, known bool)
	// UsableAt reports whether the backend server at an address may get new work.
	UsableAt(address string) bool
	// AddressesOf returns the addresses of the backend servers of a service that may
	// get new work.
	AddressesOf(service string) []string
}

// DialerConfig configures a Dialer.
type DialerConfig struct {
	Daemon     gypsumshelf.DaemonID // address at which this daemon relays
	DataCentre string
	Servers    Servers
	Dial       Dial // connects to backend servers directly
	Log        *logrus.Entry
	Timers     *timers.Service
}

// Dialer connects to backend servers. When it cannot connect by itself, other daemons do
// for it, and it finds out whether its own path is lost.
type Dialer struct {
	cfg      DialerConfig
	dialPeer Dial
	relayed  atomic.Uint64 // connections through relays
	round    atomic.Bool   // a round of probes runs

	mu    sync.Mutex
	paths *Paths
	peers *peerTable
	// failedRounds counts the rounds of probes in a row in which a service was reached
	// in no way.
	failedRounds map[string]int
	lastStatus   time.Time
	rotation     int // of the probed backend servers
}

// NewDialer returns a running Dialer.
func NewDialer(cfg DialerConfig) *Dialer {
	d := &Dialer{
		cfg: cfg, paths: NewPaths(), failedRounds: map[string]int{},
		peers: newPeerTable(cfg.Daemon, cfg.DataCentre, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	dialer := &net.Dialer{}
	// A relay admits daemons by their address.
	if own, err := netip.ParseAddrPort(string(cfg.Daemon)); err == nil {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(own.Addr(), 0))
	}
	d.dialPeer = dialer.DialContext
	cfg.Timers.Subscribe(probePeriod, d.probePaths)
	return d
}

// SetPeers replaces the list of daemons that may relay, as sent by one control daemon.
func (d *Dialer) SetPeers(from string, peers []Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers.set(d.cfg.Timers.Now(), from, peers)
}

// KeepPeers notes that a control daemon has no newer list.
func (d *Dialer) KeepPeers(from string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers.refresh(d.cfg.Timers.Now(), from)
}

// KnowsPeer reports whether a daemon with the IP address is among those that may relay.
func (d *Dialer) KnowsPeer(ip netip.Addr) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, peer := range d.peers.all(d.cfg.Timers.Now()) {
		if address, err := netip.ParseAddrPort(string(peer.Daemon)); err == nil && address.Addr() == ip {
			return true
		}
	}
	return false
}

// IsServiceLost reports whether this daemon has lost its own path to a service.
func (d *Dialer) IsServiceLost(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.IsServiceLost(service)
}

// IsLost reports whether this daemon has lost its own path to a backend server.
func (d *Dialer) IsLost(t Target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.IsLost(t)
}

// HasNoWay reports whether a service can be reached neither directly nor through others.
func (d *Dialer) HasNoWay(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failedRounds[service] >= noWayRounds
}

// LostServices returns the number of services to which the path is lost.
func (d *Dialer) LostServices() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.paths.LostServices())
}

// Relayed returns the number of connections that other daemons have made for this one.
func (d *Dialer) Relayed() uint64 { return d.relayed.Load() }

// DialContext connects to the backend server at an address for a call that is no
// request.
func (d *Dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	service, _ := d.cfg.Servers.ServiceAt(address)
	return d.Dial(ctx, Target{Address: address, Service: service})
}

// Dial connects to a backend server: directly, and through another daemon once that has
// failed or takes longer than usual. While the path is lost, the other daemon is asked
// first. The error is ErrNoPath if nobody could say anything about the backend server.
func (d *Dialer) Dial(ctx context.Context, t Target) (net.Conn, error) {
	d.mu.Lock()
	lost, suspect, noWay := d.paths.IsLost(t), d.paths.IsSuspect(t), d.failedRounds[t.Service] >= noWayRounds
	d.mu.Unlock()
	if noWay {
		return nil, ErrNoPath
	}
	r := &race{dialer: d, target: t, pathLost: lost, results: make(chan dialResult), done: make(chan struct{})}
	hedge := hedgeDelay
	if suspect {
		hedge = 0
	}
	return r.connect(ctx, hedge)
}

// Check connects and closes the connection at once. It returns true if the path to a
// backend server is lost, as far as another daemon reaches it and this one does not.
func (d *Dialer) Check(ctx context.Context, t Target) (lost bool) {
	if d.IsLost(t) {
		return true
	}
	t.NewWork = false
	conn, err := d.Dial(ctx, t)
	if err != nil {
		return errors.Is(err, ErrNoPath)
	}
	defer conn.Close()
	return IsRelayed(conn)
}

// pickRelays returns the daemons that may be asked for a connection to a service.
func (d *Dialer) pickRelays(service string) []Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peers.pick(d.cfg.Timers.Now(), service, maxRelaysAsked)
}

// recordDirect records the result of a direct connection while another daemon could
// connect, or a successful one.
func (d *Dialer) recordDirect(t Target, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.paths.RecordDirect(t)
		return
	}
	if d.paths.RecordLoss(d.cfg.Timers.Now(), t) {
		d.cfg.Log.WithFields(logrus.Fields{"service": t.Service, "relays": len(d.peers.all(d.cfg.Timers.Now()))}).WithError(err).Warn("the path to the backend servers of a service is lost; other daemons connect to them for this one")
	}
}

// recordRelay records the answer of a relay.
func (d *Dialer) recordRelay(peer Peer, t Target, v verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch v {
	case connected:
		d.peers.recordSuccess(peer, t.Service)
	case refused, unreachable: // says something about the backend server only
	case pathLost:
		d.peers.recordFailure(d.cfg.Timers.Now(), peer, t.Service)
	default:
		d.peers.recordFailure(d.cfg.Timers.Now(), peer, "")
	}
}

// recordMisjudged records relays that could not connect to a backend server which
// another one reached: they have lost the path too and may not know it yet.
func (d *Dialer) recordMisjudged(judges []Peer, t Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, peer := range judges {
		d.peers.recordFailure(d.cfg.Timers.Now(), peer, t.Service)
	}
}

// dialResult is the result of one way of a race.
type dialResult struct {
	conn    net.Conn
	relay   *Peer // nil for the direct way
	verdict verdict
	err     error
}

// race is one connection that is tried in several ways at once. The first one that is
// made is used, the others are closed unused.
type race struct {
	dialer   *Dialer
	target   Target
	relays   []Peer // that were not asked yet
	chosen   bool   // relays
	pathLost bool
	results  chan dialResult
	done     chan struct{} // closed when a result is no longer waited for

	silent     []Peer // relays that have not answered in time
	askedAgain bool   // the silent relays were asked a second time

	pending   int
	direct    error       // of the direct way
	tried     bool        // the direct way
	reached   atomic.Bool // another daemon reached the backend server
	judgement error       // what relays said of the backend server
	judges    []Peer      // relays that could not connect
	noPath    bool        // a relay has lost its path too
}

// connect returns the first connection that is made.
func (r *race) connect(ctx context.Context, hedge time.Duration) (net.Conn, error) {
	defer close(r.done)
	relayCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if r.pathLost && r.hasRelays() {
		hedge = 0
	} else {
		r.startDirect(ctx)
	}
	next := time.NewTimer(hedge)
	defer next.Stop()
	for {
		if r.pending == 0 && !r.hasRelays() {
			switch {
			case !r.tried:
				r.startDirect(ctx)
			case r.asksAgain():
				r.startRelay(relayCtx)
				next.Reset(relayStagger)
			default:
				return nil, r.failure()
			}
		}
		select {
		case <-next.C:
			r.startRelay(relayCtx)
			next.Reset(relayStagger)
		case result := <-r.results:
			r.pending--
			if result.err == nil {
				return r.use(result), nil
			}
			r.recordFailure(result)
			r.startRelay(relayCtx)
			next.Reset(relayStagger)
		case <-ctx.Done():
			if r.judgement == nil && r.direct == nil {
				return nil, ctx.Err()
			}
			return nil, r.failure()
		}
	}
}

func (r *race) startDirect(ctx context.Context) {
	r.tried = true
	r.pending++
	way := &directWay{race: r}
	// The result is of use after the race too: it shows whether the path is lost.
	go way.run(context.WithoutCancel(ctx))
}

// hasRelays reports whether there is a daemon that was not asked yet. Most connections
// are made directly, so that the daemons are chosen for those only that need one.
func (r *race) hasRelays() bool {
	if !r.chosen {
		r.chosen = true
		r.relays = r.dialer.pickRelays(r.target.Service)
	}
	return len(r.relays) > 0
}

// asksAgain puts the relays that have not answered in time back on the list of those to
// ask, once, if no other daemon has said anything. A relay on a busy host may need longer
// than relayTimeout, and then a single relay must not decide that nobody has a path.
func (r *race) asksAgain() bool {
	if r.askedAgain || r.judgement != nil || r.noPath || len(r.silent) == 0 {
		return false
	}
	r.askedAgain = true
	r.relays = r.silent
	return true
}

func (r *race) startRelay(ctx context.Context) {
	if !r.hasRelays() {
		return
	}
	way := &relayWay{race: r, peer: r.relays[0]}
	r.relays = r.relays[1:]
	r.pending++
	go way.run(ctx)
}

// use returns the connection of a result and records which way it took.
func (r *race) use(result dialResult) net.Conn {
	if result.relay == nil {
		r.dialer.recordDirect(r.target, nil)
		return result.conn
	}
	r.dialer.relayed.Add(1)
	r.reached.Store(true)
	r.dialer.recordMisjudged(r.judges, r.target)
	if r.direct != nil {
		r.dialer.recordDirect(r.target, r.direct)
	}
	return result.conn
}

func (r *race) recordFailure(result dialResult) {
	switch {
	case result.relay == nil:
		r.direct = result.err
	case result.verdict == refused, result.verdict == unreachable:
		r.judges = append(r.judges, *result.relay)
		if r.judgement == nil || result.verdict == refused {
			r.judgement = result.err
		}
	case result.verdict == pathLost:
		r.noPath = true
	case errors.Is(result.err, context.DeadlineExceeded):
		r.silent = append(r.silent, *result.relay)
	}
}

// failure returns the error of a race without a connection. What other daemons say of the
// backend server goes before what was seen here, once all that are asked have answered.
func (r *race) failure() error {
	switch {
	case r.judgement != nil:
		return r.judgement
	case r.noPath || r.pathLost:
		return fmt.Errorf("%w: %w", ErrNoPath, r.direct)
	}
	return r.direct
}

// deliver passes a result to the race. It returns false when the race is over.
func (r *race) deliver(result dialResult) bool {
	select {
	case r.results <- result:
		return true
	case <-r.done:
		return false
	}
}

// directWay is the direct connection of a race.
type directWay struct{ race *race }

func (w *directWay) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	r := w.race
	conn, err := r.dialer.cfg.Dial(ctx, "tcp", r.target.Address)
	if r.deliver(dialResult{conn: conn, err: err}) {
		return
	}
	if err == nil {
		conn.Close()
		r.dialer.recordDirect(r.target, nil)
	} else if r.reached.Load() {
		r.dialer.recordDirect(r.target, err)
	}
}

// relayWay is a connection of a race through another daemon.
type relayWay struct {
	race *race
	peer Peer
}

func (w *relayWay) run(raceCtx context.Context) {
	ctx, cancel := context.WithTimeout(raceCtx, relayTimeout)
	defer cancel()
	r := w.race
	n, v, err := openTunnel(ctx, r.dialer.dialPeer, string(w.peer.Daemon), r.target)
	if err == nil || raceCtx.Err() == nil { // not ended by a faster way
		r.dialer.recordRelay(w.peer, r.target, v)
	}
	result := dialResult{relay: &w.peer, verdict: v, err: err}
	if err == nil {
		result.conn = n
	}
	if !r.deliver(result) && err == nil {
		n.Close()
	}
}
