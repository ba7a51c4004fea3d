package replicas

import "time"

func (r *Replica) resetElectionTimer() {
	spread := time.Duration(r.rand.Int64N(int64(r.cfg.ElectionTimeout)))
	r.electionDeadline = r.now.Add(r.cfg.ElectionTimeout + spread)
	r.pause.extended = false
	if r.stop.resigned {
		r.electionDeadline = r.electionDeadline.Add(2 * r.cfg.ElectionTimeout)
	}
}

// mayVote reports whether this node may vote: its votes must survive a restart,
// and its storage must be verified.
func (r *Replica) mayVote() bool { return r.cfg.Durable && !r.verification.pending }

// mayCampaign reports whether this node may ask for votes: it votes, or the entry that
// takes its vote away is not known to be committed. In the latter case it may be the
// only node with that entry, and then it refuses its own vote to all others.
func (r *Replica) mayCampaign() bool {
	if !r.mayVote() {
		return false
	}
	for i := len(r.memberships) - 1; i >= 0; i-- {
		if r.memberships[i].members.IsVoter(r.cfg.ID) {
			return true
		}
		if r.memberships[i].index <= r.commit {
			return false
		}
	}
	return false
}

// setTerm enters a later term, in which the node has not voted yet.
func (r *Replica) setTerm(term uint64) {
	if term <= r.hardState.Term {
		invariantViolated("term would move from %d to %d", r.hardState.Term, term)
	}
	r.hardState.Term = term
	r.hardState.Vote = NodeID{}
	r.storage.hardDirty = true
	r.leader = NodeID{}
}

// recordVote records this node's vote in the current term.
func (r *Replica) recordVote(id NodeID) {
	if r.hardState.Vote != (NodeID{}) && r.hardState.Vote != id {
		invariantViolated("second vote in term %d is for %s, the first was for %s", r.hardState.Term, id, r.hardState.Vote)
	}
	if r.hardState.Vote != id {
		r.hardState.Vote = id
		r.storage.hardDirty = true
	}
}

// becomeFollower makes the node a follower, in a later term or in the current
// one.
func (r *Replica) becomeFollower(term uint64) {
	if term > r.hardState.Term {
		r.setTerm(term)
	}
	if r.state == stateLeader {
		r.leader = NodeID{}
	}
	r.state = stateFollower
	r.progress = nil
	r.votesReceived = nil
	r.resetElectionTimer()
}

// campaignKind is the reason for a campaign.
type campaignKind int

const (
	// preVote asks for votes without entering a new term. Otherwise a node that
	// was partitioned would return with a higher term and depose a working leader.
	preVote       campaignKind = iota
	afterPreVote               // a majority granted the pre-vote
	afterHandover              // the leader sent a Handover
)

// campaign asks for votes.
func (r *Replica) campaign(kind campaignKind) {
	isPreVote := kind == preVote
	r.resetElectionTimer()
	if !r.mayCampaign() {
		return
	}
	r.leader = NodeID{}
	r.votesReceived = map[NodeID]bool{}
	if isPreVote {
		r.state = statePreCandidate
	} else {
		r.setTerm(r.hardState.Term + 1)
		r.state = stateCandidate
		r.recordVote(r.cfg.ID)
	}
	req := VoteRequest{Pre: isPreVote, Handover: kind == afterHandover, LastIndex: r.log.lastIndex(), LastTerm: r.log.lastTerm()}
	for _, id := range r.Members().Voters() {
		switch {
		case id == r.cfg.ID:
		case isPreVote:
			// Receivers adopt the group, which must not be lost by the node that created it.
			r.sendInSyncedTerm(id, 0, req)
		default:
			// The vote for itself must be synced first: otherwise the node
			// could restart and vote for another candidate of this term.
			r.sendAfterSync(id, req)
		}
	}
	if isPreVote {
		r.countVote(r.cfg.ID, true)
	}
}

// countOwnVote counts a candidate's vote for itself once it is synced.
func (r *Replica) countOwnVote() {
	if r.state == stateCandidate && !r.storage.hardDirty && r.storage.syncedSequence == r.storage.lastSequence {
		r.countVote(r.cfg.ID, true)
	}
}

func (r *Replica) countVote(id NodeID, granted bool) {
	r.votesReceived[id] = granted
	if !r.Members().HasQuorum(func(id NodeID) bool { return r.votesReceived[id] }) {
		return
	}
	if r.state == statePreCandidate {
		r.campaign(afterPreVote)
	} else {
		r.becomeLeader()
	}
}

// isUpToDate reports whether a log whose last entry has the given index and term
// is at least as up to date as this node's log.
func (r *Replica) isUpToDate(index, term uint64) bool {
	ownTerm := r.log.lastTerm()
	return term > ownTerm || term == ownTerm && index >= r.log.lastIndex()
}

func (r *Replica) receiveVoteRequest(message Message, req VoteRequest) {
	if !req.Pre {
		r.recordMark(message.From, Mark{Term: message.Term})
	}
	// A node in contact with the leader ignores candidates, so that a candidate
	// with a bad link cannot depose a leader that has a quorum.
	leaderActive := !req.Handover && (r.state == stateLeader || r.leader != (NodeID{}) && r.now.Sub(r.lastLeaderContact) < r.cfg.ElectionTimeout)
	resp := VoteResponse{Pre: req.Pre, Asked: message.Term}
	if req.Pre {
		resp.Asked++
		resp.Granted = !leaderActive && r.mayVote() && message.Term+1 > r.hardState.Term && r.isUpToDate(req.LastIndex, req.LastTerm)
		r.send(message.From, resp)
		return
	}
	if leaderActive || !r.mayVote() {
		return
	}
	if message.Term > r.hardState.Term {
		r.becomeFollower(message.Term)
	}
	canVoteForSender := r.hardState.Vote == NodeID{} || r.hardState.Vote == message.From
	resp.Granted = message.Term == r.hardState.Term && canVoteForSender && r.isUpToDate(req.LastIndex, req.LastTerm)
	if resp.Granted {
		r.state = stateFollower
		r.recordVote(message.From)
		r.resetElectionTimer()
	}
	r.sendAfterSync(message.From, resp)
}

func (r *Replica) receiveVoteResponse(message Message, resp VoteResponse) {
	if resp.Granted && !resp.Pre {
		r.recordMark(message.From, Mark{Term: resp.Asked})
	}
	if message.Term > r.hardState.Term && !resp.Granted {
		r.becomeFollower(message.Term)
		return
	}
	switch {
	case resp.Pre && r.state == statePreCandidate && resp.Asked == r.hardState.Term+1:
		r.countVote(message.From, resp.Granted)
	case !resp.Pre && r.state == stateCandidate && resp.Asked == r.hardState.Term:
		r.countVote(message.From, resp.Granted)
	}
}

func (r *Replica) becomeLeader() {
	r.state = stateLeader
	r.leader = r.cfg.ID
	r.leaderSince = r.now
	r.nextHeartbeat = r.now
	r.progress = map[NodeID]*progress{}
	r.termStart = r.log.lastIndex() + 1
	r.updateProgress()
	r.appendNew(NoOp, nil)
}
