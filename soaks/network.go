// Package soaks holds what a fault soak needs whatever the daemons speak: proxies
// that disturb connections, and a checker of what callers and backend servers saw.
package soaks

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Network holds the proxies in front of runners.
type Network struct {
	mu      sync.Mutex
	proxies []*Proxy
}

// faultKind is what a proxy does to its connections.
type faultKind int

const (
	faultNone faultKind = iota
	faultDelay
	faultReset
	faultSilence // bytes to the runner pass, those of its answers do not
)

// Proxy forwards connections to a runner.
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

// proxyDelay is the time by which a delayed connection holds bytes back.
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

// InjectFault applies a disturbance to a proxy for a time.
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

// Heal ends all disturbances.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.proxies {
		p.mu.Lock()
		p.fault = faultNone
		p.mu.Unlock()
	}
}

// Close ends all proxies.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.proxies {
		p.listener.Close()
	}
}

// resetConn resets a connection.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without lingering a close sends a reset.
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

// connection is one connection through a proxy.
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

// copier is one direction of a connection.
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
			// The connection has lost track of its other end for good.
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
