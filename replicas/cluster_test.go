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
	testElectionTimeout   = 150 * time.Millisecond
	testHeartbeatInterval = 30 * time.Millisecond
	testReplaceAfter      = 1500 * time.Millisecond
	testReopenDelay       = time.Second
	testStep              = 10 * time.Millisecond
	testChunkBytes        = 64
)

// fakeDisk simulates a host's storage, which can lose writes that are not synced.
type fakeDisk struct {
	synced     Recovered
	unsynced   []*Persist
	older      bool // synced lacks writes that were reported as synced
	hangsUntil time.Time
	fullUntil  time.Time // refuses writes
}

// lastIndex returns the index of the last entry that is synced.
func (d *fakeDisk) lastIndex() uint64 {
	if n := len(d.synced.Entries); n > 0 {
		return d.synced.Entries[n-1].Index
	}
	if d.synced.Snapshot != nil {
		return d.synced.Snapshot.Index
	}
	return 0
}

// hasUnsyncedVote reports whether a term or vote is written and not synced.
func (d *fakeDisk) hasUnsyncedVote() bool {
	return len(d.unsynced) > 0 && d.unsynced[len(d.unsynced)-1].HardState != d.synced.HardState
}

func applyPersist(image Recovered, p *Persist) Recovered {
	image.HardState = p.HardState
	if p.Snapshot != nil {
		image.Snapshot, image.Entries = p.Snapshot, nil
	}
	if len(p.Entries) > 0 {
		kept := slices.DeleteFunc(slices.Clone(image.Entries), func(e Entry) bool { return e.Index >= p.Entries[0].Index })
		image.Entries = append(kept, p.Entries...)
	}
	return image
}

// host is a daemon of a test cluster with its disk and clock.
type host struct {
	member      Member
	disk        fakeDisk
	replica     *Replica // nil while the process is down
	frozenUntil time.Time
	lostDiskAt  time.Time
	stopping    bool // a planned stop has begun; the process ends when it may
	clockOffset time.Duration
	applied     uint64
	stateHash   uint64 // state machine: hash over all applied entries
	starts      int

	// Hosts that lose power together soon after this host has changed its term or vote.
	powerLossOf []*host
	powerLossAt time.Time
	startAt     time.Time // zero unless the host starts by itself
}

// delayedMessage is a message in transit.
type delayedMessage struct {
	deliverAt time.Time
	message   Message
}

// cluster drives replicas with simulated disks, links and clocks, and asserts the
// invariants that span several replicas.
type cluster struct {
	t                    interface{ Fatalf(string, ...any) }
	rng                  *rand.Rand
	now                  time.Time
	hosts                []*host
	initialVoters        []gypsumshelf.DaemonID
	inTransit            []delayedMessage
	cutLinks             map[[2]gypsumshelf.DaemonID]bool
	dropProbability      float64
	duplicateProbability float64
	delayProbability     float64 // probability of a long delay of a message
	wantedVoters         int
	syncProbability      float64 // probability that a disk syncs in one step
	leaderOfTerm         map[uint64]NodeID
	stateHashes          map[uint64]uint64    // state hash by applied index, from the first host to apply it
	firstCommit          map[uint64]time.Time // by term, time of the first commit of one of its entries
	highestApplied       uint64
	recentReads          []read
	proposed             uint64
	accepted             int
	eventCounts          map[string]int
	steps                int
}

// read is a linearizable read and the state that it must see.
type read struct {
	startedAt      time.Time
	highestApplied uint64 // highest index that any host had applied at startedAt
}

func newCluster(t interface{ Fatalf(string, ...any) }, seed uint64, members ...Member) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), syncProbability: 1, wantedVoters: 3,
		cutLinks: map[[2]gypsumshelf.DaemonID]bool{}, leaderOfTerm: map[uint64]NodeID{}, stateHashes: map[uint64]uint64{},
		firstCommit: map[uint64]time.Time{}, eventCounts: map[string]int{},
	}
	for _, m := range members {
		if m.Role == Voter {
			c.initialVoters = append(c.initialVoters, m.ID.Daemon)
		}
		c.hosts = append(c.hosts, &host{member: m, clockOffset: time.Duration(c.rng.IntN(1000)) * time.Hour})
	}
	for _, h := range c.hosts {
		c.start(h)
	}
	return c
}

