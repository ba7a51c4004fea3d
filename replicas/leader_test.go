package replicas

import (
	"testing"
	"time"
)

// newTestLeaderWithCommit makes the lone replica a leader with a committed entry of its
// term, at entry 2.
func newTestLeaderWithCommit(t *testing.T) (r *Replica, now time.Time, others [2]NodeID) {
	r, now, others = newTestLeader(t)
	syncOutput(r, now)
	receive(r, now, others[0], 2, AppendResponse{OK: true, Match: 2, Sent: now.Sub(r.clockStart)})
	return r, now, others
}

// Guards against commands that a leader takes and then loses by its handover.
func TestResignedLeaderRejectsProposals(t *testing.T) {
	r, now, _ := newTestLeaderWithCommit(t)
	r.Resign(now)
	if _, _, err := r.Propose(now, nil); err == nil {
		t.Fatal("proposal accepted")
	}
}

// Guards against memory that fills with requests to a member that is silent.
func TestInFlightRequestsAreBounded(t *testing.T) {
	r, now, others := newTestLeaderWithCommit(t)
	sent := map[NodeID]int{}
	for range 10 * maxInFlight {
		if _, _, err := r.Propose(now, []byte("x")); err != nil {
			t.Fatal(err)
		}
		for _, m := range r.Take().Messages {
			sent[m.To]++
		}
	}
	if sent[others[0]] != maxInFlight || sent[others[1]] > 1 {
		t.Fatalf("%d requests to a member that answered before, %d to one that did not", sent[others[0]], sent[others[1]])
	}
}

// Guards against a leader that can store nothing and keeps its office.
func TestLeaderWithStuckDiskStepsDown(t *testing.T) {
	r, now, others := newTestLeaderWithCommit(t)
	if _, _, err := r.Propose(now, nil); err != nil {
		t.Fatal(err)
	}
	r.Take()
	now = now.Add(r.cfg.ReplaceAfter + time.Second)
	receive(r, now, others[0], 2, AppendResponse{OK: true, Match: 3, Sent: now.Sub(r.clockStart)})
	r.Tick(now)
	if r.IsLeader() {
		t.Fatalf("leads with a write that waits since %s", r.cfg.ReplaceAfter)
	}
}

// Guards against two processes of one daemon that replace each other in turn.
func TestJoinReplacesOnlySilentIncarnation(t *testing.T) {
	r, now, others := newTestLeaderWithCommit(t)
	join := Message{From: NodeID{Daemon: others[0].Daemon, Incarnation: "2"}, To: r.ID(), Session: 5, Body: Join{Durable: true}}
	r.Receive(now, join)
	if !r.Members().IsVoter(others[0]) {
		t.Fatal("a living voter was replaced")
	}
	r.Receive(now.Add(testElection), join)
	if member, ok := r.Members().Member(join.From); !ok || member.Role != Learner || r.Members().IsVoter(others[0]) {
		t.Fatalf("members are %v", r.Members())
	}
}

// Guards against a new voter that lacks what the lost one had.
func TestLearnerIsPromotedOnlyWhenCaughtUp(t *testing.T) {
	r, _, _ := newTestLeaderWithCommit(t)
	learner := Member{ID: NodeID{Daemon: "d", Incarnation: "1"}, Durable: true}
	r.memberships[0].members = r.Members().withMember(learner)
	r.updateProgress()
	r.cfg.Voters = 4
	if next := r.nextMembership(); next != nil {
		t.Fatalf("voters become %v", next.Voters())
	}
	r.progress[learner.ID].caughtUp = true
	if next := r.nextMembership(); !next.IsVoter(learner.ID) {
		t.Fatalf("voters become %v", next.Voters())
	}
}
