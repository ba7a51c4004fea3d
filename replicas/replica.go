// Package replicas is the replicated log: leader election, replication,
// membership of voters and learners, and snapshots.
//
// A Replica has no clock, no I/O and no goroutine. Its driver passes in time,
// messages and completed syncs, and carries out the Output of Take.
package replicas

import (
	"fmt"
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

// Replica is one node of a replicated log.
type Replica struct {
	cfg Config
}

// New returns a Replica that continues from its recovered storage.
func New(cfg Config) *Replica { return &Replica{cfg: cfg} }

// Tick tells the replica the time.
func (r *Replica) Tick(_ time.Time) {}

// Receive handles a message.
func (r *Replica) Receive(_ time.Time, _ Message) {}

// Propose appends a command to the log. The command is committed when an entry
// with this index and term is in Output.Committed; an entry with the same
// index and another term means that the command is lost.
func (r *Replica) Propose(_ time.Time, _ []byte) (index, term uint64, err error) {
	return 0, 0, ErrNotLeader{}
}

// Synced tells the replica that all Persist up to a sequence are synced.
func (r *Replica) Synced(_ time.Time, _ uint64) {}

// Take returns what the driver must do; nothing is returned twice.
func (r *Replica) Take() Output { return Output{} }

// Leader returns the daemon that leads the current term.
func (r *Replica) Leader() (gypsumshelf.DaemonID, bool) { return "", false }

// Term returns the current term.
func (r *Replica) Term() uint64 { return 0 }

// IsLeader reports whether this node leads the current term.
func (r *Replica) IsLeader() bool { return false }

// Compact replaces entries up to index, which must have been in
// Output.Committed, by a snapshot of the state machine after that entry.
func (r *Replica) Compact(_ uint64, _ []byte) {}

// QuorumConfirmed returns the latest time on this node's clock at which the
// leader is known to have had contact with a quorum; zero when unknown.
func (r *Replica) QuorumConfirmed() time.Time { return time.Time{} }

// Confirmed reports whether this node is the leader, was the leader at some
// time not before t, and has applied all entries committed before t. A read
// that arrived at t may then be answered.
func (r *Replica) Confirmed(_ time.Time) bool { return false }

// CommitIndex returns the index of the last committed entry.
func (r *Replica) CommitIndex() uint64 { return 0 }

// Members returns the latest membership, which may not be committed yet.
func (r *Replica) Members() Members { return nil }
