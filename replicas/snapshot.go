package replicas

import (
	"math"
	"time"
)

// incomingSnapshot collects the received chunks of a snapshot.
type incomingSnapshot struct {
	from       NodeID
	leaderTerm uint64 // term in which the sender leads
	index      uint64
	term       uint64
	data       []byte
}

// NewGroupSnapshot returns the initial snapshot of a new group.
func NewGroupSnapshot(members Members, at time.Time) *Snapshot {
	return &Snapshot{Index: 1, Term: 1, At: at.Round(0).UTC(), Members: members}
}

func (r *Replica) snapshotTime() time.Time {
	if r.snapshot == nil {
		return time.Time{}
	}
	return r.snapshot.At
}

// resetToSnapshot replaces the whole log by a snapshot.
func (r *Replica) resetToSnapshot(s *Snapshot) {
	r.snapshot = s
	r.log.reset(s.Index, s.Term)
	r.memberships = []membershipAt{{index: s.Index, members: s.Members}}
	r.commit, r.applied = s.Index, s.Index
}

// Compact replaces the entries up to index by a snapshot. The entry at index must
// have been in Output.Committed, and data is the state machine after that entry.
func (r *Replica) Compact(index uint64, data []byte) {
	if index > r.applied {
		invariantViolated("snapshot at entry %d is after the last applied entry %d", index, r.applied)
	}
	if index <= r.SnapshotIndex() {
		return
	}
	term, _ := r.log.term(index)
	s := &Snapshot{Index: index, Term: term, At: r.log.entries[index-r.log.base-1].At, Data: data}
	current := 0
	for i, c := range r.memberships {
		if c.index <= index {
			current, s.Members = i, c.members
		}
	}
	r.memberships = r.memberships[current:]
	r.snapshot = s
	r.storage.replaceAll = true
	if index > r.cfg.RetainEntries {
		r.log.compact(index - r.cfg.RetainEntries)
	}
}

func (r *Replica) startSnapshot(id NodeID, p *progress) {
	p.snapshotIndex, p.snapshotOffset = r.snapshot.Index, 0
	r.sendChunk(id, p)
}

// sendChunk sends the next chunk of the snapshot. It starts over when a newer
// snapshot has replaced the one being sent.
func (r *Replica) sendChunk(id NodeID, p *progress) {
	if p.snapshotIndex != r.snapshot.Index {
		p.snapshotIndex, p.snapshotOffset = r.snapshot.Index, 0
	}
	chunk := *r.snapshot
	end := min(p.snapshotOffset+r.cfg.MaxChunkBytes, len(chunk.Data))
	chunk.Data = chunk.Data[p.snapshotOffset:end]
	p.paused = true
	r.send(id, SnapshotChunk{
		Snapshot: chunk, Offset: p.snapshotOffset, Size: len(r.snapshot.Data), Sent: r.now.Sub(r.clockStart),
	})
}

func (r *Replica) receiveChunk(message Message, chunk SnapshotChunk) {
	if !r.acceptLeader(message, Confirmation{}) || r.verification.pending {
		return
	}
	s := chunk.Snapshot
	resp := SnapshotResponse{Index: s.Index, Sent: chunk.Sent, Stamp: r.stampNow()}
	if s.Index <= r.commit {
		resp.Done = true
		r.sendAfterSync(message.From, resp)
		return
	}
	in := &r.incoming
	if in.from != message.From || in.leaderTerm != message.Term || in.index != s.Index || in.term != s.Term {
		*in = incomingSnapshot{from: message.From, leaderTerm: message.Term, index: s.Index, term: s.Term}
	}
	if chunk.Offset == len(in.data) {
		in.data = append(in.data, s.Data...)
	}
	resp.Next = len(in.data)
	if len(in.data) < chunk.Size {
		r.sendInSyncedTerm(message.From, 0, resp)
		return
	}
	s.Data = in.data
	*in = incomingSnapshot{}
	r.installSnapshot(&s)
	resp.Done = true
	r.sendAfterSync(message.From, resp)
}

// installSnapshot replaces the log by a received snapshot. It keeps later entries
// if the log matches the snapshot, because the leader may already count them as
// stored.
func (r *Replica) installSnapshot(s *Snapshot) {
	var laterEntries []Entry
	if term, ok := r.log.term(s.Index); ok && term == s.Term {
		laterEntries = r.log.entriesFrom(s.Index+1, math.MaxInt)
	} else {
		r.storage.stableIndex = 0
	}
	r.resetToSnapshot(s)
	for _, e := range laterEntries {
		r.appendEntry(e)
	}
	r.storage.replaceAll = true
	r.storage.nextIndex = s.Index + 1
	r.out.InstallSnapshot = s
	r.out.Committed = nil
}

func (r *Replica) receiveSnapshotResponse(message Message, resp SnapshotResponse) {
	if resp.Done {
		r.recordMark(message.From, Mark{Term: message.Term, Index: resp.Index})
	}
	p := r.acceptResponse(message, resp.Sent, resp.Stamp)
	if p == nil {
		return
	}
	switch {
	case resp.Done:
		p.match = max(p.match, resp.Index)
		p.advance.recordMatch(p.match, r.now)
		if p.snapshotIndex == resp.Index {
			p.snapshotIndex, p.snapshotOffset, p.paused = 0, 0, false
		}
		p.next = max(p.next, p.match+1)
		r.advanceCommit()
	case p.snapshotIndex == resp.Index && resp.Next > p.snapshotOffset:
		p.snapshotOffset = min(resp.Next, len(r.snapshot.Data))
		p.advance.recordChunk(p.snapshotIndex, p.snapshotOffset, r.now)
		r.sendChunk(message.From, p)
	case p.snapshotIndex == resp.Index && resp.Next < p.snapshotOffset:
		p.snapshotOffset = resp.Next // the member restarted; the next heartbeat sends the chunk
	}
}
