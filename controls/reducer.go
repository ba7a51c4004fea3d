// Package controls implements the control daemon: a member of the replicated
// log that stores the catalog and the list of data centres out of service. It
// also receives the announcements of backend servers, and schedules engine work
// while it is the leader.
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
	// compactEntries and compactBytes are the sizes at which the log is
	// compacted, so that a restart replays a bounded log.
	compactEntries = 512
	compactBytes   = 4 << 20
)

// Errors of proposals and reads.
var (
	ErrNotLeader  = errors.New("this daemon does not lead the replicated log")
	ErrOverridden = errors.New("the leader changed before the command was committed; it may have been lost")
	ErrStorage    = errors.New("the data folder accepts no writes")
)

// Ticket identifies a pending proposal or read of one daemon.
type Ticket uint64

// Events of the reducer.
type (
	// Ticked is the periodic timer event.
	Ticked struct{}
	// Received carries a message of the replicated log.
	Received struct{ Message replicas.Message }
	// Synced reports that all writes up to a sequence are on disk.
	Synced struct{ Sequence uint64 }
	// StorageFailed reports that the disk accepts no writes.
	StorageFailed struct{}
	// StorageRenewed reports that the data folder was replaced by an empty one.
	StorageRenewed struct{ Config replicas.Config }
	// Proposed asks to commit a command.
	Proposed struct {
		Ticket  Ticket
		Command catalogs.Command
	}
	// ReadAsked asks for a linearizable read of the state.
	ReadAsked struct{ Ticket Ticket }
	// ReadDropped cancels a read.
	ReadDropped struct{ Ticket Ticket }
	// PeersKnown lists the daemons that a new member may ask to join.
	PeersKnown struct{ IDs []gypsumshelf.DaemonID }
	// Stopping reports that the process is shutting down.
	Stopping struct{}
)

// Effects of the reducer.
type (
	// Send sends a message of the replicated log to its receiver.
	Send struct{ Message replicas.Message }
	// Write writes to the data folder and syncs it.
	Write struct{ Persist *replicas.Persist }
	// Renew replaces a data folder that lacks writes which peers have already
	// seen from this daemon.
	Renew struct{}
	// Publish publishes a new replicated state.
	Publish struct{ State catalogs.State }
	// Lead publishes the leader, the term and the members.
	Lead struct {
		Self    bool                 // this daemon is the leader
		Leader  gypsumshelf.DaemonID // empty when unknown
		Term    uint64
		Members replicas.Members
	}
	// Answer completes a proposal or a read.
	Answer struct {
		Ticket Ticket
		State  catalogs.State
		Err    error
	}
)

// proposal is a command that is not committed yet.
type proposal struct {
	ticket Ticket
	term   uint64
}

// read is answered once the leader's quorum is confirmed for a time after the
// request.
type read struct {
	ticket Ticket
	at     time.Time
}

// Reducer is the deterministic event handler of a control daemon. It has no
// clock and does no I/O.
type Reducer struct {
	cfg       replicas.Config
	replica   *replicas.Replica
	state     catalogs.State
	applied   uint64
	entries   int                 // applied since the last snapshot
	bytes     int                 // in these entries
	proposals map[uint64]proposal // by index
	reads     []read
	lead      Lead
	stopping  bool
	out       []any
}

// NewReducer returns a Reducer that continues from the recovered storage of cfg.
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

// flush converts the output of the replica to effects until the replica has
// nothing more to write.
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

// apply applies a committed entry. After its storage was renewed, a daemon
// receives entries again that it has already applied; these are skipped, so that
// the state never goes back.
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

// announceLead emits a Lead effect when the leader, the term or the members have
// changed.
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

// failAll fails every pending proposal. Their commands may still be committed;
// the operator has to send them again.
func (r *Reducer) failAll(err error) {
	for index, p := range r.proposals {
		delete(r.proposals, index)
		r.emit(Answer{Ticket: p.ticket, Err: err})
	}
}

// answerReads answers the reads that were requested before the last time at
// which the leader is confirmed to have had a quorum, once all entries committed
// by then are applied. That time is the sending time of this daemon's own request
// to the leader, so that a daemon that was suspended in between does not return
// an old state as the newest.
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
