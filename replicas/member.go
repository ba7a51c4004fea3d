package replicas

import (
	"fmt"
	"slices"

	"gypsumshelf.example/gypsumshelf"
)

// MaxVoters is the largest number of voters of a group.
const MaxVoters = 5

// NodeID identifies one life of a daemon's storage. A daemon that returns
// without the storage it had gets a new incarnation and is a different node.
type NodeID struct {
	Daemon      gypsumshelf.DaemonID `json:"daemon"`
	Incarnation string               `json:"incarnation"`
}

// String returns the daemon and the start of its incarnation.
func (n NodeID) String() string {
	return fmt.Sprintf("%s/%.8s", n.Daemon, n.Incarnation)
}

// Role says whether a member counts towards a majority.
type Role int

// Roles of members.
const (
	Learner Role = iota
	Voter
)

// Member is a node that the leader replicates to.
type Member struct {
	ID         NodeID `json:"id"`
	DataCentre string `json:"data-centre"`
	Role       Role   `json:"role"`
	Durable    bool   `json:"durable"` // has a data folder, without which it never votes
}

// Members is a membership, in no particular order.
type Members []Member

// Voters returns the IDs of the voters.
func (m Members) Voters() []NodeID {
	var ids []NodeID
	for _, member := range m {
		if member.Role == Voter {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// Quorum returns the smallest number of voters that is a majority.
func (m Members) Quorum() int { return len(m.Voters())/2 + 1 }

// Member returns the member with an ID.
func (m Members) Member(id NodeID) (Member, bool) {
	i := slices.IndexFunc(m, func(o Member) bool { return o.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

// IsVoter reports whether id is a voter.
func (m Members) IsVoter(id NodeID) bool {
	member, ok := m.Member(id)
	return ok && member.Role == Voter
}
