package daemons

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/configs"
	"gypsumshelf.example/gypsumshelf/replicas"
	"gypsumshelf.example/gypsumshelf/settings"
	"gypsumshelf.example/gypsumshelf/standins"
)

// group is a set of daemons that share a replicated log.
type group struct {
	t        testing.TB
	settings []settings.Settings
	daemons  []*Daemon
	tokens   int
}

func newGroup(t testing.TB, hosts int) *group {
	g := &group{t: t, daemons: make([]*Daemon, hosts)}
	var peers []settings.Peer
	for i := range hosts {
		s := settings.Default()
		s.Deployment, s.Daemon = "test", gypsumshelf.DaemonID(fmt.Sprintf("entry-%d", i+1))
		s.DataCentre = fmt.Sprintf("centre-%d", i%3)
		s.DataFolder = filepath.Join(t.TempDir(), "data")
		s.LogLevel = "panic"
		s.Voters = []string{"entry-1", "entry-2", "entry-3"}
		for _, address := range []*string{&s.Listen.Callers, &s.Listen.BackendServers, &s.Listen.Peers, &s.Listen.Operators, &s.Listen.Metrics} {
			free, err := standins.FreeAddress()
			if err != nil {
				t.Fatal(err)
			}
			*address = free
		}
		peers = append(peers, settings.Peer{Daemon: s.Daemon, Address: s.Listen.Peers, DataCentre: s.DataCentre})
		g.settings = append(g.settings, s)
	}
	for i := range hosts {
		g.settings[i].Peers = peers
		g.start(i)
	}
	t.Cleanup(func() {
		for i := range g.daemons {
			g.stop(i)
		}
	})
	return g
}

func (g *group) start(i int) {
	g.t.Helper()
	d, err := Start(g.settings[i])
	if err != nil {
		g.t.Fatal(err)
	}
	g.daemons[i] = d
}

func (g *group) stop(i int) {
	if g.daemons[i] != nil {
		g.daemons[i].Close()
		g.daemons[i] = nil
	}
}

// runSubtest runs a subtest; a failure in the group's methods ends only that subtest.
func (g *group) runSubtest(name string, f func()) {
	outer := g.t.(*testing.T)
	outer.Run(name, func(t *testing.T) {
		g.t = t
		defer func() { g.t = outer }()
		f()
	})
}

// readReplica reads the replica of a running daemon.
func (g *group) readReplica(i int, f func(r *replicas.Replica)) {
	if d := g.daemons[i]; d != nil {
		d.loop.Query(context.Background(), func(r *Reducer) { f(r.log.replica) })
	}
}

// leader returns the daemon whose leadership is confirmed, or -1 without one.
func (g *group) leader() int {
	leader := -1
	for i := range g.daemons {
		g.readReplica(i, func(r *replicas.Replica) {
			if r.CanServeRead(time.Now().Add(-electionTimeout)) {
				leader = i
			}
		})
	}
	return leader
}

