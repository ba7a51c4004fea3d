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
	mu   sync.Mutex
	from []gypsumshelf.DaemonID
	got  []any
}

func (b *inbox) receive(e Envelope) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.from = append(b.from, e.From)
	b.got = append(b.got, e.Payload)
}

func (b *inbox) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.got)
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

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(60 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never happened: %s", what)
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
	la, lb := newListener(t), newListener(t)
	var a, b inbox
	newLinks(t, "d", "b", lb, map[gypsumshelf.DaemonID]string{"a": la.Addr().String()}, &b)
	from := newLinks(t, "d", "a", la, map[gypsumshelf.DaemonID]string{"b": lb.Addr().String()}, &a)
	const n = 500
	for i := range n {
		from.Send("b", i)
	}
	waitFor(t, "all envelopes arrive", func() bool { return b.len() == n })
	for i, payload := range b.got {
		if payload != i || b.from[i] != "a" {
			t.Fatalf("envelope %d is %v from %q", i, payload, b.from[i])
		}
	}
	if sent, _ := from.Bytes(); sent == 0 {
		t.Error("no bytes were counted")
	}
}

// Guards against a peer of another deployment, or one that the settings do not
// list, whose messages reach the reducer.
func TestStrangersAreRefused(t *testing.T) {
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
func TestSilentConnectionIsRedialled(t *testing.T) {
	front := newListener(t)
	la, lb := newListener(t), newListener(t)
	var a, b inbox
	newLinks(t, "d", "b", lb, map[gypsumshelf.DaemonID]string{"a": la.Addr().String()}, &b)
	relay := &relay{listener: front, target: lb.Addr().String()}
	go relay.loop()
	from := newLinks(t, "d", "a", la, map[gypsumshelf.DaemonID]string{"b": front.Addr().String()}, &a)
	from.Send("b", "before")
	waitFor(t, "first envelope arrives", func() bool { return b.len() == 1 })
	relay.silence()
	waitFor(t, "an envelope arrives on a new connection", func() bool {
		from.Send("b", "after")
		return b.len() > 1
	})
}

// relay forwards connections and can make the open ones silent for good.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     []*silencer
}

type silencer struct {
	from, to net.Conn
	mu       sync.Mutex
	silent   bool
}

func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.open {
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
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			in.Close()
			continue
		}
		for _, s := range []*silencer{{from: in, to: out}, {from: out, to: in}} {
			r.mu.Lock()
			r.open = append(r.open, s)
			r.mu.Unlock()
			go s.run()
		}
	}
}

func (s *silencer) run() {
	buffer := make([]byte, 4096)
	for {
		n, err := s.from.Read(buffer)
		if err != nil {
			s.to.Close()
			return
		}
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if !silent {
			_, _ = s.to.Write(buffer[:n])
		}
	}
}

// Guards against daemons that join at an address no settings file lists and
// that cannot talk to the others.
func TestOpenLinksReachUnlistedDaemons(t *testing.T) {
	la, lb := newListener(t), newListener(t)
	var a, b inbox
	open := func(l net.Listener, b *inbox) *Links {
		links := New(Config{Deployment: "d", Daemon: gypsumshelf.DaemonID(l.Addr().String()), Open: true, Receive: b.receive}, l)
		t.Cleanup(links.Close)
		return links
	}
	from := open(la, &a)
	open(lb, &b)
	from.Send(gypsumshelf.DaemonID(lb.Addr().String()), 1)
	waitFor(t, "the message arrives", func() bool { return b.len() == 1 })
	if got := string(b.from[0]); got != la.Addr().String() {
		t.Errorf("message is attributed to %q", got)
	}
}
