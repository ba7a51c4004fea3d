package replicas

import "time"

func (r *Replica) resetElection() {
	spread := time.Duration(r.rand.Int64N(int64(r.cfg.ElectionTimeout)))
	r.electionAt = r.now.Add(r.cfg.ElectionTimeout + spread)
	if r.handover.resigned {
		r.electionAt = r.electionAt.Add(2 * r.cfg.ElectionTimeout)
	}
}

// mayVote reports whether this node's votes can be trusted to be remembered.
func (r *Replica) mayVote() bool { return r.cfg.Durable && !r.verify.pending }

// setTerm enters a later term without a vote.
func (r *Replica) setTerm(term uint64) {
	if term <= r.hard.Term {
		violated("term moves from %d to %d", r.hard.Term, term)
	}
	r.hard.Term = term
	r.hard.Vote = NodeID{}
	r.stored.hardDirty = true
	r.leader = NodeID{}
}

// vote records the vote of the current term.
func (r *Replica) vote(id NodeID) {
	if r.hard.Vote != (NodeID{}) && r.hard.Vote != id {
		violated("second vote in term %d for %s, first for %s", r.hard.Term, id, r.hard.Vote)
	}
	if r.hard.Vote != id {
		r.hard.Vote = id
		r.stored.hardDirty = true
	}
}

// follow enters a term, or leaves candidacy or leadership in the current one.
func (r *Replica) follow(term uint64) {
	if term > r.hard.Term {
		r.setTerm(term)
	}
	if r.state == leading {
		r.leader = NodeID{}
	}
	r.state = follower
	r.progress = nil
	r.votes = nil
	r.resetElection()
}

// campaignKind says why a node asks for votes.
type campaignKind int

const (
	// preVote asks without entering a new term: a node that was cut off would
	// otherwise return with a higher term and depose a good leader.
	preVote    campaignKind = iota
	elected                 // a majority would vote for the node
	handedOver              // the leader asked for it
)

// campaign asks for votes.
func (r *Replica) campaign(kind campaignKind) {
	pre := kind == preVote
	r.resetElection()
	if !r.Members().IsVoter(r.cfg.ID) || !r.mayVote() {
		return
	}
	r.leader = NodeID{}
	r.votes = map[NodeID]bool{}
	if pre {
		r.state = preCandidate
	} else {
		r.setTerm(r.hard.Term + 1)
		r.state = candidate
		r.vote(r.cfg.ID)
	}
	request := VoteRequest{Pre: pre, Handover: kind == handedOver, LastIndex: r.log.last(), LastTerm: r.log.lastTerm()}
	for _, id := range r.Members().Voters() {
		switch {
		case id == r.cfg.ID:
		case pre:
			r.send(id, request)
		default:
			// The vote for itself must be stored first: after a restart
			// the node could vote for another candidate of this term.
			r.promise(id, request)
		}
	}
	if pre {
		r.countVote(r.cfg.ID, true)
	}
}

// countOwnVote counts a candidate's vote for itself once that is synced.
func (r *Replica) countOwnVote() {
	if r.state == candidate && !r.stored.hardDirty && r.stored.synced == r.stored.sequence {
		r.countVote(r.cfg.ID, true)
	}
}

func (r *Replica) countVote(id NodeID, granted bool) {
	r.votes[id] = granted
	n := 0
	for _, voter := range r.Members().Voters() {
		if r.votes[voter] {
			n++
		}
	}
	if n < r.Members().Quorum() {
		return
	}
	if r.state == preCandidate {
		r.campaign(elected)
	} else {
		r.becomeLeader()
	}
}

// upToDate reports whether a log that ends with an entry holds everything that
// this node's log could hold as committed.
func (r *Replica) upToDate(index, term uint64) bool {
	own := r.log.lastTerm()
	return term > own || term == own && index >= r.log.last()
}

func (r *Replica) receiveVoteRequest(m Message, q VoteRequest) {
	if !q.Pre {
		r.mark(m.From, Mark{Term: m.Term})
	}
	// A node that hears the leader disregards candidates, so that one with
	// a bad link cannot depose a leader that has a quorum.
	hears := !q.Handover && (r.state == leading || r.leader != (NodeID{}) && r.now.Sub(r.leaderContact) < r.cfg.ElectionTimeout)
	answer := VoteResponse{Pre: q.Pre, Asked: m.Term}
	if q.Pre {
		answer.Asked++
		answer.Granted = !hears && r.mayVote() && m.Term+1 > r.hard.Term && r.upToDate(q.LastIndex, q.LastTerm)
		r.send(m.From, answer)
		return
	}
	if hears || !r.mayVote() {
		return
	}
	if m.Term > r.hard.Term {
		r.follow(m.Term)
	}
	free := r.hard.Vote == NodeID{} || r.hard.Vote == m.From
	answer.Granted = m.Term == r.hard.Term && free && r.upToDate(q.LastIndex, q.LastTerm)
	if answer.Granted {
		r.state = follower
		r.vote(m.From)
		r.resetElection()
	}
	r.promise(m.From, answer)
}

func (r *Replica) receiveVoteResponse(m Message, a VoteResponse) {
	if a.Granted && !a.Pre {
		r.mark(m.From, Mark{Term: a.Asked})
	}
	if m.Term > r.hard.Term && !a.Granted {
		r.follow(m.Term)
		return
	}
	switch {
	case a.Pre && r.state == preCandidate && a.Asked == r.hard.Term+1:
		r.countVote(m.From, a.Granted)
	case !a.Pre && r.state == candidate && a.Asked == r.hard.Term:
		r.countVote(m.From, a.Granted)
	}
}

func (r *Replica) becomeLeader() {
	r.state = leading
	r.leader = r.cfg.ID
	r.ledSince = r.now
	r.heartbeatAt = r.now
	r.progress = map[NodeID]*progress{}
	r.termStart = r.log.last() + 1
	r.syncProgress()
	r.add(NoOp, nil)
}
