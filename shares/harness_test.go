package shares

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/servers"
)

func init() { _ = flag.Set("rapid.seed", strconv.Itoa(seed())) }

func seed() int {
	if n, err := strconv.Atoi(os.Getenv("GYPSUMSHELF_SEED")); err == nil {
		return n
	}
	return 1
}

const (
	simStep = 10 * time.Millisecond
	simTick = 50 * time.Millisecond
)

// policy is a way to divide limits, for comparison in simulations.
type policy string

const (
	ownerGranted   policy = "owner-granted"
	oneAllocator   policy = "one allocator"
	staticDivision policy = "static division"
)

// node is one simulated daemon with its own clock.
type node struct {
	id          gypsumshelf.DaemonID
	table       *Table
	up          bool
	frozenUntil time.Duration // in simulated time
	offset      time.Duration
	rate        float64
	jobs        map[gypsumshelf.ServerID][]job
	demand      int // attempts that it wants to run on each server
	restartAt   time.Duration
}

type job struct {
	endsAt time.Duration
	tokens int
}

type delivery struct {
	at       time.Duration
	from, to *node
	payload  any
}

type simConfig struct {
	seed    uint64
	nodes   int
	servers int
	policy  policy
	faults  bool
	limit   Amount
	config  Config
}

// sim runs several daemons over simulated links in simulated time.
type sim struct {
	cfg                 simConfig
	rand                *rand.Rand
	now                 time.Duration
	nodes               []*node
	servers             []gypsumshelf.ServerID
	limits              map[gypsumshelf.ServerID]Amount
	recentMaxLimit      map[gypsumshelf.ServerID]Amount // highest limit within the lifetime of a share
	limitChangedAt      map[gypsumshelf.ServerID]time.Duration
	queue               []delivery
	cutUntil            map[[2]gypsumshelf.DaemonID]time.Duration
	lossyUntil          time.Duration
	steps               int
	sentMessages        int
	faults              map[string]int
	wanted              float64 // attempts wanted, summed over steps
	used                float64 // attempts running, summed over steps
	lastShareAt         map[gypsumshelf.ServerID]time.Duration
	longestWithoutShare time.Duration // longest time without a live holder of a share of a server
	violations          []string
}

func newSim(cfg simConfig) *sim {
	if cfg.config.ShareTTL == 0 {
		cfg.config = DefaultConfig(cfg.nodes)
	}
	s := &sim{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.seed, 1)),
		limits: map[gypsumshelf.ServerID]Amount{}, recentMaxLimit: map[gypsumshelf.ServerID]Amount{},
		limitChangedAt: map[gypsumshelf.ServerID]time.Duration{}, lastShareAt: map[gypsumshelf.ServerID]time.Duration{},
		cutUntil: map[[2]gypsumshelf.DaemonID]time.Duration{}, faults: map[string]int{},
	}
	for i := range cfg.servers {
		id := gypsumshelf.ServerID(fmt.Sprintf("fk-%02d", i))
		s.servers = append(s.servers, id)
		s.limits[id], s.recentMaxLimit[id] = cfg.limit, cfg.limit
	}
	for i := range cfg.nodes {
		n := &node{
			id: gypsumshelf.DaemonID(fmt.Sprintf("d%d", i)), rate: 1 + (s.rand.Float64()-0.5)*0.04,
			offset: time.Duration(s.rand.IntN(int(time.Hour))),
		}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	return s
}

func (s *sim) clock(n *node) time.Time {
	return time.Unix(1_700_000_000, 0).Add(n.offset + time.Duration(float64(s.now)*n.rate))
}

func (s *sim) start(n *node) {
	var ids []gypsumshelf.DaemonID
	for _, o := range s.nodes {
		ids = append(ids, o.id)
	}
	cfg := s.cfg.config
	cfg.Daemon, cfg.Daemons = n.id, ids
	cfg.Voters = func() []gypsumshelf.DaemonID { return ids[:min(3, len(ids))] }
	cfg.Limit = func(id gypsumshelf.ServerID) (Amount, uint32, bool) { return s.limits[id], 1, true }
	cfg.Running = func(id gypsumshelf.ServerID) (Amount, servers.Evidence) { return n.running(id), servers.Evidence{} }
	cfg.ApplyEvidence = func(time.Time, gypsumshelf.ServerID, servers.Evidence) {}
	cfg.ApplyLimit = func(gypsumshelf.ServerID, Amount) {}
	n.table, n.up, n.jobs = New(s.clock(n), cfg), true, map[gypsumshelf.ServerID][]job{}
	if s.cfg.policy == oneAllocator {
		for slot := range Slot(slotCount) {
			n.table.membersBySlot[slot] = ids
		}
	}
}

