package relays

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

func server(n int) Target { return Target{Address: fmt.Sprint("server-", n), Service: "s"} }

func assertLost(t *testing.T, p *Paths, target Target, want bool) {
	t.Helper()
	if got := p.IsLost(target); got != want {
		t.Errorf("the path to %s of %s is lost: %v, want %v", target.Address, target.Service, got, want)
	}
}

// Guards against a service that is given up for one server, and against requests that
// find out server by server that all of them are out of reach.
func TestPathIsLostWithTwoServersInARow(t *testing.T) {
	now := time.Now()
	t.Run("one server", func(t *testing.T) {
		p := NewPaths()
		for range lossesOfPath {
			p.RecordLoss(now, server(1))
		}
		assertLost(t, p, server(1), true)
		assertLost(t, p, server(2), false)
	})
	t.Run("two servers", func(t *testing.T) {
		p := NewPaths()
		p.RecordLoss(now, server(1))
		if !p.RecordLoss(now, server(2)) {
			t.Error("the loss of the service is not reported")
		}
		assertLost(t, p, server(3), true)
		assertLost(t, p, Target{Address: "server-1", Service: "other"}, false)
	})
	t.Run("two servers with a direct connection in between", func(t *testing.T) {
		p := NewPaths()
		p.RecordLoss(now, server(1))
		p.RecordDirect(server(3))
		p.RecordLoss(now, server(2))
		assertLost(t, p, server(3), false)
	})
}

// Guards against a server that is still under suspicion, and counts towards the loss of its
// service, after probes have found its path sound again.
func TestRegainedServerLeavesNoSuspicion(t *testing.T) {
	now := time.Now()
	p := NewPaths()
	for range lossesOfPath {
		p.RecordLoss(now, server(1))
	}
	for range soundRounds - 1 {
		p.RecordServerRound(now, server(1).Address, true)
	}
	assertLost(t, p, server(1), true)
	assertSuspect(t, p, server(2), true)
	p.RecordServerRound(now, server(1).Address, true)
	assertLost(t, p, server(1), false)
	assertSuspect(t, p, server(1), false)
	assertSuspect(t, p, server(2), false)
	if p.RecordLoss(now, server(2)) {
		t.Error("one failure after the path was regained loses the service")
	}
	assertLost(t, p, server(3), false)
}

func assertSuspect(t *testing.T, p *Paths, target Target, want bool) {
	t.Helper()
	if got := p.IsSuspect(target); got != want {
		t.Errorf("the path to %s of %s is suspect: %v, want %v", target.Address, target.Service, got, want)
	}
}

// soundRoundsNeeded returns the rounds of probes after which a service is regained.
func soundRoundsNeeded(t *testing.T, p *Paths, now time.Time) int {
	t.Helper()
	for n := 1; n <= 2*maxSoundRounds; n++ {
		if regained, _ := p.RecordServiceRound(now, "s", true); regained {
			return n
		}
	}
	t.Fatal("the path is never regained")
	return 0
}

// Guards against daemons that go back and forth between two ways while packets are lost.
func TestPathIsRegainedByProbesInARow(t *testing.T) {
	now := time.Now()
	p := NewPaths()
	lose := func() {
		p.RecordLoss(now, server(1))
		p.RecordLoss(now, server(2))
	}
	lose()
	p.RecordDirect(server(1))
	assertLost(t, p, server(1), true) // no caller's request is a probe
	for range 5 * soundRounds {
		p.RecordServiceRound(now, "s", true)
		p.RecordServiceRound(now, "s", false)
	}
	assertLost(t, p, server(3), true)
	if n := soundRoundsNeeded(t, p, now); n != soundRounds {
		t.Errorf("regained after %d rounds, want %d", n, soundRounds)
	}
	assertLost(t, p, server(3), false)
	lose()
	if n := soundRoundsNeeded(t, p, now); n <= soundRounds {
		t.Errorf("a path that is lost again soon is regained after %d rounds, want more than %d", n, soundRounds)
	}
}

// Guards against relays that are all in a data centre which has lost the same path.
func TestPeersOfAnotherDataCentreAreAskedSecond(t *testing.T) {
	now := time.Now()
	p := newPeerTable("own", "a", rand.New(rand.NewPCG(1, 2)))
	p.set(now, "control-1", []Peer{{"own", "a"}, {"a1", "a"}, {"a2", "a"}, {"b1", "b"}})
	p.set(now, "control-2", []Peer{{"a1", "a"}, {"c1", "c"}})
	centres := func(peers []Peer) string {
		s := ""
		for _, peer := range peers {
			s += peer.DataCentre
		}
		return s
	}
	first := map[gypsumshelf.DaemonID]int{}
	for range 100 {
		peers := p.pick(now, "s", 3)
		if got := centres(peers); got != "aba" && got != "aca" {
			t.Fatalf("the data centres asked are %q, want the own one, another one, the own one", got)
		}
		if slices.ContainsFunc(peers, func(o Peer) bool { return o.Daemon == "own" }) {
			t.Fatal("a daemon asks itself")
		}
		first[peers[0].Daemon]++
	}
	if len(first) != 2 || first["a1"] < 20 || first["a2"] < 20 {
		t.Errorf("first asked are %v, want both of the data centre alike", first)
	}
	t.Run("backoff for one service", func(t *testing.T) {
		p.recordFailure(now, Peer{"a1", "a"}, "s")
		p.recordFailure(now, Peer{"a2", "a"}, "s")
		if got := centres(p.pick(now, "s", 2)); got != "bc" && got != "cb" {
			t.Errorf("the data centres asked are %q, want those without a failure", got)
		}
		if got := centres(p.pick(now, "other", 1)); got != "a" {
			t.Errorf("for another service %q is asked, want a", got)
		}
		if got := centres(p.pick(now.Add(2*peerBackoff), "s", 1)); got != "a" {
			t.Errorf("after the backoff %q is asked, want a", got)
		}
	})
	t.Run("lists end", func(t *testing.T) {
		if got := p.pick(now.Add(2*peerListTTL), "s", 3); len(got) != 0 {
			t.Errorf("old lists still name %v", got)
		}
	})
}
