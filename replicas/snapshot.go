package replicas

import (
	"math"
	"time"
)

// incomingSnapshot collects the chunks of a snapshot.
type incomingSnapshot struct {
	from  NodeID
	lead  uint64 // sender's term of leadership
	index uint64
	term  uint64
	data  []byte
}

// Founding returns the snapshot with which a group starts.
func Founding(members Members, at time.Time) *Snapshot {
	return &Snapshot{Index: 1, Term: 1, At: at.Round(0).UTC(), Members: members}
}

func (r *Replica) snapshotAt() time.Time {
	if r.snapshot == nil {
		return time.Time{}
	}
	return r.snapshot.At
}

// load replaces the whole log by a snapshot.
func (r *Replica) load(s *Snapshot) {
	r.snapshot = s
	r.log.reset(s.Index, s.Term)
	r.configs = []membershipAt{{index: s.Index, members: s.Members}}
	r.commit, r.applied = s.Index, s.Index
}

// Compact replaces entries up to index, which must have been in
// Output.Committed, by a snapshot of the state machine after that entry.
func (r *Replica) Compact(index uint64, data []byte) {
	if index > r.applied {
		violated("snapshot at %d after the last applied entry %d", index, r.applied)
	}
	if index <= r.SnapshotIndex() {
		return
	}
	term, _ := r.log.term(index)
	s := &Snapshot{Index: index, Term: term, At: r.log.entries[index-r.log.base-1].At, Data: data}
	current := 0
	for i, c := range r.configs {
		if c.index <= index {
			current, s.Members = i, c.members
		}
	}
	r.configs = r.configs[current:]
	r.snapshot = s
	r.stored.replace = true
	if index > r.cfg.Retain {
		r.log.compact(index - r.cfg.Retain)
	}
}

func (r *Replica) startSnapshot(id NodeID, p *progress) {
	p.sending, p.offset = r.snapshot.Index, 0
	r.sendChunk(id, p)
}

// sendChunk sends the next chunk of the current snapshot. When a newer one
// replaced the snapshot being sent, it starts again.
func (r *Replica) sendChunk(id NodeID, p *progress) {
	if p.sending != r.snapshot.Index {
		p.sending, p.offset = r.snapshot.Index, 0
	}
	chunk := *r.snapshot
	end := min(p.offset+r.cfg.ChunkBytes, len(chunk.Data))
	chunk.Data = chunk.Data[p.offset:end]
	p.waiting = true
	r.send(id, SnapshotChunk{
		Snapshot: chunk, Offset: p.offset, Size: len(r.snapshot.Data), Sent: r.now.Sub(r.epoch),
	})
}

func (r *Replica) receiveChunk(m Message, c SnapshotChunk) {
	if !r.heard(m, Confirmation{}) || r.verify.pending {
		return
	}
	s := c.Snapshot
	answer := SnapshotResponse{Index: s.Index, Sent: c.Sent, Stamp: r.stampNow()}
	if s.Index <= r.commit {
		answer.Done = true
		r.promise(m.From, answer)
		return
	}
	in := &r.incoming
	if in.from != m.From || in.lead != m.Term || in.index != s.Index || in.term != s.Term {
		*in = incomingSnapshot{from: m.From, lead: m.Term, index: s.Index, term: s.Term}
	}
	if c.Offset == len(in.data) {
		in.data = append(in.data, s.Data...)
	}
	answer.Next = len(in.data)
	if len(in.data) < c.Size {
		r.send(m.From, answer)
		return
	}
	s.Data = in.data
	*in = incomingSnapshot{}
	r.install(&s)
	answer.Done = true
	r.promise(m.From, answer)
}

// install replaces the log by a received snapshot. Entries after it are kept
// when they continue it, because they may have been counted as stored.
func (r *Replica) install(s *Snapshot) {
	var tail []Entry
	if term, ok := r.log.term(s.Index); ok && term == s.Term {
		tail = r.log.from(s.Index+1, math.MaxInt)
	} else {
		r.stored.stable = 0
	}
	r.load(s)
	for _, e := range tail {
		r.appendEntry(e)
	}
	r.stored.replace = true
	r.stored.next = s.Index + 1
	r.out.Install = s
	r.out.Committed = nil
}

func (r *Replica) receiveSnapshotResponse(m Message, a SnapshotResponse) {
	if a.Done {
		r.mark(m.From, Mark{Term: m.Term, Index: a.Index})
	}
	p := r.answered(m, a.Sent, a.Stamp)
	if p == nil {
		return
	}
	switch {
	case a.Done:
		p.match = max(p.match, a.Index)
		if p.sending == a.Index {
			p.sending, p.offset, p.waiting = 0, 0, false
		}
		p.next = max(p.next, p.match+1)
		r.advanceCommit()
	case p.sending == a.Index && a.Next > p.offset:
		p.offset = min(a.Next, len(r.snapshot.Data))
		r.sendChunk(m.From, p)
	case p.sending == a.Index && a.Next < p.offset:
		p.offset = a.Next // the member restarted; the next heartbeat repeats the chunk
	}
}
