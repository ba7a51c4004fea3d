package replicas

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// newTestVoter returns a voter of a group of three. The test sends the messages of
// the other two voters.
func newTestVoter(t *testing.T) (r *Replica, now time.Time, others [2]NodeID) {
	t.Helper()
	self := Member{ID: NodeID{Daemon: "a", Incarnation: "1"}, Role: Voter, Durable: true}
	b, c := self, self
	b.ID.Daemon, c.ID.Daemon = "b", "c"
	r = New(Config{ID: self.ID, Durable: true, Seed: 1, Session: 1, ElectionTimeout: testElectionTimeout, HeartbeatInterval: testHeartbeatInterval})
	now = time.Unix(1_000_000, 0)
	r.Tick(now)
	r.hardState = HardState{Group: "g", Term: 1}
	r.resetToSnapshot(NewGroupSnapshot(Members{self, b, c}, now))
	r.storage.replaceAll = true
	r.Synced(now, r.TakeOutput().Persist.Sequence)
	return r, now, [2]NodeID{b.ID, c.ID}
}

func receive(r *Replica, now time.Time, from NodeID, term uint64, body any) {
	r.Receive(now, Message{From: from, To: r.ID(), Session: 9, Group: "g", Term: term, Body: body})
}

// bodiesOfType returns the message bodies of type B.
func bodiesOfType[B any](messages []Message) []B {
	var found []B
	for _, m := range messages {
		if b, ok := m.Body.(B); ok {
			found = append(found, b)
		}
	}
	return found
}

func assertSent[B any](t *testing.T, out Output, want int, when string) {
	t.Helper()
	if got := bodiesOfType[B](out.Messages); len(got) != want {
		t.Fatalf("%d messages of %T %s, want %d", len(got), *new(B), when, want)
	}
}

// newTestLeader returns a replica from newTestVoter that was elected leader of
// term 2.
func newTestLeader(t *testing.T) (r *Replica, now time.Time, others [2]NodeID) {
	t.Helper()
	r, now, others = newTestVoter(t)
	now = now.Add(2 * testElectionTimeout)
	r.Tick(now)
	receive(r, now, others[0], 1, VoteResponse{Pre: true, Asked: 2, Granted: true})
	r.Synced(now, r.TakeOutput().Persist.Sequence)
	receive(r, now, others[0], 2, VoteResponse{Asked: 2, Granted: true})
	if !r.IsLeader() {
		t.Fatal("replica is not the leader after a majority of votes")
	}
	return r, now, others
}