func (n *node) running(id gypsumshelf.ServerID) Amount {
	a := Amount{Attempts: len(n.jobs[id])}
	for _, j := range n.jobs[id] {
		a.Tokens += j.tokens
	}
	return a
}

func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += simStep {
		s.steps++
		if s.cfg.faults {
			s.inject()
		}
		s.deliver()
		for i, n := range s.nodes {
			s.work(n)
			if s.active(n) && (s.now/simStep+time.Duration(i))%(simTick/simStep) == 0 {
				s.sendAll(n, n.table.Tick(s.clock(n), s.servers))
				s.heartbeat(n)
			}
		}
		s.check()
	}
}

func (s *sim) active(n *node) bool { return n.up && s.now >= n.frozenUntil }

func (s *sim) heartbeat(n *node) {
	if s.now%(500*time.Millisecond) < simTick {
		for _, o := range s.nodes {
			if o != n {
				s.enqueue(n, o, nil)
			}
		}
	}
}

func (s *sim) sendAll(n *node, out []Send) {
	for _, m := range out {
		for _, o := range s.nodes {
			if o.id == m.To {
				s.sentMessages++
				s.enqueue(n, o, m.Payload)
			}
		}
	}
}

// enqueue queues a message, subject to the delay and the faults of the link.
func (s *sim) enqueue(from, to *node, payload any) {
	if s.now < s.cutUntil[[2]gypsumshelf.DaemonID{from.id, to.id}] {
		return
	}
	delay, copies := time.Millisecond, 1
	if s.now < s.lossyUntil {
		switch s.rand.IntN(6) {
		case 0:
			copies = 0
		case 1:
			copies = 2
		case 2:
			delay = time.Duration(s.rand.IntN(3000)) * time.Millisecond
		}
	}
	for range copies {
		s.queue = append(s.queue, delivery{at: s.now + delay, from: from, to: to, payload: payload})
		delay += time.Duration(s.rand.IntN(500)) * time.Millisecond
	}
}

func (s *sim) deliver() {
	due := s.queue
	s.queue = nil
	for _, m := range due {
		if m.at > s.now || (m.to.up && s.now < m.to.frozenUntil) {
			s.queue = append(s.queue, m)
			continue
		}
		if !m.to.up {
			continue
		}
		if m.payload == nil {
			m.to.table.RecordMessage(s.clock(m.to), m.from.id)
			continue
		}
		s.sendAll(m.to, m.to.table.Receive(s.clock(m.to), m.from.id, m.payload))
	}
}

// inject starts a random fault now and then; faults may overlap.
func (s *sim) inject() {
	if s.rand.IntN(100) != 0 {
		return
	}
	n := s.nodes[s.rand.IntN(len(s.nodes))]
	o := s.nodes[s.rand.IntN(len(s.nodes))]
	length := time.Duration(100+s.rand.IntN(6000)) * time.Millisecond
	switch s.rand.IntN(6) {
	case 0:
		s.faults["freeze"]++
		n.frozenUntil = max(n.frozenUntil, s.now+length)
	case 1:
		s.kill(n, length)
	case 2:
		s.faults["loss, delay, duplicates"]++
		s.lossyUntil = max(s.lossyUntil, s.now+length)
	case 3:
		s.faults["one-way cut"]++
		s.cutUntil[[2]gypsumshelf.DaemonID{n.id, o.id}] = s.now + length
	case 4:
		s.faults["isolation"]++
		for _, o := range s.nodes {
			s.cutUntil[[2]gypsumshelf.DaemonID{n.id, o.id}] = s.now + length
			s.cutUntil[[2]gypsumshelf.DaemonID{o.id, n.id}] = s.now + length
		}
	case 5:
		s.faults["limit change"]++
		s.setLimit(s.servers[s.rand.IntN(len(s.servers))], Amount{1 + s.rand.IntN(32), 10_000 + s.rand.IntN(300_000)})
	}
}

