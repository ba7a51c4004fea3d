package replicas

import (
	"testing"
	"time"
)

// testPause is a pause of a node that is longer than all of its timeouts.
const testPause = 3 * testElectionTimeout

// runFor ticks a replica every heartbeat interval for a time and returns its clock.
func runFor(r *Replica, now time.Time, d time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); {
		now = now.Add(testHeartbeatInterval)
		r.Tick(now)
		syncOutput(r, now)
	}
	return now
}

// pausingLeader returns a leader that notices its own pauses.
func pausingLeader(t *testing.T) (r *Replica, now time.Time, others [2]NodeID) {
	t.Helper()
	r, now, others = newTestLeaderWithCommit(t)
	r.cfg.PauseThreshold = testElectionTimeout / 2
	r.Tick(now)
	return r, now, others
}

// Guards against a leader that gives up the lead after each pause of its own process,
// although the answers of the others wait to be read: beside load, a group then elects
// a new leader with each pause.
func TestLeaderKeepsLeadAfterOwnPause(t *testing.T) {
	r, now, others := pausingLeader(t)
	sent := now.Sub(r.clockStart)
	now = now.Add(testPause)
	r.Tick(now)
	receive(r, now, others[0], 2, AppendResponse{OK: true, Match: 2, Sent: sent})
	syncOutput(r, now)
	now = now.Add(testHeartbeatInterval)
	receive(r, now, others[0], 2, AppendResponse{OK: true, Match: 2, Sent: now.Sub(r.clockStart)})
	if runFor(r, now, testElectionTimeout/2); !r.IsLeader() {
		t.Fatalf("no leader any more after a pause of %s", testPause)
	}
}

// Guards against a leader without a quorum that keeps the lead because its process is
// paused: it must give it up one election timeout after the first pause at the latest.
func TestPausedLeaderWithoutQuorumStepsDown(t *testing.T) {
	for name, pauses := range map[string]int{"after one pause": 1, "while paused again and again": 3} {
		t.Run(name, func(t *testing.T) {
			r, now, _ := pausingLeader(t)
			for range pauses {
				now = now.Add(testPause)
				r.Tick(now)
			}
			if pauses == 1 {
				runFor(r, now, testElectionTimeout+testHeartbeatInterval)
			}
			if r.IsLeader() {
				t.Fatal("still the leader")
			}
		})
	}
}

// Guards against a follower that asks for votes after a pause of its own process before
// it reads the messages of the leader, and against one that never asks because it is
// paused again and again.
func TestFollowerCampaignsOnceItHasRunAfterPause(t *testing.T) {
	r, now, _ := newTestVoter(t)
	r.cfg.PauseThreshold = testElectionTimeout / 2
	r.Tick(now)
	now = now.Add(testPause)
	r.Tick(now)
	assertSent[VoteRequest](t, r.TakeOutput(), 0, "at the end of the pause")
	now = now.Add(testPause)
	r.Tick(now)
	assertSent[VoteRequest](t, r.TakeOutput(), 2, "after a second pause")
}
