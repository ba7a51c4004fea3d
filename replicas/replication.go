package replicas

import (
	"cmp"
	"slices"
	"time"
)

// maxInFlight limits the unanswered requests with entries to one member and,
// together with MaxAppendBytes, the memory that they take.
const maxInFlight = 16

// progress is the leader's view of another member.
type progress struct {
	session        uint64
	match          uint64       // index of the last entry known to be synced there
	next           uint64       // index of the next entry to send
	probing        bool         // next is not confirmed yet: send one request at a time
	paused         bool         // send no entries until the outstanding probe or chunk is answered
	inFlight       int          // requests with entries sent since the member last confirmed all entries sent
	ackedSendTime  time.Time    // send time of the latest request that was answered
	lastContact    time.Time    // last message from the member in this term
	contactSince   time.Time    // start of the current period of uninterrupted contact
	advance        advance      // kept when the session changes
	catchUpTarget  uint64       // commit index at the last heartbeat
	caughtUp       bool         // at the last heartbeat, match had reached the catchUpTarget of the one before
	snapshotOffset int          // offset of the next chunk of the snapshot
	snapshotIndex  uint64       // index of the snapshot being sent, 0 when none
	pendingStamp   Stamp        // stamp that awaits a confirmation
	stampReceived  time.Time    // arrival of pendingStamp on the leader's clock, zero when none is pending
	confirmation   Confirmation // latest confirmation, sent with each AppendRequest
	stopAnnounced  time.Time    // arrival of the first StopRequest of a series
	stopRequested  time.Time    // arrival of its latest one
	stopGranted    bool         // the session was told that it may stop
}

// advance is the furthest that a member has got, in any of its sessions. What it stored
// in an earlier one does not count again.
type advance struct {
	at             time.Time // last time at which it stored something new or lacked nothing
	match          uint64
	snapshotIndex  uint64
	snapshotOffset int
}

// recordMatch records that the member has synced the entries up to index.
func (a *advance) recordMatch(index uint64, now time.Time) {
	if index > a.match {
		a.match, a.at = index, now
	}
}

// recordChunk records that the member has received a snapshot up to an offset.
func (a *advance) recordChunk(index uint64, offset int, now time.Time) {
	if index > a.snapshotIndex || index == a.snapshotIndex && offset > a.snapshotOffset {
		a.snapshotIndex, a.snapshotOffset, a.at = index, offset, now
	}
}

// updateProgress adds progress for new members and removes that of former ones.
func (r *Replica) updateProgress() {
	members := r.Members()
	for _, m := range members {
		if _, ok := r.progress[m.ID]; !ok && m.ID != r.cfg.ID {
			r.progress[m.ID] = &progress{next: r.log.lastIndex() + 1, probing: true, lastContact: r.now, contactSince: r.now, advance: advance{at: r.now}}
		}
	}
	for id := range r.progress {
		if _, ok := members.Member(id); !ok {
			delete(r.progress, id)
		}
	}
}

// tickLeader does the periodic work of a leader. A leader steps down when it has
// no contact with a quorum or when its own disk completes no writes.
func (r *Replica) tickLeader() {
	if r.lostQuorum() {
		r.becomeFollower(r.hardState.Term) // no contact with a quorum
		return
	}
	if r.storage.syncOverdue(r.now, r.cfg.ReplaceAfter) {
		r.becomeFollower(r.hardState.Term) // a write to the disk has not completed
		return
	}
	if !r.now.Before(r.nextHeartbeat) {
		r.nextHeartbeat = r.now.Add(r.cfg.HeartbeatInterval)
		r.heartbeat()
	}
	if !r.Members().IsVoter(r.cfg.ID) && !r.membershipPending() && r.commit >= r.termStart {
		r.leaveLead()
		return
	}
	r.adjustVoters()
}

// Propose appends a command to the log. The command is committed when an entry
// with the returned index and term appears in Output.Committed; an entry with
// the same index and another term means that the command is lost.
func (r *Replica) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	r.advanceClock(now)
	if r.state != stateLeader || r.handingOver() {
		leader, _ := r.Leader()
		return 0, 0, NotLeaderError{Leader: leader}
	}
	e := r.appendNew(Command, data)
	return e.Index, e.Term, nil
}

