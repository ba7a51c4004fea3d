package replicas

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

const (
	testElection  = 150 * time.Millisecond
	testHeartbeat = 30 * time.Millisecond
	testReplace   = 1500 * time.Millisecond
	testStep      = 10 * time.Millisecond
	testChunk     = 64
)

// disk is a fake of a host's storage: writes are lost unless synced.
type disk struct {
	image  Recovered
	writes []*Persist
}

func applyPersist(image Recovered, p *Persist) Recovered {
	image.Hard = p.Hard
	if p.Snapshot != nil {
		image.Snapshot, image.Entries = p.Snapshot, nil
	}
	if len(p.Entries) > 0 {
		kept := slices.DeleteFunc(slices.Clone(image.Entries), func(e Entry) bool { return e.Index >= p.Entries[0].Index })
		image.Entries = append(kept, p.Entries...)
	}
	return image
}

// host is one daemon of a test cluster.
type host struct {
	member  Member
	disk    disk
	r       *Replica // nil while the process is down
	frozen  time.Time
	skew    time.Duration
	applied uint64
	sum     uint64 // state machine: hash over all applied entries
	lives   int
}

// flight is a message on its way.
type flight struct {
	at time.Time
	m  Message
}

// cluster drives replicas through fake disks, links and clocks, and asserts
// the invariants that no single replica can see.
type cluster struct {
	t        interface{ Fatalf(string, ...any) }
	rng      *rand.Rand
	now      time.Time
	hosts    []*host
	founders []gypsumshelf.DaemonID
	flights  []flight
	cuts     map[[2]gypsumshelf.DaemonID]bool
	drop     float64
	duplic   float64
	slow     float64 // share of messages with a long delay
	voters   int     // wanted number
	syncs    float64 // probability that a disk syncs in one step
	leaders  map[uint64]NodeID
	sums     map[uint64]uint64    // by index, of the first host that applied it
	commitAt map[uint64]time.Time // first commit of an entry of a term
	highest  uint64
	reads    []read
	proposed uint64
	acked    int
	faults   map[string]int
	steps    int
}

// read is a linearizable read that began at a time.
type read struct {
	at   time.Time
	seen uint64 // highest index that some host had applied then
}

func newCluster(t interface{ Fatalf(string, ...any) }, seed uint64, members ...Member) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), syncs: 1, voters: 3,
		cuts: map[[2]gypsumshelf.DaemonID]bool{}, leaders: map[uint64]NodeID{}, sums: map[uint64]uint64{},
		commitAt: map[uint64]time.Time{}, faults: map[string]int{},
	}
	for _, m := range members {
		if m.Role == Voter {
			c.founders = append(c.founders, m.ID.Daemon)
		}
		c.hosts = append(c.hosts, &host{member: m, skew: time.Duration(c.rng.IntN(1000)) * time.Hour})
	}
	for _, h := range c.hosts {
		c.start(h)
	}
	return c
}

// fourHosts are the hosts of today's deployments: three voters and a learner.
func fourHosts() []Member {
	return []Member{
		{ID: NodeID{Daemon: "a"}, DataCentre: "x", Role: Voter, Durable: true},
		{ID: NodeID{Daemon: "b"}, DataCentre: "y", Role: Voter, Durable: true},
		{ID: NodeID{Daemon: "c"}, DataCentre: "z", Role: Voter, Durable: true},
		{ID: NodeID{Daemon: "d"}, DataCentre: "x", Durable: true},
	}
}

func (c *cluster) start(h *host) {
	h.lives++
	if h.member.ID.Incarnation == "" || !h.member.Durable {
		h.member.ID.Incarnation = fmt.Sprint(h.lives)
		h.disk = disk{}
	}
	var peers []gypsumshelf.DaemonID
	for _, o := range c.hosts {
		if o != h {
			peers = append(peers, o.member.ID.Daemon)
		}
	}
	h.applied, h.sum, h.disk.writes = 0, 0, nil
	h.r = New(Config{
		ID: h.member.ID, DataCentre: h.member.DataCentre, Durable: h.member.Durable, Peers: peers, Founders: c.founders,
		Recovered: h.disk.image, Session: c.rng.Uint64(), Seed: c.rng.Uint64(), ElectionTimeout: testElection,
		HeartbeatInterval: testHeartbeat, ReplaceAfter: testReplace, Voters: c.voters, BatchBytes: 200, ChunkBytes: testChunk, Retain: 10,
	})
}

// crash ends a process; of its unsynced writes, some first ones may be stored.
func (c *cluster) crash(h *host) {
	if h.r == nil {
		return
	}
	for _, p := range h.disk.writes[:c.rng.IntN(len(h.disk.writes)+1)] {
		h.disk.image = applyPersist(h.disk.image, p)
	}
	h.disk.writes, h.r = nil, nil
}

