package replicas

import (
	"cmp"
	"flag"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"pgregory.net/rapid"
)

const (
	defaultSeed   = "1"
	defaultChecks = "25"  // about 10 s with the race detector
	stepsPerCheck = 1_500 // 15 s of simulated time
)

// seedRapid sets rapid's seed and number of checks from the environment. Each test
// calls it, so that Go's cached test results depend on the variables.
func seedRapid(t *testing.T) {
	for name, variable := range map[string][2]string{
		"rapid.seed":   {"GYPSUMSHELF_SEED", defaultSeed},
		"rapid.checks": {"GYPSUMSHELF_CHECKS", defaultChecks},
	} {
		value := cmp.Or(os.Getenv(variable[0]), variable[1])
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
		t.Logf("%s=%s", variable[0], value)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		t.Fatal(err)
	}
}

// Guards against interleavings of faults that violate a safety invariant, and
// against a group that does not recover once the faults end.
func TestRandomFaults(t *testing.T) {
	seedRapid(t)
	faults, steps, entries := map[string]int{}, 0, uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		members := fourHostMembers()
		n := rapid.IntRange(3, 6).Draw(t, "hosts")
		if n >= 5 {
			members = append(members, Member{ID: NodeID{Daemon: "e"}, DataCentre: "y", Durable: rapid.Bool().Draw(t, "fifth host has a disk")})
		}
		if n == 6 {
			members = append(members, Member{ID: NodeID{Daemon: "f"}, DataCentre: "z", Durable: true})
		}
		c := newCluster(t, rapid.Uint64().Draw(t, "seed"), members[:n]...)
		defer func() {
			for name, n := range c.eventCounts {
				faults[name] += n
			}
			steps += c.steps
			entries += c.highestApplied
			faults["terms with a leader"] += len(c.leaderOfTerm)
		}()
		if n >= 5 && members[4].Durable && rapid.Bool().Draw(t, "five voters") {
			c.wantedVoters = 5
			for _, h := range c.hosts {
				c.start(h)
			}
		}
		c.waitUntil("a settled cluster", c.isSettled)
		c.dropProbability = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "drop")
		c.duplicateProbability = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplicate")
		c.delayProbability = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "slow")
		c.syncProbability = rapid.SampledFrom([]float64{0.05, 0.2, 0.7, 1}).Draw(t, "sync")
		maxAction := rapid.SampledFrom([]int{20, 40, 100}).Draw(t, "actions") // numbers without a fault propose commands
		for c.steps < stepsPerCheck {
			c.injectFault(rapid.IntRange(0, maxAction).Draw(t, "action"), rapid.IntRange(0, n-1).Draw(t, "host"))
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				c.step()
			}
			c.assertLogMatching()
		}
		c.heal()
		c.dropProbability, c.duplicateProbability, c.delayProbability, c.syncProbability = 0, 0, 0, 1
		c.waitUntil("recovery", func() bool { return c.confirmedLeader() != nil })
		c.propose(c.confirmedLeader())
		c.waitUntil("a settled cluster after the faults", c.isSettled)
	})
	t.Logf("%d steps, %d committed entries, faults and events:", steps, entries)
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		t.Logf("%8d %s", faults[name], name)
	}
}

// injectFault injects or ends a fault, compacts a log or proposes commands,
// depending on the action.
func (c *cluster) injectFault(action, i int) {
	h := c.hosts[i]
	other := c.hosts[(i+1+c.rng.IntN(len(c.hosts)-1))%len(c.hosts)]
	link := [2]gypsumshelf.DaemonID{h.member.ID.Daemon, other.member.ID.Daemon}
	c.recentReads = append(c.recentReads[max(0, len(c.recentReads)-20):], read{startedAt: c.now, highestApplied: c.highestApplied})
	switch action {
	case 0:
		c.eventCounts["one-way cut"]++
		c.cutLinks[link] = true
	case 1:
		c.eventCounts["isolated host"]++
		c.isolate(h)
	case 2, 3:
		clear(c.cutLinks)
	case 4:
		c.eventCounts["freeze"]++
		h.frozenUntil = c.now.Add(time.Duration(c.rng.IntN(800)) * time.Millisecond)
	case 5:
		c.eventCounts["crash"]++
		c.crash(h)
	case 6, 7:
		for _, o := range c.hosts {
			if o.replica == nil {
				c.start(o)
			}
		}
	case 8:
		if c.diskLossIsAllowed(h) {
			c.eventCounts["disk lost"]++
			c.wipe(h)
		}
	case 9:
		c.compact(h)
	case 10:
		c.heal()
	case 11:
		if h.replica != nil && c.rng.IntN(2) == 0 {
			c.eventCounts["resignation"]++
			h.replica.Resign(c.clockOf(h))
			return
		}
		c.eventCounts["restart of all"]++
		for _, o := range c.hosts {
			c.crash(o)
			c.start(o)
		}
	case 12, 13:
		h.stopping = h.replica != nil
	case 14:
		h.powerLossOf = c.hostsAround(h)
		c.endTerm(h)
	case 15:
		c.letFallBehind(h)
		h.powerLossOf = c.hostsAround(h)
	case 16:
		c.eventCounts["hanging disk"]++
		h.disk.hangsUntil = c.now.Add(time.Duration(c.rng.Int64N(3 * int64(testReplaceAfter))))
	case 17:
		c.eventCounts["full disk"]++
		h.disk.fullUntil = c.now.Add(time.Duration(c.rng.Int64N(3 * int64(testReplaceAfter))))
	default:
		if h := c.confirmedLeader(); h != nil {
			for n := 1 + c.rng.IntN(5); n > 0 && h.replica != nil; n-- {
				c.propose(h)
			}
		}
	}
}

