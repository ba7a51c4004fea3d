package directories

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/rosters"
)

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// serve runs a publisher on a loopback address.
func serve(t *testing.T, p *Publisher) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewServer(l, map[string]any{ServiceName: p})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return l.Addr().String()
}

// holder is a daemon that holds a state and records.
type holder struct {
	mu      sync.Mutex
	state   catalogs.State
	fetched int
	records map[string]rosters.Record
}

func (h *holder) index() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Index
}

func (h *holder) install(s catalogs.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = s
	h.fetched++
}

func (h *holder) hear(_ string, v View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range v.Records {
		h.records[string(r.ID)] = r
	}
}

func subscribe(t *testing.T, h *holder, seeds ...string) *Subscriber {
	t.Helper()
	h.records = map[string]rosters.Record{}
	s := NewSubscriber(SubscriberConfig{Daemon: "d", Entry: true, Seeds: seeds, Log: quiet(), Index: h.index, Install: h.install, Receive: h.hear})
	s.Run()
	t.Cleanup(s.Close)
	return s
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never happened: %s", what)
		}
	}
}

// Guards against a daemon that is told one address and stays with it, and
// against states that are carried over every connection.
func TestSubscriberFindsAllPublishers(t *testing.T) {
	first, second := NewPublisher(), NewPublisher()
	a, b := serve(t, first), serve(t, second)
	first.SetLeader(a, 1, []string{a, b})
	var h holder
	s := subscribe(t, &h, a)
	eventually(t, "both publishers are polled", func() bool { return len(s.Reachable()) == 2 })
	state := catalogs.State{Index: 4, Version: 2, Document: []byte("x")}
	first.SetState(state)
	second.SetState(state)
	eventually(t, "the state arrives", func() bool { return h.index() == 4 })
	second.Publish(rosters.Record{ID: "s1"})
	eventually(t, "a record of the second publisher arrives", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.records["s1"].ID == "s1"
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fetched != 1 {
		t.Errorf("the state was fetched %d times", h.fetched)
	}
}

// Guards against an acknowledged leave that a daemon which polls has not heard of.
func TestAwaitSeenWaitsForEveryWatcher(t *testing.T) {
	p := NewPublisher()
	var v View
	if err := p.Poll(Poll{Daemon: "slow"}, &v); err != nil {
		t.Fatal(err)
	}
	p.Publish(rosters.Record{ID: "s1", Leaving: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if p.AwaitSeen(ctx) {
		t.Error("a watcher that has not polled again counts as informed")
	}
	done := make(chan bool, 1)
	go func() { done <- p.AwaitSeen(t.Context()) }()
	if err := p.Poll(Poll{Daemon: "slow", Epoch: v.Epoch, Cursor: v.Cursor}, &v); err != nil || len(v.Records) != 1 {
		t.Fatalf("view %+v: %v", v, err)
	}
	go func() {
		var next View
		_ = p.Poll(Poll{Daemon: "slow", Epoch: v.Epoch, Cursor: v.Cursor}, &next)
	}()
	if !<-done {
		t.Error("a watcher that has polled again does not count")
	}
}

// Guards against a daemon that restarted and whose old cursor hides records.
func TestRestartedPublisherSendsEverything(t *testing.T) {
	p := NewPublisher()
	p.Publish(rosters.Record{ID: "s1"})
	var v View
	if err := p.Poll(Poll{Daemon: "d", Epoch: 99, Cursor: 1000}, &v); err != nil || len(v.Records) != 1 {
		t.Errorf("view %+v: %v", v, err)
	}
}