// fourHostMembers returns the members of a typical deployment: three voters and a
// learner in three data centres.
func fourHostMembers() []Member {
	return []Member{
		{ID: NodeID{Daemon: "a"}, DataCentre: "x", Role: Voter, Durable: true},
		{ID: NodeID{Daemon: "b"}, DataCentre: "y", Role: Voter, Durable: true},
		{ID: NodeID{Daemon: "c"}, DataCentre: "z", Role: Voter, Durable: true},
		{ID: NodeID{Daemon: "d"}, DataCentre: "x", Durable: true},
	}
}

func (c *cluster) start(h *host) {
	h.starts++
	h.stopping = false
	h.startAt = time.Time{}
	if h.member.ID.Incarnation == "" || !h.member.Durable {
		h.member.ID.Incarnation = fmt.Sprint(h.starts)
		h.disk = fakeDisk{}
	}
	var peers []gypsumshelf.DaemonID
	for _, o := range c.hosts {
		if o != h {
			peers = append(peers, o.member.ID.Daemon)
		}
	}
	h.applied, h.stateHash, h.disk.unsynced = 0, 0, nil
	h.replica = New(Config{
		ID: h.member.ID, DataCentre: h.member.DataCentre, Durable: h.member.Durable, Peers: peers, InitialVoters: c.initialVoters,
		Recovered: h.disk.synced, Session: c.rng.Uint64(), Seed: c.rng.Uint64(), ElectionTimeout: testElectionTimeout,
		HeartbeatInterval: testHeartbeatInterval, PauseThreshold: testElectionTimeout / 2, ReplaceAfter: testReplaceAfter, TargetVoters: c.wantedVoters, MaxAppendBytes: 200, MaxChunkBytes: testChunkBytes, RetainEntries: 10,
	})
}

// crash ends a process. A random prefix of its unsynced writes is stored.
func (c *cluster) crash(h *host) {
	if h.replica == nil {
		return
	}
	for _, p := range h.disk.unsynced[:c.rng.IntN(len(h.disk.unsynced)+1)] {
		h.disk.synced = applyPersist(h.disk.synced, p)
	}
	h.disk.unsynced, h.replica = nil, nil
}

// losePower ends a process, whose unsynced writes are lost. The host starts again soon.
func (c *cluster) losePower(h *host) {
	if h.replica == nil {
		return
	}
	c.eventCounts["power loss"]++
	if h.disk.hasUnsyncedVote() {
		c.eventCounts["power loss before a term or vote was synced"]++
	}
	h.disk.unsynced, h.disk.hangsUntil, h.replica = nil, time.Time{}, nil
	h.startAt = c.now.Add(time.Duration(c.rng.Int64N(int64(time.Second))))
}

// reopen halts a replica whose disk refused a write. It starts again from the disk after
// testReopenDelay, as the driver does it.
func (c *cluster) reopen(h *host) {
	c.eventCounts["refused write"]++
	h.disk.unsynced, h.replica = nil, nil
	h.startAt = c.now.Add(testReopenDelay)
}

// carryOutPowerLoss ends hosts whose power loss is due.
func (c *cluster) carryOutPowerLoss(h *host) {
	if h.powerLossAt.IsZero() || c.now.Before(h.powerLossAt) {
		return
	}
	for _, o := range h.powerLossOf {
		c.losePower(o)
	}
	h.powerLossOf, h.powerLossAt = nil, time.Time{}
}

// completesSync reports whether a disk completes its writes now. A host that is about
// to lose power has a slow one.
func (c *cluster) completesSync(h *host) bool {
	if len(h.powerLossOf) > 0 && h.powerLossAt.IsZero() && h.disk.hasUnsyncedVote() {
		h.powerLossAt = c.now.Add(time.Duration(c.rng.Int64N(5 * int64(testElectionTimeout))))
		h.disk.hangsUntil = c.now.Add(time.Duration(c.rng.Int64N(10 * int64(testElectionTimeout))))
	}
	return !c.now.Before(h.disk.hangsUntil) && c.rng.Float64() < c.syncProbability
}