// wipe replaces a host's disk by an empty one.
func (c *cluster) wipe(h *host) {
	c.crash(h)
	h.disk = disk{}
	h.member.ID.Incarnation = ""
	c.start(h)
}

func (c *cluster) clock(h *host) time.Time { return c.now.Add(h.skew) }

func (c *cluster) running(h *host) bool { return h.r != nil && !c.now.Before(h.frozen) }

// step moves time forward, delivers messages and lets disks sync.
func (c *cluster) step() {
	c.steps++
	c.now = c.now.Add(testStep)
	due, later := []flight{}, []flight{}
	for _, f := range c.flights {
		if f.at.After(c.now) || c.isFrozen(f.m.To.Daemon) {
			later = append(later, f)
		} else {
			due = append(due, f)
		}
	}
	c.flights = later
	c.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, f := range due {
		if h := c.host(f.m.To.Daemon); h.r != nil && !c.cuts[[2]gypsumshelf.DaemonID{f.m.From.Daemon, f.m.To.Daemon}] {
			h.r.Receive(c.clock(h), f.m)
			c.pump(h)
		}
	}
	for _, h := range c.hosts {
		if c.running(h) {
			h.r.Tick(c.clock(h))
			c.pump(h)
		}
	}
}

func (c *cluster) isFrozen(id gypsumshelf.DaemonID) bool { return c.now.Before(c.host(id).frozen) }

func (c *cluster) host(id gypsumshelf.DaemonID) *host {
	return c.hosts[slices.IndexFunc(c.hosts, func(h *host) bool { return h.member.ID.Daemon == id })]
}

// pump carries out the output of a replica until there is none.
func (c *cluster) pump(h *host) {
	for {
		out := h.r.Take()
		if out.Renew {
			c.faults["older disk found"]++
			c.wipe(h)
			return
		}
		if out.Persist != nil {
			h.disk.writes = append(h.disk.writes, out.Persist)
		}
		for _, m := range out.Messages {
			c.deliver(m)
		}
		c.apply(h, out)
		c.check(h)
		if len(h.disk.writes) == 0 || c.rng.Float64() >= c.syncs {
			return
		}
		for _, p := range h.disk.writes {
			h.disk.image = applyPersist(h.disk.image, p)
		}
		last := h.disk.writes[len(h.disk.writes)-1].Sequence
		h.disk.writes = nil
		h.r.Synced(c.clock(h), last)
	}
}

func (c *cluster) deliver(m Message) {
	if chunk, ok := m.Body.(SnapshotChunk); ok && len(chunk.Snapshot.Data) > testChunk {
		c.t.Fatalf("chunk of %d bytes, limit %d", len(chunk.Snapshot.Data), testChunk)
	}
	if c.rng.Float64() < c.drop {
		c.faults["dropped"]++
		return
	}
	copies := 1
	if c.rng.Float64() < c.duplic {
		c.faults["duplicated"]++
		copies = 2
	}
	for range copies {
		delay := time.Duration(c.rng.IntN(8)) * time.Millisecond
		if c.rng.Float64() < c.slow {
			c.faults["delayed"]++
			delay = time.Duration(c.rng.IntN(1000)) * time.Millisecond
		}
		c.flights = append(c.flights, flight{at: c.now.Add(delay), m: m})
	}
}

func (c *cluster) apply(h *host, out Output) {
	if s := out.Install; s != nil {
		c.faults["snapshot loaded"]++
		h.applied, h.sum = s.Index, 0
		if len(s.Data) > 0 {
			h.sum = binary.BigEndian.Uint64(s.Data)
		}
		c.agree(h, s.Term)
	}
	for _, e := range out.Committed {
		if e.Index != h.applied+1 {
			c.t.Fatalf("%s applies entry %d after %d", h.member.ID, e.Index, h.applied)
		}
		if e.Kind == Membership && e.Index > c.highest {
			c.faults["membership change"]++
		}
		f := fnv.New64a()
		fmt.Fprint(f, h.sum, e.Index, e.Term, e.At.UnixNano(), e.Kind, string(e.Data))
		h.applied, h.sum = e.Index, f.Sum64()
		c.agree(h, e.Term)
	}
}

// agree asserts that no committed entry is lost or changed.
func (c *cluster) agree(h *host, term uint64) {
	if sum, ok := c.sums[h.applied]; ok && sum != h.sum {
		c.t.Fatalf("%s has another committed history up to entry %d", h.member.ID, h.applied)
	}
	c.sums[h.applied] = h.sum
	c.highest = max(c.highest, h.applied)
	if _, ok := c.commitAt[term]; !ok {
		c.commitAt[term] = c.now
	}
}

