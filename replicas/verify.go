package replicas

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// earlyElectionDivisor divides the election timeout of a node that has just verified
// its storage and hears no leader.
const earlyElectionDivisor = 3

// verificationState is the state of a node that has restarted and does not know yet
// whether its storage still holds everything it promised before.
type verificationState struct {
	pending     bool
	startedAt   time.Time
	nextRequest time.Time // of the next VerifyRequest
	answered    map[gypsumshelf.DaemonID]bool
}

// recordMark remembers a promise of another node, so that it can be told of it.
func (r *Replica) recordMark(id NodeID, m Mark) {
	old := r.peerMarks[id]
	if m.Term > old.Term || m.Term == old.Term && m.Index > old.Index {
		r.peerMarks[id] = m
	}
}

// tickVerification asks the voters what this node promised before its restart. When
// all answered, or after an election timeout a majority counting the node
// itself, the storage is taken for complete.
func (r *Replica) tickVerification() {
	v := &r.verification
	if !v.pending {
		return
	}
	voters, missing, answered := r.Members().Voters(), 0, 0
	for _, id := range voters {
		switch {
		case id == r.cfg.ID:
			answered++
		case v.answered[id.Daemon]:
			answered++
		default:
			missing++
		}
	}
	if missing == 0 || answered >= r.Members().Quorum() && r.now.Sub(v.startedAt) > r.cfg.ElectionTimeout {
		v.pending = false
		r.resetElectionTimer()
		if r.leader == (NodeID{}) {
			// After a start of all nodes nobody leads. A candidate that is
			// wrong about it gets no vote from nodes that hear a leader.
			r.electionDeadline = r.now.Add(time.Duration(r.rand.Int64N(int64(r.cfg.ElectionTimeout)/earlyElectionDivisor + 1)))
		}
		return
	}
	if r.now.Before(v.nextRequest) {
		return
	}
	v.nextRequest = r.now.Add(r.cfg.HeartbeatInterval)
	for _, id := range voters {
		if id != r.cfg.ID {
			// Any incarnation may answer: one that replaced the voter tells
			// that its memory of this node's promises is gone.
			r.send(NodeID{Daemon: id.Daemon}, VerifyRequest{})
		}
	}
}

func (r *Replica) receiveVerifyResponse(message Message, resp VerifyResponse) {
	v := &r.verification
	if !v.pending || resp.Asked != r.cfg.Session {
		return
	}
	// In a later term than the promise, entries may have been replaced.
	ownTerm := r.hardState.Term
	if ownTerm < resp.Mark.Term || ownTerm == resp.Mark.Term && r.log.lastIndex() < resp.Mark.Index {
		r.storageOutdated = true
		return
	}
	if v.answered == nil {
		v.answered = map[gypsumshelf.DaemonID]bool{}
	}
	v.answered[message.From.Daemon] = true
}
