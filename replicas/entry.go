package replicas

import "time"

// Kind is the type of an entry.
type Kind uint8

// Kinds of entries.
const (
	Command    Kind = iota // data passed to Propose
	NoOp                   // first entry of each term
	Membership             // a new membership, encoded as JSON
)

// Entry is one position of the log.
type Entry struct {
	Index uint64
	Term  uint64
	At    time.Time // leader's clock, never earlier than in the previous entry
	Kind  Kind
	Data  []byte
}

// HardState is the state besides the log that a node must persist across
// restarts.
type HardState struct {
	Group string // identifies the group; empty until the node belongs to one
	Term  uint64
	Vote  NodeID // node that received this node's vote in Term
}

// Snapshot holds the state after the entry at Index and replaces all entries up
// to it.
type Snapshot struct {
	Index   uint64
	Term    uint64
	At      time.Time // time of the entry at Index
	Members Members
	Data    []byte // encoded state machine
}

// Recovered is the state read from a node's storage at its start.
type Recovered struct {
	HardState    HardState
	Snapshot     *Snapshot
	Entries      []Entry // entries after the snapshot
	FormerMember bool    // earlier contents were discarded, so the daemon may have belonged to a group
}

// Persist is a write that the driver stores and syncs as a whole before it calls
// Synced with its sequence.
type Persist struct {
	Sequence  uint64
	HardState HardState
	Snapshot  *Snapshot // if set, the snapshot and Entries replace everything stored
	Entries   []Entry   // replace all stored entries from the index of the first one on
}

// Output lists the actions that the driver must carry out after a call.
type Output struct {
	Persist         *Persist  // nil when there is nothing to store
	Messages        []Message // to send now, in any order
	InstallSnapshot *Snapshot // snapshot to restore before applying Committed
	Committed       []Entry   // entries to apply, of every kind, without gaps
	Renew           bool      // storage lacks state that peers saw: discard it and start with a new incarnation
	// MembershipChanges are the changes that this node has proposed, for logs only.
	MembershipChanges []MembershipChange
}
