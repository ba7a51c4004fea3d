// Package controls is the control daemon: a voter of the replicated log that
// keeps the catalog and the data centres out of service, takes what backend
// servers say of themselves, and schedules engine work while it leads.
package controls

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/replicas"
)

const (
	// compactEntries and compactBytes bound the log that a restart reads.
	compactEntries = 512
	compactBytes   = 4 << 20
)

// Errors of proposals and reads.
var (
	ErrNotLeader  = errors.New("this daemon does not lead the replicated log")
	ErrOverridden = errors.New("the leader changed before the command was committed; it may have been lost")
	ErrStorage    = errors.New("the data folder accepts no writes")
)

// Ticket identifies a proposal or a read within its daemon.
type Ticket uint64

// Events of the reducer.
type (
	// Ticked tells the time.
	Ticked struct{}
	// Received is a message of the replicated log.
	Received struct{ Message replicas.Message }
	// Synced says that everything up to a sequence is on the disk.
	Synced struct{ Sequence uint64 }
	// StorageFailed says that the disk accepts no writes.
	StorageFailed struct{}
	// StorageRenewed says that the data folder was replaced by an empty one.
	StorageRenewed struct{ Config replicas.Config }
	// Proposed asks for a command.
	Proposed struct {
		Ticket  Ticket
		Command catalogs.Command
	}
	// ReadAsked asks for the newest state.
	ReadAsked struct{ Ticket Ticket }
	// ReadDropped says that nobody waits for a read any more.
	ReadDropped struct{ Ticket Ticket }
	// PeersKnown lists the daemons that a new member may ask to join.
	PeersKnown struct{ IDs []gypsumshelf.DaemonID }
	// Stopping says that the process is about to end.
	Stopping struct{}
)

// Effects of the reducer.
type (
	// Send sends a message of the replicated log.
	Send struct{ Message replicas.Message }
	// Write writes and syncs.
	Write struct{ Persist *replicas.Persist }
	// Renew discards a data folder that is older than what peers saw of it.
	Renew struct{}
	// Publish makes a new state known.
	Publish struct{ State catalogs.State }
	// Lead makes known who leads.
	Lead struct {
		Self    bool
		Leader  gypsumshelf.DaemonID // empty when unknown
		Term    uint64
		Members replicas.Members
	}
	// Answer answers a proposal or a read.
	Answer struct {
		Ticket Ticket
		State  catalogs.State
		Err    error
	}
)

// proposal is a command that waits for its commit.
type proposal struct {
	ticket Ticket
	term   uint64
}

// read waits until the leader is known to have led after it was asked.
type read struct {
	ticket Ticket
	at     time.Time
}

// Reducer decides what a control daemon does. It has no clock and no I/O.
type Reducer struct {
	cfg       replicas.Config
	replica   *replicas.Replica
	state     catalogs.State
	applied   uint64
	entries   int // applied since the last snapshot
	bytes     int
	proposals map[uint64]proposal // by index
	reads     []read
	lead      Lead
	stopping  bool
	out       []any
}

// NewReducer returns a Reducer that continues from its recovered storage.
func NewReducer(cfg replicas.Config) *Reducer {
	return &Reducer{cfg: cfg, replica: replicas.New(cfg), proposals: map[uint64]proposal{}}
}

// Step handles an event and returns its effects.
func (r *Reducer) Step(now time.Time, event any) []any {
	r.out = nil
	switch e := event.(type) {
	case Ticked:
		r.replica.Tick(now)
		if r.stopping {
			r.replica.Resign(now)
		}
	case Received:
		r.replica.Receive(now, e.Message)
	case Synced:
		r.replica.Synced(now, e.Sequence)
	case StorageFailed:
		r.replica.Halt()
		r.failAll(ErrStorage)
	case StorageRenewed:
		r.cfg = e.Config
		r.replica = replicas.New(e.Config)
		r.applied = 0
	case Proposed:
		r.propose(now, e)
	case ReadAsked:
		r.reads = append(r.reads, read{ticket: e.Ticket, at: now})
	case ReadDropped:
		r.reads = slices.DeleteFunc(r.reads, func(q read) bool { return q.ticket == e.Ticket })
	case PeersKnown:
		r.replica.SetPeers(e.IDs)
	case Stopping:
		r.stopping = true
		r.replica.Resign(now)
	default:
		panic(fmt.Sprintf("unknown event %T", event))
	}
	r.flush()
	return r.out
}