// Guards against messages that acknowledge state before it is synced: a crash
// would lose that state.
func TestPromisesWaitForSync(t *testing.T) {
	t.Run("vote", func(t *testing.T) {
		r, now, others := newTestVoter(t)
		receive(r, now, others[0], 5, VoteRequest{LastIndex: 1, LastTerm: 1})
		out := r.TakeOutput()
		assertSent[VoteResponse](t, out, 0, "before the sync")
		r.Synced(now, out.Persist.Sequence)
		assertSent[VoteResponse](t, r.TakeOutput(), 1, "after the sync")
	})
	t.Run("entry", func(t *testing.T) {
		r, now, others := newTestVoter(t)
		receive(r, now, others[0], 5, AppendRequest{Prev: 1, PrevTerm: 1, Entries: []Entry{{Index: 2, Term: 5}}})
		out := r.TakeOutput()
		assertSent[AppendResponse](t, out, 0, "before the sync")
		r.Synced(now, out.Persist.Sequence)
		assertSent[AppendResponse](t, r.TakeOutput(), 1, "after the sync")
	})
	t.Run("term", func(t *testing.T) {
		r, now, others := newTestVoter(t)
		receive(r, now, others[0], 5, AppendRequest{Prev: 1, PrevTerm: 1})
		out := r.TakeOutput()
		assertSent[AppendResponse](t, out, 0, "before the sync")
		r.Synced(now, out.Persist.Sequence)
		assertSent[AppendResponse](t, r.TakeOutput(), 1, "after the sync")
	})
	t.Run("creation of the group", func(t *testing.T) {
		now := time.Unix(1_000_000, 0)
		self := NodeID{Daemon: "a", Incarnation: "1"}
		r := New(Config{ID: self, Durable: true, Session: 1, InitialVoters: []gypsumshelf.DaemonID{"a", "b"}})
		r.Tick(now)
		r.Receive(now, Message{From: NodeID{Daemon: "b", Incarnation: "1"}, To: self, Body: JoinResponse{Asked: 1, Fresh: true, Durable: true}})
		r.Tick(now.Add(time.Second))
		out := r.TakeOutput()
		assertSent[VoteRequest](t, out, 0, "before the sync")
		r.Synced(now, out.Persist.Sequence)
		assertSent[VoteRequest](t, r.TakeOutput(), 1, "after the sync")
	})
	t.Run("candidacy", func(t *testing.T) {
		r, now, others := newTestVoter(t)
		now = now.Add(2 * testElectionTimeout)
		r.Tick(now)
		receive(r, now, others[0], 1, VoteResponse{Pre: true, Asked: 2, Granted: true})
		receive(r, now, others[0], 2, VoteResponse{Asked: 2, Granted: true})
		if r.IsLeader() {
			t.Fatal("replica became leader before its own vote was synced")
		}
		out := r.TakeOutput()
		assertSent[VoteRequest](t, Output{Messages: out.Messages[2:]}, 0, "before the sync")
		r.Synced(now, out.Persist.Sequence)
		assertSent[VoteRequest](t, r.TakeOutput(), 2, "after the sync")
	})
	t.Run("own entry of the leader", func(t *testing.T) {
		r, now, others := newTestLeader(t)
		out := r.TakeOutput()
		receive(r, now, others[0], 2, AppendResponse{OK: true, Match: 2})
		if r.CommitIndex() != 1 {
			t.Fatal("entry is committed with one synced copy of three")
		}
		r.Synced(now, out.Persist.Sequence)
		if r.CommitIndex() != 2 {
			t.Fatal("entry is not committed with two synced copies of three")
		}
	})
}

// Guards against a voter with a slow disk that counts as silent: only the first
// heartbeat of a term waits for a sync.
func TestHeartbeatDoesNotWaitForEntries(t *testing.T) {
	r, now, others := newTestVoter(t)
	receive(r, now, others[0], 5, AppendRequest{Prev: 1, PrevTerm: 1})
	r.Synced(now, r.TakeOutput().Persist.Sequence)
	r.TakeOutput()
	receiveEntry(r, now, others[0], 5, 1, 1)
	out := r.TakeOutput()
	assertSent[AppendResponse](t, out, 0, "before the entry is synced")
	for _, prev := range []uint64{1, 2} {
		receive(r, now, others[0], 5, AppendRequest{Prev: prev, PrevTerm: map[uint64]uint64{1: 1, 2: 5}[prev]})
		responses := bodiesOfType[AppendResponse](r.TakeOutput().Messages)
		if len(responses) != 1 || !responses[0].OK || responses[0].Match != 1 {
			t.Fatalf("responses %+v to a heartbeat at entry %d while entry 2 is written", responses, prev)
		}
	}
	r.Synced(now, out.Persist.Sequence)
	if responses := bodiesOfType[AppendResponse](r.TakeOutput().Messages); len(responses) != 1 || responses[0].Match != 2 {
		t.Fatalf("responses %+v after entry 2 is synced", responses)
	}
}

