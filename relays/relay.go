package relays

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/answers"
	"gypsumshelf.example/gypsumshelf/faults"
	"gypsumshelf.example/gypsumshelf/listeners"
)

const (
	// openingTimeout bounds the wait for an opening, which is sent at once.
	openingTimeout = time.Second
	// relayDialTimeout bounds the connection of a relay to a backend server.
	relayDialTimeout = 250 * time.Millisecond
	// maxLifetime bounds what an opening may ask for. It is above the longest time
	// limits of requests.
	maxLifetime = time.Hour
	// lifetimeMargin lets the daemon that holds the request end it first.
	lifetimeMargin = 2 * time.Second
	// maxConnections bounds the connections that are relayed at once, to about 16 MB of
	// buffers and stacks.
	maxConnections = 256
	// maxConnectionsOfDaemon leaves room for others when one daemon needs much.
	maxConnectionsOfDaemon = maxConnections / 2
	// drainTimeout bounds the time in which a daemon reads the last frames.
	drainTimeout = 2 * time.Second
)

// RelayConfig configures a Relay.
type RelayConfig struct {
	Listener net.Listener
	Servers  Servers
	Dial     Dial // connects to backend servers
	// Admits reports whether the daemon at an IP address belongs to the deployment.
	Admits func(ip netip.Addr) bool
	// IsServiceLost reports whether this daemon has lost its own path to a service.
	IsServiceLost func(service string) bool
	Log           *logrus.Entry
}

// Relay connects other entry daemons to backend servers that they cannot reach.
type Relay struct {
	cfg          RelayConfig
	wg           sync.WaitGroup
	closed       context.Context    // ends with Close
	closeServers context.CancelFunc // ends closed

	mu       sync.Mutex
	conns    map[*relayedConn]bool
	byDaemon map[netip.Addr]int
	stopping bool
}

// NewRelay returns a running Relay.
func NewRelay(cfg RelayConfig) *Relay {
	cfg.Listener = listeners.New(cfg.Listener, cfg.Log)
	r := &Relay{cfg: cfg, conns: map[*relayedConn]bool{}, byDaemon: map[netip.Addr]int{}}
	r.closed, r.closeServers = context.WithCancel(context.Background())
	r.wg.Add(1)
	go r.run()
	return r
}

// Active returns the number of connections that are relayed now.
func (r *Relay) Active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// Drain makes the relay reject new connections. Those in use go on.
func (r *Relay) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// Close ends all connections and waits until they have ended.
func (r *Relay) Close() {
	r.Drain()
	r.cfg.Listener.Close()
	r.mu.Lock()
	for c := range r.conns {
		c.conn.Close()
	}
	r.mu.Unlock()
	// Other daemons would take an earlier close for a reset by the backend server.
	r.closeServers()
	r.wg.Wait()
}

func (r *Relay) run() {
	defer r.wg.Done()
	for {
		conn, err := r.cfg.Listener.Accept()
		if err != nil {
			return // closed
		}
		c := &relayedConn{relay: r, conn: conn}
		if address, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
			c.from = address.AddrPort().Addr().Unmap()
		}
		reason := r.add(c)
		r.wg.Add(1)
		go c.run(reason)
	}
}

// add counts a connection. It returns the reason if there is no room for it.
func (r *Relay) add(c *relayedConn) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
	r.byDaemon[c.from]++
	switch {
	case r.stopping:
		return "stopping"
	case len(r.conns) > maxConnections, r.byDaemon[c.from] > maxConnectionsOfDaemon:
		return "too many connections"
	}
	return ""
}

func (r *Relay) remove(c *relayedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	if r.byDaemon[c.from]--; r.byDaemon[c.from] == 0 {
		delete(r.byDaemon, c.from)
	}
}

// relayedConn is a connection of another daemon.
type relayedConn struct {
	relay  *Relay
	conn   net.Conn
	from   netip.Addr
	reader *bufio.Reader
	server *answers.Conn
}