func (r *Reducer) emit(effect any) { r.out = append(r.out, effect) }

func (r *Reducer) propose(now time.Time, e Proposed) {
	index, term, err := r.replica.Propose(now, e.Command.Encode())
	if err != nil {
		r.emit(Answer{Ticket: e.Ticket, Err: ErrNotLeader})
		return
	}
	r.proposals[index] = proposal{ticket: e.Ticket, term: term}
}

// flush carries out what the replica asks for, until it asks for nothing more.
func (r *Reducer) flush() {
	for {
		out := r.replica.Take()
		if out.Renew {
			r.emit(Renew{})
			r.failAll(ErrStorage)
			return
		}
		for _, m := range out.Messages {
			r.emit(Send{Message: m})
		}
		r.install(out.Install)
		for _, e := range out.Committed {
			r.apply(e)
		}
		r.compact()
		if out.Persist == nil {
			break
		}
		r.emit(Write{Persist: out.Persist})
	}
	r.announceLead()
	r.answerReads()
}

func (r *Reducer) install(s *replicas.Snapshot) {
	if s == nil {
		return
	}
	r.applied, r.entries, r.bytes = s.Index, 0, 0
	if len(s.Data) == 0 || s.Index <= r.state.Index {
		return
	}
	if err := r.state.Restore(s.Data); err != nil {
		panic(fmt.Sprintf("snapshot at entry %d cannot be installed: %v", s.Index, err))
	}
	r.emit(Publish{State: r.state})
}

// apply carries out a committed entry. After its storage was renewed a daemon
// sees entries again that it has applied; the state never goes back.
func (r *Reducer) apply(e replicas.Entry) {
	r.applied = e.Index
	r.entries++
	r.bytes += len(e.Data)
	if e.Kind == replicas.Command && e.Index > r.state.Index {
		changed, err := r.state.Apply(e.Index, e.Data)
		if err != nil {
			panic(fmt.Sprintf("committed command cannot be applied: %v", err))
		}
		if changed {
			r.emit(Publish{State: r.state})
		}
	}
	if p, ok := r.proposals[e.Index]; ok {
		delete(r.proposals, e.Index)
		var err error
		if p.term != e.Term {
			err = ErrOverridden
		}
		r.emit(Answer{Ticket: p.ticket, State: r.state, Err: err})
	}
}

func (r *Reducer) compact() {
	if r.entries < compactEntries && r.bytes < compactBytes || r.state.Index > r.applied {
		return
	}
	data, err := r.state.Snapshot()
	if err != nil {
		panic(fmt.Sprintf("state cannot be encoded: %v", err))
	}
	r.entries, r.bytes = 0, 0
	r.replica.Compact(r.applied, data)
}

// announceLead reports a change of the leader or of the members.
func (r *Reducer) announceLead() {
	leader, _ := r.replica.Leader()
	next := Lead{Self: r.replica.IsLeader(), Leader: leader, Term: r.replica.Term(), Members: r.replica.Members()}
	if next.Self == r.lead.Self && next.Leader == r.lead.Leader && next.Term == r.lead.Term && slices.Equal(next.Members, r.lead.Members) {
		return
	}
	if r.lead.Self && !next.Self {
		r.failAll(ErrOverridden)
	}
	r.lead = next
	r.emit(next)
}

// failAll answers every proposal that waits. Its command may still be
// committed, so that the operator has to send it again.
func (r *Reducer) failAll(err error) {
	for index, p := range r.proposals {
		delete(r.proposals, index)
		r.emit(Answer{Ticket: p.ticket, Err: err})
	}
}

// answerReads answers the reads that were asked before a time at which the
// leader had a quorum, once everything committed until then is applied. The
// time is one of this daemon's own requests to the leader: a daemon that was
// suspended meanwhile cannot take its old state for the newest.
func (r *Reducer) answerReads() {
	asked, commit := r.replica.Confirmation()
	if asked.IsZero() || r.applied < commit {
		return
	}
	kept := r.reads[:0]
	for _, q := range r.reads {
		if asked.After(q.at) {
			r.emit(Answer{Ticket: q.ticket, State: r.state})
		} else {
			kept = append(kept, q)
		}
	}
	r.reads = kept
}
