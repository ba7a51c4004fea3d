package replicas

import (
	"testing"
	"time"
)

// newTestLeaderWithCommit returns a leader of term 2 that has committed the first
// entry of its term, which is entry 2.
func newTestLeaderWithCommit(t *testing.T) (r *Replica, now time.Time, others [2]NodeID) {
	r, now, others = newTestLeader(t)
	syncOutput(r, now)
	receive(r, now, others[0], 2, AppendResponse{OK: true, Match: 2, Sent: now.Sub(r.clockStart)})
	return r, now, others
}

// Guards against a leader that accepts commands after it has resigned: the
// handover would lose them.
func TestResignedLeaderRejectsProposals(t *testing.T) {
	r, now, _ := newTestLeaderWithCommit(t)
	r.Resign(now)
	if _, _, err := r.Propose(now, nil); err == nil {
		t.Fatal("a resigned leader accepted a proposal")
	}
}

// Guards against unbounded memory for requests to a member that does not answer.
func TestInFlightRequestsAreBounded(t *testing.T) {
	r, now, others := newTestLeaderWithCommit(t)
	sent := map[NodeID]int{}
	for range 10 * maxInFlight {
		if _, _, err := r.Propose(now, []byte("x")); err != nil {
			t.Fatal(err)
		}
		for _, m := range r.TakeOutput().Messages {
			sent[m.To]++
		}
	}
	if sent[others[0]] != maxInFlight || sent[others[1]] > 1 {
		t.Fatalf("%d requests to a member that answered before, %d to one that did not", sent[others[0]], sent[others[1]])
	}
}

// Guards against a leader that stays leader although its disk completes no writes.
func TestLeaderWithStuckDiskStepsDown(t *testing.T) {
	r, now, others := newTestLeaderWithCommit(t)
	if _, _, err := r.Propose(now, nil); err != nil {
		t.Fatal(err)
	}
	r.TakeOutput()
	now = now.Add(r.cfg.ReplaceAfter + time.Second)
	receive(r, now, others[0], 2, AppendResponse{OK: true, Match: 3, Sent: now.Sub(r.clockStart)})
	r.Tick(now)
	if r.IsLeader() {
		t.Fatalf("still the leader although a write has not completed for %s", r.cfg.ReplaceAfter)
	}
}

// Guards against two running processes of one daemon that replace each other as
// member in turn.
func TestJoinReplacesOnlySilentIncarnation(t *testing.T) {
	r, now, others := newTestLeaderWithCommit(t)
	join := Message{From: NodeID{Daemon: others[0].Daemon, Incarnation: "2"}, To: r.ID(), Session: 5, Body: Join{Durable: true}}
	r.Receive(now, join)
	if !r.Members().IsVoter(others[0]) {
		t.Fatal("a voter that is in contact was replaced")
	}
	r.Receive(now.Add(testElectionTimeout), join)
	if member, ok := r.Members().Member(join.From); !ok || member.Role != Learner || r.Members().IsVoter(others[0]) {
		t.Fatalf("members are %v, want the new incarnation as a learner", r.Members())
	}
}

// Guards against the promotion of a learner that lacks entries of the lost voter.
func TestLearnerIsPromotedOnlyWhenCaughtUp(t *testing.T) {
	r, _, _ := newTestLeaderWithCommit(t)
	learner := Member{ID: NodeID{Daemon: "d", Incarnation: "1"}, Durable: true}
	r.memberships[0].members = r.Members().withMember(learner)
	r.updateProgress()
	r.cfg.TargetVoters = 4
	if next, _, reason := r.nextMembership(); reason != "" {
		t.Fatalf("voters become %v: %s", next.Voters(), reason)
	}
	r.progress[learner.ID].caughtUp = true
	if next, _, _ := r.nextMembership(); !next.IsVoter(learner.ID) {
		t.Fatalf("voters become %v", next.Voters())
	}
}