// Guards against low throughput from a separate sync for each proposal.
func TestProposalsShareOneSync(t *testing.T) {
	r, now, _ := newTestLeader(t)
	r.TakeOutput()
	for range 100 {
		if _, _, err := r.Propose(now, []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	if out := r.TakeOutput(); len(out.Persist.Entries) != 100 || r.TakeOutput().Persist != nil {
		t.Fatalf("%d entries in one write, want 100", len(out.Persist.Entries))
	}
}

// Guards against expiry times that differ between replicas or that move back
// under a new leader with a slow clock.
func TestEntryTimeNeverDecreases(t *testing.T) {
	r, now, _ := newTestLeader(t)
	future := now.Add(time.Hour)
	r.log.entries[len(r.log.entries)-1].At = future
	if _, _, err := r.Propose(now, nil); err != nil {
		t.Fatal(err)
	}
	if at := r.log.lastEntryTime(time.Time{}); at.Before(future) {
		t.Fatalf("entry has time %s, want no earlier than %s of the previous entry", at, future)
	}
}

// Guards against a replica that continues after a safety invariant is violated.
func TestInvariantsPanic(t *testing.T) {
	for name, breakRule := range map[string]func(r *Replica, now time.Time, others [2]NodeID){
		"second leader of a term": func(r *Replica, now time.Time, others [2]NodeID) {
			receive(r, now, others[0], 2, AppendRequest{})
			receive(r, now, others[1], 2, AppendRequest{})
		},
		"committed entry replaced": func(r *Replica, now time.Time, others [2]NodeID) {
			receive(r, now, others[0], 2, AppendRequest{Prev: 1, PrevTerm: 1, Commit: 2, Entries: []Entry{{Index: 2, Term: 2}}})
			receive(r, now, others[1], 3, AppendRequest{Prev: 1, PrevTerm: 1, Entries: []Entry{{Index: 2, Term: 3}}})
		},
		"entries that differ": func(r *Replica, now time.Time, others [2]NodeID) {
			receive(r, now, others[0], 2, AppendRequest{Prev: 1, PrevTerm: 1, Entries: []Entry{{Index: 2, Term: 2}}})
			receive(r, now, others[0], 2, AppendRequest{Prev: 1, PrevTerm: 1, Entries: []Entry{{Index: 2, Term: 2, Data: []byte("x")}}})
		},
		"second vote": func(r *Replica, _ time.Time, others [2]NodeID) {
			r.recordVote(others[0])
			r.recordVote(others[1])
		},
		"commit index backward": func(r *Replica, _ time.Time, _ [2]NodeID) { r.setCommit(0) },
		"two voters changed": func(r *Replica, _ time.Time, others [2]NodeID) {
			r.state, r.progress = stateLeader, map[NodeID]*progress{}
			r.proposeMembership(r.Members().withRole(others[0], Learner).withRole(others[1], Learner), others[0], VoterSurplus)
		},
		"voter without storage": func(r *Replica, _ time.Time, _ [2]NodeID) {
			r.state, r.progress = stateLeader, map[NodeID]*progress{}
			r.proposeMembership(r.Members().withMember(Member{ID: NodeID{Daemon: "d"}, Role: Voter}), NodeID{Daemon: "d"}, SeatFree)
		},
		"change before the last is committed": func(r *Replica, _ time.Time, others [2]NodeID) {
			r.state, r.progress = stateLeader, map[NodeID]*progress{}
			r.proposeMembership(r.Members().withRole(others[0], Learner), others[0], VoterSurplus)
			r.proposeMembership(r.Members().withRole(others[0], Voter), others[0], SeatFree)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, now, others := newTestVoter(t)
			defer func() {
				var broken *InvariantError
				if err, ok := recover().(error); !ok || !errors.As(err, &broken) {
					t.Fatalf("recovered %v, want an InvariantError", err)
				}
			}()
			breakRule(r, now, others)
		})
	}
}

// Guards against an isolated leader that still confirms reads after another
// leader is elected.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	c := settledCluster(t, fourHostMembers()...)
	old := c.confirmedLeader()
	c.isolate(old)
	start := c.now
	c.waitUntil("step down", func() bool { return !old.replica.IsLeader() })
	if took := c.now.Sub(start); took > 2*testElectionTimeout {
		t.Errorf("stepped down after %s", took)
	}
	c.waitUntil("another leader", func() bool { return c.confirmedLeader() != nil })
	for range 20 {
		c.step()
	}
	if at := old.replica.QuorumConfirmed().Add(-old.clockOffset); at.After(start) {
		t.Errorf("leader isolated at %s reports quorum contact at %s", start, at)
	}
}

