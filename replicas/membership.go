package replicas

import (
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// membershipAt is a membership with the index of its entry.
type membershipAt struct {
	index   uint64
	members Members
}

// joining is the state of a node that is no member.
type joining struct {
	at      time.Time // of the next Join
	grouped bool      // some daemon belongs to a group already
	fresh   map[gypsumshelf.DaemonID]Member
}

// Members returns the latest membership, which may not be committed yet.
func (r *Replica) Members() Members { return r.configs[len(r.configs)-1].members }

// changing reports whether the latest membership is not committed.
func (r *Replica) changing() bool { return r.configs[len(r.configs)-1].index > r.commit }

// setMembers starts a change of membership. One change at a time, and at most
// one voter in each, so that any two successive majorities have a voter in common.
func (r *Replica) setMembers(m Members) {
	if r.changing() || r.commit < r.termStart {
		violated("membership changed at %d before the one at %d is committed", r.log.last()+1, r.configs[len(r.configs)-1].index)
	}
	voters := m.Voters()
	if votersChanged(r.Members(), m) > 1 || len(voters) == 0 || len(voters) > MaxVoters {
		violated("membership changes from %v to %v", r.Members().Voters(), voters)
	}
	for _, member := range m {
		if member.Role == Voter && !member.Durable {
			violated("voter %s has no storage", member.ID)
		}
	}
	r.add(Membership, m.encode())
}

// SetPeers replaces the daemons that a node without membership asks to join.
func (r *Replica) SetPeers(ids []gypsumshelf.DaemonID) {
	r.cfg.Peers = slices.DeleteFunc(slices.Clone(ids), func(id gypsumshelf.DaemonID) bool { return id == r.cfg.ID.Daemon })
}

// fresh reports whether the node has never belonged to a group.
func (r *Replica) fresh() bool {
	return r.hard.Group == "" && !r.cfg.Recovered.Former && r.cfg.Recovered.Snapshot == nil
}

// join asks to become a member, and founds the group when this is the first
// founder and all founders are fresh.
func (r *Replica) join() {
	if _, member := r.Members().Member(r.cfg.ID); member || r.now.Before(r.joining.at) {
		return
	}
	r.joining.at = r.now.Add(2 * r.cfg.HeartbeatInterval)
	if r.found() {
		return
	}
	for _, id := range r.cfg.Peers {
		r.send(NodeID{Daemon: id}, Join{DataCentre: r.cfg.DataCentre, Durable: r.cfg.Durable})
	}
}

// found starts the group. It requires a fresh answer from every other founder
// to a Join of this process: a founder that lost its disk must not found a
// second group while another one remembers the first.
func (r *Replica) found() bool {
	founders := r.cfg.Founders
	if len(founders) == 0 || founders[0] != r.cfg.ID.Daemon || !r.fresh() || r.joining.grouped || !r.cfg.Durable {
		return false
	}
	members := Members{{ID: r.cfg.ID, DataCentre: r.cfg.DataCentre, Role: Voter, Durable: true}}
	for _, id := range founders[1:] {
		member, ok := r.joining.fresh[id]
		if !ok || !member.Durable {
			return false
		}
		member.Role = Voter
		members = append(members, member)
	}
	r.hard = HardState{Group: r.cfg.ID.Incarnation, Term: 1}
	r.load(Founding(members, r.now))
	r.out.Install = r.snapshot
	r.stored.replace, r.stored.hardDirty = true, true
	r.electionAt = r.now
	return true
}

func (r *Replica) receiveJoin(m Message, j Join) {
	r.send(m.From, JoinResponse{Asked: m.Session, Fresh: r.fresh(), DataCentre: r.cfg.DataCentre, Durable: r.cfg.Durable})
	if r.state != leading || r.changing() || r.commit < r.termStart {
		return
	}
	if m.Group != "" && m.Group != r.hard.Group {
		return
	}
	if _, ok := r.Members().Member(m.From); ok {
		return
	}
	// Two processes of one daemon must not replace each other in turn.
	if old, ok := r.Members().daemon(m.From.Daemon); ok && r.alive(old.ID) {
		return
	}
	// The new incarnation takes the place of the daemon's old one, which lost
	// its storage; a voter among them is lost with it.
	next := r.Members().with(Member{ID: m.From, DataCentre: j.DataCentre, Durable: j.Durable})
	if len(next.Voters()) > 0 {
		r.setMembers(next)
	}
}

func (r *Replica) receiveJoinResponse(m Message, a JoinResponse) {
	if a.Asked != r.cfg.Session || !r.fresh() {
		return
	}
	if !a.Fresh {
		r.joining.grouped = true
		return
	}
	if r.joining.fresh == nil {
		r.joining.fresh = map[gypsumshelf.DaemonID]Member{}
	}
	r.joining.fresh[m.From.Daemon] = Member{ID: m.From, DataCentre: a.DataCentre, Durable: a.Durable}
}

// plan changes one role when the voters are not the wanted ones.
func (r *Replica) plan() {
	if r.changing() || r.commit < r.termStart {
		return
	}
	if next := r.wanted(); next != nil {
		r.setMembers(next)
	}
}

// wanted returns the next membership, nil when there is nothing to change.
func (r *Replica) wanted() Members {
	m := r.Members()
	voters := m.Voters()
	best, spread, ready := r.candidateVoter(m)
	switch {
	case len(voters) > r.cfg.Voters:
		if id, ok := r.surplus(m); ok {
			return m.withRole(id, Learner)
		}
	case len(voters) < r.cfg.Voters:
		if ready {
			return m.withRole(best, Voter)
		}
	case ready:
		// A dead voter leaves before its successor votes: with both, a
		// further loss would leave no majority.
		if id, ok := r.lostVoter(m); ok {
			return m.withRole(id, Learner)
		}
		// With every voter alive, the learner votes before one leaves.
		if spread && duplicates(m) && r.upFor(best, r.cfg.ReplaceAfter) {
			return m.withRole(best, Voter)
		}
	}
	return nil
}

// candidateVoter returns the learner that should vote next: alive, durable and
// up to date, in a data centre without a voter when there is one.
func (r *Replica) candidateVoter(m Members) (id NodeID, spread, ok bool) {
	for _, member := range sorted(m) {
		p := r.progress[member.ID]
		if member.Role != Learner || !member.Durable || p == nil || !r.alive(member.ID) || !p.current {
			continue
		}
		alone := votersIn(m, member.DataCentre) == 0
		if !ok || alone && !spread {
			id, spread, ok = member.ID, alone, true
		}
	}
	return id, spread, ok
}

// lostVoter returns a voter that is silent for too long. Its removal never
// raises the majority, which the leader has, or it would have stepped down.
func (r *Replica) lostVoter(m Members) (NodeID, bool) {
	for _, member := range sorted(m) {
		if member.Role == Voter && r.silence(member.ID) >= r.cfg.ReplaceAfter {
			return member.ID, true
		}
	}
	return NodeID{}, false
}

// surplus returns the voter to demote: a dead one, or one of several in a data
// centre.
func (r *Replica) surplus(m Members) (NodeID, bool) {
	var choice NodeID
	rank := 0
	for _, member := range sorted(m) {
		if member.Role != Voter || member.ID == r.cfg.ID {
			continue
		}
		score := 1
		if votersIn(m, member.DataCentre) > 1 {
			score = 2
		}
		if !r.alive(member.ID) {
			score = 3
		}
		next := m.withRole(member.ID, Learner)
		if score > rank && r.living(next) >= next.Quorum() {
			choice, rank = member.ID, score
		}
	}
	return choice, rank > 0
}

func (r *Replica) silence(id NodeID) time.Duration {
	if id == r.cfg.ID {
		return 0
	}
	return r.now.Sub(r.progress[id].contact)
}

func (r *Replica) alive(id NodeID) bool { return r.silence(id) < r.cfg.ElectionTimeout }

// upFor reports whether a member has been in contact for a time without a break.
func (r *Replica) upFor(id NodeID, d time.Duration) bool {
	return r.alive(id) && r.now.Sub(r.progress[id].upSince) >= d
}

func (r *Replica) living(m Members) int {
	n := 0
	for _, id := range m.Voters() {
		if r.alive(id) {
			n++
		}
	}
	return n
}

func votersIn(m Members, dataCentre string) int {
	n := 0
	for _, member := range m {
		if member.Role == Voter && member.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

func duplicates(m Members) bool {
	return slices.ContainsFunc(m, func(member Member) bool {
		return member.Role == Voter && votersIn(m, member.DataCentre) > 1
	})
}

// sorted returns the members in an order that all leaders share.
func sorted(m Members) Members {
	return slices.SortedFunc(slices.Values(m), func(a, b Member) int {
		switch {
		case a.ID.Daemon < b.ID.Daemon:
			return -1
		case a.ID.Daemon > b.ID.Daemon:
			return 1
		}
		return 0
	})
}
