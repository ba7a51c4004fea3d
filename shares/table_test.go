package shares

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against shares whose sum over all daemons exceeds a server's limit, and
// against two owners of one server, under overlapping faults of links, clocks
// and daemons.
func TestSharesStayWithinLimitUnderFaults(t *testing.T) {
	t.Logf("seed %d", seed())
	total, faults := 0, map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(simConfig{
			seed:  rapid.Uint64().Draw(rt, "sim"),
			nodes: rapid.IntRange(2, 6).Draw(rt, "daemons"), servers: 3, policy: ownerGranted, faults: true,
			limit: Amount{rapid.IntRange(1, 32).Draw(rt, "attempts"), 300_000},
		})
		s.run(20 * time.Second)
		if len(s.violations) > 0 {
			rt.Fatalf("%d violations, first: %s", len(s.violations), s.violations[0])
		}
		total += s.steps
		for name, n := range s.faults {
			faults[name] += n
		}
	})
	t.Logf("%d steps, faults %v, 0 violations", total, faults)
}

// Guards against shares that stay lost after faults have ended, and against a
// daemon that starves while others are served.
func TestEveryDaemonIsServedAfterFaults(t *testing.T) {
	for i := range 10 {
		s := newSim(simConfig{seed: uint64(seed() + i), nodes: 4, servers: 3, policy: ownerGranted, faults: true, limit: Amount{4, 300_000}})
		s.run(20 * time.Second)
		s.cfg.faults = false
		clear(s.cutUntil)
		s.lossyUntil = 0
		for _, id := range s.servers {
			s.setLimit(id, Amount{4, 300_000})
		}
		s.run(15 * time.Second)
		started := map[string]bool{}
		for range 1000 {
			s.run(simStep)
			for _, n := range s.nodes {
				n.demand = 4
				for _, id := range s.servers {
					if len(n.jobs[id]) > 0 {
						started[string(n.id)+string(id)] = true
					}
				}
			}
		}
		assertNoViolations(t, s)
		if len(started) != len(s.nodes)*len(s.servers) {
			t.Fatalf("seed %d: %d of %d pairs of daemon and server did work", s.cfg.seed, len(started), len(s.nodes)*len(s.servers))
		}
	}
}

// Guards against a restarted voter that has lost its promises and promises a
// slot to a second owner while the first still grants shares.
func TestRestartedVoterRefusesClaims(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	v := newVoter(start, 2*time.Second)
	claim := Claim{Sent: 1, Slots: []SlotEpoch{{Slot: 7, Epoch: 9}}}
	if p := v.handleClaim(start.Add(1900*time.Millisecond), "d1", claim); len(p.Granted) != 0 {
		t.Fatalf("promised %v within the lifetime of an earlier promise", p.Granted)
	}
	if p := v.handleClaim(start.Add(2100*time.Millisecond), "d1", claim); len(p.Granted) != 1 {
		t.Fatalf("promised %v after the lifetime of earlier promises, want one slot", p.Granted)
	}
}
