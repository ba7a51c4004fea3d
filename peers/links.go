// Package peers sends messages between the daemons of a deployment over net/rpc.
package peers

import (
	"context"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/listeners"
)

// Envelope is a message between daemons. The package that defines the concrete
// type of Payload registers it with gob.
type Envelope struct {
	From    gypsumshelf.DaemonID
	Payload any
}

// Hello is the first message on a connection and identifies the dialling daemon.
type Hello struct {
	Deployment string
	Daemon     gypsumshelf.DaemonID
}

// Config configures Links.
type Config struct {
	Deployment string
	Daemon     gypsumshelf.DaemonID
	Peers      map[gypsumshelf.DaemonID]string // address of each other daemon
	Receive    func(Envelope)                  // called for each received envelope; a heartbeat has no payload
	Log        *logrus.Entry                   // of unexpected errors, the standard logger when nil
	// AllowUnlisted admits daemons that are not in Peers. The ID of each daemon
	// is then the address at which it listens, and the first message to it
	// creates a link.
	AllowUnlisted bool
}

// Links manages the connections to and from all peers.
type Links struct {
	cfg      Config
	listener net.Listener
	links    map[gypsumshelf.DaemonID]*link // guarded by mu
	stop     chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	accepted map[net.Conn]bool
	closed   bool // set by Close, after which no link is added; guarded by mu
	bytes    byteCounters
}

// New returns Links that accept connections on the listener and dial all
// configured peers.
func New(cfg Config, listener net.Listener) *Links {
	l := &Links{cfg: cfg, listener: listeners.New(listener, cfg.Log), links: map[gypsumshelf.DaemonID]*link{}, stop: make(chan struct{}), accepted: map[net.Conn]bool{}}
	for id, address := range cfg.Peers {
		l.addLink(id, address)
	}
	l.wg.Add(1)
	go l.acceptLoop()
	return l
}

// addLink starts a link. The caller must hold mu, unless l is not shared yet.
func (l *Links) addLink(id gypsumshelf.DaemonID, address string) *link {
	k := &link{links: l, id: id, address: address, queue: make(chan Envelope, queueCapacity)}
	l.links[id] = k
	l.wg.Add(1)
	go k.run()
	return k
}

// linkTo returns the link to a peer, or nil when there is none. With
// Config.AllowUnlisted it creates a missing link.
func (l *Links) linkTo(to gypsumshelf.DaemonID) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.links[to]
	if k != nil || !l.cfg.AllowUnlisted || l.closed {
		return k
	}
	return l.addLink(to, string(to))
}

// removeIdleLink removes a link, so that links to daemons that were replaced do
// not accumulate. It reports whether the link was removed, which happens only
// with Config.AllowUnlisted.
func (l *Links) removeIdleLink(k *link) bool {
	if !l.cfg.AllowUnlisted {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.links, k.id)
	return true
}

// currentLinks returns a copy of the table of links.
func (l *Links) currentLinks() map[gypsumshelf.DaemonID]*link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.links)
}

// isAdmitted reports whether a daemon may connect to this one.
func (l *Links) isAdmitted(id gypsumshelf.DaemonID) bool {
	if l.cfg.AllowUnlisted {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[id] != nil
}

// Send queues a message for a peer. The message is dropped when the peer is not
// admitted or its queue is full.
func (l *Links) Send(to gypsumshelf.DaemonID, payload any) {
	k := l.linkTo(to)
	if k == nil {
		return
	}
	k.pending.Add(1)
	select {
	case k.queue <- Envelope{From: l.cfg.Daemon, Payload: payload}:
	default:
		k.pending.Add(-1)
	}
}

// Broadcast queues a message for all peers.
func (l *Links) Broadcast(payload any) {
	for id := range l.currentLinks() {
		l.Send(id, payload)
	}
}

// Drain waits until every queued envelope is delivered or lost with its
// connection, or until ctx is done.
func (l *Links) Drain(ctx context.Context) {
	for _, k := range l.currentLinks() {
		for k.pending.Load() > 0 && ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(drainPollInterval):
			}
		}
	}
}

// Bytes returns the total number of bytes sent to and received from all peers.
func (l *Links) Bytes() (sent, received uint64) { return l.bytes.sent.Load(), l.bytes.received.Load() }

// Close closes the listener and all connections and waits for their goroutines.
func (l *Links) Close() {
	close(l.stop)
	l.listener.Close()
	l.mu.Lock()
	l.closed = true
	for c := range l.accepted {
		c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

func (l *Links) acceptLoop() {
	defer l.wg.Done()
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return // closed
		}
		s := &session{links: l, conn: &countingConn{Conn: conn, counters: &l.bytes, readTimeout: sessionReadTimeout}}
		l.mu.Lock()
		l.accepted[conn] = true
		l.mu.Unlock()
		l.wg.Add(1)
		go s.run()
	}
}
