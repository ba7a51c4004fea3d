package replicas

import (
	"slices"
	"time"
)

// Handover asks the receiving voter to campaign at once, even though it has
// contact with the leader, because the leader is about to stop.
type Handover struct{}

// handoverState tracks the transfer of leadership by a node that is about to
// stop.
type handoverState struct {
	resigned    bool
	nextRequest time.Time // earliest time to send the next Handover
}

// Resign makes a leader transfer leadership to a voter that has all its entries.
// It may be called repeatedly; each call continues the transfer. A node that has
// resigned accepts no proposals while another voter can take over. It waits
// longer than other nodes before it campaigns, but still campaigns, since it may
// have the only complete log.
func (r *Replica) Resign(now time.Time) {
	r.advanceClock(now)
	r.handover.resigned = true
	if r.state != stateLeader || r.now.Before(r.handover.nextRequest) {
		return
	}
	for _, member := range sortedByDaemon(r.Members()) {
		p := r.progress[member.ID]
		if member.Role == Voter && p != nil && r.isAlive(member.ID) && p.match == r.log.lastIndex() {
			r.handover.nextRequest = r.now.Add(r.cfg.ElectionTimeout)
			r.send(member.ID, Handover{})
			return
		}
	}
}

// handingOver reports whether this node has resigned and another voter is
// reachable that can take over.
func (r *Replica) handingOver() bool {
	return r.handover.resigned && slices.ContainsFunc(r.Members().Voters(), func(id NodeID) bool {
		return id != r.cfg.ID && r.isAlive(id)
	})
}

func (r *Replica) receiveHandover(message Message) {
	if message.Term == r.hardState.Term && message.From == r.leader && r.state == stateFollower && !r.handover.resigned {
		r.campaign(afterHandover)
	}
}
