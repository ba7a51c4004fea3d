package replicas

import (
	"slices"
	"time"
)

// maxUnanswered bounds the requests with entries that are sent to a member ahead
// of its answers, and with BatchBytes the memory that they take.
const maxUnanswered = 16

// progress is what the leader knows about another member.
type progress struct {
	session    uint64
	match      uint64 // last entry known to be synced there
	next       uint64 // first entry to send
	probing    bool   // next is a guess: one request at a time
	waiting    bool   // a probe or chunk is unanswered
	unanswered int    // requests with entries since an answer covered all that was sent
	acked      time.Time
	contact    time.Time // last message from the member in this term
	upSince    time.Time // start of its current run of contacts
	goal       uint64    // commit index at the last heartbeat
	current    bool      // had everything up to goal one heartbeat later
	offset     int       // of the next chunk of a snapshot
	sending    uint64    // index of the snapshot being sent, 0 when none
	stamp      Stamp     // latest stamp that waits for a confirmation
	stampAt    time.Time // when it arrived
	approved   Confirmation
}

// syncProgress makes progress hold exactly the other members.
func (r *Replica) syncProgress() {
	members := r.Members()
	for _, m := range members {
		if _, ok := r.progress[m.ID]; !ok && m.ID != r.cfg.ID {
			r.progress[m.ID] = &progress{next: r.log.last() + 1, probing: true, contact: r.now, upSince: r.now}
		}
	}
	for id := range r.progress {
		if _, ok := members.Member(id); !ok {
			delete(r.progress, id)
		}
	}
}

// lead does the periodic work of a leader.
func (r *Replica) lead() {
	if r.now.Sub(r.QuorumConfirmed()) > r.cfg.ElectionTimeout && r.now.Sub(r.ledSince) > r.cfg.ElectionTimeout {
		r.follow(r.hard.Term) // no contact with a quorum
		return
	}
	if r.stored.stuck(r.now, r.cfg.ReplaceAfter) {
		r.follow(r.hard.Term) // the disk does not answer
		return
	}
	if !r.now.Before(r.heartbeatAt) {
		r.heartbeatAt = r.now.Add(r.cfg.HeartbeatInterval)
		r.heartbeat()
	}
	r.plan()
}

// Propose appends a command to the log. The command is committed when an entry
// with this index and term is in Output.Committed; an entry with the same
// index and another term means that the command is lost.
func (r *Replica) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	r.advance(now)
	if r.state != leading || r.handingOver() {
		leader, _ := r.Leader()
		return 0, 0, ErrNotLeader{Leader: leader}
	}
	e := r.add(Command, data)
	return e.Index, e.Term, nil
}

// add appends an entry of the leader.
func (r *Replica) add(kind Kind, data []byte) Entry {
	at := r.now
	if previous := r.log.lastAt(r.snapshotAt()); at.Before(previous) {
		at = previous
	}
	// Encoding drops the monotonic reading and the location; the leader's own
	// copy must equal that of the others.
	e := Entry{Index: r.log.last() + 1, Term: r.hard.Term, At: at.Round(0).UTC(), Kind: kind, Data: data}
	r.appendEntry(e)
	if kind == Membership {
		r.syncProgress()
	}
	return e
}

// replicate sends new entries to all members that can take them.
func (r *Replica) replicate() {
	for _, id := range r.others() {
		p := r.progress[id]
		for p.sending == 0 && !p.waiting && p.next <= r.log.last() && p.unanswered < maxUnanswered && r.alive(id) {
			if !r.sendEntries(id, p) {
				break
			}
		}
	}
}

