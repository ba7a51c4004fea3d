// Package replicas implements a replicated log on the Raft algorithm: leader
// election, replication, membership of voters and learners, and snapshots.
//
// A Replica is a pure state machine: it reads no clock, does no I/O and starts
// no goroutine. Its driver passes in the time, messages and completed syncs,
// and carries out the Output that TakeOutput returns.
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
	ID            NodeID
	DataCentre    string
	Durable       bool                   // has a data folder
	Peers         []gypsumshelf.DaemonID // all other daemons
	InitialVoters []gypsumshelf.DaemonID // initial voters of a new group; the first one creates it
	Recovered     Recovered
	Session       uint64 // random number, different at each process start
	Seed          uint64 // seeds the random election timeouts

	ElectionTimeout   time.Duration // minimum; each timeout is random between this and twice this
	HeartbeatInterval time.Duration
	PauseThreshold    time.Duration // time between two ticks above which this node counts as paused itself, 0 for never
	ReplaceAfter      time.Duration // time without contact after which a voter is replaced
	ForgetAfter       time.Duration // time without contact after which a learner is removed, 0 for never
	TargetVoters      int           // target number of voters
	MaxAppendBytes    int           // maximum entry data in one AppendRequest; a single larger entry is still sent
	MaxChunkBytes     int           // maximum data in one SnapshotChunk
	RetainEntries     uint64        // entries before a snapshot that are kept in memory for lagging members
}

// withDefaults returns the configuration with defaults for unset fields.
func (c Config) withDefaults() Config {
	c.ElectionTimeout = cmp.Or(c.ElectionTimeout, 500*time.Millisecond)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, 100*time.Millisecond)
	c.ReplaceAfter = cmp.Or(c.ReplaceAfter, time.Minute)
	c.TargetVoters = cmp.Or(c.TargetVoters, 3)
	c.MaxAppendBytes = cmp.Or(c.MaxAppendBytes, 1<<20)
	c.MaxChunkBytes = cmp.Or(c.MaxChunkBytes, 256<<10)
	return c
}

// NotLeaderError is returned by Propose on a node that is not the leader or that
// is handing over leadership.
type NotLeaderError struct {
	Leader gypsumshelf.DaemonID // current leader, empty when unknown
}

// Error implements error.
func (e NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this node does not accept proposals, and no leader is known"
	}
	return fmt.Sprintf("this node does not accept proposals; the leader is %s", e.Leader)
}

type state int

const (
	stateFollower state = iota
	statePreCandidate
	stateCandidate
	stateLeader
)

// Replica is one node of a replicated log.
type Replica struct {
	cfg             Config
	rand            *rand.Rand
	clockStart      time.Time // first time passed in; stamps are relative to it, and so is Sent in messages
	now             time.Time
	halted          bool
	storageOutdated bool // storage lacks state that this node acknowledged to peers

	hardState   HardState
	log         entryLog
	snapshot    *Snapshot
	memberships []membershipAt // that of the snapshot, followed by one for each Membership entry
	commit      uint64
	applied     uint64 // index of the last entry returned in Output.Committed
	storage     storageState
	out         Output

	state             state
	leader            NodeID
	lastLeaderContact time.Time
	electionDeadline  time.Time
	pause             pauseState
	votesReceived     map[NodeID]bool
	quorumConfirmed   time.Time // result of QuorumConfirmed on a follower
	confirmedCommit   uint64

	progress      map[NodeID]*progress
	nextHeartbeat time.Time
	termStart     uint64 // index of the leader's first entry
	leaderSince   time.Time

	incoming     incomingSnapshot
	join         joinState
	stop         stopState
	verification verificationState
	peerMarks    map[NodeID]Mark // acknowledgements seen from other nodes
}

// New returns a Replica that resumes from its recovered storage.
func New(cfg Config) *Replica {
	cfg = cfg.withDefaults()
	r := &Replica{
		cfg:       cfg,
		rand:      rand.New(rand.NewPCG(cfg.Seed, cfg.Session)),
		hardState: cfg.Recovered.HardState,
		peerMarks: map[NodeID]Mark{},
	}
	r.memberships = []membershipAt{{}}
	if s := cfg.Recovered.Snapshot; s != nil {
		r.resetToSnapshot(s)
		r.out.InstallSnapshot = s
	}
	for _, e := range cfg.Recovered.Entries {
		r.appendEntry(e)
	}
	r.storage = storageState{nextIndex: r.log.lastIndex() + 1, stableIndex: r.log.lastIndex(), stableTerm: r.hardState.Term}
	r.verification.pending = r.hardState.Group != ""
	return r
}

