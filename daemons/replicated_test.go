package daemons

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/configs"
	"gypsumshelf.example/gypsumshelf/leases"
	"gypsumshelf.example/gypsumshelf/replicas"
	"gypsumshelf.example/gypsumshelf/routes"
	"gypsumshelf.example/gypsumshelf/servers"
)

// event is an input of a reducer, to be delivered at a time.
type event struct {
	to   int
	from int // -1 for the daemon's own disk
	at   time.Time
	gypsumshelf.Event
}

// replicatedSimulation runs operators against three reducers with replicated logs,
// fake disks and fake links.
type replicatedSimulation struct {
	commandHistory
	t                *rapid.T
	rng              *rand.Rand
	now              time.Time
	reducers         []*Reducer
	events           []event
	partitionedUntil []time.Time // all links of a daemon drop everything until then
}

func newReplicatedSimulation(t *rapid.T) *replicatedSimulation {
	n := &replicatedSimulation{t: t, now: testStart, partitionedUntil: make([]time.Time, 3), rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))}
	ids := []gypsumshelf.DaemonID{"0", "1", "2"}
	for i, id := range ids {
		policy, err := routes.New("round-robin")
		if err != nil {
			t.Fatal(err)
		}
		n.reducers = append(n.reducers, NewReducer(ReducerConfig{
			Daemon: id, Policy: policy, Session: fmt.Sprint("session-", i), Lease: leases.Config{Duration: testLease},
			Servers:  servers.Config{Expiry: time.Hour},
			Attempts: attempts.Config{MaxAttempts: 3, RecordTTL: time.Hour},
			Replica: replicas.Config{
				ID: replicas.NodeID{Daemon: id, Incarnation: "1"}, Durable: true, Peers: otherDaemons(id, ids), InitialVoters: ids,
				Session: n.rng.Uint64(), Seed: n.rng.Uint64(), ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
				ReplaceAfter: voterReplacementDelay, TargetVoters: targetVoters, RetainEntries: retainedEntries,
			},
		}))
	}
	return n
}

func (n *replicatedSimulation) carry(from int, effects []gypsumshelf.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case LogSend:
			n.deliver(from, e.Message.To.Daemon, LogReceived(e))
		case configs.ForwardProposal:
			n.deliver(from, e.To, configs.ProposalForwarded{Proposal: e.Proposal})
		case LogWrite:
			n.events = append(n.events, event{to: from, from: -1, at: n.now.Add(20 * time.Millisecond), Event: LogSynced{Sequence: e.Persist.Sequence}})
		}
	}
	n.end(n.now, effects)
}

// deliver sends a message over a link that may lose, repeat and delay it.
func (n *replicatedSimulation) deliver(from int, to gypsumshelf.DaemonID, ev gypsumshelf.Event) {
	copies := []int{1, 1, 1, 1, 1, 1, 1, 1, 0, 2}[n.rng.IntN(10)]
	for range copies {
		delay := time.Duration(n.rng.IntN(30)) * time.Millisecond
		n.events = append(n.events, event{to: int(to[0] - '0'), from: from, at: n.now.Add(delay), Event: ev})
	}
}

func (n *replicatedSimulation) partitioned(i int) bool {
	return i >= 0 && n.now.Before(n.partitionedUntil[i])
}

// step advances the time by one tick.
func (n *replicatedSimulation) step(tick int) {
	n.now = n.now.Add(10 * time.Millisecond)
	due := n.events
	n.events = nil
	for _, e := range due {
		switch {
		case e.at.After(n.now):
			n.events = append(n.events, e)
		case e.from >= 0 && (n.partitioned(e.to) || n.partitioned(e.from)):
		default:
			n.carry(e.to, n.reducers[e.to].Step(n.now, e.Event))
		}
	}
	if tick%5 == 0 {
		for i, r := range n.reducers {
			n.carry(i, r.Step(n.now, Tick{}))
		}
	}
	if n.rng.IntN(100) == 0 {
		n.partitionedUntil[n.rng.IntN(3)] = n.now.Add(time.Duration(n.rng.IntN(2000)) * time.Millisecond)
	}
	if tick > 100 && n.rng.IntN(20) == 0 && len(n.operations) < maxOperations {
		i := n.rng.IntN(3)
		r := n.reducers[i]
		n.carry(i, r.Step(n.now, n.begin(n.now, n.draw(n.t, r.configuration.state.Revision()))))
	}
}

// Guards against commands that the replicated log itself loses, applies twice or
// answers inconsistently, while leaders are partitioned and messages are lost,
// delayed and repeated.
func TestOperatorCommandsThroughTheLogAreLinearizable(t *testing.T) {
	answered, leaders := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		n := newReplicatedSimulation(t)
		for tick := range 700 {
			n.step(tick)
		}
		answered += n.check(t)
		for _, r := range n.reducers {
			leaders = max(leaders, int(r.log.replica.Term()))
		}
	})
	if answered == 0 || leaders < 2 {
		t.Fatalf("%d commands were answered in up to %d terms; want at least one command and two terms", answered, leaders)
	}
	t.Logf("%d commands were answered, up to %d terms in a run", answered, leaders)
}
