package peers

import (
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// inbox collects the received payloads and their senders.
type inbox struct {
	mu       sync.Mutex
	senders  []gypsumshelf.DaemonID
	payloads []any
}

func (b *inbox) receive(e Envelope) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.senders = append(b.senders, e.From)
	b.payloads = append(b.payloads, e.Payload)
}

func (b *inbox) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.payloads)
}

func newListener(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func waitFor(t *testing.T, condition string, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(60 * time.Second); !reached(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not reached within 60 s: %s", condition)
		}
	}
}

func newLinks(t *testing.T, deployment string, daemon gypsumshelf.DaemonID, l net.Listener, peers map[gypsumshelf.DaemonID]string, b *inbox) *Links {
	t.Helper()
	links := New(Config{Deployment: deployment, Daemon: daemon, Peers: peers, Receive: b.receive}, l)
	t.Cleanup(links.Close)
	return links
}

// Guards against envelopes that are lost, reordered or attributed to the wrong
// daemon on a working link.
func TestLinksDeliverInOrder(t *testing.T) {
	listenerA, listenerB := newListener(t), newListener(t)
	var inboxA, inboxB inbox
	newLinks(t, "d", "b", listenerB, map[gypsumshelf.DaemonID]string{"a": listenerA.Addr().String()}, &inboxB)
	sender := newLinks(t, "d", "a", listenerA, map[gypsumshelf.DaemonID]string{"b": listenerB.Addr().String()}, &inboxA)
	const n = 500
	for i := range n {
		sender.Send("b", i)
	}
	waitFor(t, "all envelopes arrive", func() bool { return inboxB.len() == n })
	for i, payload := range inboxB.payloads {
		if payload != i || inboxB.senders[i] != "a" {
			t.Fatalf("envelope %d is %v from %q", i, payload, inboxB.senders[i])
		}
	}
	if sent, _ := sender.Bytes(); sent == 0 {
		t.Error("no bytes were counted")
	}
}

// Guards against messages that reach the reducer from a peer of another deployment
// or one that is not listed in the settings.
func TestUnknownPeersAreRejected(t *testing.T) {
	l := newListener(t)
	var b inbox
	newLinks(t, "ostalpen", "b", l, map[gypsumshelf.DaemonID]string{"a": "127.0.0.1:1"}, &b)
	for _, c := range []struct {
		name  string
		hello *Hello
	}{
		{"other deployment", &Hello{Deployment: "senegal-west", Daemon: "a"}},
		{"unlisted daemon", &Hello{Deployment: "ostalpen", Daemon: "z"}},
		{"no hello", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, err := rpc.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			if c.hello != nil {
				if err := client.Call("Peer.Hello", *c.hello, &struct{}{}); err == nil {
					t.Error("hello was accepted, want an error")
				}
			}
			if err := client.Call("Peer.Deliver", []Envelope{{From: "a", Payload: 1}}, &struct{}{}); err == nil {
				t.Error("envelope was accepted, want an error")
			}
			if b.len() != 0 {
				t.Errorf("%d envelopes reached the daemon", b.len())
			}
		})
	}
}

// Guards against a connection that is kept although it no longer carries data and
// a new connection to the same peer would work.
func TestUnresponsiveConnectionIsRedialled(t *testing.T) {
	relayListener := newListener(t)
	listenerA, listenerB := newListener(t), newListener(t)
	var inboxA, inboxB inbox
	newLinks(t, "d", "b", listenerB, map[gypsumshelf.DaemonID]string{"a": listenerA.Addr().String()}, &inboxB)
	relay := &relay{listener: relayListener, targetAddress: listenerB.Addr().String()}
	go relay.loop()
	sender := newLinks(t, "d", "a", listenerA, map[gypsumshelf.DaemonID]string{"b": relayListener.Addr().String()}, &inboxA)
	sender.Send("b", "before")
	waitFor(t, "first envelope arrives", func() bool { return inboxB.len() == 1 })
	relay.silenceAll()
	waitFor(t, "an envelope arrives on a new connection", func() bool {
		sender.Send("b", "after")
		return inboxB.len() > 1
	})
}

// relay forwards connections. silenceAll makes it drop all further data on those
// that are open.
type relay struct {
	listener      net.Listener
	targetAddress string
	mu            sync.Mutex
	pipes         []*pipe
}

type pipe struct {
	source, destination net.Conn
	mu                  sync.Mutex
	silent              bool
}

func (r *relay) silenceAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.pipes {
		s.mu.Lock()
		s.silent = true
		s.mu.Unlock()
	}
}

func (r *relay) loop() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.targetAddress)
		if err != nil {
			in.Close()
			continue
		}
		for _, s := range []*pipe{{source: in, destination: out}, {source: out, destination: in}} {
			r.mu.Lock()
			r.pipes = append(r.pipes, s)
			r.mu.Unlock()
			go s.run()
		}
	}
}

func (s *pipe) run() {
	buffer := make([]byte, 4096)
	for {
		n, err := s.source.Read(buffer)
		if err != nil {
			s.destination.Close()
			return
		}
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if !silent {
			_, _ = s.destination.Write(buffer[:n])
		}
	}
}

// Guards against links that cannot reach a daemon whose address is not in the
// settings, although Config.AllowUnlisted is set.
func TestLinksReachUnlistedDaemons(t *testing.T) {
	listenerA, listenerB := newListener(t), newListener(t)
	var inboxA, inboxB inbox
	open := func(l net.Listener, received *inbox) *Links {
		links := New(Config{Deployment: "d", Daemon: gypsumshelf.DaemonID(l.Addr().String()), AllowUnlisted: true, Receive: received.receive}, l)
		t.Cleanup(links.Close)
		return links
	}
	sender := open(listenerA, &inboxA)
	open(listenerB, &inboxB)
	sender.Send(gypsumshelf.DaemonID(listenerB.Addr().String()), 1)
	waitFor(t, "the message arrives", func() bool { return inboxB.len() == 1 })
	if got := string(inboxB.senders[0]); got != listenerA.Addr().String() {
		t.Errorf("message is attributed to %q", got)
	}
}
