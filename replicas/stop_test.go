package replicas

import (
	"testing"
	"time"
)

// sixHostMembers returns the members of a deployment with five voters and a learner
// that is the successor of a voter.
func sixHostMembers() []Member {
	return append(fourHostMembers(),
		Member{ID: NodeID{Daemon: "e"}, DataCentre: "y", Durable: true},
		Member{ID: NodeID{Daemon: "f"}, DataCentre: "x", Durable: true})
}

// fiveVoters returns a settled cluster with five voters.
func fiveVoters(t interface{ Fatalf(string, ...any) }, members []Member) *cluster {
	c := newCluster(t, 1, members...)
	c.wantedVoters = 5
	for _, h := range c.hosts {
		c.start(h)
	}
	c.waitUntil("a settled cluster", c.isSettled)
	return c
}

// resign continues the planned stop of a host and reports whether it may stop.
func (c *cluster) resign(h *host) bool {
	h.replica.Resign(c.clockOf(h))
	c.processOutput(h)
	return h.replica != nil && h.replica.MayStop()
}

// roles returns the leader, the other voters and the learners of a settled cluster.
func (c *cluster) roles() (leader *host, voters, learners []*host) {
	leader = c.confirmedLeader()
	for _, h := range c.hosts {
		switch members := leader.replica.Members(); {
		case h == leader:
		case members.IsVoter(h.member.ID):
			voters = append(voters, h)
		default:
			learners = append(learners, h)
		}
	}
	return leader, voters, learners
}

// loseDisk ends a host, which starts later with an empty disk.
func (c *cluster) loseDisk(h *host) {
	c.crash(h)
	h.disk, h.lostDiskAt = fakeDisk{}, c.now
	h.member.ID.Incarnation = ""
}

func (c *cluster) assertCommits(when string) {
	c.waitUntil("a leader "+when, func() bool { return c.confirmedLeader() != nil })
	before := c.highestApplied
	c.propose(c.confirmedLeader())
	c.waitUntil("a commit "+when, func() bool { return c.highestApplied > before })
}

// Guards against a planned stop, perhaps for good, that leaves no majority when two
// disks are lost before, during or after it.
func TestStoppedVoterLeavesItsSeatToItsSuccessor(t *testing.T) {
	for name, test := range map[string]struct {
		leads        bool
		before       int // disks of voters lost just before the stop
		after        int // disks of voters lost right after it
		silentBefore time.Duration
	}{
		"disks lost before":           {before: 2},
		"disks lost long before":      {before: 2, silentBefore: 2 * testReplaceAfter},
		"disks lost after":            {after: 2},
		"one disk before, one after":  {before: 1, after: 1},
		"leader, disks lost before":   {leads: true, before: 2},
		"leader, disks lost after":    {leads: true, after: 2},
		"leader, one before, one aft": {leads: true, before: 1, after: 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := fiveVoters(t, sixHostMembers())
			leader, voters, _ := c.roles()
			stopped := leader
			if !test.leads {
				stopped, voters = voters[0], append(voters[1:], leader)
			}
			lost := voters[:test.before+test.after]
			for _, h := range lost[:test.before] {
				c.loseDisk(h)
			}
			for range test.silentBefore / testStep {
				c.step()
			}
			c.waitUntil("the permission to stop", func() bool { return c.resign(stopped) })
			c.crash(stopped)
			for _, h := range lost[test.before:] {
				c.loseDisk(h)
			}
			c.assertCommits("with two disks lost and the voter stopped")
			for _, h := range lost {
				c.start(h)
			}
			c.waitUntil("five voters without the stopped one", func() bool {
				l := c.confirmedLeader()
				return l != nil && len(l.replica.Members().Voters()) == 5 && !l.replica.Members().IsVoter(stopped.member.ID) && !l.replica.membershipPending()
			})
		})
	}
}

// Guards against planned stops that wait although nobody can take the seat.
func TestStopWithoutSuccessorIsGrantedAtOnce(t *testing.T) {
	assertStops := func(t *testing.T, c *cluster, hosts ...*host) {
		t.Helper()
		start := c.now
		c.waitUntil("the permission to stop", func() bool {
			all := true
			for _, h := range hosts {
				all = c.resign(h) && all
			}
			return all
		})
		if took := c.now.Sub(start); took > 2*testElectionTimeout {
			t.Errorf("the stop waited for %s", took)
		}
	}
	for name, pick := range map[string]func(c *cluster) []*host{
		"a follower": func(c *cluster) []*host { _, voters, _ := c.roles(); return voters[:1] },
		"the leader": func(c *cluster) []*host { leader, _, _ := c.roles(); return []*host{leader} },
		"a learner":  func(c *cluster) []*host { _, _, learners := c.roles(); return learners },
		"all":        func(c *cluster) []*host { return c.hosts },
	} {
		t.Run(name, func(t *testing.T) {
			members := sixHostMembers()
			members[5].Durable = false // a learner that can never vote
			c := fiveVoters(t, members)
			assertStops(t, c, pick(c)...)
		})
	}
}

// Guards against a voter that stops while the quorum depends on it and hosts that
// lost their disks are on their way back.
func TestStopWaitsForAQuorumWithoutIt(t *testing.T) {
	c := fiveVoters(t, sixHostMembers()[:5])
	_, voters, _ := c.roles()
	stopped, lost := voters[0], voters[1:3]
	for _, h := range lost {
		c.loseDisk(h)
	}
	for range 4 * testElectionTimeout / testStep {
		if c.resign(stopped) {
			t.Fatalf("%s may stop although only two other voters are left", stopped.member.ID)
		}
		c.step()
	}
	for _, h := range lost {
		c.start(h)
	}
	c.waitUntil("the permission to stop", func() bool { return c.resign(stopped) })
	c.crash(stopped)
	c.assertCommits("after the stop")
}

// Guards against a stop that was announced and did not take place, such as that of a
// process which was killed: after its restart the voter counts again.
func TestRestartEndsAnAnnouncedStop(t *testing.T) {
	c := fiveVoters(t, sixHostMembers()[:5])
	_, voters, _ := c.roles()
	h := voters[0]
	c.waitUntil("the permission to stop", func() bool { return c.resign(h) })
	c.crash(h)
	c.start(h)
	c.waitUntil("contact", func() bool {
		l := c.confirmedLeader()
		return l != nil && l.replica.isAvailable(h.member.ID)
	})
	c.waitUntil("a settled cluster", c.isSettled)
}