// run relays the connection, or rejects it for a reason that is not empty.
func (c *relayedConn) run(reason string) {
	defer c.relay.wg.Done()
	defer c.relay.remove(c)
	defer c.conn.Close()
	var err error
	defer faults.Recover(c.relay.cfg.Log, "relay", &err)
	c.reader = bufio.NewReaderSize(c.conn, maxFrameBytes)
	a := answer{Verdict: rejected, Reason: reason}
	if reason == "" {
		if a, err = c.open(); err != nil {
			c.relay.cfg.Log.WithField("from", c.from).WithError(err).Warn("another daemon's connection has no valid opening")
			return
		}
	}
	if c.server != nil {
		defer c.server.Close()
		stop := context.AfterFunc(c.relay.closed, func() { c.server.Close() })
		defer stop()
	}
	if a.Verdict == rejected {
		c.relay.cfg.Log.WithFields(logrus.Fields{"from": c.from, "reason": a.Reason}).Info("a connection is not relayed")
	}
	if err := writeLine(c.conn, a); err != nil || a.Verdict != connected {
		return // the other daemon closes the connection without waiting longer than it wants
	}
	requests := &requestWriter{server: c.server}
	if a.Sized {
		requests.end = c.server.BeginRequest()
	}
	responses := &responseCopier{conn: c, done: make(chan struct{})}
	go responses.run()
	if a.Sized {
		requests.left = c.readSize()
	}
	// Until the other daemon closes the connection; the backend server then cancels its
	// work.
	_, _ = io.CopyBuffer(requests, struct{ io.Reader }{c.reader}, make([]byte, maxFrameBytes))
	if requests.failed {
		// What the backend server has sent before it took no more is still on its way, and
		// closing a connection with unread bytes would reset it.
		_, _ = io.Copy(io.Discard, c.reader)
	}
	c.server.Close()
	<-responses.done
}

// requestWriter sends what the other daemon sends to the backend server.
type requestWriter struct {
	server net.Conn
	failed bool
	left   int64  // bytes of the request
	end    func() // called once the request has been written; nil if its size is not known
}

// Write implements io.Writer.
func (w *requestWriter) Write(b []byte) (int, error) {
	n, err := w.server.Write(b)
	w.failed = err != nil
	w.left -= int64(n)
	if w.end != nil && (w.failed || w.left <= 0) {
		w.end()
		w.end = nil
	}
	return n, err
}

// readSize reads the size of the request. It returns 0 if the other daemon sends none.
func (c *relayedConn) readSize() int64 {
	var size [requestSizeBytes]byte
	if _, err := io.ReadFull(c.reader, size[:]); err != nil {
		return 0 // the copy of the request fails as well
	}
	return int64(binary.BigEndian.Uint64(size[:]))
}

// open reads the opening and connects to the backend server.
func (c *relayedConn) open() (answer, error) {
	if err := c.conn.SetDeadline(time.Now().Add(openingTimeout)); err != nil {
		return answer{}, err
	}
	var o opening
	if err := readLine(c.reader, &o); err != nil {
		return answer{}, err
	}
	lifetime := min(maxLifetime, max(0, time.Duration(o.LifetimeMs)*time.Millisecond)) + lifetimeMargin
	if err := c.conn.SetDeadline(time.Now().Add(lifetime)); err != nil {
		return answer{}, err
	}
	return c.connect(o, lifetime), nil
}

// connect connects to the backend server if the other daemon may be served.
func (c *relayedConn) connect(o opening, lifetime time.Duration) answer {
	cfg := c.relay.cfg
	service, known := cfg.Servers.ServiceAt(o.Address)
	switch {
	case !cfg.Admits(c.from):
		return answer{Verdict: rejected, Reason: "not a daemon of the deployment"}
	case !known:
		return answer{Verdict: rejected, Reason: "no backend server is known at the address"}
	case o.NewWork && !cfg.Servers.UsableAt(o.Address):
		return answer{Verdict: rejected, Reason: "the backend server takes no new work"}
	case cfg.IsServiceLost(service):
		return answer{Verdict: pathLost}
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayDialTimeout)
	defer cancel()
	server, err := cfg.Dial(ctx, "tcp", o.Address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return answer{Verdict: refused}
	case err != nil:
		return answer{Verdict: unreachable}
	}
	c.server = answers.NewConn(answers.Config{Conn: server})
	if err := c.server.SetDeadline(time.Now().Add(lifetime)); err != nil {
		return answer{Verdict: unreachable}
	}
	return answer{Verdict: connected, Sized: o.Sized}
}

// responseCopier sends what the backend server sends, in frames.
type responseCopier struct {
	conn *relayedConn
	done chan struct{}
}

func (r *responseCopier) run() {
	defer close(r.done)
	buffer := make([]byte, frameHeaderBytes+maxFrameBytes)
	for {
		n, err := r.conn.server.Read(buffer[frameHeaderBytes:])
		if n > 0 {
			buffer[0] = byte(frameData)
			binary.BigEndian.PutUint16(buffer[1:], uint16(n))
			if _, writeErr := r.conn.conn.Write(buffer[:frameHeaderBytes+n]); writeErr != nil {
				r.conn.conn.Close() // ends the other direction
				return
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF):
			r.finish(frameEnd)
		default:
			r.finish(frameReset)
		}
		return
	}
}

// finish sends the last frame. The connection stays open until the other daemon closes
// it: closing it with unread bytes would reset it, and frames on their way would be lost.
func (r *responseCopier) finish(kind frameKind) {
	if _, err := r.conn.conn.Write([]byte{byte(kind), 0, 0}); err != nil {
		r.conn.conn.Close()
		return
	}
	_ = r.conn.conn.SetReadDeadline(time.Now().Add(drainTimeout)) // fails on a closed connection only
}
