package replicas

import (
	"slices"
	"time"
)

// Handover asks the voter that it is sent to to campaign at once, although it
// hears the leader, because the leader is about to stop.
type Handover struct{}

// handover is the state of a node that is about to stop.
type handover struct {
	resigned bool
	at       time.Time // of the next Handover
}

// Resign makes a leader hand over to a voter that has all its entries. It may
// be called repeatedly; each call continues the handover. A node that has
// resigned accepts no proposals while another voter can take over. It waits
// longer than others before it campaigns, but it still does so, since it may
// have the only complete log.
func (r *Replica) Resign(now time.Time) {
	r.advance(now)
	r.handover.resigned = true
	if r.state != leading || r.now.Before(r.handover.at) {
		return
	}
	for _, member := range sorted(r.Members()) {
		p := r.progress[member.ID]
		if member.Role == Voter && p != nil && r.alive(member.ID) && p.match == r.log.last() {
			r.handover.at = r.now.Add(r.cfg.ElectionTimeout)
			r.send(member.ID, Handover{})
			return
		}
	}
}

// handingOver reports whether the leader is to be replaced by another voter.
func (r *Replica) handingOver() bool {
	return r.handover.resigned && slices.ContainsFunc(r.Members().Voters(), func(id NodeID) bool {
		return id != r.cfg.ID && r.alive(id)
	})
}

func (r *Replica) receiveHandover(m Message) {
	if m.Term == r.hard.Term && m.From == r.leader && r.state == follower && !r.handover.resigned {
		r.campaign(handedOver)
	}
}
