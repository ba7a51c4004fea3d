package directories

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/rosters"
)

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// startPublisher runs a publisher on a loopback address.
func startPublisher(t *testing.T, p *Publisher) string {
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

// fakeDaemon is a fake daemon that stores the received state and records.
type fakeDaemon struct {
	mu      sync.Mutex
	state   catalogs.State
	fetched int
	records map[string]rosters.Record
}

func (h *fakeDaemon) index() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Index
}

func (h *fakeDaemon) install(s catalogs.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = s
	h.fetched++
}

func (h *fakeDaemon) handleView(_ string, v View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range v.Records {
		h.records[string(r.ID)] = r
	}
}

func subscribe(t *testing.T, h *fakeDaemon, seeds ...string) *Subscriber {
	t.Helper()
	h.records = map[string]rosters.Record{}
	s := NewSubscriber(SubscriberConfig{Daemon: "d", AcceptsRequests: true, Seeds: seeds, Log: discardLog(), StateIndex: h.index, InstallState: h.install, HandleView: h.handleView})
	s.Run()
	t.Cleanup(s.Close)
	return s
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// Guards against a subscriber that polls only its seed and not the publishers
// listed by it, and against fetching the same state over every connection.
func TestSubscriberFindsAllPublishers(t *testing.T) {
	first, second := NewPublisher(discardLog()), NewPublisher(discardLog())
	a, b := startPublisher(t, first), startPublisher(t, second)
	first.SetLeader(a, 1, []string{a, b})
	var h fakeDaemon
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

// Guards against an acknowledged leave that some polling daemon has not
// received.
func TestAwaitDeliveryWaitsForEveryPoller(t *testing.T) {
	p := NewPublisher(discardLog())
	var v View
	if err := p.Poll(PollRequest{Daemon: "slow"}, &v); err != nil {
		t.Fatal(err)
	}
	p.Publish(rosters.Record{ID: "s1", Leaving: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if p.AwaitDelivery(ctx) {
		t.Error("a poller that has not polled again counts as informed")
	}
	done := make(chan bool, 1)
	go func() { done <- p.AwaitDelivery(t.Context()) }()
	if err := p.Poll(PollRequest{Daemon: "slow", Epoch: v.Epoch, Cursor: v.Cursor}, &v); err != nil || len(v.Records) != 1 {
		t.Fatalf("view %+v: %v", v, err)
	}
	go func() {
		var next View
		_ = p.Poll(PollRequest{Daemon: "slow", Epoch: v.Epoch, Cursor: v.Cursor}, &next)
	}()
	if !<-done {
		t.Error("a poller that has polled again does not count")
	}
}

// Guards against records that a subscriber misses after a restart of the
// publisher, because its cursor is from the previous epoch.
func TestRestartedPublisherSendsEverything(t *testing.T) {
	p := NewPublisher(discardLog())
	p.Publish(rosters.Record{ID: "s1"})
	var v View
	if err := p.Poll(PollRequest{Daemon: "d", Epoch: 99, Cursor: 1000}, &v); err != nil || len(v.Records) != 1 {
		t.Errorf("view %+v: %v", v, err)
	}
}

// Guards against a leader that is overloaded while all daemons fetch a new
// state. Without the compressed and cached state, a catalog with many routes
// delayed the placement of requests by half a second in scenario scale-1 of the
// grown Schriftgilde deployment.
func TestStateIsCompressedOnce(t *testing.T) {
	var document bytes.Buffer
	for i := range 700 {
		fmt.Fprintf(&document, `{"name":"route-%d","host":"callers.example","prefix":"/%x/","timeout-ms":10000,"target-ms":300,"split":[{"service":"llm","weight":100}]},`, i, i*7919)
	}
	p := NewPublisher(discardLog())
	state := catalogs.State{Index: 7, Version: 3, Document: document.Bytes(), OutOfService: []string{"linz-hafen"}}
	p.SetState(state)
	var first, second CompressedState
	for _, reply := range []*CompressedState{&first, &second} {
		if err := p.Fetch(struct{}{}, reply); err != nil {
			t.Fatal(err)
		}
	}
	if &first.Data[0] != &second.Data[0] {
		t.Error("the state was compressed twice")
	}
	if len(first.Data)*5 > document.Len() {
		t.Errorf("%d bytes are sent for a document of %d bytes, want at most a fifth", len(first.Data), document.Len())
	}
	got, err := first.decompress()
	if err != nil || !bytes.Equal(got.Document, state.Document) || got.Index != state.Index || len(got.OutOfService) != 1 {
		t.Errorf("decompressed state %d has %d bytes and error %v, want the published state", got.Index, len(got.Document), err)
	}
	t.Run("a newer one replaces it", func(t *testing.T) {
		p.SetState(catalogs.State{Index: 8})
		if err := p.Fetch(struct{}{}, &second); err != nil || second.Index != 8 {
			t.Errorf("fetched state %d with error %v, want state 8", second.Index, err)
		}
	})
	t.Run("a damaged one is an error", func(t *testing.T) {
		if _, err := (CompressedState{Index: 9, Data: first.Data[:len(first.Data)/2]}).decompress(); err == nil {
			t.Error("half of a state is accepted")
		}
	})
}
