package replicas

import "time"

// Kind says what an entry is for.
type Kind uint8

// Kinds of entries.
const (
	Command    Kind = iota // data of the caller of Propose
	NoOp                   // first entry of each term
	Membership             // a new membership, in JSON
)

// Entry is one position of the log.
type Entry struct {
	Index uint64
	Term  uint64
	At    time.Time // leader's clock, never before that of the previous entry
	Kind  Kind
	Data  []byte
}

// HardState is what a node must know again after a restart, beside its log.
type HardState struct {
	Group string // names the group; empty until the node has heard of one
	Term  uint64
	Vote  NodeID // node that got this node's vote in Term
}

// Snapshot replaces all entries up to Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	At      time.Time // time of the entry at Index
	Members Members
	Data    []byte // state machine
}

// Recovered is what the storage of a node held when it started.
type Recovered struct {
	Hard         HardState
	Snapshot     *Snapshot
	Entries      []Entry // entries after the snapshot
	FormerMember bool    // earlier contents were lost or unusable, so the node belonged to a group
}

// Persist is written and synced as a whole before Synced is called.
type Persist struct {
	Sequence uint64
	Hard     HardState
	Snapshot *Snapshot // when set, the snapshot and Entries replace everything stored
	Entries  []Entry   // replace stored entries from the index of the first one on
}

// Output is what the driver must do after a call.
type Output struct {
	Persist   *Persist  // nil when there is nothing to store
	Messages  []Message // to send now, in any order
	Install   *Snapshot // state to load before Committed
	Committed []Entry   // entries to apply, of every kind, without gaps
	Renew     bool      // storage is older than what peers saw: discard it and start with a new incarnation
}
