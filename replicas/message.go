package replicas

import (
	"encoding/gob"
	"time"
)

// Message is sent from one node to another. Messages may be lost, delayed,
// duplicated and reordered.
type Message struct {
	From    NodeID
	To      NodeID // incarnation is empty in a Join and a VerifyRequest
	Session uint64 // random number of the sender's process
	Group   string
	Term    uint64
	Body    any // one of the types below
}

// Stamp is a time on the clock of one process, relative to its start.
type Stamp struct {
	Session uint64
	At      time.Duration
}

// VoteRequest asks for a vote in the message's term, or, when Pre is set, asks
// whether such a vote would be given.
type VoteRequest struct {
	Pre       bool
	Handover  bool // the leader asked the sender to campaign
	LastIndex uint64
	LastTerm  uint64
}

// VoteResponse answers a VoteRequest of the term Asked.
type VoteResponse struct {
	Pre     bool
	Asked   uint64
	Granted bool
}

// AppendRequest carries entries that follow the entry Prev; without entries it
// is a heartbeat.
type AppendRequest struct {
	Prev      uint64
	PrevTerm  uint64
	Entries   []Entry
	Commit    uint64
	Stored    uint64        // last entry that the leader itself has synced
	Sent      time.Duration // leader's clock, echoed
	Confirmed Confirmation
}

// Confirmation tells a member that the leader had contact with a quorum after
// the member sent Asked, and that it had committed the log up to Commit then.
type Confirmation struct {
	Asked  Stamp
	Commit uint64
}

// AppendResponse tells the leader which entries the sender has stored and synced.
type AppendResponse struct {
	OK    bool
	Match uint64 // last entry known to equal the leader's, when OK
	Prev  uint64 // of the request
	Hint  uint64 // entry to try as Prev, when not OK
	Sent  time.Duration
	Stamp Stamp
}

// SnapshotChunk carries a part of a snapshot's data.
type SnapshotChunk struct {
	Snapshot Snapshot // Data holds only the bytes from Offset on
	Offset   int
	Size     int // bytes of the whole data
	Sent     time.Duration
}

// SnapshotResponse answers a SnapshotChunk.
type SnapshotResponse struct {
	Index uint64
	Next  int  // offset of the next chunk
	Done  bool // the snapshot is stored and synced
	Sent  time.Duration
	Stamp Stamp
}

// Join is sent to every daemon by a node that is not a member.
type Join struct {
	DataCentre string
	Durable    bool
}

// JoinResponse answers a Join of the session Asked.
type JoinResponse struct {
	Asked      uint64
	Fresh      bool // the sender has never belonged to a group
	DataCentre string
	Durable    bool
}

// Mark is a promise of durability that a node made: it stored entries up to
// Index in Term, or voted in Term.
type Mark struct {
	Term  uint64
	Index uint64
}

// VerifyRequest asks members, after a restart, what the sender promised before.
type VerifyRequest struct{}

// VerifyResponse answers a VerifyRequest of the session Asked.
type VerifyResponse struct {
	Asked uint64
	Mark  Mark
}

func init() {
	for _, body := range []any{
		VoteRequest{}, VoteResponse{}, AppendRequest{}, AppendResponse{}, SnapshotChunk{},
		SnapshotResponse{}, Join{}, JoinResponse{}, VerifyRequest{}, VerifyResponse{}, Handover{}, Message{},
	} {
		gob.Register(body)
	}
}
