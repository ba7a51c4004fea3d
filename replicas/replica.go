// Package replicas is the replicated log: leader election, replication,
// membership of voters and learners, and snapshots.
//
// A Replica has no clock, no I/O and no goroutine. Its driver passes in time,
// messages and completed syncs, and carries out the Output of Take.
package replicas

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Config configures a Replica.
type Config struct {
	ID         NodeID
	DataCentre string
	Durable    bool                   // has a data folder
	Peers      []gypsumshelf.DaemonID // all other daemons
	Founders   []gypsumshelf.DaemonID // voters of a new group, the first one founds it
	Recovered  Recovered
	Session    uint64 // random, different at each start
	Seed       uint64 // of election timeouts

	ElectionTimeout   time.Duration // timeouts are between this and twice this
	HeartbeatInterval time.Duration
	ReplaceAfter      time.Duration // silence after which a voter is replaced
	Voters            int           // wanted number of voters
	BatchBytes        int           // most data in one AppendRequest
	ChunkBytes        int           // most data in one SnapshotChunk
	Retain            uint64        // entries kept in memory behind a snapshot for lagging members
}

// withDefaults fills in what is not set.
func (c Config) withDefaults() Config {
	c.ElectionTimeout = cmp.Or(c.ElectionTimeout, 500*time.Millisecond)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, 100*time.Millisecond)
	c.ReplaceAfter = cmp.Or(c.ReplaceAfter, time.Minute)
	c.Voters = cmp.Or(c.Voters, 3)
	c.BatchBytes = cmp.Or(c.BatchBytes, 1<<20)
	c.ChunkBytes = cmp.Or(c.ChunkBytes, 256<<10)
	return c
}

// ErrNotLeader refuses a proposal to a node that cannot accept it.
type ErrNotLeader struct {
	Leader gypsumshelf.DaemonID // empty when unknown
}

// Error implements error.
func (e ErrNotLeader) Error() string {
	if e.Leader == "" {
		return "not the leader, and no leader is known"
	}
	return fmt.Sprintf("not the leader, which is %s", e.Leader)
}

type state int

const (
	follower state = iota
	preCandidate
	candidate
	leading
)

// Replica is one node of a replicated log.
type Replica struct {
	cfg      Config
	rand     *rand.Rand
	epoch    time.Time // first time passed in; stamps are relative to it
	now      time.Time
	halted   bool
	outdated bool // storage is older than what this node promised to peers

	hard     HardState
	log      entryLog
	snapshot *Snapshot
	configs  []membershipAt // first the snapshot's, then one for each Membership entry
	commit   uint64
	applied  uint64 // last entry handed out in Output.Committed
	stored   storage
	out      Output

	state           state
	leader          NodeID
	leaderContact   time.Time
	electionAt      time.Time
	votes           map[NodeID]bool
	confirmed       time.Time // QuorumConfirmed of a follower
	confirmedCommit uint64

	progress    map[NodeID]*progress
	heartbeatAt time.Time
	termStart   uint64 // index of the leader's first entry
	ledSince    time.Time

	incoming incomingSnapshot
	joining  joining
	handover handover
	verify   verification
	marks    map[NodeID]Mark // promises seen from other nodes
}

// New returns a Replica that continues from its recovered storage.
func New(cfg Config) *Replica {
	cfg = cfg.withDefaults()
	r := &Replica{
		cfg:   cfg,
		rand:  rand.New(rand.NewPCG(cfg.Seed, cfg.Session)),
		hard:  cfg.Recovered.Hard,
		marks: map[NodeID]Mark{},
	}
	r.configs = []membershipAt{{}}
	if s := cfg.Recovered.Snapshot; s != nil {
		r.load(s)
		r.out.Install = s
	}
	for _, e := range cfg.Recovered.Entries {
		r.appendEntry(e)
	}
	r.stored = storage{next: r.log.last() + 1, stable: r.log.last()}
	r.verify.pending = r.hard.Group != ""
	return r
}