// wipe restarts a host with an empty disk.
func (c *cluster) wipe(h *host) {
	c.loseDisk(h)
	c.start(h)
}

func (c *cluster) clockOf(h *host) time.Time { return c.now.Add(h.clockOffset) }

func (c *cluster) isRunning(h *host) bool { return h.replica != nil && !c.now.Before(h.frozenUntil) }

// step advances the time, delivers the messages that are due and ticks the
// running replicas.
func (c *cluster) step() {
	c.steps++
	c.now = c.now.Add(testStep)
	due, later := []delayedMessage{}, []delayedMessage{}
	for _, m := range c.inTransit {
		if m.deliverAt.After(c.now) || c.hostIsFrozen(m.message.To.Daemon) {
			later = append(later, m)
		} else {
			due = append(due, m)
		}
	}
	c.inTransit = later
	c.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, m := range due {
		if h := c.host(m.message.To.Daemon); h.replica != nil && !c.cutLinks[[2]gypsumshelf.DaemonID{m.message.From.Daemon, m.message.To.Daemon}] {
			h.replica.Receive(c.clockOf(h), m.message)
			c.processOutput(h)
		}
	}
	for _, h := range c.hosts {
		c.carryOutPowerLoss(h)
		if !h.startAt.IsZero() && !c.now.Before(h.startAt) {
			c.start(h)
		}
		if c.isRunning(h) {
			h.replica.Tick(c.clockOf(h))
			c.processOutput(h)
		}
		if h.stopping && c.isRunning(h) && c.resign(h) {
			c.eventCounts["planned stop"]++
			c.crash(h)
		}
	}
	c.assertMarks()
}

// assertMarks asserts that no host remembers more of another one than its disk holds.
func (c *cluster) assertMarks() {
	for _, h := range c.hosts {
		for _, o := range c.hosts {
			if o.replica == nil || h.disk.older {
				continue
			}
			mark, term, last := o.replica.peerMarks[h.member.ID], h.disk.synced.HardState.Term, h.disk.lastIndex()
			if mark.Term > term || mark.Term == term && mark.Index > last {
				c.t.Fatalf("%s remembers mark %+v of %s, whose disk has term %d and entry %d", o.member.ID, mark, h.member.ID, term, last)
			}
		}
	}
}

func (c *cluster) hostIsFrozen(id gypsumshelf.DaemonID) bool {
	return c.now.Before(c.host(id).frozenUntil)
}

func (c *cluster) host(id gypsumshelf.DaemonID) *host {
	return c.hosts[slices.IndexFunc(c.hosts, func(h *host) bool { return h.member.ID.Daemon == id })]
}

// processOutput carries out the output of a replica, repeating it after each sync.
func (c *cluster) processOutput(h *host) {
	for {
		out := h.replica.TakeOutput()
		if out.Renew {
			if !h.disk.older {
				c.t.Fatalf("%s discards its storage, although the disk kept everything that was synced", h.member.ID)
			}
			c.eventCounts["older disk found"]++
			c.wipe(h)
			return
		}
		if out.Persist != nil && c.now.Before(h.disk.fullUntil) {
			c.reopen(h)
			return
		}
		if out.Persist != nil {
			h.disk.unsynced = append(h.disk.unsynced, out.Persist)
		}
		for _, m := range out.Messages {
			c.send(m)
		}
		c.apply(h, out)
		c.assertLeadership(h)
		if len(h.disk.unsynced) == 0 || !c.completesSync(h) {
			return
		}
		for _, p := range h.disk.unsynced {
			h.disk.synced = applyPersist(h.disk.synced, p)
		}
		last := h.disk.unsynced[len(h.disk.unsynced)-1].Sequence
		h.disk.unsynced = nil
		h.replica.Synced(c.clockOf(h), last)
	}
}