// others returns the members in progress in a fixed order, so that a run with
// the same inputs sends the same messages.
func (r *Replica) others() []NodeID {
	ids := make([]NodeID, 0, len(r.progress))
	for _, m := range r.Members() {
		if r.progress[m.ID] != nil {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// sendEntries sends the entries from next on, or the first chunk of a snapshot
// when they are compacted.
func (r *Replica) sendEntries(id NodeID, p *progress) bool {
	prevTerm, ok := r.log.term(p.next - 1)
	if !ok {
		r.startSnapshot(id, p)
		return false
	}
	request := AppendRequest{Prev: p.next - 1, PrevTerm: prevTerm, Entries: r.log.from(p.next, r.cfg.BatchBytes)}
	p.next += uint64(len(request.Entries))
	p.unanswered++
	p.waiting = p.probing
	r.sendAppend(id, p, request)
	return true
}

func (r *Replica) sendAppend(id NodeID, p *progress, request AppendRequest) {
	request.Commit = min(r.commit, request.Prev+uint64(len(request.Entries)))
	request.Stored = r.stored.stable
	request.Sent = r.now.Sub(r.epoch)
	request.Confirmed = p.approved
	r.send(id, request)
}

// heartbeat contacts every member. It also repeats what may be lost: a member
// that misses entries before Prev answers with the last one it has.
func (r *Replica) heartbeat() {
	for _, id := range r.others() {
		p := r.progress[id]
		p.waiting = false
		p.current, p.goal = p.goal > 0 && p.match >= p.goal, r.commit
		request := AppendRequest{Prev: p.next - 1}
		term, ok := r.log.term(request.Prev)
		switch {
		case p.sending != 0 && r.alive(id):
			r.sendChunk(id, p)
		case p.sending == 0 && !ok && r.alive(id):
			// What the member lacks was compacted since it was sent.
			r.startSnapshot(id, p)
		}
		if p.sending != 0 || !ok {
			request.Prev, term = 0, 0
		}
		request.PrevTerm = term
		r.sendAppend(id, p, request)
	}
}

func (r *Replica) receiveAppend(m Message, q AppendRequest) {
	if !r.heard(m, q.Confirmed) {
		// Only the term matters. The request's Sent must not be echoed: it can
		// be of an earlier process of the node that leads this term by now.
		r.send(m.From, AppendResponse{})
		return
	}
	if r.verify.pending {
		return
	}
	r.mark(m.From, Mark{Term: m.Term, Index: q.Stored})
	answer := AppendResponse{OK: true, Prev: q.Prev, Sent: q.Sent, Stamp: r.stampNow()}
	if term, ok := r.log.term(q.Prev); q.Prev > r.log.base && (!ok || term != q.PrevTerm) {
		answer.OK = false
		answer.Hint = r.hint(q.Prev)
		r.send(m.From, answer)
		return
	}
	last := q.Prev + uint64(len(q.Entries))
	r.store(q.Entries)
	if commit := min(q.Commit, last); commit > r.commit {
		r.setCommit(commit)
	}
	answer.Match = last
	if last <= r.stored.stable {
		r.send(m.From, answer)
	} else {
		r.promise(m.From, answer)
	}
}

// heard handles the part that all messages of a leader share; it reports
// whether the sender leads the current term.
func (r *Replica) heard(m Message, confirmed Confirmation) bool {
	if m.Term < r.hard.Term {
		return false
	}
	if m.Term > r.hard.Term || r.state != follower {
		if m.Term == r.hard.Term && r.state == leading {
			violated("term %d is led by %s and %s", m.Term, r.cfg.ID, m.From)
		}
		r.follow(m.Term)
	}
	if r.leader != (NodeID{}) && r.leader != m.From {
		violated("term %d is led by %s and %s", m.Term, r.leader, m.From)
	}
	r.leader = m.From
	r.leaderContact = r.now
	r.resetElection()
	if confirmed.Asked.Session == r.cfg.Session {
		if at := r.epoch.Add(confirmed.Asked.At); at.After(r.confirmed) {
			r.confirmed, r.confirmedCommit = at, confirmed.Commit
		}
	}
	return true
}

func (r *Replica) stampNow() Stamp {
	return Stamp{Session: r.cfg.Session, At: r.now.Sub(r.epoch)}
}

// hint returns the last entry that may equal the leader's when Prev does not:
// the one before all entries of the conflicting term.
func (r *Replica) hint(prev uint64) uint64 {
	if prev > r.log.last() {
		return r.log.last()
	}
	conflict, _ := r.log.term(prev)
	for prev > r.commit && prev > r.log.base {
		if term, _ := r.log.term(prev); term != conflict {
			break
		}
		prev--
	}
	return prev
}

// store appends the entries that the log lacks and replaces those that conflict.
func (r *Replica) store(entries []Entry) {
	for _, e := range entries {
		if e.Index <= r.log.base {
			continue
		}
		if term, ok := r.log.term(e.Index); ok {
			if term == e.Term {
				r.log.same(e)
				continue
			}
			r.truncate(e.Index)
		}
		r.appendEntry(e)
	}
}

func (r *Replica) truncate(index uint64) {
	if index <= r.commit {
		violated("committed entry %d would be replaced, commit index %d", index, r.commit)
	}
	r.log.truncate(index)
	r.stored.truncateStored(index)
	r.configs = slices.DeleteFunc(r.configs, func(c membershipAt) bool { return c.index >= index })
}

// answered handles the part that all answers to a leader share; it returns nil
// for answers of other terms and of nodes that are no members.
func (r *Replica) answered(m Message, sent time.Duration, stamp Stamp) *progress {
	if m.Term > r.hard.Term {
		r.follow(m.Term)
		return nil
	}
	p := r.progress[m.From]
	if r.state != leading || m.Term != r.hard.Term || p == nil {
		return nil
	}
	if p.session != m.Session {
		// A restarted member may have lost what it had not promised.
		*p = progress{session: m.Session, next: max(p.next, 1), probing: true, acked: p.acked, upSince: r.now}
	}
	if r.now.Sub(p.contact) > r.cfg.ElectionTimeout {
		p.upSince = r.now
	}
	p.contact = r.now
	if at := r.epoch.Add(sent); at.After(p.acked) {
		p.acked = at
	}
	if stamp.Session == m.Session && p.stampAt.IsZero() {
		p.stamp, p.stampAt = stamp, r.now
	}
	r.approveStamps()
	return p
}

func (r *Replica) receiveAppendResponse(m Message, a AppendResponse) {
	if a.OK {
		r.mark(m.From, Mark{Term: m.Term, Index: a.Match})
	}
	p := r.answered(m, a.Sent, a.Stamp)
	if p == nil {
		return
	}
	if !a.OK {
		if a.Prev > p.match {
			p.next = max(p.match, min(a.Hint, a.Prev-1)) + 1
			p.probing, p.waiting, p.unanswered = true, false, 0
		}
		return
	}
	if a.Match > r.log.last() {
		violated("%s matches entry %d after the leader's last entry %d", m.From, a.Match, r.log.last())
	}
	if a.Match > p.match {
		p.match = a.Match
		p.next = max(p.next, p.match+1)
	}
	switch {
	case a.Match >= p.next-1:
		p.probing, p.waiting, p.unanswered = false, false, 0
	case a.Match > a.Prev && p.unanswered > 0:
		p.unanswered--
	}
	r.advanceCommit()
}

// advanceCommit commits what a majority of voters has synced. Entries of
// earlier terms are committed only by a later entry of the current term: a
// majority alone does not keep them from being replaced.
func (r *Replica) advanceCommit() {
	voters := r.Members().Voters()
	matches := make([]uint64, 0, len(voters))
	for _, id := range voters {
		if id == r.cfg.ID {
			matches = append(matches, r.stored.stable)
		} else {
			matches = append(matches, r.progress[id].match)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-r.Members().Quorum()]
	if term, ok := r.log.term(index); ok && term == r.hard.Term && index > r.commit {
		r.setCommit(index)
	}
}

// QuorumConfirmed returns the latest time on this node's clock at which the
// leader is known to have had contact with a quorum; zero when unknown.
func (r *Replica) QuorumConfirmed() time.Time {
	if r.state != leading {
		return r.confirmed
	}
	var times []time.Time
	for _, id := range r.Members().Voters() {
		if id == r.cfg.ID {
			times = append(times, r.now)
		} else {
			times = append(times, r.progress[id].acked)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[len(times)-r.Members().Quorum()]
}

// Confirmation returns a time on this node's clock, and a commit index: every
// entry that was committed before that time is at or before that index.
func (r *Replica) Confirmation() (asked time.Time, commit uint64) {
	if r.state == leading && r.commit >= r.termStart {
		return r.QuorumConfirmed(), r.commit
	}
	return r.confirmed, r.confirmedCommit
}

// approveStamps confirms to members that the leader had contact with a quorum
// after their stamps arrived. Clocks of different nodes are never compared.
func (r *Replica) approveStamps() {
	if r.commit < r.termStart {
		return // earlier leaders may have committed more than this one knows
	}
	confirmed := r.QuorumConfirmed()
	for _, p := range r.progress {
		if !p.stampAt.IsZero() && !p.stampAt.After(confirmed) {
			p.approved = Confirmation{Asked: p.stamp, Commit: r.commit}
			p.stampAt = time.Time{}
		}
	}
}

// Confirmed reports whether this node is the leader, was the leader at some
// time not before t, and has applied all entries committed before t. A read
// that arrived at t may then be answered.
func (r *Replica) Confirmed(t time.Time) bool {
	return r.state == leading && r.commit >= r.termStart && !r.QuorumConfirmed().Before(t)
}
