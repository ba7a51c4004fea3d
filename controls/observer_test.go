package controls

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/replicas"
)

// reducerGroup connects reducers in one goroutine. Each write is synced at once.
type reducerGroup struct {
	now      time.Time
	reducers map[gypsumshelf.DaemonID]*Reducer
	seen     map[gypsumshelf.DaemonID][]any // effects for operators
	down     map[gypsumshelf.DaemonID]bool
	// loses reports whether a message is lost, nil for none.
	loses   func(replicas.Message) bool
	ticket  Ticket           // latest of a proposal
	replies map[Ticket]Reply // to proposals
}

func newReducerGroup(n int) *reducerGroup {
	g := &reducerGroup{now: time.Unix(1000, 0), reducers: map[gypsumshelf.DaemonID]*Reducer{}, seen: map[gypsumshelf.DaemonID][]any{}, down: map[gypsumshelf.DaemonID]bool{}, replies: map[Ticket]Reply{}}
	var ids []gypsumshelf.DaemonID
	for i := range n {
		ids = append(ids, gypsumshelf.DaemonID(fmt.Sprint("d", i)))
	}
	for i, id := range ids {
		g.reducers[id] = NewReducer(replicas.Config{
			ID: replicas.NodeID{Daemon: id, Incarnation: "i"}, Durable: true, Peers: ids, InitialVoters: ids, Session: uint64(i + 1), Seed: uint64(i),
			ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval, ReplaceAfter: time.Hour, TargetVoters: n,
		})
	}
	return g
}

func (g *reducerGroup) ids() []gypsumshelf.DaemonID {
	var ids []gypsumshelf.DaemonID
	for id := range g.reducers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (g *reducerGroup) step(id gypsumshelf.DaemonID, event any) {
	if g.down[id] {
		return
	}
	for _, effect := range g.reducers[id].Step(g.now, event) {
		switch e := effect.(type) {
		case Send:
			if g.reducers[e.Message.To.Daemon] != nil && (g.loses == nil || !g.loses(e.Message)) {
				g.step(e.Message.To.Daemon, MessageReceived(e))
			}
		case Write:
			g.step(id, LogSynced{Sequence: e.Persist.Sequence})
		case Reply:
			g.replies[e.Ticket] = e
		case LeaderMissing, LeaderHeard, ElectionStarted, LeadLost, Status:
			g.seen[id] = append(g.seen[id], e)
		}
	}
}

func (g *reducerGroup) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(raftTickInterval) {
		for _, id := range g.ids() {
			g.step(id, Tick{})
		}
	}
}

func (g *reducerGroup) leader(t *testing.T) gypsumshelf.DaemonID {
	t.Helper()
	for id, r := range g.reducers {
		if r.replica.IsLeader() && !g.down[id] {
			return id
		}
	}
	t.Fatal("there is no leader")
	return ""
}

// observed returns the effects of one type at a daemon.
func observed[T any](g *reducerGroup, id gypsumshelf.DaemonID) []T {
	var found []T
	for _, effect := range g.seen[id] {
		if e, ok := effect.(T); ok {
			found = append(found, e)
		}
	}
	return found
}

func assertReports(t *testing.T, reports []LeaderMissing, n int, condition replicas.Condition, heard int) {
	t.Helper()
	if len(reports) != n {
		t.Fatalf("%d reports of a missing leader, want %d", len(reports), n)
	}
	for _, r := range reports {
		if r.Condition != condition || r.MembersHeard != heard || r.For < leaderMissingAfter {
			t.Errorf("reported state %s, %d members heard, silent for %s, want %s and %d", r.Condition, r.MembersHeard, r.For, condition, heard)
		}
	}
}

