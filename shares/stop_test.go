package shares

import (
	"testing"
	"time"
)

// timeToNewOwner stops the daemon that owns a server, as planned or by a crash,
// and returns the time until another one may grant shares of the server.
func timeToNewOwner(t *testing.T, seed uint64, planned bool) time.Duration {
	t.Helper()
	s := newSim(simConfig{seed: seed, nodes: 4, servers: 3, policy: ownerGranted, limit: Amount{32, 300_000}})
	s.run(15 * time.Second)
	slot := SlotOf(s.servers[0])
	owner := func() *node {
		for _, n := range s.nodes {
			if o := n.table.owned[slot]; n.up && o != nil && o.mayGrant(s.clock(n), n.table.cfg.Voters()) {
				return n
			}
		}
		return nil
	}
	old := owner()
	if old == nil {
		t.Fatalf("seed %d: no daemon owns %s", seed, s.servers[0])
	}
	if planned {
		s.sendAll(old, old.table.Stop(s.clock(old)))
	}
	s.kill(old, time.Hour)
	for ended := s.now; ; {
		s.run(simStep)
		if next := owner(); next != nil {
			assertNoViolations(t, s)
			return s.now - ended
		}
		if s.now-ended > time.Minute {
			t.Fatalf("seed %d: no new owner", seed)
		}
	}
}

// Guards against a planned stop after which the next owner waits for the voters'
// promises to expire, as after a crash, although the stopping daemon resigns.
func TestPlannedStopHandsOwnershipOver(t *testing.T) {
	for i := range 5 {
		s := uint64(seed() + i)
		crash, planned := timeToNewOwner(t, s, false), timeToNewOwner(t, s, true)
		t.Logf("seed %d: new owner %s after a crash, %s after a planned stop", s, crash, planned)
		if planned >= crash {
			t.Errorf("seed %d: new owner %s after a planned stop, %s after a crash", s, planned, crash)
		}
	}
}