// Guards against a returning node that deposes a working leader with a higher term.
func TestReturningNodeDoesNotDeposeLeader(t *testing.T) {
	c := settledCluster(t, fourHostMembers()...)
	leader, term := c.confirmedLeader(), c.confirmedLeader().replica.Term()
	for _, h := range c.hosts {
		if h == leader || !leader.replica.Members().IsVoter(h.member.ID) {
			continue
		}
		c.isolate(h)
		for range 100 {
			c.step()
		}
		if h.replica.Term() != term {
			t.Errorf("%s entered term %d while isolated", h.member.ID, h.replica.Term())
		}
		clear(c.cutLinks)
		c.waitUntil("a settled cluster", c.isSettled)
	}
	if !leader.replica.IsLeader() || leader.replica.Term() != term {
		t.Errorf("term %d is led by %s", leader.replica.Term(), leader.replica.leader)
	}
}

// Guards against a replacement of a lost voter that leaves no quorum once a
// second host is lost, and against voters that remain in one data centre after
// the lost hosts have returned.
func TestLostVoterIsReplaced(t *testing.T) {
	for _, lost := range []string{"a", "b", "c"} {
		t.Run(lost, func(t *testing.T) {
			c := settledCluster(t, fourHostMembers()...)
			first := c.hosts[lost[0]-'a']
			c.crash(first)
			repaired := func() bool {
				l := c.confirmedLeader()
				return l != nil && l.replica.Members().IsVoter(c.hosts[3].member.ID) && len(l.replica.Members().Voters()) == 3 && !l.replica.membershipPending()
			}
			c.waitUntil("replacement", repaired)
			second := c.confirmedLeader()
			c.crash(second)
			c.waitUntil("a leader after the second loss", func() bool { return c.confirmedLeader() != nil })
			before := c.confirmedLeader().replica.CommitIndex()
			c.propose(c.confirmedLeader())
			c.waitUntil("commit after the second loss", func() bool { l := c.confirmedLeader(); return l != nil && l.replica.CommitIndex() > before })
			c.start(first)
			c.start(second)
			c.waitUntil("one voter in each data centre", func() bool {
				return c.isSettled() && !votersShareDataCentre(c.confirmedLeader().replica.Members())
			})
		})
	}
}

// Guards against a host that votes twice in a term because its disk with the first
// vote was lost.
func TestLostDiskCausesNewIncarnation(t *testing.T) {
	c := settledCluster(t, fourHostMembers()...)
	h := c.hosts[1]
	old := h.member.ID
	c.wipe(h)
	c.waitUntil("a settled cluster", c.isSettled)
	members := c.confirmedLeader().replica.Members()
	if _, ok := members.Member(old); ok || h.member.ID == old {
		t.Errorf("%s is still a member: %v", old, members)
	}
}

// Guards against a host that never finishes the verification of its storage,
// because all voters that it knows were replaced while it was down.
func TestHostReturnsAfterAllVotersWereReplaced(t *testing.T) {
	c := settledCluster(t, fourHostMembers()...)
	away := c.hosts[0]
	c.crash(away)
	repaired := func() bool {
		l := c.confirmedLeader()
		if l == nil || len(l.replica.Members().Voters()) != 3 || l.replica.membershipPending() {
			return false
		}
		return !slices.ContainsFunc(l.replica.Members().Voters(), func(id NodeID) bool {
			return id.Daemon == away.member.ID.Daemon || c.host(id.Daemon).member.ID != id
		})
	}
	for _, h := range c.hosts[1:] {
		c.waitUntil("repair", repaired)
		c.wipe(h)
	}
	c.waitUntil("repair", repaired)
	c.start(away)
	c.waitUntil("a settled cluster", c.isSettled)
}