// check asserts one leader for each term, and that what a node takes for
// confirmed is not confirmed by a leader that was replaced or knows too little.
func (c *cluster) check(h *host) {
	r := h.r
	if r.IsLeader() {
		if id, ok := c.leaders[r.Term()]; ok && id != r.ID() {
			c.t.Fatalf("term %d is led by %s and %s", r.Term(), id, r.ID())
		}
		c.leaders[r.Term()] = r.ID()
		if !r.cfg.Durable {
			c.t.Fatalf("%s leads without storage", r.ID())
		}
	}
	confirmed := r.QuorumConfirmed().Add(-h.skew)
	for term, at := range c.commitAt {
		if term > r.Term() && confirmed.After(at) {
			c.t.Fatalf("%s of term %d takes %s for confirmed, term %d committed at %s", r.ID(), r.Term(), confirmed, term, at)
		}
	}
	asked, commit := r.Confirmation()
	for _, q := range c.reads {
		if !asked.Before(q.at.Add(h.skew)) && commit < q.seen {
			c.t.Fatalf("%s takes its configuration for fresh up to entry %d, entry %d was applied before", r.ID(), commit, q.seen)
		}
		if r.Confirmed(q.at.Add(h.skew)) && h.applied < q.seen {
			c.t.Fatalf("%s answers a read with entry %d, entry %d was applied before the read", r.ID(), h.applied, q.seen)
		}
	}
}

// logMatching asserts that two logs with a common entry agree up to it.
func (c *cluster) logMatching() {
	for i, a := range c.hosts {
		for _, b := range c.hosts[:i] {
			if a.r == nil || b.r == nil {
				continue
			}
			common := false
			for n := min(a.r.log.last(), b.r.log.last()); n > max(a.r.log.base, b.r.log.base); n-- {
				x, y := a.r.log.entries[n-a.r.log.base-1], b.r.log.entries[n-b.r.log.base-1]
				common = common || x.Term == y.Term
				if common && (x.Term != y.Term || string(x.Data) != string(y.Data)) {
					c.t.Fatalf("logs of %s and %s differ at entry %d before a common one", a.member.ID, b.member.ID, n)
				}
			}
		}
	}
}

func (c *cluster) leader() *host {
	for _, h := range c.hosts {
		if c.running(h) && h.r.IsLeader() && h.r.Confirmed(c.clock(h).Add(-testElection)) {
			return h
		}
	}
	return nil
}

func (c *cluster) propose(h *host) {
	c.proposed++
	data := fmt.Appendf(nil, "command %d", c.proposed)
	if _, _, err := h.r.Propose(c.clock(h), data); err == nil {
		c.acked++
	}
	c.pump(h)
}

func (c *cluster) compact(h *host) {
	if h.applied == 0 || h.r == nil {
		return
	}
	data := binary.BigEndian.AppendUint64(nil, h.sum)
	h.r.Compact(h.applied, append(data, make([]byte, 200)...))
	c.pump(h)
}

// isolate cuts all links of a host.
func (c *cluster) isolate(h *host) {
	for _, o := range c.hosts {
		c.cuts[[2]gypsumshelf.DaemonID{h.member.ID.Daemon, o.member.ID.Daemon}] = true
		c.cuts[[2]gypsumshelf.DaemonID{o.member.ID.Daemon, h.member.ID.Daemon}] = true
	}
}

// heal ends all faults that are not final, except for those of single messages.
func (c *cluster) heal() {
	clear(c.cuts)
	for _, h := range c.hosts {
		h.frozen = time.Time{}
		if h.r == nil {
			c.start(h)
		}
	}
}

// until steps until a condition holds.
func (c *cluster) until(what string, ok func() bool) {
	for range 3000 {
		if ok() {
			return
		}
		c.step()
	}
	c.t.Fatalf("never happened: %s; %s", what, c.describe())
}

func (c *cluster) describe() string {
	s := ""
	for _, h := range c.hosts {
		if h.r != nil {
			s += fmt.Sprintf("\n%s term %d leader %s state %d commit %d last %d voters %v", h.member.ID, h.r.Term(), h.r.leader, h.r.state, h.r.commit, h.r.log.last(), h.r.Members().Voters())
		}
	}
	return s
}

// settled reports whether all hosts have applied the same, are members and
// three of them vote.
func (c *cluster) settled() bool {
	l := c.leader()
	if l == nil || len(l.r.Members()) != len(c.hosts) || len(l.r.Members().Voters()) != c.voters || l.r.changing() {
		return false
	}
	for _, h := range c.hosts {
		if _, ok := l.r.Members().Member(h.member.ID); !ok || h.applied != c.highest {
			return false
		}
	}
	return true
}

func settledCluster(t *testing.T, members ...Member) *cluster {
	c := newCluster(t, 1, members...)
	c.until("a settled cluster", c.settled)
	return c
}
