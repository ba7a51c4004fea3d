package replicas

import (
	"testing"
	"time"
)

// demoted returns a voter of a group of three whose log ends with an entry that takes
// its vote away.
func demoted(t *testing.T, committed bool) (r *Replica, now time.Time, others [2]NodeID) {
	t.Helper()
	r, now, others = newTestVoter(t)
	without := r.Members().withRole(r.ID(), Learner)
	req := AppendRequest{Prev: 1, PrevTerm: 1, Entries: []Entry{{Index: 2, Term: 2, Kind: Membership, Data: without.encode()}}}
	if committed {
		req.Commit = 2
	}
	receive(r, now, others[0], 2, req)
	syncOutput(r, now)
	return r, now, others
}

// Guards against a group that elects no leader any more: the only running node with
// the last entry refuses its vote to all others, and does not ask for votes because
// this entry takes its own vote away.
func TestDemotedVoterCampaignsUntilItsDemotionIsCommitted(t *testing.T) {
	for name, committed := range map[string]bool{"not committed": false, "committed": true} {
		t.Run(name, func(t *testing.T) {
			r, now, _ := demoted(t, committed)
			want := 2
			if committed {
				want = 0
			}
			r.Tick(now.Add(2 * testElectionTimeout))
			assertSent[VoteRequest](t, r.TakeOutput(), want, "after the election timeout")
		})
	}
}

// Guards against a leader without a vote that keeps the lead.
func TestLeaderWithoutVoteLeaves(t *testing.T) {
	r, now, others := demoted(t, false)
	now = now.Add(2 * testElectionTimeout)
	r.Tick(now)
	for _, id := range others {
		receive(r, now, id, 2, VoteResponse{Pre: true, Asked: 3, Granted: true})
	}
	syncOutput(r, now)
	for _, id := range others {
		receive(r, now, id, 3, VoteResponse{Asked: 3, Granted: true})
	}
	if !r.IsLeader() {
		t.Fatal("not elected by both voters")
	}
	syncOutput(r, now)
	for _, id := range others {
		receive(r, now, id, 3, AppendResponse{OK: true, Match: 3, Sent: now.Sub(r.clockStart)})
	}
	r.TakeOutput()
	r.Tick(now.Add(testHeartbeatInterval))
	assertSent[Handover](t, r.TakeOutput(), 1, "once the demotion is committed")
	r.Tick(now.Add(2 * testElectionTimeout))
	if r.IsLeader() {
		t.Error("still the leader although no voter took over in time")
	}
}