// endTerm freezes the leader, unless it is the host h, so that another one is elected.
func (c *cluster) endTerm(h *host) {
	if l := c.confirmedLeader(); l != nil && l != h {
		l.frozenUntil = c.now.Add(3 * testElectionTimeout)
	}
}

// letFallBehind isolates a host until another leader has compacted entries that the host
// lacks.
func (c *cluster) letFallBehind(h *host) {
	c.isolate(h)
	c.endTerm(h)
	c.proposeFor(6 * testElectionTimeout)
	for _, o := range c.hosts {
		c.compact(o)
	}
	clear(c.cutLinks)
}

// hostsAround returns a host alone, it together with some others, or all hosts.
func (c *cluster) hostsAround(h *host) []*host {
	others := slices.DeleteFunc(slices.Clone(c.hosts), func(o *host) bool { return o == h })
	c.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return append(others[:[]int{0, c.rng.IntN(len(c.hosts)), len(others)}[c.rng.IntN(3)]], h)
}

// unnoticedLoss is the time for which a leader may take a lost disk for sound: the
// longest delay of a message and the timeout after it.
const unnoticedLoss = time.Second + testElectionTimeout

// diskLossIsAllowed reports whether, after the loss of a host's disk, a quorum still
// has its disks in every membership that a host may use.
func (c *cluster) diskLossIsAllowed(h *host) bool {
	keepsDisk := func(id NodeID) bool {
		return id.Daemon != h.member.ID.Daemon && c.host(id.Daemon).member.ID == id
	}
	all := c.membershipsInTransit()
	for _, o := range c.hosts {
		all = append(all, c.knownMemberships(o)...)
	}
	for _, members := range all {
		if len(members) > 0 && !members.HasQuorum(keepsDisk) {
			return false
		}
		for _, m := range members {
			unnoticed := !keepsDisk(m.ID) && c.now.Sub(c.host(m.ID.Daemon).lostDiskAt) < unnoticedLoss || m.ID == h.member.ID
			if m.Role == Learner && unnoticed && !members.IsJoint() && !c.mayPromote(members, m.ID, keepsDisk) {
				return false
			}
		}
	}
	return true
}

// mayPromote reports whether a quorum keeps its disks if a leader gives a learner, whose
// loss it has not noticed, a seat of its own or that of any voter.
func (c *cluster) mayPromote(members Members, learner NodeID, keepsDisk func(NodeID) bool) bool {
	if len(members.Voters()) < c.wantedVoters {
		return members.withRole(learner, Voter).HasQuorum(keepsDisk)
	}
	return !slices.ContainsFunc(members.Voters(), func(voter NodeID) bool {
		return !members.withExchange(learner, voter).HasQuorum(keepsDisk)
	})
}

// membershipsInTransit returns the memberships that a host may still learn from a
// message whose sender has lost them meanwhile.
func (c *cluster) membershipsInTransit() []Members {
	var all []Members
	for _, m := range c.inTransit {
		switch body := m.message.Body.(type) {
		case AppendRequest:
			for _, e := range body.Entries {
				if e.Kind == Membership {
					all = append(all, decodeMembers(e.Data))
				}
			}
		case SnapshotChunk:
			all = append(all, body.Snapshot.Members)
		}
	}
	return all
}

// knownMemberships returns the memberships in a host's memory and on its disk.
func (c *cluster) knownMemberships(h *host) []Members {
	var all []Members
	if h.replica != nil {
		for _, m := range h.replica.memberships {
			all = append(all, m.members)
		}
	}
	if s := h.disk.synced.Snapshot; s != nil {
		all = append(all, s.Members)
	}
	for _, e := range h.disk.synced.Entries {
		if e.Kind == Membership {
			all = append(all, decodeMembers(e.Data))
		}
	}
	return all
}
