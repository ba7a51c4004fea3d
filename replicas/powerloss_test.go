package replicas

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// sevenHostMembers returns the members of a deployment with five voters and two learners.
func sevenHostMembers() []Member {
	return append(sixHostMembers(), Member{ID: NodeID{Daemon: "g"}, DataCentre: "z", Durable: true})
}

// Guards against a group that elects no leader, or loses what it acknowledged, after all
// hosts have lost power and two of them their disks, at any moment of a membership change
// or after disks have refused writes.
func TestPowerLossOfAllWithTwoLostDisks(t *testing.T) {
	seedRapid(t)
	const recoveryTime = 12 * time.Second // bound of the deployments
	joint, pending, checks := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		members := sevenHostMembers()[:rapid.IntRange(6, 7).Draw(t, "hosts")]
		c := newCluster(t, rapid.Uint64().Draw(t, "seed"), members...)
		c.wantedVoters = 5
		for _, h := range c.hosts {
			c.start(h)
		}
		c.waitUntil("a settled cluster", c.isSettled)
		c.syncProbability = rapid.SampledFrom([]float64{0.1, 1}).Draw(t, "sync")
		leader, voters, learners := c.roles()
		switch rapid.IntRange(0, 6).Draw(t, "change") {
		case 0:
			c.proposeFor(testElectionTimeout)
		case 1:
			voters[c.rng.IntN(len(voters))].stopping = true
		case 2:
			leader.stopping = true
		case 3:
			c.crash(voters[c.rng.IntN(len(voters))])
			c.proposeFor(testReplaceAfter - testStep)
		case 4:
			c.wipe(learners[c.rng.IntN(len(learners))]) // joins again
		case 5:
			for _, i := range c.rng.Perm(len(c.hosts))[:3] {
				c.hosts[i].disk.fullUntil = c.now.Add(testReopenDelay / 2)
				c.proposeFor(2 * testReopenDelay)
			}
		case 6:
			voters[0].disk.hangsUntil = c.now.Add(time.Hour)
			c.propose(leader)
			for range 2*testReplaceAfter/testStep - 1 {
				c.step()
			}
		}
		c.proposeFor(time.Duration(rapid.IntRange(0, 60).Draw(t, "steps")) * testStep)

		checks++
		if l := c.confirmedLeader(); l != nil && l.replica.Members().IsJoint() {
			joint++
		}
		if l := c.confirmedLeader(); l != nil && l.replica.membershipPending() {
			pending++
		}
		acknowledged := c.highestApplied
		order := c.rng.Perm(len(c.hosts))
		for _, h := range c.hosts {
			if h.replica == nil {
				c.start(h) // loses power while it starts
			}
			c.losePower(h)
		}
		for _, i := range order[:2] {
			h := c.hosts[i]
			h.disk, h.member.ID.Incarnation, h.lostDiskAt, h.startAt = fakeDisk{}, "", c.now, c.now.Add(time.Hour)
		}
		start := c.now
		c.waitUntil("a leader", func() bool { return c.confirmedLeader() != nil })
		if took := c.now.Sub(start); took > recoveryTime {
			t.Fatalf("a leader after %s", took)
		}
		if l := c.confirmedLeader(); l.applied < acknowledged {
			t.Fatalf("%s leads with %d entries applied, %d were acknowledged", l.member.ID, l.applied, acknowledged)
		}
		c.assertCommits("with two disks lost")
		for _, i := range order[:2] {
			c.start(c.hosts[i])
		}
		c.syncProbability = 1
		c.waitUntil("a settled cluster", c.isSettled)
	})
	t.Logf("%d power losses, %d in an exchange, %d while a change was not committed", checks, joint, pending)
}

// Guards against a group that is never formed, because its first hosts lost power at the
// moment of its creation.
func TestPowerLossWhileTheGroupIsCreated(t *testing.T) {
	seedRapid(t)
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.Uint64().Draw(t, "seed"), fourHostMembers()...)
		c.syncProbability = rapid.SampledFrom([]float64{0.05, 0.3, 1}).Draw(t, "sync")
		for range rapid.IntRange(1, 3).Draw(t, "losses") {
			for range rapid.IntRange(0, 50).Draw(t, "steps") {
				c.step()
			}
			for _, h := range c.hosts {
				if c.rng.IntN(2) == 0 {
					c.crash(h) // some writes reach the disk
					h.startAt = c.now.Add(time.Duration(c.rng.Int64N(int64(time.Second))))
				}
				c.losePower(h)
			}
			for slices.ContainsFunc(c.hosts, func(h *host) bool { return h.replica == nil }) {
				c.step()
			}
		}
		c.syncProbability = 1
		c.waitUntil("a settled cluster", c.isSettled)
	})
}
