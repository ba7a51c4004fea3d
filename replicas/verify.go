package replicas

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// earlyElection divides the election timeout of a node that has just verified
// its storage and hears no leader.
const earlyElection = 3

// verification is the state of a node that has restarted and does not know yet
// whether its storage still holds everything it promised before.
type verification struct {
	pending bool
	since   time.Time
	at      time.Time // of the next VerifyRequest
	answers map[gypsumshelf.DaemonID]bool
}

// mark remembers a promise of another node, so that it can be told of it.
func (r *Replica) mark(id NodeID, m Mark) {
	old := r.marks[id]
	if m.Term > old.Term || m.Term == old.Term && m.Index > old.Index {
		r.marks[id] = m
	}
}

// verifyTick asks the voters what this node promised before its restart. When
// all answered, or after an election timeout a majority counting the node
// itself, the storage is taken for complete.
func (r *Replica) verifyTick() {
	v := &r.verify
	if !v.pending {
		return
	}
	voters, missing, answered := r.Members().Voters(), 0, 0
	for _, id := range voters {
		switch {
		case id == r.cfg.ID:
			answered++
		case v.answers[id.Daemon]:
			answered++
		default:
			missing++
		}
	}
	if missing == 0 || answered >= r.Members().Quorum() && r.now.Sub(v.since) > r.cfg.ElectionTimeout {
		v.pending = false
		r.resetElection()
		if r.leader == (NodeID{}) {
			// After a start of all nodes nobody leads. A candidate that is
			// wrong about it gets no vote from nodes that hear a leader.
			r.electionAt = r.now.Add(time.Duration(r.rand.Int64N(int64(r.cfg.ElectionTimeout)/earlyElection + 1)))
		}
		return
	}
	if r.now.Before(v.at) {
		return
	}
	v.at = r.now.Add(r.cfg.HeartbeatInterval)
	for _, id := range voters {
		if id != r.cfg.ID {
			// Any incarnation may answer: one that replaced the voter tells
			// that its memory of this node's promises is gone.
			r.send(NodeID{Daemon: id.Daemon}, VerifyRequest{})
		}
	}
}

func (r *Replica) receiveVerifyResponse(m Message, a VerifyResponse) {
	v := &r.verify
	if !v.pending || a.Asked != r.cfg.Session {
		return
	}
	// In a later term than the promise, entries may have been replaced.
	own := r.hard.Term
	if own < a.Mark.Term || own == a.Mark.Term && r.log.last() < a.Mark.Index {
		r.outdated = true
		return
	}
	if v.answers == nil {
		v.answers = map[gypsumshelf.DaemonID]bool{}
	}
	v.answers[m.From.Daemon] = true
}
