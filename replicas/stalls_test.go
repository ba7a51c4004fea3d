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

// Guards against a voter that holds its seat for as long as its disk refuses writes,
// because it opens its folder again and answers until the next write.
func TestVoterWithFullDiskLosesItsSeat(t *testing.T) {
	for name, prepare := range map[string]func(c *cluster, h *host){
		"entries":  func(*cluster, *host) {},
		"snapshot": (*cluster).startSnapshot,
	} {
		t.Run(name, func(t *testing.T) {
			c := fiveVoters(t, sixHostMembers())
			_, voters, _ := c.roles()
			h := voters[0]
			prepare(c, h)
			h.disk.fullUntil = c.now.Add(time.Hour)
			c.proposeFor(4 * testReplaceAfter)
			l := c.confirmedLeader()
			if members := l.replica.Members(); members.IsVoter(h.member.ID) || len(members.Voters()) != 5 {
				t.Fatalf("voters are %v, want another one in place of %s", members.Voters(), h.member.ID)
			}
			h.disk.fullUntil = time.Time{}
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

// Guards against a seat that is lost by a slow link, and against the stop of a voter
// while the quorum depends on one that stores nothing.
func TestStalledVoter(t *testing.T) {
	for name, tc := range map[string]struct {
		storesEvery   time.Duration // interval of the voter's confirmations, 0 for none
		restartsEvery time.Duration
		want          bool
	}{
		"stores nothing":                   {want: true},
		"stores nothing, restarts":         {restartsEvery: testReplaceAfter / 2, want: true},
		"catches up slowly":                {storesEvery: testReplaceAfter},
		"catches up slowly, with restarts": {storesEvery: testReplaceAfter, restartsEvery: testReplaceAfter / 2},
	} {
		t.Run(name, func(t *testing.T) {
			r, now, others := newTestLeaderWithCommit(t)
			r.cfg.ReplaceAfter = testReplaceAfter
			match, session := r.commit, uint64(9)
			respond := func() {
				r.Receive(now, Message{From: others[1], To: r.ID(), Session: session, Group: "g", Term: 2, Body: AppendResponse{OK: true, Match: match, Sent: now.Sub(r.clockStart)}})
			}
			respond()
			stored, restarted := now, now
			for end := now.Add(2*testReplaceAfter + 2*testHeartbeatInterval); now.Before(end); {
				now = now.Add(testHeartbeatInterval)
				if _, _, err := r.Propose(now, nil); err != nil {
					t.Fatal(err)
				}
				r.Synced(now, r.TakeOutput().Persist.Sequence)
				if tc.storesEvery > 0 && now.Sub(stored) >= tc.storesEvery {
					match, stored = match+1, now
				}
				if tc.restartsEvery > 0 && now.Sub(restarted) >= tc.restartsEvery {
					session, restarted = session+1, now
				}
				respond()
				receive(r, now, others[0], 2, AppendResponse{OK: true, Match: r.LastIndex(), Sent: now.Sub(r.clockStart)})
				r.Tick(now)
			}
			if id, got := r.stalledVoter(r.Members()); got != tc.want || got && id != others[1] {
				t.Fatalf("stalled: %t, voter %s", got, id)
			}
			receive(r, now, others[0], 2, StopRequest{})
			now = now.Add(testHeartbeatInterval)
			respond()
			r.TakeOutput()
			receive(r, now, others[0], 2, StopRequest{})
			if granted := bodiesOfType[StopResponse](r.TakeOutput().Messages)[0].Granted; granted == tc.want {
				t.Fatalf("stop of the other voter granted: %t", granted)
			}
		})
	}
}

// Guards against a leader that steps down, and elections that do not end, while the
// disks of a majority are slow.
func TestSlowDisksKeepTheLeader(t *testing.T) {
	c := fiveVoters(t, sixHostMembers())
	leader, voters, _ := c.roles()
	term := leader.replica.Term()
	for range 3 {
		until := c.now.Add(2 * testElectionTimeout)
		for _, h := range voters[:3] {
			h.disk.hangsUntil = until
		}
		c.proposeFor(3 * testElectionTimeout)
	}
	c.waitUntil("a settled cluster", c.isSettled)
	if !leader.replica.IsLeader() || leader.replica.Term() != term {
		t.Fatalf("%s leads term %d, want %s and term %d", c.confirmedLeader().member.ID, c.confirmedLeader().replica.Term(), leader.member.ID, term)
	}
}

// Guards against seats that are lost by a pause of the leader.
func TestPausedLeaderReplacesNoVoter(t *testing.T) {
	c := fiveVoters(t, sixHostMembers())
	leader, _, _ := c.roles()
	before := slices.Clone(leader.replica.Members())
	c.proposeFor(testReplaceAfter)
	for _, h := range c.hosts {
		h.frozenUntil = c.now.Add(3 * testReplaceAfter)
	}
	c.propose(leader)
	for range 4 * testReplaceAfter / testStep {
		c.step()
	}
	c.waitUntil("a settled cluster", c.isSettled)
	if after := c.confirmedLeader().replica.Members(); !slices.Equal(after, before) {
		t.Fatalf("members are %v, were %v", after, before)
	}
}
