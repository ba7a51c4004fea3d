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