// appendNew creates an entry in the current term and appends it to the leader's
// log.
func (r *Replica) appendNew(kind Kind, data []byte) Entry {
	at := r.now
	if lastTime := r.log.lastEntryTime(r.snapshotTime()); at.Before(lastTime) {
		at = lastTime
	}
	// Encoding drops the monotonic clock reading and the location, and the
	// leader's copy must equal the copies of the other members.
	e := Entry{Index: r.log.lastIndex() + 1, Term: r.hardState.Term, At: at.Round(0).UTC(), Kind: kind, Data: data}
	r.appendEntry(e)
	if kind == Membership {
		r.updateProgress()
	}
	return e
}

// replicate sends new entries to all members that are ready for them.
func (r *Replica) replicate() {
	for _, id := range r.replicationTargets() {
		p := r.progress[id]
		for p.snapshotIndex == 0 && !p.paused && p.next <= r.log.lastIndex() && p.inFlight < maxInFlight && r.isAlive(id) {
			if !r.sendEntries(id, p) {
				break
			}
		}
	}
}

// replicationTargets returns the IDs of the other members in a fixed order, so
// that runs with the same inputs send the same messages.
func (r *Replica) replicationTargets() []NodeID {
	ids := make([]NodeID, 0, len(r.progress))
	for _, m := range r.Members() {
		if r.progress[m.ID] != nil {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// sendEntries sends entries from p.next on, or starts a snapshot and returns
// false when the entry before them is compacted.
func (r *Replica) sendEntries(id NodeID, p *progress) bool {
	prevTerm, ok := r.log.term(p.next - 1)
	if !ok {
		r.startSnapshot(id, p)
		return false
	}
	req := AppendRequest{Prev: p.next - 1, PrevTerm: prevTerm, Entries: r.log.entriesFrom(p.next, r.cfg.MaxAppendBytes)}
	p.next += uint64(len(req.Entries))
	p.inFlight++
	p.paused = p.probing
	r.sendAppend(id, p, req)
	return true
}

func (r *Replica) sendAppend(id NodeID, p *progress, req AppendRequest) {
	req.Commit = min(r.commit, req.Prev+uint64(len(req.Entries)))
	req.Stored = r.storage.stableIndex
	req.Sent = r.now.Sub(r.clockStart)
	req.Confirmed = p.confirmation
	r.send(id, req)
}

// heartbeat sends a request to every member. It also recovers from lost
// messages: it repeats the current snapshot chunk, and a member that lacks
// entries up to Prev answers with the last entry it has.
func (r *Replica) heartbeat() {
	for _, id := range r.replicationTargets() {
		p := r.progress[id]
		p.paused = false
		p.caughtUp, p.catchUpTarget = p.catchUpTarget > 0 && p.match >= p.catchUpTarget, r.commit
		if p.match >= r.commit {
			p.advance.at = r.now
		}
		req := AppendRequest{Prev: p.next - 1}
		term, ok := r.log.term(req.Prev)
		switch {
		case p.snapshotIndex != 0 && r.isAlive(id):
			r.sendChunk(id, p)
		case p.snapshotIndex == 0 && !ok && r.isAlive(id):
			// The entries that the member lacks were compacted after they were
			// sent.
			r.startSnapshot(id, p)
		}
		if p.snapshotIndex != 0 || !ok {
			req.Prev, term = 0, 0
		}
		req.PrevTerm = term
		r.sendAppend(id, p, req)
	}
}

func (r *Replica) receiveAppend(message Message, req AppendRequest) {
	if !r.acceptLeader(message, req.Confirmed) {
		// Only the term of this response matters. Sent must not be echoed: the
		// request may come from an earlier process of the current leader, which
		// would take the echo for contact with its present process.
		r.send(message.From, AppendResponse{})
		return
	}
	if r.verification.pending {
		return
	}
	r.recordMark(message.From, Mark{Term: message.Term, Index: req.Stored})
	resp := AppendResponse{OK: true, Prev: req.Prev, Sent: req.Sent, Stamp: r.stampNow()}
	if term, ok := r.log.term(req.Prev); req.Prev > r.log.base && (!ok || term != req.PrevTerm) {
		resp.OK = false
		resp.Hint = r.conflictHint(req.Prev)
		r.sendInSyncedTerm(message.From, 0, resp)
		return
	}
	last := req.Prev + uint64(len(req.Entries))
	r.storeEntries(req.Entries)
	if commit := min(req.Commit, last); commit > r.commit {
		r.setCommit(commit)
	}
	resp.Match = last
	if len(req.Entries) == 0 {
		// Answered while entries are written, so that a slow disk does not end the contact.
		resp.Match = min(last, r.storage.stableIndex)
	}
	r.sendInSyncedTerm(message.From, resp.Match, resp)
}

// acceptLeader does the processing common to all messages from a leader. It
// reports whether the sender leads the current term.
func (r *Replica) acceptLeader(message Message, confirmed Confirmation) bool {
	if message.Term < r.hardState.Term {
		return false
	}
	if message.Term > r.hardState.Term || r.state != stateFollower {
		if message.Term == r.hardState.Term && r.state == stateLeader {
			invariantViolated("term %d is led by %s and %s", message.Term, r.cfg.ID, message.From)
		}
		r.becomeFollower(message.Term)
	}
	if r.leader != (NodeID{}) && r.leader != message.From {
		invariantViolated("term %d is led by %s and %s", message.Term, r.leader, message.From)
	}
	r.leader = message.From
	r.lastLeaderContact = r.now
	r.resetElectionTimer()
	if confirmed.Asked.Session == r.cfg.Session {
		if at := r.clockStart.Add(confirmed.Asked.At); at.After(r.quorumConfirmed) {
			r.quorumConfirmed, r.confirmedCommit = at, confirmed.Commit
		}
	}
	return true
}

func (r *Replica) stampNow() Stamp {
	return Stamp{Session: r.cfg.Session, At: r.now.Sub(r.clockStart)}
}

// conflictHint returns the index of the last entry that may equal the leader's
// when the entry at prev does not: the one before all entries of the
// conflicting term.
func (r *Replica) conflictHint(prev uint64) uint64 {
	if prev > r.log.lastIndex() {
		return r.log.lastIndex()
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

// storeEntries appends the entries that the log lacks and replaces those that
// conflict.
func (r *Replica) storeEntries(entries []Entry) {
	for _, e := range entries {
		if e.Index <= r.log.base {
			continue
		}
		if term, ok := r.log.term(e.Index); ok {
			if term == e.Term {
				r.log.checkSame(e)
				continue
			}
			r.truncate(e.Index)
		}
		r.appendEntry(e)
	}
}

func (r *Replica) truncate(index uint64) {
	if index <= r.commit {
		invariantViolated("committed entry %d would be replaced; commit index is %d", index, r.commit)
	}
	r.log.truncate(index)
	r.storage.truncate(index)
	r.memberships = slices.DeleteFunc(r.memberships, func(c membershipAt) bool { return c.index >= index })
}

// acceptResponse does the processing common to all responses to a leader. It
// returns nil for a response of another term or from a node that is not a
// member.
func (r *Replica) acceptResponse(message Message, sendTime time.Duration, stamp Stamp) *progress {
	if message.Term > r.hardState.Term {
		r.becomeFollower(message.Term)
		return nil
	}
	p := r.progress[message.From]
	if r.state != stateLeader || message.Term != r.hardState.Term || p == nil {
		return nil
	}
	if p.session != message.Session {
		// A restarted member may have lost entries that it had not acknowledged.
		*p = progress{session: message.Session, next: max(p.next, 1), probing: true, ackedSendTime: p.ackedSendTime, contactSince: r.now, advance: p.advance}
	}
	if r.now.Sub(p.lastContact) > r.cfg.ElectionTimeout {
		p.contactSince = r.now
	}
	p.lastContact = r.now
	if at := r.clockStart.Add(sendTime); at.After(p.ackedSendTime) {
		p.ackedSendTime = at
	}
	if stamp.Session == message.Session && p.stampReceived.IsZero() {
		p.pendingStamp, p.stampReceived = stamp, r.now
	}
	r.confirmStamps()
	return p
}

func (r *Replica) receiveAppendResponse(message Message, resp AppendResponse) {
	p := r.acceptResponse(message, resp.Sent, resp.Stamp)
	if p == nil {
		return
	}
	if !resp.OK {
		if resp.Prev > p.match {
			p.next = max(p.match, min(resp.Hint, resp.Prev-1)) + 1
			p.probing, p.paused, p.inFlight = true, false, 0
		}
		return
	}
	if resp.Match > r.log.lastIndex() {
		invariantViolated("%s acknowledged entry %d, but the leader's last entry is %d", message.From, resp.Match, r.log.lastIndex())
	}
	// An entry is synced together with its term. The term of the message proves less:
	// voters of an older build respond to a heartbeat before that is synced.
	if term, ok := r.log.term(resp.Match); ok {
		r.recordMark(message.From, Mark{Term: term, Index: resp.Match})
	}
	if resp.Match > p.match {
		p.match = resp.Match
		p.advance.recordMatch(p.match, r.now)
		p.next = max(p.next, p.match+1)
	}
	switch {
	case resp.Match >= p.next-1:
		p.probing, p.paused, p.inFlight = false, false, 0
	case resp.Match > resp.Prev && p.inFlight > 0:
		p.inFlight--
	}
	r.advanceCommit()
}

// advanceCommit commits the entries that a majority of voters has synced.
// Entries of earlier terms are committed only together with a later entry of
// the current term: until then a new leader can replace them, even if a
// majority has them.
func (r *Replica) advanceCommit() {
	index := reachedByQuorum(r.Members(), func(id NodeID) uint64 {
		if id == r.cfg.ID {
			return r.storage.stableIndex
		}
		return r.progress[id].match
	}, cmp.Compare)
	if term, ok := r.log.term(index); ok && term == r.hardState.Term && index > r.commit {
		r.setCommit(index)
	}
}

// QuorumConfirmed returns the latest time, on this node's clock, at which the
// leader is known to have had contact with a quorum. It is zero when unknown.
func (r *Replica) QuorumConfirmed() time.Time {
	if r.state != stateLeader {
		return r.quorumConfirmed
	}
	return reachedByQuorum(r.Members(), func(id NodeID) time.Time {
		if id == r.cfg.ID {
			return r.now
		}
		return r.progress[id].ackedSendTime
	}, time.Time.Compare)
}

// Confirmation returns a time on this node's clock and a commit index: every
// entry committed before that time has at most that index.
func (r *Replica) Confirmation() (asked time.Time, commit uint64) {
	if r.HasCommittedOwnTerm() {
		return r.QuorumConfirmed(), r.commit
	}
	return r.quorumConfirmed, r.confirmedCommit
}

// HasCommittedOwnTerm reports whether this node leads and has committed an entry of its
// own term. It then knows which entries of earlier leaders are committed.
func (r *Replica) HasCommittedOwnTerm() bool {
	return r.state == stateLeader && r.commit >= r.termStart
}

// confirmStamps prepares confirmations for the members whose stamps arrived
// before the latest contact with a quorum. It never compares the clocks of
// different nodes.
func (r *Replica) confirmStamps() {
	if r.commit < r.termStart {
		return // earlier leaders may have committed entries beyond this node's commit index
	}
	confirmed := r.QuorumConfirmed()
	for _, p := range r.progress {
		if !p.stampReceived.IsZero() && !p.stampReceived.After(confirmed) {
			p.confirmation = Confirmation{Asked: p.pendingStamp, Commit: r.commit}
			p.stampReceived = time.Time{}
		}
	}
}

// CanServeRead reports whether a linearizable read that arrived at t may be
// answered: this node is the leader, a quorum confirmed its leadership at t or
// later, and Output.Committed has covered all entries committed before t.
func (r *Replica) CanServeRead(t time.Time) bool {
	return r.HasCommittedOwnTerm() && !r.QuorumConfirmed().Before(t)
}
