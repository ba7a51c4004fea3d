package replicas

import (
	"encoding/json"
	"fmt"
	"slices"

	"gypsumshelf.example/gypsumshelf"
)

// MaxVoters is the largest number of voters that a group may be configured with.
const MaxVoters = 5

// maxVotersInChange allows for the learner that is promoted before the voter whose
// seat it takes is demoted.
const maxVotersInChange = MaxVoters + 1

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
	Durable    bool   `json:"durable"` // has a data folder; a member without one is never a voter
}

// Members is the set of members of a group, in no particular order.
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

// Quorum returns the number of voters that form a majority.
func (m Members) Quorum() int { return len(m.Voters())/2 + 1 }

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
	return ok && member.Role == Voter
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

// countVoterChanges returns the number of voters that are in only one of two
// memberships.
func countVoterChanges(a, b Members) int {
	n := 0
	for _, id := range a.Voters() {
		if !b.IsVoter(id) {
			n++
		}
	}
	for _, id := range b.Voters() {
		if !a.IsVoter(id) {
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