func (c *cluster) send(m Message) {
	if chunk, ok := m.Body.(SnapshotChunk); ok && len(chunk.Snapshot.Data) > testChunkBytes {
		c.t.Fatalf("snapshot chunk has %d bytes, limit is %d", len(chunk.Snapshot.Data), testChunkBytes)
	}
	if c.rng.Float64() < c.dropProbability {
		c.eventCounts["dropped"]++
		return
	}
	copies := 1
	if c.rng.Float64() < c.duplicateProbability {
		c.eventCounts["duplicated"]++
		copies = 2
	}
	for range copies {
		delay := time.Duration(c.rng.IntN(8)) * time.Millisecond
		if c.rng.Float64() < c.delayProbability {
			c.eventCounts["delayed"]++
			delay = time.Duration(c.rng.IntN(1000)) * time.Millisecond
		}
		c.inTransit = append(c.inTransit, delayedMessage{deliverAt: c.now.Add(delay), message: m})
	}
}

func (c *cluster) apply(h *host, out Output) {
	if s := out.InstallSnapshot; s != nil {
		c.eventCounts["snapshot loaded"]++
		h.applied, h.stateHash = s.Index, 0
		if len(s.Data) > 0 {
			h.stateHash = binary.BigEndian.Uint64(s.Data)
		}
		c.assertSameHistory(h, s.Term)
	}
	for _, e := range out.Committed {
		if e.Index != h.applied+1 {
			c.t.Fatalf("%s applies entry %d after entry %d", h.member.ID, e.Index, h.applied)
		}
		if e.Kind == Membership && e.Index > c.highestApplied {
			c.eventCounts["membership change"]++
		}
		digest := fnv.New64a()
		fmt.Fprint(digest, h.stateHash, e.Index, e.Term, e.At.UnixNano(), e.Kind, string(e.Data))
		h.applied, h.stateHash = e.Index, digest.Sum64()
		c.assertSameHistory(h, e.Term)
	}
}

// assertSameHistory asserts that no committed entry is lost or changed.
func (c *cluster) assertSameHistory(h *host, term uint64) {
	if sum, ok := c.stateHashes[h.applied]; ok && sum != h.stateHash {
		c.t.Fatalf("%s applied a different history up to entry %d than another host", h.member.ID, h.applied)
	}
	c.stateHashes[h.applied] = h.stateHash
	c.highestApplied = max(c.highestApplied, h.applied)
	if _, ok := c.firstCommit[term]; !ok {
		c.firstCommit[term] = c.now
	}
}

// assertLeadership asserts that each term has one leader, that no time is
// confirmed by a leader after a later term has committed an entry, and that
// confirmations and reads cover all entries applied before them.
func (c *cluster) assertLeadership(h *host) {
	r := h.replica
	if r.IsLeader() {
		if id, ok := c.leaderOfTerm[r.Term()]; ok && id != r.ID() {
			c.t.Fatalf("term %d is led by %s and %s", r.Term(), id, r.ID())
		}
		c.leaderOfTerm[r.Term()] = r.ID()
		if !r.cfg.Durable {
			c.t.Fatalf("%s leads without durable storage", r.ID())
		}
	}
	confirmed := r.QuorumConfirmed().Add(-h.clockOffset)
	for term, at := range c.firstCommit {
		if term > r.Term() && confirmed.After(at) {
			c.t.Fatalf("%s of term %d reports quorum contact at %s, but term %d committed an entry at %s", r.ID(), r.Term(), confirmed, term, at)
		}
	}
	asked, commit := r.Confirmation()
	for _, pending := range c.recentReads {
		if !asked.Before(pending.startedAt.Add(h.clockOffset)) && commit < pending.highestApplied {
			c.t.Fatalf("%s has a confirmation up to entry %d, but entry %d was applied before the confirmed time", r.ID(), commit, pending.highestApplied)
		}
		if r.CanServeRead(pending.startedAt.Add(h.clockOffset)) && h.applied < pending.highestApplied {
			c.t.Fatalf("%s answers a read at entry %d, but entry %d was applied before the read", r.ID(), h.applied, pending.highestApplied)
		}
	}
}