// Guards against a host whose disk was restored from a backup and that still votes
// under its old identity.
func TestOlderDiskIsDetected(t *testing.T) {
	for name, leads := range map[string]bool{"leader": true, "follower": false} {
		t.Run(name, func(t *testing.T) {
			c := settledCluster(t, fourHostMembers()...)
			h := c.confirmedLeader()
			if !leads {
				h = c.hosts[(int(h.member.ID.Daemon[0]-'a')+1)%3]
			}
			image, old := h.disk.synced, h.member.ID
			for range 10 {
				c.propose(c.confirmedLeader())
				c.step()
			}
			c.waitUntil("a settled cluster", c.isSettled)
			for range 10 {
				c.step() // the leader's next heartbeats report what it has stored
			}
			c.crash(h)
			h.disk.synced, h.disk.older = image, true
			c.start(h)
			c.waitUntil("new incarnation", func() bool { return h.member.ID != old })
			c.waitUntil("a settled cluster", c.isSettled)
		})
	}
}

// Guards against votes that are lost at a restart: without a data folder a daemon
// must never vote.
func TestDaemonWithoutDataFolderNeverVotes(t *testing.T) {
	members := fourHostMembers()
	members[3].Durable = false
	c := settledCluster(t, members...)
	c.crash(c.hosts[0])
	for range 1000 {
		c.step()
		if l := c.confirmedLeader(); l != nil && l.replica.Members().IsVoter(c.hosts[3].member.ID) {
			t.Fatal("a daemon without a data folder became a voter")
		}
	}
	if c.hosts[3].applied != c.highestApplied {
		t.Errorf("learner applied %d of %d entries", c.hosts[3].applied, c.highestApplied)
	}
}

// Guards against an initial voter that lost its disk and creates a second group,
// which lacks the entries that the first one committed.
func TestInitialVoterWithoutDiskCreatesNoSecondGroup(t *testing.T) {
	c := settledCluster(t, fourHostMembers()...)
	group := c.hosts[0].replica.hardState.Group
	c.wipe(c.hosts[0])
	c.waitUntil("a settled cluster", c.isSettled)
	for _, h := range c.hosts {
		if h.replica.hardState.Group != group {
			t.Errorf("%s belongs to group %s, want %s", h.member.ID, h.replica.hardState.Group, group)
		}
	}
}

// Guards against a member that cannot catch up after the entries it lacks were
// compacted, and against a snapshot sent as one large message.
func TestLaggingMemberGetsSnapshotInChunks(t *testing.T) {
	c := settledCluster(t, fourHostMembers()...)
	leader := c.confirmedLeader()
	h := c.hosts[3]
	c.isolate(h)
	for range 50 {
		c.propose(leader)
	}
	c.waitUntil("commits", func() bool { return leader.replica.CommitIndex() >= 50 })
	c.compact(leader)
	if n := len(leader.replica.log.entries); n > 15 {
		t.Errorf("%d entries in memory after compaction", n)
	}
	clear(c.cutLinks)
	c.waitUntil("a settled cluster", c.isSettled)
	if h.replica.SnapshotIndex() < 50 || len(h.replica.snapshot.Data) <= 3*h.replica.cfg.MaxChunkBytes {
		t.Errorf("snapshot at entry %d has %d bytes, want entry 50 or later and more than three chunks", h.replica.SnapshotIndex(), len(h.replica.snapshot.Data))
	}
}

// Guards against a planned stop that leaves the group without a leader for an
// election timeout, and against entries lost in the handover.
func TestResigningLeaderTransfersLeadership(t *testing.T) {
	c := settledCluster(t, fourHostMembers()...)
	old, term := c.confirmedLeader(), c.confirmedLeader().replica.Term()
	for range 20 {
		c.propose(old)
	}
	start := c.now
	c.waitUntil("another leader", func() bool {
		old.replica.Resign(c.clockOf(old))
		c.processOutput(old)
		return c.confirmedLeader() != nil && c.confirmedLeader() != old
	})
	if took := c.now.Sub(start); took >= testElectionTimeout || c.confirmedLeader().replica.Term() != term+1 {
		t.Errorf("handover took %s and ended in term %d, started in term %d", took, c.confirmedLeader().replica.Term(), term)
	}
	if _, _, err := old.replica.Propose(c.clockOf(old), nil); err == nil {
		t.Error("a resigned node accepts a proposal")
	}
	c.waitUntil("a settled cluster", c.isSettled)
}

