package replicas

import (
	"encoding/gob"
	"time"
)

// Message is sent from one node to another. Messages may be lost, delayed,
// duplicated and reordered.
type Message struct {
	From    NodeID
	To      NodeID // in a Join and a VerifyRequest the incarnation is empty
	Session uint64 // random number of the sender's process
	Group   string
	Term    uint64
	Body    any // one of the types below
}

// Stamp is a time on the clock of one process, relative to the first time that
// its replica was given.
type Stamp struct {
	Session uint64
	At      time.Duration
}

// VoteRequest asks for a vote in the message's term. With Pre set it is a
// pre-vote: it asks whether a vote in the following term would be granted.
type VoteRequest struct {
	Pre       bool
	Handover  bool // the sender campaigns because the leader sent it a Handover
	LastIndex uint64
	LastTerm  uint64
}

// VoteResponse answers a VoteRequest for a vote in the term Asked.
type VoteResponse struct {
	Pre     bool
	Asked   uint64
	Granted bool
}

// AppendRequest carries the entries that follow the entry at index Prev; without
// entries it is a heartbeat.
type AppendRequest struct {
	Prev      uint64
	PrevTerm  uint64
	Entries   []Entry
	Commit    uint64
	Stored    uint64        // index of the last entry that the leader itself has synced
	Sent      time.Duration // time on the leader's clock, echoed in the response
	Confirmed Confirmation
}

// Confirmation tells a member that the leader had contact with a quorum after
// the member sent the stamp Asked, and had then committed the log up to Commit.
type Confirmation struct {
	Asked  Stamp
	Commit uint64
}

// AppendResponse tells the leader which entries the sender has synced.
type AppendResponse struct {
	OK    bool
	Match uint64 // if OK, index of the last entry known to equal the leader's
	Prev  uint64 // Prev of the request
	Hint  uint64 // if not OK, index for the leader to try as Prev
	Sent  time.Duration
	Stamp Stamp
}

// SnapshotChunk carries a snapshot with one part of its data.
type SnapshotChunk struct {
	Snapshot Snapshot // Data holds only the part that starts at Offset
	Offset   int
	Size     int // total size of the data in bytes
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

// Join asks to become a member. A node that is not a member sends it to every
// daemon.
type Join struct {
	DataCentre string
	Durable    bool
}

// JoinResponse answers a Join of the session Asked.
type JoinResponse struct {
	Asked      uint64
	Fresh      bool // the sender knows of no group that it belonged to
	DataCentre string
	Durable    bool
}

// Mark is the latest durable state that a node has acknowledged to others: it
// stored the entries up to Index in Term, or voted in Term.
type Mark struct {
	Term  uint64
	Index uint64
}

// VerifyRequest asks the voters, after a restart of the sender, for the Mark that
// they know of it.
type VerifyRequest struct{}

// VerifyResponse answers a VerifyRequest of the session Asked.
type VerifyResponse struct {
	Asked uint64
	Mark  Mark
}

func init() {
	for _, body := range []any{
		VoteRequest{}, VoteResponse{}, AppendRequest{}, AppendResponse{}, SnapshotChunk{},
		SnapshotResponse{}, Join{}, JoinResponse{}, VerifyRequest{}, VerifyResponse{}, Handover{},
		StopRequest{}, StopResponse{}, Message{},
	} {
		gob.Register(body)
	}
}