func (s *sim) kill(n *node, length time.Duration) {
	if n.up {
		s.faults["kill"]++
		n.up, n.restartAt, n.jobs = false, s.now+length, nil
	}
}

func (s *sim) setLimit(id gypsumshelf.ServerID, a Amount) {
	s.recentMaxLimit[id] = s.recentMaxLimit[id].atLeast(s.limits[id]).atLeast(a)
	s.limits[id], s.limitChangedAt[id] = a, s.now
}

// work ends finished jobs, starts new ones and sets the node's demand.
func (s *sim) work(n *node) {
	if !n.up {
		if n.restartAt > 0 && s.now >= n.restartAt {
			s.start(n)
		}
		return
	}
	for id, jobs := range n.jobs {
		n.jobs[id] = slices.DeleteFunc(jobs, func(j job) bool { return s.now >= j.endsAt })
	}
	if !s.active(n) {
		return
	}
	if s.rand.IntN(200) == 0 {
		n.demand = s.rand.IntN(24)
	}
	for _, id := range s.servers {
		need := Amount{1, 2000}
		if s.rand.IntN(50) == 0 {
			need.Tokens = 100_000
		}
		running := n.running(id)
		missing := max(0, n.demand-running.Attempts)
		s.wanted += float64(min(n.demand, s.limits[id].Attempts/len(s.nodes)+1))
		s.used += float64(running.Attempts)
		if missing == 0 {
			n.table.SetDemand(id, Amount{}, Amount{})
			continue
		}
		n.table.SetDemand(id, need, Amount{missing, missing * need.Tokens})
		share := s.share(n, id)
		if running.Attempts+1 <= share.Attempts && running.Tokens+need.Tokens <= share.Tokens {
			length := time.Duration(50+s.rand.IntN(1000)) * time.Millisecond
			n.jobs[id] = append(n.jobs[id], job{endsAt: s.now + length, tokens: need.Tokens})
		}
	}
}

func (s *sim) share(n *node, id gypsumshelf.ServerID) Amount {
	if s.cfg.policy == staticDivision {
		return Amount{s.limits[id].Attempts / len(s.nodes), s.limits[id].Tokens / len(s.nodes)}
	}
	share, _ := n.table.Share(s.clock(n), id)
	return share
}

// check records a violation when the unexpired shares of a server exceed its
// limit or more than one daemon may grant shares of it.
func (s *sim) check() {
	for _, id := range s.servers {
		if s.now-s.limitChangedAt[id] > 2*s.cfg.config.ShareTTL {
			s.recentMaxLimit[id] = s.limits[id]
		}
		var sum Amount
		grantors, held := 0, false
		for _, n := range s.nodes {
			if !n.up {
				continue
			}
			share := s.share(n, id)
			sum.Attempts += share.Attempts
			sum.Tokens += share.Tokens
			held = held || share.Attempts > 0
			if o := n.table.owned[SlotOf(id)]; o != nil && o.mayGrant(s.clock(n), n.table.cfg.Voters()) {
				grantors++
			}
		}
		if sum.Attempts > s.recentMaxLimit[id].Attempts || sum.Tokens > s.recentMaxLimit[id].Tokens || grantors > 1 {
			s.violations = append(s.violations, fmt.Sprintf("%s at %s: shares %+v, limit %+v, grantors %d", id, s.now, sum, s.recentMaxLimit[id], grantors))
		}
		if held || s.lastShareAt[id] == 0 {
			s.lastShareAt[id] = s.now
		}
		s.longestWithoutShare = max(s.longestWithoutShare, s.now-s.lastShareAt[id])
	}
}

func assertNoViolations(t testing.TB, s *sim) {
	t.Helper()
	if len(s.violations) > 0 {
		t.Fatalf("seed %d: %d violations, first: %s", s.cfg.seed, len(s.violations), s.violations[0])
	}
}
