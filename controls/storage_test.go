package controls

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/replicas"
)

// Guards against calls to a daemon whose data folder has failed that wait for their
// timeout, or name another cause.
func TestCallsNameAFailedDataFolderAtOnce(t *testing.T) {
	c := startedCluster(t, 3)
	target := c.leader()
	target.daemon.submit(StorageFailed{})
	started := time.Now()
	_, err := target.daemon.ReadState(context.Background())
	if waited := time.Since(started); !errors.Is(err, ErrStorage) || waited >= readTimeout {
		t.Errorf("a read fails after %v with %v, want %v at once", waited, err, ErrStorage)
	}
	command := catalogs.Command{Action: catalogs.TakeOut, DataCentre: "a"}
	err = target.daemon.Propose(context.Background(), command)
	if !errors.Is(err, ErrStorage) {
		t.Errorf("a proposal fails with %v, want %v", err, ErrStorage)
	}
	for _, h := range c.hosts {
		if h == target {
			continue
		}
		// Until it misses the leader, it forwards to it.
		err := h.daemon.Propose(context.Background(), command)
		if err != nil && strings.Contains(err.Error(), ErrStorage.Error()) && !strings.Contains(err.Error(), string(target.id.Daemon)) {
			t.Errorf("%s names the failed folder of another daemon as its own: %v", h.ip, err)
		}
	}
}

// Guards against reads that are pending when the data folder fails and wait for their
// timeout.
func TestPendingReadsFailWithTheDataFolder(t *testing.T) {
	r := NewReducer(replicas.Config{ID: replicas.NodeID{Daemon: "127.0.0.1:1", Incarnation: "x"}, Durable: true})
	now := time.Now()
	r.Step(now, Tick{})
	r.Step(now, ReadRequested{Ticket: 7})
	var reply Reply
	for _, effect := range r.Step(now, StorageFailed{}) {
		if e, ok := effect.(Reply); ok {
			reply = e
		}
	}
	if reply.Ticket != 7 || !errors.Is(reply.Err, ErrStorage) {
		t.Errorf("the pending read gets %+v, want %v", reply, ErrStorage)
	}
}

// Guards against entry daemons that stay on an older state: an unexpected error has kept
// the last one from being published, and the entries are not applied again.
func TestStateIsPublishedWhenTheReplicaStartsAgain(t *testing.T) {
	cfg := replicas.Config{ID: replicas.NodeID{Daemon: "127.0.0.1:1", Incarnation: "x"}, Durable: true}
	r := NewReducer(cfg)
	r.state.Index, r.state.Version = 5, 2
	if states := effectsOf[Publish](r.Step(time.Now(), StorageOpened{Config: cfg})); len(states) != 1 || states[0].State.Index != 5 {
		t.Errorf("published %+v, want the state of entry 5", states)
	}
}

// Guards against a vote that is kept for good: a planned stop meets a data folder that has
// failed for a moment.
func TestStopWaitsForAFailedDataFolder(t *testing.T) {
	g := newReducerGroup(3)
	g.run(5 * time.Second)
	r := g.reducers["d0"]
	stop := func(event any) bool { return len(effectsOf[StopGranted](r.Step(g.now, event))) > 0 }
	if stop(StorageFailed{}) || stop(ShutdownStarted{}) || stop(Tick{}) {
		t.Error("a voter whose data folder has failed may stop at once")
	}
	learner := NewReducer(replicas.Config{ID: replicas.NodeID{Daemon: "127.0.0.1:1"}, Durable: true})
	learner.Step(g.now, Tick{})
	if len(effectsOf[StopGranted](learner.Step(g.now, ShutdownStarted{}))) == 0 {
		t.Error("a daemon without a vote may not stop")
	}
}

// effectsOf returns the effects of one type.
func effectsOf[T any](effects []any) []T {
	var found []T
	for _, effect := range effects {
		if e, ok := effect.(T); ok {
			found = append(found, e)
		}
	}
	return found
}
