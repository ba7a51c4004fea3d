package replicas

import (
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// earlyElectionDivisor shortens the first election timeout of a node that has
// just verified its storage and knows no leader.
const earlyElectionDivisor = 3

// verificationState tracks whether a restarted node has verified that its storage
// still holds everything that the node acknowledged before the restart.
type verificationState struct {
	pending     bool
	startedAt   time.Time
	nextRequest time.Time // earliest time to send the next VerifyRequest
	answered    map[gypsumshelf.DaemonID]bool
}

// recordMark records what another node has acknowledged, to answer its
// VerifyRequest after a restart.
func (r *Replica) recordMark(id NodeID, m Mark) {
	old := r.peerMarks[id]
	if m.Term > old.Term || m.Term == old.Term && m.Index > old.Index {
		r.peerMarks[id] = m
	}
}

// tickVerification asks the voters what this node acknowledged before its
// restart. The storage counts as complete once all other voters have answered
// or, after an election timeout, a majority has, including the node itself.
func (r *Replica) tickVerification() {
	v := &r.verification
	if !v.pending {
		return
	}
	voters := r.Members().Voters()
	answered := func(id NodeID) bool { return id == r.cfg.ID || v.answered[id.Daemon] }
	missing := slices.ContainsFunc(voters, func(id NodeID) bool { return !answered(id) })
	if !missing || r.Members().HasQuorum(answered) && r.now.Sub(v.startedAt) > r.cfg.ElectionTimeout {
		v.pending = false
		r.resetElectionTimer()
		if r.leader == (NodeID{}) {
			// When all nodes have restarted, there is no leader, and a short
			// timeout ends that sooner. If there is one after all, nodes in
			// contact with it refuse their votes.
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
			// Sent without an incarnation, so that any may answer: if the
			// voter was replaced, its successor answers with an empty Mark.
			r.send(NodeID{Daemon: id.Daemon}, VerifyRequest{})
		}
	}
}

func (r *Replica) receiveVerifyResponse(message Message, resp VerifyResponse) {
	v := &r.verification
	if !v.pending || resp.Asked != r.cfg.Session {
		return
	}
	// Indexes are compared only within one term: in a later term, entries may
	// have been replaced.
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