// assertLogMatching asserts that two logs with an entry of the same index and term
// agree in all entries before it.
func (c *cluster) assertLogMatching() {
	for i, a := range c.hosts {
		for _, b := range c.hosts[:i] {
			if a.replica == nil || b.replica == nil {
				continue
			}
			common := false
			for n := min(a.replica.log.lastIndex(), b.replica.log.lastIndex()); n > max(a.replica.log.base, b.replica.log.base); n-- {
				entryA, entryB := a.replica.log.entries[n-a.replica.log.base-1], b.replica.log.entries[n-b.replica.log.base-1]
				common = common || entryA.Term == entryB.Term
				if common && (entryA.Term != entryB.Term || string(entryA.Data) != string(entryB.Data)) {
					c.t.Fatalf("logs of %s and %s differ at entry %d, before an entry of the same index and term", a.member.ID, b.member.ID, n)
				}
			}
		}
	}
}

func (c *cluster) confirmedLeader() *host {
	for _, h := range c.hosts {
		if c.isRunning(h) && h.replica.IsLeader() && h.replica.CanServeRead(c.clockOf(h).Add(-testElectionTimeout)) {
			return h
		}
	}
	return nil
}

func (c *cluster) propose(h *host) {
	c.proposed++
	data := fmt.Appendf(nil, "command %d", c.proposed)
	if _, _, err := h.replica.Propose(c.clockOf(h), data); err == nil {
		c.accepted++
	}
	c.processOutput(h)
}

// proposeFor proposes a command in each step for a duration.
func (c *cluster) proposeFor(d time.Duration) {
	for range d / testStep {
		c.step()
		if l := c.confirmedLeader(); l != nil {
			c.propose(l)
		}
	}
}

func (c *cluster) compact(h *host) {
	if h.applied == 0 || h.replica == nil {
		return
	}
	data := binary.BigEndian.AppendUint64(nil, h.stateHash)
	h.replica.Compact(h.applied, append(data, make([]byte, 200)...))
	c.processOutput(h)
}

// isolate cuts all links to and from a host.
func (c *cluster) isolate(h *host) {
	for _, o := range c.hosts {
		c.cutLinks[[2]gypsumshelf.DaemonID{h.member.ID.Daemon, o.member.ID.Daemon}] = true
		c.cutLinks[[2]gypsumshelf.DaemonID{o.member.ID.Daemon, h.member.ID.Daemon}] = true
	}
}

// heal restores all links and disks and restarts all frozen, crashed or stopping hosts.
// The faults of single messages continue.
func (c *cluster) heal() {
	clear(c.cutLinks)
	for _, h := range c.hosts {
		h.frozenUntil, h.disk.hangsUntil, h.disk.fullUntil = time.Time{}, time.Time{}, time.Time{}
		h.powerLossOf, h.powerLossAt = nil, time.Time{}
		if h.stopping {
			c.crash(h)
		}
		if h.replica == nil {
			c.start(h)
		}
	}
}

// waitUntil steps the cluster until a condition holds, and fails the test after
// 3,000 steps.
func (c *cluster) waitUntil(condition string, reached func() bool) {
	for range 3000 {
		if reached() {
			return
		}
		c.step()
	}
	c.t.Fatalf("condition not reached: %s; %s", condition, c.describe())
}

func (c *cluster) describe() string {
	text := ""
	for _, h := range c.hosts {
		if h.replica != nil {
			text += fmt.Sprintf("\n%s term %d leader %s state %d commit %d last %d voters %v", h.member.ID, h.replica.Term(), h.replica.leader, h.replica.state, h.replica.commit, h.replica.log.lastIndex(), h.replica.Members().Voters())
		}
	}
	return text
}

// isSettled reports whether all hosts are members and have applied all entries,
// and the membership is committed and has the wanted number of voters.
func (c *cluster) isSettled() bool {
	leader := c.confirmedLeader()
	if leader == nil || len(leader.replica.Members()) != len(c.hosts) || len(leader.replica.Members().Voters()) != c.wantedVoters || leader.replica.membershipPending() {
		return false
	}
	for _, h := range c.hosts {
		if _, ok := leader.replica.Members().Member(h.member.ID); !ok || h.applied != c.highestApplied {
			return false
		}
	}
	return true
}

func settledCluster(t *testing.T, members ...Member) *cluster {
	c := newCluster(t, 1, members...)
	c.waitUntil("a settled cluster", c.isSettled)
	return c
}
