package main

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay forwards TCP connections to a target. While it is cut, it keeps the
// connections open and drops all data, like a network that drops every packet.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newRelay(t testing.TB, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target}
	t.Cleanup(r.close)
	go r.acceptLoop()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if !cut { // the dropped data is missing from the streams, so both ends must reconnect
		for _, c := range r.conns {
			c.Close()
		}
		r.conns = nil
	}
}

func (r *relay) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

func (r *relay) close() {
	r.listener.Close()
	r.setCut(false)
}

func (r *relay) acceptLoop() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns = append(r.conns, in)
		r.mu.Unlock()
		if r.isCut() {
			continue
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			in.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, out)
		r.mu.Unlock()
		go (&pipe{relay: r, from: in, to: out}).run()
		go (&pipe{relay: r, from: out, to: in}).run()
	}
}

// pipe forwards one direction of a connection.
type pipe struct {
	relay    *relay
	from, to net.Conn
}

func (p *pipe) run() {
	defer p.to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := p.from.Read(buf)
		for p.relay.isCut() && err == nil {
			n, err = p.from.Read(buf) // dropped
		}
		if err != nil {
			return
		}
		if _, err := p.to.Write(buf[:n]); err != nil && err != io.EOF {
			return
		}
	}
}
