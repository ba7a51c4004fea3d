package replicas

import (
	"math"
	"time"
)

// storageState tracks what is handed to the driver and what is synced.
type storageState struct {
	nextIndex      uint64 // first entry not yet handed out
	stableIndex    uint64 // last entry that is synced
	hardDirty      bool
	replaceAll     bool   // the next Persist replaces everything stored
	lastSequence   uint64 // of the last Persist
	syncedSequence uint64 // last sequence that is synced
	pendingWrites  []pendingWrite
	deferred       []deferredMessage
}

// pendingWrite is a Persist that is not synced yet.
type pendingWrite struct {
	sequence  uint64
	lastIndex uint64 // its last entry, when it has one
	lastTerm  uint64
	startedAt time.Time
}

// deferredMessage promises what is stored by a Persist and waits for its sync.
type deferredMessage struct {
	afterSequence uint64
	message       Message
}

func (s *storageState) hasUnwritten(last uint64) bool {
	return s.hardDirty || s.replaceAll || s.nextIndex <= last
}

// send queues a message that promises nothing about this node's storage.
func (r *Replica) send(to NodeID, body any) {
	r.out.Messages = append(r.out.Messages, r.newMessage(to, body))
}

// sendAfterSync queues a message that may leave only when everything that the node
// knows now is synced.
func (r *Replica) sendAfterSync(to NodeID, body any) {
	after := r.storage.lastSequence
	if r.storage.hasUnwritten(r.log.lastIndex()) {
		after++
	}
	if after <= r.storage.syncedSequence {
		r.send(to, body)
		return
	}
	r.storage.deferred = append(r.storage.deferred, deferredMessage{afterSequence: after, message: r.newMessage(to, body)})
}

func (r *Replica) newMessage(to NodeID, body any) Message {
	return Message{
		From: r.cfg.ID, To: to, Session: r.cfg.Session,
		Group: r.hardState.Group, Term: r.hardState.Term, Body: body,
	}
}

// Take returns what the driver must do; nothing is returned twice.
func (r *Replica) Take() Output {
	if r.isStopped() {
		renew := r.storageOutdated && !r.halted
		r.Halt()
		return Output{Renew: renew}
	}
	if r.state == stateLeader {
		r.replicate()
	}
	out := r.out
	r.out = Output{}
	out.Persist = r.persist()
	return out
}

func (r *Replica) persist() *Persist {
	s := &r.storage
	lastIndex := r.log.lastIndex()
	if !s.hasUnwritten(lastIndex) {
		return nil
	}
	s.lastSequence++
	p := &Persist{Sequence: s.lastSequence, Hard: r.hardState}
	w := pendingWrite{sequence: s.lastSequence, startedAt: r.now}
	if s.replaceAll {
		p.Snapshot = r.snapshot
		s.nextIndex = r.snapshot.Index + 1
		w.lastIndex, w.lastTerm = r.snapshot.Index, r.snapshot.Term
	}
	if s.nextIndex <= lastIndex {
		p.Entries = r.log.entriesFrom(s.nextIndex, math.MaxInt)
		w.lastIndex, w.lastTerm = lastIndex, r.log.lastTerm()
	}
	s.nextIndex = lastIndex + 1
	s.hardDirty, s.replaceAll = false, false
	s.pendingWrites = append(s.pendingWrites, w)
	return p
}

// Synced tells the replica that all Persist up to a sequence are synced.
func (r *Replica) Synced(now time.Time, sequence uint64) {
	r.advanceClock(now)
	s := &r.storage
	if r.isStopped() || sequence <= s.syncedSequence {
		return
	}
	if sequence > s.lastSequence {
		invariantViolated("sync of %d reported, last handed out %d", sequence, s.lastSequence)
	}
	s.syncedSequence = sequence
	for len(s.pendingWrites) > 0 && s.pendingWrites[0].sequence <= sequence {
		w := s.pendingWrites[0]
		s.pendingWrites = s.pendingWrites[1:]
		// An entry that was truncated since is not the one that was synced.
		if term, ok := r.log.term(w.lastIndex); ok && term == w.lastTerm && w.lastIndex > s.stableIndex {
			s.stableIndex = w.lastIndex
		}
	}
	remaining := s.deferred[:0]
	for _, deferred := range s.deferred {
		if deferred.afterSequence <= sequence {
			r.out.Messages = append(r.out.Messages, deferred.message)
		} else {
			remaining = append(remaining, deferred)
		}
	}
	s.deferred = remaining
	r.countOwnVote()
	if r.state == stateLeader {
		r.advanceCommit()
	}
}

// truncate notes that entries from index on are replaced.
func (s *storageState) truncate(index uint64) {
	s.nextIndex = min(s.nextIndex, index)
	s.stableIndex = min(s.stableIndex, index-1)
}

// syncOverdue reports whether the oldest write is not synced after a time.
func (s *storageState) syncOverdue(now time.Time, after time.Duration) bool {
	return len(s.pendingWrites) > 0 && now.Sub(s.pendingWrites[0].startedAt) > after
}
