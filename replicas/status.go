package replicas

import "time"

// Condition says what a node does in the replicated log, or what keeps it from taking
// part.
type Condition string

// Conditions of a node.
const (
	Leading          Condition = "leader"
	Following        Condition = "follower" // also while it waits for its election timeout
	AskingPreVotes   Condition = "pre-candidate"
	AskingVotes      Condition = "candidate"
	Learning         Condition = "learner"
	NotMember        Condition = "not-a-member"
	VerifyingStorage Condition = "verifying-storage" // does not vote until the voters have said what it acknowledged
	Stopped          Condition = "halted"
)

// Condition returns the node's condition.
func (r *Replica) Condition() Condition {
	member, isMember := r.Members().Member(r.cfg.ID)
	switch {
	case r.isStopped():
		return Stopped
	case r.state == stateLeader:
		return Leading
	case r.verification.pending:
		return VerifyingStorage
	case !isMember:
		return NotMember
	case r.state == stateCandidate:
		return AskingVotes
	case r.state == statePreCandidate:
		return AskingPreVotes
	case member.Role == Learner:
		return Learning
	}
	return Following
}

// LastLeaderContact returns the time of the last message from a leader of the current
// term, zero without one. On the leader it is the current time.
func (r *Replica) LastLeaderContact() time.Time {
	if r.state == stateLeader {
		return r.now
	}
	return r.lastLeaderContact
}

// UnsyncedFor returns the age of the oldest write that is not synced, 0 without one.
func (r *Replica) UnsyncedFor() time.Duration {
	if len(r.storage.pendingWrites) == 0 {
		return 0
	}
	return r.now.Sub(r.storage.pendingWrites[0].startedAt)
}