// waitFor polls a condition. The long timeout only ends a test that has failed.
func (g *group) waitFor(what string, ok func() bool) {
	g.t.Helper()
	for deadline := time.Now().Add(60 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			g.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// command returns a log entry that changes one of 100 keys, so that the state
// stays small.
func (g *group) command(i int) []byte {
	g.t.Helper()
	g.tokens++
	data, err := configs.Entry{
		Origin: "test", Token: fmt.Sprint(g.tokens), Command: configs.Quarantine{
			BodyHash: uint64(i % 100), Reason: fmt.Sprint(g.tokens), Duration: settings.Duration(time.Hour),
		},
	}.Encode()
	if err != nil {
		g.t.Fatal(err)
	}
	return data
}

// assertSameState asserts that all running daemons hold the same configuration
// at the same entry. It waits until they are at the same entry, since a new leader
// appends entries of its own.
func (g *group) assertSameState() {
	g.t.Helper()
	var states []string
	g.waitFor("all daemons at the same entry", func() bool {
		states = nil
		indexes := map[uint64]bool{}
		for _, d := range g.daemons {
			if d == nil {
				continue
			}
			d.loop.Query(context.Background(), func(r *Reducer) {
				data, err := r.configuration.state.Snapshot()
				if err != nil {
					g.t.Error(err)
				}
				states = append(states, string(data))
				indexes[r.configuration.state.Index()] = true
			})
		}
		return len(indexes) == 1
	})
	for _, s := range states {
		if s != states[0] {
			g.t.Errorf("configurations at the same entry differ:\n%s\n%s", states[0], s)
		}
	}
}

// maxProposals is the number of commands proposed at once. Under the race
// detector, 8192 at once took longer than the election timeout, and the commands
// were lost with their leader.
const maxProposals = 256

// commit proposes commands at the leader and waits until all running daemons
// have committed them.
func (g *group) commit(n int) {
	g.t.Helper()
	for ; n > 0; n -= maxProposals {
		commands := make([][]byte, min(n, maxProposals))
		for i := range commands {
			commands[i] = g.command(i)
		}
		index, term := g.propose(commands)
		g.waitFor(fmt.Sprintf("commit of entry %d everywhere", index), func() bool {
			all, lost := true, false
			for i := range g.daemons {
				g.readReplica(i, func(r *replicas.Replica) {
					all = all && r.CommitIndex() >= index
					lost = lost || r.Term() > term
				})
			}
			if lost && !all {
				index, term = g.propose(commands) // as a daemon does that waits for a result
			}
			return all
		})
	}
	g.assertSameState()
}

// propose proposes commands at the leader and returns the index and the term
// of the last one.
func (g *group) propose(commands [][]byte) (index, term uint64) {
	g.t.Helper()
	g.waitFor("proposal", func() bool {
		accepted := false
		if leader := g.leader(); leader >= 0 {
			g.readReplica(leader, func(r *replicas.Replica) {
				for _, c := range commands {
					var err error
					index, term, err = r.Propose(time.Now(), c)
					accepted = err == nil
				}
			})
		}
		return accepted
	})
	return index, term
}

func (g *group) member(i int) (m replicas.Member) {
	if leader := g.leader(); leader >= 0 {
		g.readReplica(leader, func(r *replicas.Replica) {
			for _, member := range r.Members() {
				if member.ID.Daemon == g.settings[i].Daemon {
					m = member
				}
			}
		})
	}
	return m
}

// Guards against a log that works only with fake disks and links, and against a
// daemon that votes with a damaged data folder or needs an operator to repair it.
func TestLogThroughDiskAndPeers(t *testing.T) {
	g := newGroup(t, 4)
	g.commit(100)
	g.runSubtest("leader stopped", func() {
		old := g.leader()
		g.stop(old)
		g.commit(100)
		g.start(old)
		g.commit(100)
	})
	g.runSubtest("log compacted", func() {
		g.commit(2 * compactAfterEntries)
		for i := range g.daemons {
			g.readReplica(i, func(r *replicas.Replica) {
				if r.SnapshotIndex() < compactAfterEntries {
					g.t.Errorf("snapshot of %s at entry %d, want at least %d", r.ID(), r.SnapshotIndex(), compactAfterEntries)
				}
			})
		}
	})
	g.runSubtest("data folder damaged", func() {
		i := (g.leader() + 1) % 3
		old := g.member(i)
		g.stop(i)
		g.damage(i)
		g.start(i)
		g.commit(1)
		g.waitFor("membership with the new incarnation", func() bool {
			m := g.member(i)
			return m.ID.Daemon != "" && m.ID != old.ID
		})
	})
	g.runSubtest("all stopped", func() {
		for i := range g.daemons {
			g.stop(i)
		}
		for i := range g.daemons {
			g.start(i)
		}
		g.commit(1)
	})
}

// damage changes one byte in the middle of the log. If it is in the last record,
// the daemon takes it for an incomplete write and removes it, and learns from its
// peers that its log is too short.
func (g *group) damage(i int) {
	g.t.Helper()
	logs, err := filepath.Glob(filepath.Join(g.settings[i].DataFolder, "log-*"))
	if err != nil || len(logs) != 1 {
		g.t.Fatalf("log files are %v, error %v; want one file", logs, err)
	}
	data, err := os.ReadFile(logs[0])
	if err != nil {
		g.t.Fatal(err)
	}
	data[len(data)/2] ^= 1
	if err := os.WriteFile(logs[0], data, 0o600); err != nil {
		g.t.Fatal(err)
	}
}
