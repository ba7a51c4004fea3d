package replicas

import (
	"encoding/json"
	"errors"
	"fmt"
)

const (
	// maxTerm and maxIndex leave room for arithmetic on received terms and indexes. No
	// group reaches them.
	maxTerm  = 1 << 62
	maxIndex = 1 << 62
	// maxSnapshotBytes limits the memory for a received snapshot. It is several times
	// the largest configuration that operators may send.
	maxSnapshotBytes = 128 << 20
)

var errMalformedMessage = errors.New("malformed message of the replicated log")

// Validate checks what a message says of itself. Receive must only be called with
// messages that pass.
func (m Message) Validate() error {
	if m.From.Daemon == "" || m.Term > maxTerm {
		return fmt.Errorf("%w: from %q in term %d", errMalformedMessage, m.From.Daemon, m.Term)
	}
	reason := ""
	switch body := m.Body.(type) {
	case AppendRequest:
		reason = body.fault(m.Term)
	case AppendResponse:
		if body.Match > maxIndex || body.Prev > maxIndex || body.Hint > maxIndex {
			reason = "an index is too large"
		}
	case SnapshotChunk:
		reason = body.fault(m.Term)
	case SnapshotResponse:
		if body.Next < 0 || body.Index > maxIndex {
			reason = fmt.Sprintf("next chunk at %d of snapshot %d", body.Next, body.Index)
		}
	case VoteRequest, VoteResponse, Handover, StopRequest, StopResponse, Join, JoinResponse, VerifyRequest, VerifyResponse:
	default:
		reason = fmt.Sprintf("unknown body %T", m.Body)
	}
	if reason != "" {
		return fmt.Errorf("%w %T: %s", errMalformedMessage, m.Body, reason)
	}
	return nil
}

// fault returns what is wrong with a request of a term, or "".
func (q AppendRequest) fault(term uint64) string {
	if q.Prev > maxIndex || q.PrevTerm > term {
		return fmt.Sprintf("entry %d of term %d before the entries", q.Prev, q.PrevTerm)
	}
	last := q.PrevTerm
	for i, e := range q.Entries {
		switch {
		case e.Index != q.Prev+1+uint64(i) || e.Term < last || e.Term > term:
			return fmt.Sprintf("entry %d of term %d at position %d after entry %d", e.Index, e.Term, i, q.Prev)
		case e.Kind > Membership:
			return fmt.Sprintf("entry %d has the unknown kind %d", e.Index, e.Kind)
		case e.Kind == Membership:
			var members Members
			if err := json.Unmarshal(e.Data, &members); err != nil {
				return fmt.Sprintf("membership of entry %d: %v", e.Index, err)
			}
			if reason := members.fault(); reason != "" {
				return fmt.Sprintf("membership of entry %d: %s", e.Index, reason)
			}
		}
		last = e.Term
	}
	return ""
}

// fault returns what is wrong with a chunk from the leader of a term, or "".
func (c SnapshotChunk) fault(term uint64) string {
	s := c.Snapshot
	switch {
	case s.Index == 0 || s.Index > maxIndex || s.Term > term:
		return fmt.Sprintf("snapshot at entry %d of term %d", s.Index, s.Term)
	case c.Size < 0 || c.Size > maxSnapshotBytes || c.Offset < 0 || c.Offset > c.Size-len(s.Data):
		return fmt.Sprintf("%d bytes at %d of %d", len(s.Data), c.Offset, c.Size)
	}
	return s.Members.fault()
}

// fault returns why m cannot be the membership of a group, or "".
func (m Members) fault() string {
	for _, voters := range [][]NodeID{m.withRoles(Voter, Outgoing), m.withRoles(Voter, Incoming)} {
		if len(voters) == 0 || len(voters) > MaxVoters {
			return fmt.Sprintf("%d voters, want 1 to %d", len(voters), MaxVoters)
		}
	}
	if len(m.withRoles(Incoming)) != len(m.withRoles(Outgoing)) || len(m.withRoles(Incoming)) > 1 {
		return "more than one voter is exchanged, or one without another"
	}
	seen := map[string]bool{}
	for _, member := range m {
		daemon := string(member.ID.Daemon)
		if daemon == "" || seen[daemon] || member.Role < Learner || member.Role > Outgoing || member.Role != Learner && !member.Durable {
			return fmt.Sprintf("daemon %q is listed twice, has no name or known role, or votes without storage", daemon)
		}
		seen[daemon] = true
	}
	return ""
}