// Guards against a follower that accepts a proposal or does not name the leader.
func TestRejectedProposalNamesTheLeader(t *testing.T) {
	c := settledCluster(t, fourHostMembers()...)
	leader := c.confirmedLeader()
	for _, h := range c.hosts {
		_, _, err := h.replica.Propose(c.clockOf(h), nil)
		if refused := (NotLeaderError{}); h != leader && (!errors.As(err, &refused) || refused.Leader != leader.member.ID.Daemon) {
			t.Errorf("%s: %v", h.member.ID, fmt.Sprint(err))
		}
	}
}

// Guards against a leader that stops because it wants one voter more than a group
// may have: a host of a data centre without a voter returns while all seats are
// taken.
func TestLearnerInDataCentreWithoutVoterTakesASeat(t *testing.T) {
	c := fiveVoters(t, sixHostMembers())
	lost := c.host("c") // the only one of its data centre
	c.crash(lost)
	c.waitUntil("replacement", func() bool {
		l := c.confirmedLeader()
		return l != nil && len(l.replica.Members().Voters()) == 5 && !l.replica.Members().IsVoter(lost.member.ID)
	})
	c.start(lost)
	c.waitUntil("a voter in each data centre", func() bool {
		return c.isSettled() && c.confirmedLeader().replica.Members().IsVoter(lost.member.ID)
	})
}

// Guards against a daemon that never becomes a member again because the entry that
// added it is lost with its leader: by its own log it is a member, and later leaders
// do not know it.
func TestLostJoinIsRepeated(t *testing.T) {
	c := fiveVoters(t, sixHostMembers()[:5])
	leader, voters, _ := c.roles()
	joining := voters[0]
	c.loseDisk(joining)
	for range 2 * testElectionTimeout / testStep {
		c.step()
	}
	for _, o := range voters[1:] {
		c.cutLinks[[2]gypsumshelf.DaemonID{leader.member.ID.Daemon, o.member.ID.Daemon}] = true
	}
	c.start(joining)
	c.waitUntil("the entry reaches the joining host only", func() bool {
		_, ok := joining.replica.Members().Member(joining.member.ID)
		return ok
	})
	c.crash(leader)
	c.waitUntil("another leader", func() bool { return c.confirmedLeader() != nil })
	c.heal()
	c.waitUntil("a settled cluster", c.isSettled)
}

// Guards against a daemon with an empty disk that never joins because the peers that it
// was told of are gone: the leader, which sends to its previous incarnation, is asked.
func TestDaemonWithoutPeersAsksSenders(t *testing.T) {
	id := NodeID{Daemon: "a", Incarnation: "2"}
	r := New(Config{ID: id, Durable: true, Seed: 1, Session: 1, ElectionTimeout: testElectionTimeout, HeartbeatInterval: testHeartbeatInterval})
	now := time.Unix(1_000_000, 0)
	r.Tick(now)
	r.Receive(now, Message{From: NodeID{Daemon: "b", Incarnation: "1"}, To: NodeID{Daemon: "a", Incarnation: "1"}, Session: 9, Group: "g", Term: 2, Body: AppendRequest{}})
	r.Tick(now.Add(testElectionTimeout))
	assertSent[Join](t, r.TakeOutput(), 1, "after a message to an earlier incarnation")
}

// Guards against members that grow with each host that was ever replaced.
func TestLostLearnerIsForgotten(t *testing.T) {
	const forgetAfter = 5 * time.Second
	c := fiveVoters(t, sixHostMembers())
	for _, h := range c.hosts {
		h.replica.cfg.ForgetAfter = forgetAfter
	}
	_, _, learners := c.roles()
	lost := learners[0]
	c.crash(lost)
	isMember := func() bool {
		_, ok := c.confirmedLeader().replica.Members().Member(lost.member.ID)
		return ok
	}
	for range (forgetAfter - time.Second) / testStep {
		c.step()
	}
	if !isMember() {
		t.Fatal("forgotten too early")
	}
	c.waitUntil("the learner is forgotten", func() bool { return c.confirmedLeader() != nil && !isMember() })
	c.start(lost)
	c.waitUntil("a settled cluster", c.isSettled)
}
