package controls

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/faults"
	"gypsumshelf.example/gypsumshelf/peers"
	"gypsumshelf.example/gypsumshelf/replicas"
)

func startedCluster(t *testing.T, n int) *cluster {
	t.Helper()
	c := newCluster(t, n)
	for _, h := range c.hosts {
		c.start(h, true)
	}
	c.put(1)
	c.awaitVoters()
	return c
}

func (c *cluster) leader() *host {
	c.t.Helper()
	var leader *host
	c.eventually("there is a leader", func(h *host) bool {
		leader = h
		return h.daemon.IsLeader()
	})
	return leader
}

// Guards against one malformed message that ends control daemons: it comes over the
// real connection between two of them.
func TestMalformedMessagesDoNotStopADaemon(t *testing.T) {
	c := startedCluster(t, 3)
	target := c.leader()
	sender := c.hosts[0]
	if sender == target {
		sender = c.hosts[1]
	}
	for _, body := range []any{
		replicas.AppendRequest{Prev: 1, PrevTerm: 1, Entries: []replicas.Entry{{Index: 99, Term: 1, Kind: replicas.Membership, Data: []byte("{")}}},
		replicas.SnapshotResponse{Index: 1, Next: -5},
		replicas.SnapshotChunk{Snapshot: replicas.Snapshot{Index: 1 << 40, Term: 1}, Offset: -1, Size: 1 << 50},
		nil,
	} {
		sender.daemon.links.Send(target.daemon.cfg.Daemon, replicas.Message{From: sender.id, To: target.id, Session: 1, Group: "x", Term: 1 << 63, Body: body})
	}
	before := faults.Count()
	c.put(2)
	c.assertVersion(2)
	if n := faults.Count() - before; n > 0 {
		t.Errorf("%d messages got as far as a panic", n)
	}
}

// Guards against bytes that are no message on the ports between daemons.
func TestGarbageOnInternalPorts(t *testing.T) {
	c := startedCluster(t, 3)
	target := c.leader()
	for _, address := range []string{string(target.daemon.cfg.Daemon), target.directoryAddress(c.port)} {
		for _, data := range [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), {0xff, 0xff, 0xff, 0xff, 0xff}, make([]byte, 1<<16)} {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			// The daemon may close the connection before it has taken all bytes.
			_, _ = conn.Write(data)
			conn.Close()
		}
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		client := rpc.NewClient(conn)
		for _, method := range []string{"Peer.Deliver", "Desk.Adopt", "Desk.Tell", "Control.Propose", "Directory.Poll"} {
			if err := peers.Call(client, method, []int{1}, &struct{}{}, time.Second); err == nil {
				t.Errorf("%s accepts a list of numbers", method)
			}
		}
		client.Close()
	}
	c.put(2)
	c.assertVersion(2)
}

// Guards against a broken invariant that ends the process, or after which the replica
// goes on: it stops, acknowledges nothing, and starts again from its disk.
func TestBrokenInvariantRestartsTheReplica(t *testing.T) {
	c := startedCluster(t, 3)
	target := c.leader()
	before := faults.Count()
	target.daemon.submit(LogSynced{Sequence: 1 << 40}) // of a write that was never made
	c.eventually("the error is contained", func(*host) bool { return faults.Count() > before })
	c.put(2)
	c.assertVersion(2)
	c.eventually("the daemon takes part again", func(h *host) bool {
		s, err := target.daemon.ReadState(context.Background())
		return h == target && err == nil && s.Version == 2
	})
}

// Guards against a data centre that stays in use because the catalog of the same state
// cannot be decoded.
func TestDataCentreIsTakenOutBesideAnUnreadableCatalog(t *testing.T) {
	g := newTestRegistry(t)
	g.decode = func([]byte) (*catalogs.Catalog, error) { return nil, errors.New("unreadable") }
	g.setState(catalogs.State{Index: 2, Version: 2, Document: []byte("y"), OutOfService: []string{"a"}})
	if !g.outOfService["a"] || g.catalog == nil {
		t.Errorf("out of service is %v and the catalog is %v, want a and the previous one", g.outOfService, g.catalog)
	}
}

// Guards against a committed command that no daemon can apply and that stops all of
// them, again after each start.
func TestUnknownCommandIsSkipped(t *testing.T) {
	c := startedCluster(t, 3)
	if err := c.leader().daemon.Propose(context.Background(), catalogs.Command{Action: "no-such-action"}); err == nil {
		t.Error("a command that cannot be applied is acknowledged")
	}
	c.put(2)
	c.assertVersion(2)
	for _, h := range c.hosts {
		h.stop()
	}
	for _, h := range c.hosts {
		c.start(h, false)
	}
	c.put(3)
	c.assertVersion(3)
}
