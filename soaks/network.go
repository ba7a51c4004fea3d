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

// disturbance is what a proxy does to its connections.
type disturbance int

const (
	none disturbance = iota
	delayed
	resetting
	silent // bytes to the runner pass, those of its answers do not
)

// Proxy forwards connections to a runner.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	state disturbance
	until time.Time
	conns map[net.Conn]bool
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// proxyDelay is the time by which a delayed connection holds bytes back.
const proxyDelay = 150 * time.Millisecond

// Proxy starts a proxy in front of an address.
func (n *Network) Proxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	n.mu.Lock()
	n.proxies = append(n.proxies, p)
	n.mu.Unlock()
	go p.loop()
	return p, nil
}

// Disturb applies a disturbance to a proxy for a time.
func (n *Network) Disturb(r *rand.Rand, kind int, d time.Duration) {
	n.mu.Lock()
	p := n.proxies[r.IntN(len(n.proxies))]
	n.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state, p.until = disturbance(kind+1), time.Now().Add(d)
	if p.state == resetting {
		for c := range p.conns {
			drop(c)
		}
	}
}

// Heal ends all disturbances.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.proxies {
		p.mu.Lock()
		p.state = none
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

// drop resets a connection.
func drop(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without lingering a close sends a reset.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (p *Proxy) now() disturbance {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().After(p.until) {
		return none
	}
	return p.state
}

func (p *Proxy) loop() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		f := &forwarding{proxy: p, conn: c}
		go f.run()
	}
}

// forwarding is one connection through a proxy.
type forwarding struct {
	proxy *Proxy
	conn  net.Conn
}

func (f *forwarding) run() {
	p := f.proxy
	if p.now() == resetting {
		drop(f.conn)
		return
	}
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		drop(f.conn)
		return
	}
	p.mu.Lock()
	p.conns[f.conn] = true
	p.mu.Unlock()
	back := &copying{forwarding: f, from: target, to: f.conn, answers: true}
	go back.run()
	(&copying{forwarding: f, from: f.conn, to: target}).run()
	p.mu.Lock()
	delete(p.conns, f.conn)
	p.mu.Unlock()
}

// copying is one direction of a connection.
type copying struct {
	forwarding *forwarding
	from, to   net.Conn
	answers    bool
}

func (c *copying) run() {
	buffer := make([]byte, 8<<10)
	for {
		n, err := c.from.Read(buffer)
		switch state := c.forwarding.proxy.now(); {
		case state == delayed:
			time.Sleep(proxyDelay)
		case state == silent && c.answers:
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
