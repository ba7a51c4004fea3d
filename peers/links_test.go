package peers

import (
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// inbox collects received payloads.
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
			t.Fatalf("never happened: %s", condition)
		}
	}
}

func newLinks(t *testing.T, deployment string, daemon gypsumshelf.DaemonID, l net.Listener, peers map[gypsumshelf.DaemonID]string, b *inbox) *Links {
	t.Helper()
	links := New(Config{Deployment: deployment, Daemon: daemon, Peers: peers, Receive: b.receive}, l)
	t.Cleanup(links.Close)
	return links
}

// Guards against envelopes that are lost, reordered or attributed to another
// daemon on a healthy link.
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

// Guards against a peer of another deployment, or one that the settings do not
// list, whose messages reach the reducer.
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
					t.Error("hello was accepted")
				}
			}
			if err := client.Call("Peer.Deliver", []Envelope{{From: "a", Payload: 1}}, &struct{}{}); err == nil {
				t.Error("envelope was accepted")
			}
			if b.len() != 0 {
				t.Errorf("%d envelopes reached the daemon", b.len())
			}
		})
	}
}

// Guards against a connection that has gone silent and is kept although a new
// connection to the same peer works.
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

// relay forwards connections and can make the open ones silent for good.
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

// Guards against daemons that join at an address no settings file lists and
// that cannot talk to the others.
func TestOpenLinksReachUnlistedDaemons(t *testing.T) {
	listenerA, listenerB := newListener(t), newListener(t)
	var inboxA, inboxB inbox
	open := func(l net.Listener, received *inbox) *Links {
		links := New(Config{Deployment: "d", Daemon: gypsumshelf.DaemonID(l.Addr().String()), Open: true, Receive: received.receive}, l)
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
