// Package soaks holds the protocol-independent parts of a soak test with fault
// injection: proxies that disturb connections, and a checker of what callers and
// backend servers observed.
package soaks

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Network holds the proxies in front of backend servers.
type Network struct {
	mu      sync.Mutex
	proxies []*Proxy
}

// faultKind is a fault that a proxy injects into its connections.
type faultKind int

const (
	faultNone faultKind = iota
	faultDelay
	faultReset
	faultSilence // requests pass, responses are discarded
)

// Proxy forwards TCP connections to a backend server.
type Proxy struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	fault    faultKind
	faultEnd time.Time
	conns    map[net.Conn]bool
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// proxyDelay is the time for which faultDelay holds each read back.
const proxyDelay = 150 * time.Millisecond

// StartProxy starts a proxy in front of an address.
func (n *Network) StartProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	n.mu.Lock()
	n.proxies = append(n.proxies, p)
	n.mu.Unlock()
	go p.acceptLoop()
	return p, nil
}

// InjectFault injects a fault into a random proxy for the duration d. Kinds are
// 0 for delay, 1 for reset and 2 for silence.
func (n *Network) InjectFault(r *rand.Rand, kind int, d time.Duration) {
	n.mu.Lock()
	p := n.proxies[r.IntN(len(n.proxies))]
	n.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.faultEnd = faultKind(kind+1), time.Now().Add(d)
	if p.fault == faultReset {
		for c := range p.conns {
			resetConn(c)
		}
	}
}

// Heal ends all faults.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.proxies {
		p.mu.Lock()
		p.fault = faultNone
		p.mu.Unlock()
	}
}

// Close stops all proxies from accepting connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.proxies {
		p.listener.Close()
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// With a linger time of 0, Close sends RST instead of FIN.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (p *Proxy) currentFault() faultKind {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().After(p.faultEnd) {
		return faultNone
	}
	return p.fault
}

func (p *Proxy) acceptLoop() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		proxied := &connection{proxy: p, conn: c}
		go proxied.run()
	}
}

// connection is a client connection through a proxy.
type connection struct {
	proxy *Proxy
	conn  net.Conn
}

func (c *connection) run() {
	p := c.proxy
	if p.currentFault() == faultReset {
		resetConn(c.conn)
		return
	}
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConn(c.conn)
		return
	}
	p.mu.Lock()
	p.conns[c.conn] = true
	p.mu.Unlock()
	responses := &copier{connection: c, from: target, to: c.conn, fromServer: true}
	go responses.run()
	(&copier{connection: c, from: c.conn, to: target}).run()
	p.mu.Lock()
	delete(p.conns, c.conn)
	p.mu.Unlock()
}

// copier copies the bytes of one direction of a connection.
type copier struct {
	connection *connection
	from, to   net.Conn
	fromServer bool
}

func (c *copier) run() {
	buffer := make([]byte, 8<<10)
	for {
		n, err := c.from.Read(buffer)
		switch fault := c.connection.proxy.currentFault(); {
		case fault == faultDelay:
			time.Sleep(proxyDelay)
		case fault == faultSilence && c.fromServer:
			// The connection stays silent even after the fault has ended, since
			// bytes of it have been discarded.
			_, _ = io.Copy(io.Discard, c.from)
			return
		}
		if _, writeErr := c.to.Write(buffer[:n]); err != nil || writeErr != nil {
			c.to.Close()
			c.from.Close()
			return
		}
	}
}