// Tick tells the replica the time.
func (r *Replica) Tick(now time.Time) {
	r.advance(now)
	if r.stopped() {
		return
	}
	if r.state == leading {
		r.lead()
		return
	}
	r.join()
	r.verifyTick()
	if !now.Before(r.electionAt) {
		r.campaign(preVote)
	}
}

// advance moves the replica's time forward; it never moves backward.
func (r *Replica) advance(now time.Time) {
	if r.epoch.IsZero() {
		r.epoch, r.now = now, now
		r.verify.since = now
		r.resetElection()
	}
	if now.After(r.now) {
		r.now = now
	}
}

func (r *Replica) stopped() bool { return r.halted || r.outdated }

// Receive handles a message.
func (r *Replica) Receive(now time.Time, m Message) {
	r.advance(now)
	if r.stopped() || m.From.Daemon == r.cfg.ID.Daemon {
		return
	}
	if m.To != r.cfg.ID && (m.To.Daemon != r.cfg.ID.Daemon || m.To.Incarnation != "") {
		return
	}
	switch body := m.Body.(type) {
	case Join:
		r.receiveJoin(m, body)
		return
	case JoinResponse:
		r.receiveJoinResponse(m, body)
		return
	}
	if !r.accepts(m) {
		return
	}
	switch body := m.Body.(type) {
	case VoteRequest:
		r.receiveVoteRequest(m, body)
	case VoteResponse:
		r.receiveVoteResponse(m, body)
	case AppendRequest:
		r.receiveAppend(m, body)
	case AppendResponse:
		r.receiveAppendResponse(m, body)
	case SnapshotChunk:
		r.receiveChunk(m, body)
	case SnapshotResponse:
		r.receiveSnapshotResponse(m, body)
	case Handover:
		r.receiveHandover(m)
	case VerifyRequest:
		r.send(m.From, VerifyResponse{Asked: m.Session, Mark: r.marks[m.From]})
	case VerifyResponse:
		r.receiveVerifyResponse(m, body)
	}
}

// accepts reports whether a message belongs to this node's group. A node
// without a group takes the group of the first message addressed to it.
func (r *Replica) accepts(m Message) bool {
	if m.Group == "" {
		return false
	}
	if r.hard.Group == "" {
		r.hard.Group = m.Group
		r.stored.hardDirty = true
	}
	return m.Group == r.hard.Group
}

// Halt makes the node give up leadership and take part no longer, because its
// storage has failed.
func (r *Replica) Halt() {
	r.halted = true
	r.state = follower
	r.leader = NodeID{}
	r.progress = nil
	r.out = Output{}
	r.stored.held = nil
}

// ID returns the node's identity.
func (r *Replica) ID() NodeID { return r.cfg.ID }

// Leader returns the daemon that leads the current term.
func (r *Replica) Leader() (gypsumshelf.DaemonID, bool) {
	return r.leader.Daemon, r.leader != NodeID{}
}

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.hard.Term }

// IsLeader reports whether this node leads the current term.
func (r *Replica) IsLeader() bool { return r.state == leading }

// CommitIndex returns the index of the last committed entry.
func (r *Replica) CommitIndex() uint64 { return r.commit }

// LastIndex returns the index of the last entry, committed or not.
func (r *Replica) LastIndex() uint64 { return r.log.last() }

// SnapshotIndex returns the index of the last entry in the node's snapshot.
func (r *Replica) SnapshotIndex() uint64 {
	if r.snapshot == nil {
		return 0
	}
	return r.snapshot.Index
}

// setCommit moves the commit index and hands out the entries up to it.
func (r *Replica) setCommit(index uint64) {
	if index < r.commit || index > r.log.last() {
		violated("commit index moves from %d to %d, last entry %d", r.commit, index, r.log.last())
	}
	r.commit = index
	if r.applied < index {
		r.out.Committed = append(r.out.Committed, r.log.entries[r.applied-r.log.base:index-r.log.base]...)
		r.applied = index
	}
}

// appendEntry adds an entry to the log and to the history of memberships.
func (r *Replica) appendEntry(e Entry) {
	r.log.append(e)
	if e.Kind == Membership {
		r.configs = append(r.configs, membershipAt{index: e.Index, members: decodeMembers(e.Data)})
	}
}