// Tick passes the current time to the replica, which then does the work that is
// due.
func (r *Replica) Tick(now time.Time) {
	r.advanceClock(now)
	r.detectPause()
	if r.isStopped() {
		return
	}
	if r.state == stateLeader {
		r.tickLeader()
		return
	}
	r.tickJoin()
	r.tickVerification()
	if !now.Before(r.electionDeadline) {
		r.campaign(preVote)
	}
}

// advanceClock sets the replica's time, which never moves backward.
func (r *Replica) advanceClock(now time.Time) {
	if r.clockStart.IsZero() {
		r.clockStart, r.now = now, now
		r.verification.startedAt = now
		r.resetElectionTimer()
	}
	if now.After(r.now) {
		r.now = now
	}
}

func (r *Replica) isStopped() bool { return r.halted || r.storageOutdated }

// Receive handles a message.
func (r *Replica) Receive(now time.Time, message Message) {
	r.advanceClock(now)
	if r.isStopped() || message.From.Daemon == r.cfg.ID.Daemon {
		return
	}
	r.join.addSender(message.From.Daemon)
	if message.To != r.cfg.ID && (message.To.Daemon != r.cfg.ID.Daemon || message.To.Incarnation != "") {
		return
	}
	switch body := message.Body.(type) {
	case Join:
		r.receiveJoin(message, body)
		return
	case JoinResponse:
		r.receiveJoinResponse(message, body)
		return
	}
	if !r.acceptsGroup(message) {
		return
	}
	switch body := message.Body.(type) {
	case VoteRequest:
		r.receiveVoteRequest(message, body)
	case VoteResponse:
		r.receiveVoteResponse(message, body)
	case AppendRequest:
		r.receiveAppend(message, body)
	case AppendResponse:
		r.receiveAppendResponse(message, body)
	case SnapshotChunk:
		r.receiveChunk(message, body)
	case SnapshotResponse:
		r.receiveSnapshotResponse(message, body)
	case Handover:
		r.receiveHandover(message)
	case StopRequest:
		r.receiveStopRequest(message)
	case StopResponse:
		r.receiveStopResponse(message, body)
	case VerifyRequest:
		r.send(message.From, VerifyResponse{Asked: message.Session, Mark: r.peerMarks[message.From]})
	case VerifyResponse:
		r.receiveVerifyResponse(message, body)
	}
}

// acceptsGroup reports whether a message belongs to this node's group. A node
// without a group adopts the group of the first message addressed to it.
func (r *Replica) acceptsGroup(message Message) bool {
	if message.Group == "" {
		return false
	}
	if r.hardState.Group == "" {
		r.hardState.Group = message.Group
		r.storage.hardDirty = true
	}
	return message.Group == r.hardState.Group
}

// Halt makes the node give up leadership and stop participating, for example
// because its storage has failed.
func (r *Replica) Halt() {
	r.halted = true
	r.state = stateFollower
	r.leader = NodeID{}
	r.progress = nil
	r.out = Output{}
	r.storage.deferred = nil
}

// ID returns the node's identity.
func (r *Replica) ID() NodeID { return r.cfg.ID }

// Leader returns the daemon that leads the current term, and false when the
// leader is unknown.
func (r *Replica) Leader() (gypsumshelf.DaemonID, bool) {
	return r.leader.Daemon, r.leader != NodeID{}
}

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.hardState.Term }

// IsLeader reports whether this node leads the current term.
func (r *Replica) IsLeader() bool { return r.state == stateLeader }

// CommitIndex returns the index of the last committed entry.
func (r *Replica) CommitIndex() uint64 { return r.commit }

// LastIndex returns the index of the last entry, committed or not.
func (r *Replica) LastIndex() uint64 { return r.log.lastIndex() }

// SnapshotIndex returns the index of the last entry in the node's snapshot.
func (r *Replica) SnapshotIndex() uint64 {
	if r.snapshot == nil {
		return 0
	}
	return r.snapshot.Index
}

// setCommit advances the commit index and adds the entries up to it to
// Output.Committed.
func (r *Replica) setCommit(index uint64) {
	if index < r.commit || index > r.log.lastIndex() {
		invariantViolated("commit index would move from %d to %d, last entry is %d", r.commit, index, r.log.lastIndex())
	}
	r.commit = index
	if r.applied < index {
		r.out.Committed = append(r.out.Committed, r.log.entries[r.applied-r.log.base:index-r.log.base]...)
		r.applied = index
	}
}

// appendEntry appends an entry to the log and, for a Membership entry, records
// the membership.
func (r *Replica) appendEntry(e Entry) {
	r.log.append(e)
	if e.Kind == Membership {
		r.memberships = append(r.memberships, membershipAt{index: e.Index, members: decodeMembers(e.Data)})
	}
}
