package replicas

import (
	"math"
	"time"
)

// storage tracks what is handed to the driver and what is synced.
type storage struct {
	next      uint64 // first entry not yet handed out
	stable    uint64 // last entry that is synced
	hardDirty bool
	replace   bool   // the next Persist replaces everything stored
	sequence  uint64 // of the last Persist
	synced    uint64 // last sequence that is synced
	pending   []writing
	held      []heldMessage
}

// writing is a Persist that is not synced yet.
type writing struct {
	sequence uint64
	last     uint64 // its last entry, when it has one
	term     uint64
	since    time.Time
}

// heldMessage promises what is stored by a Persist and waits for its sync.
type heldMessage struct {
	after   uint64
	message Message
}

func (s *storage) dirty(last uint64) bool { return s.hardDirty || s.replace || s.next <= last }

// send queues a message that promises nothing about this node's storage.
func (r *Replica) send(to NodeID, body any) {
	r.out.Messages = append(r.out.Messages, r.message(to, body))
}

// promise queues a message that may leave only when everything that the node
// knows now is synced.
func (r *Replica) promise(to NodeID, body any) {
	after := r.stored.sequence
	if r.stored.dirty(r.log.last()) {
		after++
	}
	if after <= r.stored.synced {
		r.send(to, body)
		return
	}
	r.stored.held = append(r.stored.held, heldMessage{after: after, message: r.message(to, body)})
}

func (r *Replica) message(to NodeID, body any) Message {
	return Message{
		From: r.cfg.ID, To: to, Session: r.cfg.Session,
		Group: r.hard.Group, Term: r.hard.Term, Body: body,
	}
}

// Take returns what the driver must do; nothing is returned twice.
func (r *Replica) Take() Output {
	if r.stopped() {
		renew := r.outdated && !r.halted
		r.Halt()
		return Output{Renew: renew}
	}
	if r.state == leading {
		r.replicate()
	}
	out := r.out
	r.out = Output{}
	out.Persist = r.persist()
	return out
}

func (r *Replica) persist() *Persist {
	s := &r.stored
	last := r.log.last()
	if !s.dirty(last) {
		return nil
	}
	s.sequence++
	p := &Persist{Sequence: s.sequence, Hard: r.hard}
	w := writing{sequence: s.sequence, since: r.now}
	if s.replace {
		p.Snapshot = r.snapshot
		s.next = r.snapshot.Index + 1
		w.last, w.term = r.snapshot.Index, r.snapshot.Term
	}
	if s.next <= last {
		p.Entries = r.log.from(s.next, math.MaxInt)
		w.last, w.term = last, r.log.lastTerm()
	}
	s.next = last + 1
	s.hardDirty, s.replace = false, false
	s.pending = append(s.pending, w)
	return p
}

// Synced tells the replica that all Persist up to a sequence are synced.
func (r *Replica) Synced(now time.Time, sequence uint64) {
	r.advance(now)
	s := &r.stored
	if r.stopped() || sequence <= s.synced {
		return
	}
	if sequence > s.sequence {
		violated("sync of %d reported, last handed out %d", sequence, s.sequence)
	}
	s.synced = sequence
	for len(s.pending) > 0 && s.pending[0].sequence <= sequence {
		w := s.pending[0]
		s.pending = s.pending[1:]
		// An entry that was truncated since is not the one that was synced.
		if term, ok := r.log.term(w.last); ok && term == w.term && w.last > s.stable {
			s.stable = w.last
		}
	}
	kept := s.held[:0]
	for _, h := range s.held {
		if h.after <= sequence {
			r.out.Messages = append(r.out.Messages, h.message)
		} else {
			kept = append(kept, h)
		}
	}
	s.held = kept
	r.countOwnVote()
	if r.state == leading {
		r.advanceCommit()
	}
}

// truncateStored notes that entries from index on are replaced.
func (s *storage) truncateStored(index uint64) {
	s.next = min(s.next, index)
	s.stable = min(s.stable, index-1)
}

// stuck reports whether the oldest write is not synced after a time.
func (s *storage) stuck(now time.Time, after time.Duration) bool {
	return len(s.pending) > 0 && now.Sub(s.pending[0].since) > after
}
