package replicas

import (
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// membershipAt is a membership and the index of the entry or snapshot that set it.
type membershipAt struct {
	index   uint64
	members Members
}

// joinAfterTimeouts is the number of election timeouts without a leader after which a
// member asks to join again. A new leader is usually elected sooner.
const joinAfterTimeouts = 4

// maxSenders bounds the daemons that a node remembers because they sent messages.
const maxSenders = 32

// joinState tracks the attempts of a node that is not a member to join a group.
type joinState struct {
	nextRequest time.Time // earliest time to send the next Join
	groupExists bool      // some daemon has already belonged to a group
	freshPeers  map[gypsumshelf.DaemonID]Member
	senders     []gypsumshelf.DaemonID // daemons that have sent messages, to this or an earlier incarnation
}

// addSender remembers a daemon that sends messages as one to ask. The peers that a
// daemon without storage is told of may all be gone, while the leader still sends to
// its previous incarnation.
func (j *joinState) addSender(id gypsumshelf.DaemonID) {
	if !slices.Contains(j.senders, id) && len(j.senders) < maxSenders {
		j.senders = append(j.senders, id)
	}
}

// MembershipReason says why a leader changes the membership.
type MembershipReason string

// Reasons of membership changes.
const (
	Joined            MembershipReason = "joined"                  // a daemon asked to become a member
	SeatFree          MembershipReason = "seat-free"               // a learner is promoted because there are too few voters
	VoterSurplus      MembershipReason = "voter-surplus"           // a voter is demoted because there are too many
	VoterStops        MembershipReason = "voter-stops"             // a learner takes the seat of a voter that is about to stop
	VoterUnresponsive MembershipReason = "voter-unresponsive"      // a learner takes the seat of a silent voter
	VoterStalled      MembershipReason = "voter-stalled"           // a learner takes the seat of a voter that answers and stores nothing
	DataCentreLacking MembershipReason = "data-centre-lacks-voter" // a learner in a data centre without a voter takes the seat of one whose data centre has another
	LearnerLost       MembershipReason = "learner-lost"            // a learner has been silent for long and is removed
	ExchangeCompleted MembershipReason = "exchange-completed"      // the incoming voter has taken its seat
	ExchangeReverted  MembershipReason = "outgoing-voter-leads"    // the outgoing voter keeps its seat
)

// MembershipChange is a change of the membership that this node, as the leader,
// has proposed.
type MembershipChange struct {
	Member NodeID // the member that joins or whose role changes
	Role   Role   // its new role; Learner also for one that is removed
	Reason MembershipReason
	Voters int // number of voters after the change
}

// Members returns the latest membership, which may not be committed yet.
func (r *Replica) Members() Members { return r.memberships[len(r.memberships)-1].members }

// membershipPending reports whether the latest membership is not committed yet.
func (r *Replica) membershipPending() bool {
	return r.memberships[len(r.memberships)-1].index > r.commit
}

// proposeMembership appends a membership change, which affects the member id. Only
// one change may be pending, and the quorums of two successive memberships must
// always have a voter in common.
func (r *Replica) proposeMembership(next Members, id NodeID, reason MembershipReason) {
	if r.membershipPending() || r.commit < r.termStart {
		invariantViolated("membership would change at entry %d while the change at entry %d or the first entry of the term is not committed", r.log.lastIndex()+1, r.memberships[len(r.memberships)-1].index)
	}
	voters := next.Voters()
	if reason := next.fault(); reason != "" || !next.mayFollow(r.Members()) {
		invariantViolated("invalid change of voters from %v to %v %s", r.Members().Voters(), voters, reason)
	}
	r.appendNew(Membership, next.encode())
	member, _ := next.Member(id)
	r.out.MembershipChanges = append(r.out.MembershipChanges, MembershipChange{Member: id, Role: member.Role, Reason: reason, Voters: len(voters)})
}

// SetPeers replaces the daemons to which a node that is not a member sends Join.
func (r *Replica) SetPeers(ids []gypsumshelf.DaemonID) {
	r.cfg.Peers = slices.DeleteFunc(slices.Clone(ids), func(id gypsumshelf.DaemonID) bool { return id == r.cfg.ID.Daemon })
}

// neverInGroup reports whether this node knows of no group that it, or an
// earlier incarnation of its storage, belonged to.
func (r *Replica) neverInGroup() bool {
	return r.hardState.Group == "" && !r.cfg.Recovered.FormerMember && r.cfg.Recovered.Snapshot == nil
}

// hasHeardLeader reports whether a leader has sent to this node recently, or the node
// has only just started.
func (r *Replica) hasHeardLeader() bool {
	last := r.lastLeaderContact
	if last.Before(r.clockStart) {
		last = r.clockStart
	}
	return r.now.Sub(last) < joinAfterTimeouts*r.cfg.ElectionTimeout
}

// tickJoin asks the peers to add this node as a member, or creates the group
// when bootstrapGroup allows it. A member asks again when no leader sends to it: the
// entry that made it a member may have been lost with the leader that proposed it,
// and later leaders do not know it.
func (r *Replica) tickJoin() {
	if _, member := r.Members().Member(r.cfg.ID); member && r.hasHeardLeader() || r.now.Before(r.join.nextRequest) {
		return
	}
	r.join.nextRequest = r.now.Add(2 * r.cfg.HeartbeatInterval)
	if r.bootstrapGroup() {
		return
	}
	asked := slices.Clone(r.cfg.Peers)
	for _, id := range r.join.senders {
		if !slices.Contains(asked, id) {
			asked = append(asked, id)
		}
	}
	for _, id := range asked {
		r.send(NodeID{Daemon: id}, Join{DataCentre: r.cfg.DataCentre, Durable: r.cfg.Durable})
	}
}

// bootstrapGroup creates the group on the first of the initial voters. It
// requires that every other initial voter has answered a Join of this process
// and has never belonged to a group: an initial voter that lost its disk must
// not create a second group while another one remembers the first.
func (r *Replica) bootstrapGroup() bool {
	initialVoters := r.cfg.InitialVoters
	if len(initialVoters) == 0 || initialVoters[0] != r.cfg.ID.Daemon || !r.neverInGroup() || r.join.groupExists || !r.cfg.Durable {
		return false
	}
	members := Members{{ID: r.cfg.ID, DataCentre: r.cfg.DataCentre, Role: Voter, Durable: true}}
	for _, id := range initialVoters[1:] {
		member, ok := r.join.freshPeers[id]
		if !ok || !member.Durable {
			return false
		}
		member.Role = Voter
		members = append(members, member)
	}
	r.hardState = HardState{Group: r.cfg.ID.Incarnation, Term: 1}
	r.resetToSnapshot(NewGroupSnapshot(members, r.now))
	r.out.InstallSnapshot = r.snapshot
	r.storage.replaceAll, r.storage.hardDirty = true, true
	r.electionDeadline = r.now
	return true
}

func (r *Replica) receiveJoin(message Message, req Join) {
	r.send(message.From, JoinResponse{Asked: message.Session, Fresh: r.neverInGroup(), DataCentre: r.cfg.DataCentre, Durable: r.cfg.Durable})
	if r.state != stateLeader || r.membershipPending() || r.commit < r.termStart {
		return
	}
	if message.Group != "" && message.Group != r.hardState.Group {
		return
	}
	if _, ok := r.Members().Member(message.From); ok || r.Members().IsJoint() {
		return
	}
	// Two running processes of one daemon must not replace each other in turn.
	if old, ok := r.Members().memberOfDaemon(message.From.Daemon); ok && r.isAlive(old.ID) {
		return
	}
	// The new incarnation replaces the daemon's old one, whose storage is lost.
	// It joins as a learner, even if the old one was a voter.
	next := r.Members().withMember(Member{ID: message.From, DataCentre: req.DataCentre, Durable: req.Durable})
	if len(next.Voters()) > 0 {
		r.proposeMembership(next, message.From, Joined)
	}
}

func (r *Replica) receiveJoinResponse(message Message, resp JoinResponse) {
	if resp.Asked != r.cfg.Session || !r.neverInGroup() {
		return
	}
	if !resp.Fresh {
		r.join.groupExists = true
		return
	}
	if r.join.freshPeers == nil {
		r.join.freshPeers = map[gypsumshelf.DaemonID]Member{}
	}
	r.join.freshPeers[message.From.Daemon] = Member{ID: message.From, DataCentre: resp.DataCentre, Durable: resp.Durable}
}

// adjustVoters starts the next membership change, if one is needed and none is
// pending.
func (r *Replica) adjustVoters() {
	if r.membershipPending() || r.commit < r.termStart {
		return
	}
	if next, id, reason := r.nextMembership(); reason != "" {
		r.proposeMembership(next, id, reason)
	}
}

// nextMembership returns the next membership and the member that it is about. The
// reason is empty when no change is needed.
func (r *Replica) nextMembership() (next Members, id NodeID, reason MembershipReason) {
	members := r.Members()
	if members.IsJoint() {
		return r.endExchange(members)
	}
	voters := len(members.Voters())
	learner, newDataCentre, found := r.learnerToPromote(members)
	switch {
	case voters > r.cfg.TargetVoters:
		if id, ok := r.voterToDemote(members); ok {
			return members.withRole(id, Learner), id, VoterSurplus
		}
	case !found:
	case voters < r.cfg.TargetVoters:
		return members.withRole(learner, Voter), learner, SeatFree
	default:
		voter, reason := r.voterToReplace(members, newDataCentre && r.inContactFor(learner, r.cfg.ReplaceAfter))
		if next := members.withExchange(learner, voter); reason != "" && r.hasAliveQuorum(next) {
			return next, learner, reason
		}
	}
	if id, ok := r.lostLearner(members); ok {
		return members.without(id), id, LearnerLost
	}
	return nil, NodeID{}, ""
}

// lostLearner returns a learner without contact for ForgetAfter. Hosts that were
// replaced would stay members for ever; one that returns joins again.
func (r *Replica) lostLearner(members Members) (NodeID, bool) {
	for _, member := range sortedByDaemon(members) {
		if r.cfg.ForgetAfter > 0 && member.Role == Learner && r.sinceContact(member.ID) >= r.cfg.ForgetAfter {
			return member.ID, true
		}
	}
	return NodeID{}, false
}

// endExchange completes the exchange of a voter. A leader does not take away its own
// vote: as the outgoing voter, it reverts the exchange.
func (r *Replica) endExchange(members Members) (Members, NodeID, MembershipReason) {
	outgoing, incoming := members.withRoles(Outgoing)[0], members.withRoles(Incoming)[0]
	if outgoing == r.cfg.ID {
		return members.withoutExchange(false), outgoing, ExchangeReverted
	}
	return members.withoutExchange(true), incoming, ExchangeCompleted
}

// voterToReplace returns the voter whose seat a learner should take, and why. The
// reason is empty when all voters should stay.
func (r *Replica) voterToReplace(members Members, newDataCentre bool) (NodeID, MembershipReason) {
	if id, ok := r.stoppingVoter(members); ok {
		return id, VoterStops
	}
	if id, ok := r.unresponsiveVoter(members); ok {
		return id, VoterUnresponsive
	}
	if id, ok := r.stalledVoter(members); ok {
		return id, VoterStalled
	}
	if newDataCentre && votersShareDataCentre(members) {
		if id, ok := r.voterToDemote(members); ok {
			return id, DataCentreLacking
		}
	}
	return NodeID{}, ""
}

// learnerToPromote returns the learner to promote next. It must be in contact,
// durable and caught up; one in a data centre without a voter is preferred, and
// newDataCentre reports whether the result is such a learner.
func (r *Replica) learnerToPromote(members Members) (id NodeID, newDataCentre, ok bool) {
	for _, member := range sortedByDaemon(members) {
		p := r.progress[member.ID]
		if member.Role != Learner || !member.Durable || p == nil || !r.isAvailable(member.ID) || !p.caughtUp {
			continue
		}
		firstVoter := votersInDataCentre(members, member.DataCentre) == 0
		if !ok || firstVoter && !newDataCentre {
			id, newDataCentre, ok = member.ID, firstVoter, true
		}
	}
	return id, newDataCentre, ok
}

// unresponsiveVoter returns a voter without contact for ReplaceAfter.
func (r *Replica) unresponsiveVoter(members Members) (NodeID, bool) {
	for _, member := range sortedByDaemon(members) {
		if member.Role == Voter && r.sinceContact(member.ID) >= r.cfg.ReplaceAfter {
			return member.ID, true
		}
	}
	return NodeID{}, false
}

// stalledVoter returns a voter that stores nothing.
func (r *Replica) stalledVoter(members Members) (NodeID, bool) {
	for _, member := range sortedByDaemon(members) {
		if member.Role == Voter && r.isStalled(member.ID) {
			return member.ID, true
		}
	}
	return NodeID{}, false
}

// voterToDemote returns the voter that is needed least: preferably one without contact or
// that stores nothing, then one that shares its data centre with another voter, then any
// but this node. The remaining voters must have a quorum in contact.
func (r *Replica) voterToDemote(members Members) (NodeID, bool) {
	var choice NodeID
	bestScore := 0
	for _, member := range sortedByDaemon(members) {
		if member.Role != Voter || member.ID == r.cfg.ID {
			continue
		}
		score := 1
		if votersInDataCentre(members, member.DataCentre) > 1 {
			score = 2
		}
		if !r.isAlive(member.ID) || r.isStalled(member.ID) {
			score = 3
		}
		if score > bestScore && r.hasAliveQuorum(members.withRole(member.ID, Learner)) {
			choice, bestScore = member.ID, score
		}
	}
	return choice, bestScore > 0
}

func (r *Replica) sinceContact(id NodeID) time.Duration {
	if id == r.cfg.ID {
		return 0
	}
	return r.now.Sub(r.progress[id].lastContact)
}

func (r *Replica) isAlive(id NodeID) bool { return r.sinceContact(id) < r.cfg.ElectionTimeout }

// inContactFor reports whether a member has been in contact without interruption
// for the duration d.
func (r *Replica) inContactFor(id NodeID, d time.Duration) bool {
	return r.isAlive(id) && r.now.Sub(r.progress[id].contactSince) >= d
}

// isStalled reports whether a member lacks committed entries and has stored none of them
// and no part of a snapshot for twice ReplaceAfter: its disk hangs or refuses writes. One
// that catches up slowly, or after a silence shorter than ReplaceAfter, is not stalled.
func (r *Replica) isStalled(id NodeID) bool {
	if id == r.cfg.ID {
		return false
	}
	p := r.progress[id]
	return p.match < r.commit && r.now.Sub(p.advance.at) >= 2*r.cfg.ReplaceAfter
}

// hasAliveQuorum reports whether a quorum of a membership is in contact.
func (r *Replica) hasAliveQuorum(members Members) bool { return members.HasQuorum(r.isAlive) }

func votersInDataCentre(members Members, dataCentre string) int {
	n := 0
	for _, member := range members {
		if member.Role == Voter && member.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

func votersShareDataCentre(members Members) bool {
	return slices.ContainsFunc(members, func(member Member) bool {
		return member.Role == Voter && votersInDataCentre(members, member.DataCentre) > 1
	})
}

// sortedByDaemon returns the members in an order that does not depend on the
// leader.
func sortedByDaemon(members Members) Members {
	return slices.SortedFunc(slices.Values(members), func(a, b Member) int {
		switch {
		case a.ID.Daemon < b.ID.Daemon:
			return -1
		case a.ID.Daemon > b.ID.Daemon:
			return 1
		}
		return 0
	})
}