// Guards against a daemon that knows no leader and does not say why (issue 34).
func TestMissingLeaderIsReported(t *testing.T) {
	t.Run("no report with a leader", func(t *testing.T) {
		g := newReducerGroup(3)
		g.run(time.Minute)
		for _, id := range g.ids() {
			assertReports(t, observed[LeaderMissing](g, id), 0, "", 0)
		}
		status := observed[Status](g, g.leader(t))
		if last := status[len(status)-1]; last.Condition != replicas.Leading || last.MembersHeard != 2 || g.now.Sub(last.LeaderHeard) > statusInterval+raftTickInterval {
			t.Errorf("status of the leader is %+v", last)
		}
	})
	t.Run("one voter of three is left", func(t *testing.T) {
		g := newReducerGroup(3)
		g.run(5 * time.Second)
		g.down["d0"], g.down["d1"] = true, true
		g.run(60 * time.Second)
		reports := observed[LeaderMissing](g, "d2")
		if len(reports) > 0 && reports[0].Condition == replicas.Following {
			t.Error("a voter without a leader is reported as a follower")
		}
		assertReports(t, reports, 2, replicas.AskingPreVotes, 0)
		if v := reports[0].Voters; len(v) != 3 || !v[0].Heard && !v[0].Own {
			t.Errorf("voters are %+v, want three, heard before", v)
		}
		g.down["d0"] = false
		g.run(5 * time.Second)
		if n := len(observed[LeaderHeard](g, "d2")); n != 1 {
			t.Errorf("%d reports of a leader that is heard again, want 1", n)
		}
	})
	t.Run("halted daemons", func(t *testing.T) {
		g := newReducerGroup(3)
		g.run(5 * time.Second)
		leader := g.leader(t)
		for _, id := range g.ids() {
			if id != leader {
				g.step(id, StorageFailed{})
			}
		}
		g.run(10 * time.Second)
		for _, id := range g.ids() {
			if id != leader {
				// The former leader asks for votes.
				assertReports(t, observed[LeaderMissing](g, id), 1, replicas.Stopped, 1)
			}
		}
		assertReports(t, observed[LeaderMissing](g, leader), 1, replicas.AskingPreVotes, 0)
		if lost := observed[LeadLost](g, leader); len(lost) != 1 || lost[0].Reason != "no contact with a quorum" {
			t.Errorf("the loss of the lead is reported as %+v", lost)
		}
	})
	t.Run("restarted alone", func(t *testing.T) {
		g := newReducerGroup(3)
		g.run(5 * time.Second)
		old := g.reducers["d0"]
		cfg := old.cfg
		cfg.Session = 100
		cfg.Recovered.HardState = replicas.HardState{Term: old.replica.Term(), Group: "g"}
		cfg.Recovered.Entries = []replicas.Entry{{Index: 1, Term: 1, Kind: replicas.Membership, Data: encodedMembers(t, old.replica.Members())}}
		g.step("d0", StorageOpened{Config: cfg})
		g.down["d1"], g.down["d2"] = true, true
		g.run(10 * time.Second)
		assertReports(t, observed[LeaderMissing](g, "d0"), 1, replicas.VerifyingStorage, 0)
	})
	t.Run("never a member", func(t *testing.T) {
		g := newReducerGroup(3)
		g.down["d1"], g.down["d2"] = true, true
		g.run(10 * time.Second)
		assertReports(t, observed[LeaderMissing](g, "d0"), 1, replicas.NotMember, 0)
	})
}

// Guards against a change of the lead that leaves no trace.
func TestElectionsAreReported(t *testing.T) {
	g := newReducerGroup(3)
	g.run(5 * time.Second)
	old := g.leader(t)
	g.step(old, ShutdownStarted{})
	g.run(5 * time.Second)
	elections := observed[ElectionStarted](g, g.leader(t))
	if n := len(elections); n != 1 || elections[0].Reason != "the leader handed over" {
		t.Errorf("elections of the new leader are %+v, want one after a handover", elections)
	}
	if n := len(observed[LeadLost](g, old)); n != 1 {
		t.Errorf("%d reports of the loss of the lead, want 1", n)
	}
}

// Guards against a log line that does not say which voters were heard.
func TestVoterContactInLogLines(t *testing.T) {
	id := replicas.NodeID{Daemon: "10.0.0.1:7000", Incarnation: "abc"}
	line, err := json.Marshal([]VoterContact{{ID: id, Own: true}, {ID: id}, {ID: id, Heard: true, Ago: time.Second}})
	want := `["10.0.0.1:7000/abc is this daemon","10.0.0.1:7000/abc was never heard","10.0.0.1:7000/abc was heard 1000 ms ago"]`
	if err != nil || string(line) != want {
		t.Errorf("logged %s (%v), want %s", line, err, want)
	}
}

func encodedMembers(t *testing.T, m replicas.Members) []byte {
	t.Helper()
	data, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against metrics that say nothing of a running daemon.
func TestStatusOfARunningDaemon(t *testing.T) {
	c := startedCluster(t, 3)
	c.eventually("the leader hears the others", func(h *host) bool {
		return h.daemon.Condition() == string(replicas.Leading) && h.daemon.MembersHeard() == 2 && h.daemon.Elections() > 0 && h.daemon.LeaderMissingFor() == 0
	})
	last := c.hosts[2]
	for _, h := range c.hosts[:2] {
		h.kill()
	}
	c.hosts = c.hosts[2:]
	c.eventually("a missing leader shows", func(*host) bool {
		return last.daemon.LeaderMissingFor() >= leaderMissingAfter && last.daemon.MembersHeard() == 0 && strings.HasSuffix(last.daemon.Condition(), "candidate")
	})
	if err := last.daemon.Propose(context.Background(), catalogs.Command{Action: catalogs.Put, Version: 2, Document: []byte("2")}); err == nil {
		t.Error("a command is acknowledged without a leader")
	}
}
