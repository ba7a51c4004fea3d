package replicas

import (
	"slices"
	"time"
)

// Handover asks the receiving voter to campaign at once, even though it has
// contact with the leader, because the leader is about to stop.
type Handover struct{}

// StopRequest tells the leader that the sender is about to stop, perhaps for good.
type StopRequest struct{}

// StopResponse answers a StopRequest of the session Asked.
type StopResponse struct {
	Asked   uint64
	Granted bool // the group does not need the sender's vote
}

// stopState tracks how a node that is about to stop gives up the lead and its vote.
type stopState struct {
	resigned     bool
	granted      bool      // the leader has agreed to the stop
	nextHandover time.Time // earliest time to send the next Handover
	nextRequest  time.Time // earliest time to send the next StopRequest
}

// Resign prepares the stop of this node. It may be called repeatedly; each call
// continues. A leader transfers leadership to a voter that has all its entries. A
// follower asks the leader to let it stop, which gives the seat of a voter to a
// learner. A node that has resigned accepts no proposals while another voter can
// take over. It waits longer than other nodes before it campaigns, but still
// campaigns, since it may have the only complete log.
func (r *Replica) Resign(now time.Time) {
	r.advanceClock(now)
	r.stop.resigned = true
	switch {
	case r.isStopped():
	case r.state == stateLeader:
		r.handOver()
	case r.leader != (NodeID{}) && !r.stop.granted && !r.now.Before(r.stop.nextRequest):
		r.stop.nextRequest = r.now.Add(r.cfg.HeartbeatInterval)
		r.send(r.leader, StopRequest{})
	}
}

// handOver asks a voter that has all entries to take over the lead.
func (r *Replica) handOver() {
	if r.now.Before(r.stop.nextHandover) {
		return
	}
	for _, member := range sortedByDaemon(r.Members()) {
		if p := r.progress[member.ID]; p != nil && member.Role != Learner && r.isAvailable(member.ID) && p.match == r.log.lastIndex() {
			r.stop.nextHandover = r.now.Add(r.cfg.ElectionTimeout)
			r.send(member.ID, Handover{})
			return
		}
	}
}

// leaveLead ends the lead of a node without a vote, which was elected to complete the
// change that took its vote away.
func (r *Replica) leaveLead() {
	r.handOver()
	if r.now.Sub(r.leaderSince) > r.cfg.ElectionTimeout {
		r.becomeFollower(r.hardState.Term) // no voter has taken over
	}
}

// MayStop reports whether this node has resigned and the group can go on without
// it, or this node could not help the group by running on.
func (r *Replica) MayStop() bool {
	switch {
	case !r.stop.resigned:
		return false
	case r.isStopped() || !r.Members().IsVoter(r.cfg.ID) && !r.membershipPending():
		return true
	case r.state == stateLeader:
		return r.stopsWithAll()
	}
	return r.stop.granted
}

// handingOver reports whether this node has resigned and another voter is
// reachable that can take over.
func (r *Replica) handingOver() bool {
	return r.stop.resigned && slices.ContainsFunc(r.Members().Voters(), func(id NodeID) bool {
		return id != r.cfg.ID && r.isAlive(id)
	})
}

func (r *Replica) receiveHandover(message Message) {
	if message.Term == r.hardState.Term && message.From == r.leader && r.state == stateFollower && !r.stop.resigned {
		r.campaign(afterHandover)
	}
}

func (r *Replica) receiveStopRequest(message Message) {
	p := r.progress[message.From]
	if r.state != stateLeader || p == nil || p.session != message.Session {
		return
	}
	if !r.isStopping(message.From) {
		p.stopAnnounced = r.now
	}
	p.stopRequested = r.now
	p.stopGranted = p.stopGranted || r.grantsStop(message.From, p.stopAnnounced)
	r.send(message.From, StopResponse{Asked: message.Session, Granted: p.stopGranted})
}

func (r *Replica) receiveStopResponse(message Message, resp StopResponse) {
	if message.Term == r.hardState.Term && resp.Asked == r.cfg.Session {
		r.stop.granted = resp.Granted
	}
}

// grantsStop reports whether a member that announced its stop at a time may stop,
// perhaps for good. A voter waits until a learner has taken its seat. Where none can,
// the other voters must have answered since and have a quorum without it: otherwise
// it may be needed to give seats to hosts that return.
func (r *Replica) grantsStop(id NodeID, announced time.Time) bool {
	members := r.Members()
	if !members.IsVoter(id) {
		return !r.membershipPending()
	}
	if r.stopsWithAll() {
		return true
	}
	if members.IsJoint() || slices.ContainsFunc(members, func(m Member) bool {
		return m.Role == Learner && m.Durable && r.isAvailable(m.ID) && !r.isStalled(m.ID)
	}) {
		return false
	}
	return members.HasQuorum(func(voter NodeID) bool {
		switch voter {
		case id:
			return false
		case r.cfg.ID:
			return !r.stop.resigned
		}
		p := r.progress[voter]
		return !p.stopGranted && p.ackedSendTime.After(announced) && !r.isStalled(voter)
	})
}

// stopsWithAll reports whether every voter in contact is about to stop, so that no
// leader remains whom a stopping voter could help.
func (r *Replica) stopsWithAll() bool {
	return !slices.ContainsFunc(r.Members().Voters(), r.isAvailable)
}

// isAvailable reports whether a member is in contact and not about to stop.
func (r *Replica) isAvailable(id NodeID) bool { return r.isAlive(id) && !r.isStopping(id) }

// isStopping reports whether a member is about to stop. A request that is not
// repeated expires.
func (r *Replica) isStopping(id NodeID) bool {
	if id == r.cfg.ID {
		return r.stop.resigned
	}
	p := r.progress[id]
	return p.stopGranted || !p.stopRequested.IsZero() && r.now.Sub(p.stopRequested) < r.cfg.ElectionTimeout
}

// stoppingVoter returns a voter other than this node that is about to stop.
func (r *Replica) stoppingVoter(members Members) (NodeID, bool) {
	for _, member := range sortedByDaemon(members) {
		if member.Role == Voter && member.ID != r.cfg.ID && r.isStopping(member.ID) {
			return member.ID, true
		}
	}
	return NodeID{}, false
}
