package replicas

import (
	"slices"
	"testing"
	"time"
)

// startSnapshot lets a host fall behind until the leader sends it a snapshot.
func (c *cluster) startSnapshot(h *host) {
	c.letFallBehind(h)
	c.waitUntil("a snapshot is sent", func() bool {
		l := c.confirmedLeader()
		return l != nil && l.replica.progress[h.member.ID] != nil && l.replica.progress[h.member.ID].snapshotOffset > 0
	})
}

// Guards against a voter that holds its seat for as long as its disk hangs, because it
// still answers the leader.
func TestVoterWithHangingDiskLosesItsSeat(t *testing.T) {
	for name, prepare := range map[string]func(c *cluster, h *host){
		"entries":  func(*cluster, *host) {},
		"snapshot": (*cluster).startSnapshot,
	} {
		t.Run(name, func(t *testing.T) {
			c := fiveVoters(t, sixHostMembers())
			_, voters, _ := c.roles()
			h := voters[0]
			prepare(c, h)
			h.disk.hangsUntil = c.now.Add(time.Hour)
			c.proposeFor(3 * testReplaceAfter)
			l := c.confirmedLeader()
			if members := l.replica.Members(); members.IsVoter(h.member.ID) || len(members.Voters()) != 5 {
				t.Fatalf("voters are %v, want another one in place of %s", members.Voters(), h.member.ID)
			}
			h.disk.hangsUntil = time.Time{}
			c.waitUntil("a settled cluster", c.isSettled)
		})
	}
}

// Guards against seats that are lost by a short delay.
func TestSlowVoterKeepsItsSeat(t *testing.T) {
	for name, slowDown := range map[string]func(c *cluster, h *host){
		"disk hangs for a moment": func(c *cluster, h *host) {
			h.disk.hangsUntil = c.now.Add(testReplaceAfter * 2 / 3)
			c.proposeFor(testReplaceAfter)
		},
		"disk hangs while it gets a snapshot": func(c *cluster, h *host) {
			c.startSnapshot(h)
			h.disk.hangsUntil = c.now.Add(testReplaceAfter * 2 / 3)
			c.proposeFor(testReplaceAfter)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := fiveVoters(t, sixHostMembers())
			leader, voters, _ := c.roles()
			before := slices.Clone(leader.replica.Members())
			slowDown(c, voters[0])
			c.waitUntil("a settled cluster", c.isSettled)
			if after := c.confirmedLeader().replica.Members(); !slices.Equal(after, before) {
				t.Fatalf("members are %v, were %v", after, before)
			}
		})
	}
}

// Guards against seats that are lost by a slow link or a pause of the leader, and against
// the stop of a voter while the quorum depends on one that stores nothing.
func TestStalledVoter(t *testing.T) {
	for name, tc := range map[string]struct {
		storesEvery time.Duration // interval of the voter's confirmations, 0 for none
		paused      time.Duration // in which the leader hears of no one
		want        bool
	}{
		"stores nothing":                   {want: true},
		"catches up slowly":                {storesEvery: testReplaceAfter * 2 / 3},
		"stores nothing, leader paused":    {paused: testReplaceAfter},
		"catches up slowly, leader paused": {storesEvery: testReplaceAfter / 2, paused: testReplaceAfter},
	} {
		t.Run(name, func(t *testing.T) {
			r, now, others := newTestLeaderWithCommit(t)
			r.cfg.ReplaceAfter = testReplaceAfter
			match := r.commit
			receive(r, now, others[1], 2, AppendResponse{OK: true, Match: match, Sent: now.Sub(r.clockStart)})
			end := now.Add(testReplaceAfter + 2*testHeartbeatInterval)
			pause := now.Add(testReplaceAfter / 2)
			nextStored := now.Add(tc.storesEvery)
			for now.Before(end) {
				now = now.Add(testHeartbeatInterval)
				if now.After(pause) {
					now, end, pause = now.Add(tc.paused), end.Add(tc.paused), end.Add(time.Hour)
				}
				if _, _, err := r.Propose(now, nil); err != nil {
					t.Fatal(err)
				}
				r.Synced(now, r.TakeOutput().Persist.Sequence)
				if tc.storesEvery > 0 && !now.Before(nextStored) {
					match, nextStored = match+1, now.Add(tc.storesEvery)
				}
				receive(r, now, others[1], 2, AppendResponse{OK: true, Match: match, Sent: now.Sub(r.clockStart)})
				receive(r, now, others[0], 2, AppendResponse{OK: true, Match: r.LastIndex(), Sent: now.Sub(r.clockStart)})
				r.Tick(now)
			}
			if id, got := r.stalledVoter(r.Members()); got != tc.want || got && id != others[1] {
				t.Fatalf("stalled: %t, voter %s", got, id)
			}
			for range 2 {
				now = now.Add(testHeartbeatInterval)
				receive(r, now, others[1], 2, AppendResponse{OK: true, Match: match, Sent: now.Sub(r.clockStart)})
				receive(r, now, others[0], 2, StopRequest{})
			}
			r.TakeOutput()
			receive(r, now, others[0], 2, StopRequest{})
			if granted := bodiesOfType[StopResponse](r.TakeOutput().Messages)[0].Granted; granted == tc.want {
				t.Fatalf("stop of the other voter granted: %t", granted)
			}
		})
	}
}
