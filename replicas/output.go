package replicas

import (
	"math"
	"time"
)

// storageState tracks which state the driver was told to store and which is
// synced.
type storageState struct {
	nextIndex      uint64 // first entry not yet in a Persist
	stableIndex    uint64 // last entry that is synced
	stableTerm     uint64 // term of the last HardState that is synced
	hardDirty      bool
	replaceAll     bool   // the next Persist replaces everything stored
	lastSequence   uint64 // sequence of the last Persist
	syncedSequence uint64 // last sequence that is synced
	pendingWrites  []pendingWrite
	deferred       []deferredMessage
}

// pendingWrite is a Persist that is not synced yet.
type pendingWrite struct {
	sequence  uint64
	lastIndex uint64 // index of its last entry or else of its snapshot, 0 without both
	lastTerm  uint64
	term      uint64 // term of its HardState
	startedAt time.Time
}

// deferredMessage is a message that must not be sent before a Persist is synced.
type deferredMessage struct {
	afterSequence uint64
	message       Message
}

func (s *storageState) hasUnwritten(last uint64) bool {
	return s.hardDirty || s.replaceAll || s.nextIndex <= last
}

// send queues a message that does not depend on unsynced state of this node.
func (r *Replica) send(to NodeID, body any) {
	r.out.Messages = append(r.out.Messages, r.newMessage(to, body))
}

// sendAfterSync queues a message that must be sent only after the current state
// of the node is synced.
func (r *Replica) sendAfterSync(to NodeID, body any) {
	sequence := r.storage.lastSequence
	if r.storage.hasUnwritten(r.log.lastIndex()) {
		sequence++
	}
	if sequence <= r.storage.syncedSequence {
		r.send(to, body)
		return
	}
	r.storage.deferred = append(r.storage.deferred, deferredMessage{afterSequence: sequence, message: r.newMessage(to, body)})
}

// sendInSyncedTerm queues a message that must be sent only after the current term, the
// group and the entries up to index are synced. Other writes do not delay it, so that a
// slow disk does not delay responses to heartbeats.
func (r *Replica) sendInSyncedTerm(to NodeID, index uint64, body any) {
	if r.storage.stableTerm == r.hardState.Term && index <= r.storage.stableIndex {
		r.send(to, body)
	} else {
		r.sendAfterSync(to, body)
	}
}

func (r *Replica) newMessage(to NodeID, body any) Message {
	return Message{
		From: r.cfg.ID, To: to, Session: r.cfg.Session,
		Group: r.hardState.Group, Term: r.hardState.Term, Body: body,
	}
}

// TakeOutput returns the pending output. Each item is returned once.
func (r *Replica) TakeOutput() Output {
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
	p := &Persist{Sequence: s.lastSequence, HardState: r.hardState}
	w := pendingWrite{sequence: s.lastSequence, term: r.hardState.Term, startedAt: r.now}
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

// Synced tells the replica that every Persist up to a sequence is synced.
func (r *Replica) Synced(now time.Time, sequence uint64) {
	r.advanceClock(now)
	s := &r.storage
	if r.isStopped() || sequence <= s.syncedSequence {
		return
	}
	if sequence > s.lastSequence {
		invariantViolated("sync of sequence %d reported, but the last sequence is %d", sequence, s.lastSequence)
	}
	s.syncedSequence = sequence
	for len(s.pendingWrites) > 0 && s.pendingWrites[0].sequence <= sequence {
		w := s.pendingWrites[0]
		s.pendingWrites = s.pendingWrites[1:]
		s.stableTerm = w.term
		// If the entry was truncated since, the log now holds another one,
		// which is not synced.
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

// truncate records that the entries from index on were removed from the log.
func (s *storageState) truncate(index uint64) {
	s.nextIndex = min(s.nextIndex, index)
	s.stableIndex = min(s.stableIndex, index-1)
}

// syncOverdue reports whether the oldest unsynced write has been pending for
// longer than a limit.
func (s *storageState) syncOverdue(now time.Time, limit time.Duration) bool {
	return len(s.pendingWrites) > 0 && now.Sub(s.pendingWrites[0].startedAt) > limit
}
