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

// group is a set of instances that share a replicated log.
type group struct {
	t         testing.TB
	settings  []settings.Settings
	instances []*Instance
	tokens    int
}

func newGroup(t testing.TB, hosts int) *group {
	g := &group{t: t, instances: make([]*Instance, hosts)}
	var all []settings.Peer
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
		all = append(all, settings.Peer{Daemon: s.Daemon, Address: s.Listen.Peers, DataCentre: s.DataCentre})
		g.settings = append(g.settings, s)
	}
	for i := range hosts {
		g.settings[i].Peers = all
		g.start(i)
	}
	t.Cleanup(func() {
		for i := range g.instances {
			g.stop(i)
		}
	})
	return g
}

func (g *group) start(i int) {
	g.t.Helper()
	in, err := Start(g.settings[i])
	if err != nil {
		g.t.Fatal(err)
	}
	g.instances[i] = in
}

func (g *group) stop(i int) {
	if g.instances[i] != nil {
		g.instances[i].Close()
		g.instances[i] = nil
	}
}

// runSubtest runs a subtest whose failures end only the subtest.
func (g *group) runSubtest(name string, f func()) {
	outer := g.t.(*testing.T)
	outer.Run(name, func(t *testing.T) {
		g.t = t
		defer func() { g.t = outer }()
		f()
	})
}

// readReplica reads the replica of a running instance.
func (g *group) readReplica(i int, f func(r *replicas.Replica)) {
	if in := g.instances[i]; in != nil {
		in.loop.Query(context.Background(), func(r *Reducer) { f(r.log.replica) })
	}
}

// leader returns the instance with confirmed leadership, -1 when there is none.
func (g *group) leader() int {
	leader := -1
	for i := range g.instances {
		g.readReplica(i, func(r *replicas.Replica) {
			if r.Confirmed(time.Now().Add(-electionTimeout)) {
				leader = i
			}
		})
	}
	return leader
}

// waitFor polls a condition; the bound only ends a hopeless test.
func (g *group) waitFor(what string, ok func() bool) {
	g.t.Helper()
	for deadline := time.Now().Add(60 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			g.t.Fatalf("never happened: %s", what)
		}
	}
}

// command returns a log entry that changes one of a few keys, so that the
// state stays small.
func (g *group) command(i int) []byte {
	g.t.Helper()
	g.tokens++
	data, err := configs.Entry{
		Origin: "test", Token: fmt.Sprint(g.tokens), Command: configs.Quarantine{
			BodyHash: uint64(i % 100), Reason: fmt.Sprint(g.tokens), Keep: settings.Duration(time.Hour),
		},
	}.Encode()
	if err != nil {
		g.t.Fatal(err)
	}
	return data
}

// assertSameState asserts that all running instances hold the same configuration
// once they have applied the same entries. A new leader proposes entries of its
// own, so that the instances are not at the same entry at all times.
func (g *group) assertSameState() {
	g.t.Helper()
	var states []string
	g.waitFor("all instances at the same entry", func() bool {
		states = nil
		indexes := map[uint64]bool{}
		for _, in := range g.instances {
			if in == nil {
				continue
			}
			in.loop.Query(context.Background(), func(r *Reducer) {
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

// maxProposals is the number of proposals in one step. 8192 at once took longer
// than the election timeout under the race detector, and were lost with their
// leader.
const maxProposals = 256

// commit proposes commands at the leader and waits until all that run have them.
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
			for i := range g.instances {
				g.readReplica(i, func(r *replicas.Replica) {
					all = all && r.CommitIndex() >= index
					lost = lost || r.Term() > term
				})
			}
			if lost && !all {
				index, term = g.propose(commands) // as the daemon that waits for the result does
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

// Guards against a log that works only with fakes of disk and link, and against
// a damaged data folder that votes or needs a human.
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
		for i := range g.instances {
			g.readReplica(i, func(r *replicas.Replica) {
				if r.SnapshotIndex() < compactAfterEntries {
					g.t.Errorf("snapshot of %s at entry %d", r.ID(), r.SnapshotIndex())
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
		for i := range g.instances {
			g.stop(i)
		}
		for i := range g.instances {
			g.start(i)
		}
		g.commit(1)
	})
}

// damage changes one byte in the middle of the log. In the last record that looks
// like a torn write, and the peers tell the daemon that its log is too short.
func (g *group) damage(i int) {
	g.t.Helper()
	logs, err := filepath.Glob(filepath.Join(g.settings[i].DataFolder, "log-*"))
	if err != nil || len(logs) != 1 {
		g.t.Fatalf("log files %v, %v", logs, err)
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
