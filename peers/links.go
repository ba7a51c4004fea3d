// Package peers carries envelopes between the daemons of a deployment over
// net/rpc.
package peers

import (
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

const (
	queueLength   = 1024 // envelopes that wait for one peer
	redialPause   = 200 * time.Millisecond
	heartbeatGap  = 500 * time.Millisecond // idle time after which a heartbeat is sent
	silenceLimit  = 2 * time.Second        // time without an answer after which a connection is dropped
	dialTimeout   = time.Second
	maxBatch      = 256 // envelopes in one call
	helloDeadline = 2 * time.Second
)

// Envelope carries one message between daemons. The concrete type of Payload
// is registered with gob by the package that owns it.
type Envelope struct {
	From    gypsumshelf.DaemonID
	Payload any
}

// Hello is the first message on a connection.
type Hello struct {
	Deployment string
	Daemon     gypsumshelf.DaemonID
}

// Config configures Links.
type Config struct {
	Deployment string
	Daemon     gypsumshelf.DaemonID
	Peers      map[gypsumshelf.DaemonID]string // address of each other daemon
	Receive    func(Envelope)                  // called for each received envelope
}

// Links holds the connections to all peers.
type Links struct {
	cfg      Config
	listener net.Listener
	links    map[gypsumshelf.DaemonID]*link
	stop     chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	accepted map[net.Conn]bool
}

// New returns Links that listen and dial.
func New(cfg Config, listener net.Listener) *Links {
	l := &Links{cfg: cfg, listener: listener, links: map[gypsumshelf.DaemonID]*link{}, stop: make(chan struct{}), accepted: map[net.Conn]bool{}}
	for id, address := range cfg.Peers {
		k := &link{owner: l, address: address, queue: make(chan Envelope, queueLength)}
		l.links[id] = k
		l.wg.Add(1)
		go k.loop()
	}
	l.wg.Add(1)
	go l.loop()
	return l
}

// Send queues a message for a peer; it is dropped when the queue is full.
func (l *Links) Send(to gypsumshelf.DaemonID, payload any) {
	k := l.links[to]
	if k == nil {
		return
	}
	select {
	case k.queue <- Envelope{From: l.cfg.Daemon, Payload: payload}:
	default:
	}
}

// Broadcast queues a message for all peers.
func (l *Links) Broadcast(payload any) {
	for id := range l.links {
		l.Send(id, payload)
	}
}

// Close drops all connections.
func (l *Links) Close() {
	close(l.stop)
	l.listener.Close()
	l.mu.Lock()
	for c := range l.accepted {
		c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

func (l *Links) loop() {
	defer l.wg.Done()
	for {
		conn, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s := &session{owner: l, conn: conn}
		l.mu.Lock()
		l.accepted[conn] = true
		l.mu.Unlock()
		l.wg.Add(1)
		go s.run()
	}
}

// session serves one accepted connection.
type session struct {
	owner *Links
	conn  net.Conn
}

func (s *session) run() {
	defer s.owner.wg.Done()
	defer func() {
		s.conn.Close()
		s.owner.mu.Lock()
		delete(s.owner.accepted, s.conn)
		s.owner.mu.Unlock()
	}()
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", &Service{owner: s.owner}); err != nil {
		return
	}
	server.ServeConn(s.conn)
}

// Service is the net/rpc service of a daemon, one for each connection.
type Service struct {
	owner *Links
	mu    sync.Mutex
	hello *Hello
}

// Hello opens a connection; a peer of another deployment is refused.
func (s *Service) Hello(h Hello, _ *struct{}) error {
	if h.Deployment != s.owner.cfg.Deployment {
		return fmt.Errorf("deployment %q is not %q", h.Deployment, s.owner.cfg.Deployment)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hello = &h
	return nil
}

// Deliver takes a batch of envelopes; an empty batch is a heartbeat.
func (s *Service) Deliver(batch []Envelope, _ *struct{}) error {
	s.mu.Lock()
	known := s.hello != nil
	s.mu.Unlock()
	if !known {
		return errors.New("no hello on this connection")
	}
	for _, e := range batch {
		s.owner.cfg.Receive(e)
	}
	return nil
}

// link is the outgoing connection to one peer.
type link struct {
	owner   *Links
	address string
	queue   chan Envelope
}

func (k *link) loop() {
	defer k.owner.wg.Done()
	for {
		client, err := k.dial()
		if err == nil {
			k.pump(client)
			client.Close()
		}
		select {
		case <-k.owner.stop:
			return
		case <-time.After(redialPause):
		}
	}
}

func (k *link) dial() (*rpc.Client, error) {
	conn, err := net.DialTimeout("tcp", k.address, dialTimeout)
	if err != nil {
		return nil, err
	}
	client := rpc.NewClient(conn)
	hello := Hello{Deployment: k.owner.cfg.Deployment, Daemon: k.owner.cfg.Daemon}
	if err := call(client, "Peer.Hello", hello, helloDeadline); err != nil {
		client.Close()
		return nil, err
	}
	return client, nil
}

// pump delivers queued envelopes until the connection fails or goes silent.
func (k *link) pump(client *rpc.Client) {
	for {
		batch := k.take()
		if batch == nil {
			return
		}
		if err := call(client, "Peer.Deliver", batch, silenceLimit); err != nil {
			return
		}
	}
}

// take waits for envelopes; it returns an empty batch when a heartbeat is due
// and nil when the links are closed.
func (k *link) take() []Envelope {
	batch := make([]Envelope, 0, 1)
	select {
	case <-k.owner.stop:
		return nil
	case <-time.After(heartbeatGap):
		return batch
	case e := <-k.queue:
		batch = append(batch, e)
	}
	for len(batch) < maxBatch {
		select {
		case e := <-k.queue:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

var errSilent = errors.New("peer does not answer")

func call(client *rpc.Client, method string, args any, limit time.Duration) error {
	pending := client.Go(method, args, &struct{}{}, make(chan *rpc.Call, 1))
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case done := <-pending.Done:
		return done.Error
	case <-timer.C:
		return errSilent
	}
}
