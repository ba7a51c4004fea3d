package replicas

import (
	"testing"
	"time"
)

// settledLeader makes the lone replica a leader with a committed entry of its
// term, at entry 2.
func settledLeader(t *testing.T) (r *Replica, now time.Time, others [2]NodeID) {
	r, now, others = leadLone(t)
	sync(r, now)
	receive(r, now, others[0], 2, AppendResponse{OK: true, Match: 2, Sent: now.Sub(r.epoch)})
	return r, now, others
}

// Guards against commands that a leader takes and then loses by its handover.
func TestResignedLeaderTakesNoProposals(t *testing.T) {
	r, now, _ := settledLeader(t)
	r.Resign(now)
	if _, _, err := r.Propose(now, nil); err == nil {
		t.Fatal("proposal accepted")
	}
}

// Guards against memory that fills with requests to a member that is silent.
func TestUnansweredRequestsAreBounded(t *testing.T) {
	r, now, others := settledLeader(t)
	sent := map[NodeID]int{}
	for range 10 * maxUnanswered {
		if _, _, err := r.Propose(now, []byte("x")); err != nil {
			t.Fatal(err)
		}
		for _, m := range r.Take().Messages {
			sent[m.To]++
		}
	}
	if sent[others[0]] != maxUnanswered || sent[others[1]] > 1 {
		t.Fatalf("%d requests to a member that answered before, %d to one that did not", sent[others[0]], sent[others[1]])
	}
}

// Guards against a leader that can store nothing and keeps its office.
func TestLeaderWithStuckDiskStepsDown(t *testing.T) {
	r, now, others := settledLeader(t)
	if _, _, err := r.Propose(now, nil); err != nil {
		t.Fatal(err)
	}
	r.Take()
	now = now.Add(r.cfg.ReplaceAfter + time.Second)
	receive(r, now, others[0], 2, AppendResponse{OK: true, Match: 3, Sent: now.Sub(r.epoch)})
	r.Tick(now)
	if r.IsLeader() {
		t.Fatalf("leads with a write that waits since %s", r.cfg.ReplaceAfter)
	}
}

// Guards against two processes of one daemon that replace each other in turn.
func TestJoinReplacesOnlySilentIncarnation(t *testing.T) {
	r, now, others := settledLeader(t)
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
func TestLearnerVotesOnlyWhenCurrent(t *testing.T) {
	r, _, _ := settledLeader(t)
	learner := Member{ID: NodeID{Daemon: "d", Incarnation: "1"}, Durable: true}
	r.configs[0].members = r.Members().with(learner)
	r.syncProgress()
	r.cfg.Voters = 4
	if next := r.wanted(); next != nil {
		t.Fatalf("voters become %v", next.Voters())
	}
	r.progress[learner.ID].current = true
	if next := r.wanted(); !next.IsVoter(learner.ID) {
		t.Fatalf("voters become %v", next.Voters())
	}
}
