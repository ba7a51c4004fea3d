package replicas

import (
	"encoding/json"
	"fmt"
	"slices"

	"gypsumshelf.example/gypsumshelf"
)

// MaxVoters is the largest number of voters of a group. While a voter is exchanged,
// there is one more.
const MaxVoters = 5

// NodeID identifies a daemon together with its storage. A daemon that restarts
// without its previous storage gets a new incarnation and is a different node.
type NodeID struct {
	Daemon      gypsumshelf.DaemonID `json:"daemon"`
	Incarnation string               `json:"incarnation"`
}

// String returns the daemon and the first characters of its incarnation.
func (n NodeID) String() string {
	return fmt.Sprintf("%s/%.8s", n.Daemon, n.Incarnation)
}

// Role determines whether a member votes and counts towards a quorum.
type Role int

// Roles of members. Incoming and Outgoing exist only in a joint membership, in which a
// quorum is a majority of the voters before the exchange together with a majority of
// the voters after it.
const (
	Learner  Role = iota
	Voter         // votes before and after an exchange of voters
	Incoming      // takes the seat of the outgoing voter, and votes already
	Outgoing      // gives up its seat, and still votes
)

// Member is a node that the leader replicates to.
type Member struct {
	ID         NodeID `json:"id"`
	DataCentre string `json:"data-centre"`
	Role       Role   `json:"role"`
	Durable    bool   `json:"durable"` // has a data folder; a member without one is never a voter
}

// Members is the set of members of a group, in no particular order.
type Members []Member

// Voters returns the IDs of the members that vote.
func (m Members) Voters() []NodeID {
	return m.withRoles(Voter, Incoming, Outgoing)
}

func (m Members) withRoles(roles ...Role) []NodeID {
	var ids []NodeID
	for _, member := range m {
		if slices.Contains(roles, member.Role) {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// IsJoint reports whether a voter is being exchanged.
func (m Members) IsJoint() bool { return len(m.withRoles(Incoming, Outgoing)) > 0 }

// HasQuorum reports whether the members that pass a test form a quorum.
func (m Members) HasQuorum(ok func(NodeID) bool) bool {
	return hasMajority(m.withRoles(Voter, Outgoing), ok) && hasMajority(m.withRoles(Voter, Incoming), ok)
}

func hasMajority(voters []NodeID, ok func(NodeID) bool) bool {
	n := 0
	for _, id := range voters {
		if ok(id) {
			n++
		}
	}
	return n > len(voters)/2
}

// reachedByQuorum returns the largest value that every voter of some quorum has at
// least reached.
func reachedByQuorum[T any](m Members, value func(NodeID) T, compare func(a, b T) int) T {
	var values []T
	for _, id := range m.Voters() {
		values = append(values, value(id))
	}
	slices.SortFunc(values, func(a, b T) int { return compare(b, a) })
	i := slices.IndexFunc(values, func(v T) bool {
		return m.HasQuorum(func(id NodeID) bool { return compare(value(id), v) >= 0 })
	})
	return values[i]
}

// Member returns the member with the given ID.
func (m Members) Member(id NodeID) (Member, bool) {
	i := slices.IndexFunc(m, func(member Member) bool { return member.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

// IsVoter reports whether id is a voter.
func (m Members) IsVoter(id NodeID) bool {
	member, ok := m.Member(id)
	return ok && member.Role != Learner
}

// memberOfDaemon returns the member of a daemon, whatever its incarnation.
func (m Members) memberOfDaemon(id gypsumshelf.DaemonID) (Member, bool) {
	i := slices.IndexFunc(m, func(member Member) bool { return member.ID.Daemon == id })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

// withMember returns a copy with the member added, replacing an existing member
// of the same daemon.
func (m Members) withMember(member Member) Members {
	c := slices.DeleteFunc(slices.Clone(m), func(other Member) bool { return other.ID.Daemon == member.ID.Daemon })
	return append(c, member)
}

// without returns a copy without a member.
func (m Members) without(id NodeID) Members {
	return slices.DeleteFunc(slices.Clone(m), func(other Member) bool { return other.ID == id })
}

// withRole returns a copy in which the member with the given ID has the given role.
func (m Members) withRole(id NodeID, role Role) Members {
	c := slices.Clone(m)
	for i := range c {
		if c[i].ID == id {
			c[i].Role = role
		}
	}
	return c
}

// withExchange returns the joint copy in which a learner takes the seat of a voter.
func (m Members) withExchange(learner, voter NodeID) Members {
	return m.withRole(learner, Incoming).withRole(voter, Outgoing)
}

// withoutExchange returns the copy that ends a joint membership: with the exchange
// completed, or with the voters from before it.
func (m Members) withoutExchange(completed bool) Members {
	incoming, outgoing := Voter, Learner
	if !completed {
		incoming, outgoing = Learner, Voter
	}
	c := slices.Clone(m)
	for i := range c {
		switch c[i].Role {
		case Incoming:
			c[i].Role = incoming
		case Outgoing:
			c[i].Role = outgoing
		}
	}
	return c
}

// mayFollow reports whether every quorum of m has a voter in common with every quorum
// of the membership before it: at most one vote differs, an exchange begins with the
// voters before it, or it ends.
func (m Members) mayFollow(previous Members) bool {
	switch {
	case previous.IsJoint():
		return sameNodes(m.Voters(), previous.withoutExchange(true).Voters()) || sameNodes(m.Voters(), previous.withoutExchange(false).Voters())
	case m.IsJoint():
		return sameNodes(m.withoutExchange(false).Voters(), previous.Voters())
	}
	return countDifferences(m.Voters(), previous.Voters()) <= 1
}

func sameNodes(a, b []NodeID) bool { return countDifferences(a, b) == 0 }

// countDifferences returns the number of nodes that are in only one of two lists.
func countDifferences(a, b []NodeID) int {
	n := 0
	for _, id := range a {
		if !slices.Contains(b, id) {
			n++
		}
	}
	for _, id := range b {
		if !slices.Contains(a, id) {
			n++
		}
	}
	return n
}

func (m Members) encode() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("membership cannot be encoded: %v", err))
	}
	return data
}

func decodeMembers(data []byte) Members {
	var m Members
	if err := json.Unmarshal(data, &m); err != nil {
		panic(fmt.Sprintf("membership entry cannot be decoded: %v", err))
	}
	return m
}
