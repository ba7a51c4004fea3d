package forwards

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"

	"gypsumshelf.example/gypsumshelf/relays"
)

// pipeNetwork connects callers, a forwarder and backend servers within one
// synctest bubble, whose clock stands still while any of them runs.
type pipeNetwork struct {
	directDialer

	mu        sync.Mutex
	listeners map[string]*pipeListener // by address
	noWay     func() bool              // nil while every service can be reached
}

func newPipeNetwork() *pipeNetwork { return &pipeNetwork{listeners: map[string]*pipeListener{}} }

func (n *pipeNetwork) listen() *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{address: fmt.Sprintf("127.0.0.1:%d", 1+len(n.listeners)), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[l.address] = l
	return l
}

// dialContext is a DialContext of http.Transport.
func (n *pipeNetwork) dialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Dial implements Dialer.
func (n *pipeNetwork) Dial(ctx context.Context, t relays.Target) (net.Conn, error) {
	return n.dialContext(ctx, "tcp", t.Address)
}

// HasNoWay implements Dialer.
func (n *pipeNetwork) HasNoWay(string) bool { return n.noWay != nil && n.noWay() }

// pipeListener is the net.Listener of one address of a pipeNetwork.
type pipeListener struct {
	address string
	conns   chan net.Conn
	close   sync.Once
	closed  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.address) }

type pipeAddr string

func (pipeAddr) Network() string  { return "tcp" }
func (a pipeAddr) String() string { return string(a) }
