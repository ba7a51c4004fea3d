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
	ErrStorage    = errors.New("the data folder of this daemon accepts no writes; it takes no part in the replicated log")
	ErrOutdated   = errors.New("the data folder of this daemon is older than what peers saw of it and is replaced")
	ErrTooLarge   = errors.New("the configuration is too large for the disks of the control daemons")
	ErrLogFull    = errors.New("the log has no room on the disk until earlier changes are compacted; send again")
	ErrStopping   = errors.New("this daemon is stopping; send again to another one")
	ErrRestarting = errors.New("the replicated log of this daemon starts again after an unexpected error")
)

// Ticket identifies a pending proposal or read of one daemon.
type Ticket uint64

// Events of the reducer.
type (
	// Tick is the periodic timer event.
	Tick struct{}
	// MessageReceived carries a message of the replicated log.
	MessageReceived struct{ Message replicas.Message }
	// LogSynced reports that all writes up to a sequence are on disk.
	LogSynced struct{ Sequence uint64 }
	// StorageFailed reports that the disk accepts no writes.
	StorageFailed struct{}
	// StorageOpened reports that the data folder was opened again, perhaps with a new
	// incarnation and empty.
	StorageOpened struct{ Config replicas.Config }
	// CommandProposed asks to commit a command.
	CommandProposed struct {
		Ticket  Ticket
		Command catalogs.Command
	}
	// ReadRequested asks for a linearizable read of the state.
	ReadRequested struct{ Ticket Ticket }
	// ReadCancelled cancels a read.
	ReadCancelled struct{ Ticket Ticket }
	// PeersDiscovered lists the daemons that a new member may ask to join.
	PeersDiscovered struct{ IDs []gypsumshelf.DaemonID }
	// ShutdownStarted reports that the process is shutting down.
	ShutdownStarted struct{}
)

// Effects of the reducer.
type (
	// Send sends a message of the replicated log to its receiver.
	Send struct{ Message replicas.Message }
	// Write writes to the data folder and syncs it, if the replica of this session is
	// still the one that was recovered from it.
	Write struct {
		Session uint64
		Persist *replicas.Persist
	}
	// Renew replaces a data folder that lacks writes which peers have already
	// seen from this daemon.
	Renew struct{ Session uint64 }
	// Publish publishes a new replicated state.
	Publish struct{ State catalogs.State }
	// Leadership publishes the leader, the term and the members.
	Leadership struct {
		IsLeader bool                 // whether this daemon is the leader
		Leader   gypsumshelf.DaemonID // empty when unknown
		Term     uint64
		Members  replicas.Members
	}
	// ChangeProposed reports that this daemon, as the leader, changes the membership.
	ChangeProposed struct{ Change replicas.MembershipChange }
	// StopGranted reports, once, that the replicated log goes on without this daemon.
	StopGranted struct{}
	// Halted reports that an unexpected error has stopped the replica. What the event
	// had led to is discarded, so that nothing is acknowledged.
	Halted struct {
		Session uint64
		Event   any
		Panic   any
	}
	// Skipped reports a committed command that cannot be applied.
	Skipped struct{ Err error }
	// Reply completes a proposal or a read.
	Reply struct {
		Ticket Ticket
		State  catalogs.State
		Index  uint64 // of the entry, for a proposal
		Err    error
	}
)

// pendingProposal is a command that is not committed yet.
type pendingProposal struct {
	ticket  Ticket
	term    uint64
	size    int    // of its entry data
	subject string // of its command
	action  catalogs.Action
}

// pendingRead is answered once the leader's quorum is confirmed for a time
// after the request.
type pendingRead struct {
	ticket      Ticket
	requestedAt time.Time
}

// Reducer is the deterministic event handler of a control daemon. It has no
// clock and does no I/O.
type Reducer struct {
	cfg                  replicas.Config
	replica              *replicas.Replica
	state                catalogs.State
	orders               orderHistory
	appliedIndex         uint64
	snapshotIndex        uint64 // last entry in the latest snapshot that this daemon took
	entriesSinceSnapshot int
	bytesSinceSnapshot   int                        // of entry data
	maxLogBytes          int                        // of entry data that is not compacted, 0 for no limit
	pendingProposals     map[uint64]pendingProposal // by index
	pendingReads         []pendingRead
	unavailable          error // why the replica is halted, nil while it runs
	leadership           Leadership
	stopping             bool
	stopGranted          bool
	observer             observer
	effects              []any
}

// NewReducer returns a Reducer that continues from the recovered storage of cfg.
// Without an incarnation its replica is halted until StorageOpened.
func NewReducer(cfg replicas.Config) *Reducer {
	r := &Reducer{cfg: cfg, replica: replicas.New(cfg), pendingProposals: map[uint64]pendingProposal{}, orders: orderHistory{newest: map[string]order{}}}
	if cfg.ID.Incarnation == "" {
		r.failStorage()
	}
	return r
}

// Step handles an event and returns its effects. A panic, be it a broken invariant of
// the replicated log, stops the replica until StorageOpened replaces it.
func (r *Reducer) Step(now time.Time, event any) (effects []any) {
	defer func() {
		if v := recover(); v != nil {
			effects = r.halt(event, v)
		}
	}()
	r.effects = nil
	switch e := event.(type) {
	case Tick:
		r.replica.Tick(now)
		if r.stopping {
			r.replica.Resign(now)
		}
	case MessageReceived:
		r.observer.heard(now, e.Message.From)
		r.replica.Receive(now, e.Message)
	case LogSynced:
		r.replica.Synced(now, e.Sequence)
	case StorageFailed:
		r.failStorage()
	case StorageOpened:
		r.cfg, r.unavailable = e.Config, nil
		r.replica = replicas.New(e.Config)
		r.appliedIndex, r.entriesSinceSnapshot, r.bytesSinceSnapshot = 0, 0, 0
		// Entries that the state has are not applied again, and the last may lack its order.
		r.orders.forget(r.state.Index)
		if r.state.Index > 0 {
			// An unexpected error may have kept it from being published.
			r.emit(Publish{State: r.state})
		}
	case CommandProposed:
		r.propose(now, e)
	case ReadRequested:
		r.read(now, e)
	case ReadCancelled:
		r.pendingReads = slices.DeleteFunc(r.pendingReads, func(p pendingRead) bool { return p.ticket == e.Ticket })
	case PeersDiscovered:
		r.replica.SetPeers(e.IDs)
	case ShutdownStarted:
		r.stopping = true
		r.replica.Resign(now)
	default:
		panic(fmt.Sprintf("unknown event %T", event))
	}
	r.drainReplica()
	return append(r.effects, r.observer.observe(now, r.replica)...)
}

// halt stops the replica and returns the effects of doing so.
func (r *Reducer) halt(event, cause any) []any {
	r.effects = nil
	r.replica.Halt()
	r.becomeUnavailable(ErrRestarting)
	r.leadership = Leadership{Term: r.leadership.Term, Members: r.leadership.Members}
	r.emit(r.leadership)
	r.emit(Halted{Session: r.cfg.Session, Event: event, Panic: cause})
	return r.effects
}

// AppliedIndex returns the index of the last applied entry.
func (r *Reducer) AppliedIndex() uint64 { return r.appliedIndex }

func (r *Reducer) emit(effect any) { r.effects = append(r.effects, effect) }

func (r *Reducer) read(now time.Time, e ReadRequested) {
	if r.unavailable != nil {
		r.emit(Reply{Ticket: e.Ticket, Err: r.unavailable})
		return
	}
	r.pendingReads = append(r.pendingReads, pendingRead{ticket: e.Ticket, requestedAt: now})
}

func (r *Reducer) propose(now time.Time, e CommandProposed) {
	if r.unavailable != nil {
		r.emit(Reply{Ticket: e.Ticket, Err: r.unavailable})
		return
	}
	if err := r.checkOrder(e.Command); err != nil {
		r.emit(Reply{Ticket: e.Ticket, Err: err})
		return
	}
	data := e.Command.Encode()
	if r.maxLogBytes > 0 && r.uncompactedBytes()+len(data) > r.maxLogBytes {
		r.emit(Reply{Ticket: e.Ticket, Err: ErrLogFull})
		return
	}
	index, term, err := r.replica.Propose(now, data)
	if err != nil {
		r.emit(Reply{Ticket: e.Ticket, Err: ErrNotLeader})
		return
	}
	r.pendingProposals[index] = pendingProposal{ticket: e.Ticket, term: term, size: len(data), subject: e.Command.Subject(), action: e.Command.Action}
}

// uncompactedBytes returns the entry data that is applied, but in no snapshot yet, and
// that of this leader's pending proposals.
func (r *Reducer) uncompactedBytes() int {
	n := r.bytesSinceSnapshot
	for _, p := range r.pendingProposals {
		n += p.size
	}
	return n
}

// drainReplica converts the output of the replica to effects until the replica
// has nothing more to write.
func (r *Reducer) drainReplica() {
	for {
		out := r.replica.TakeOutput()
		if out.Renew {
			r.emit(Renew{Session: r.cfg.Session})
			r.becomeUnavailable(ErrOutdated)
			break
		}
		for _, m := range out.Messages {
			r.emit(Send{Message: m})
		}
		for _, c := range out.MembershipChanges {
			r.emit(ChangeProposed{Change: c})
		}
		r.installSnapshot(out.InstallSnapshot)
		for _, e := range out.Committed {
			r.applyEntry(e)
		}
		r.compact()
		if out.Persist == nil {
			break
		}
		r.emit(Write{Session: r.cfg.Session, Persist: out.Persist})
	}
	r.emitLeadership()
	r.answerReads()
	r.emitStopGranted()
}

// emitStopGranted grants a stop once. A voter whose replica is halted waits until a
// learner can take its vote: the replica usually starts again soon.
func (r *Reducer) emitStopGranted() {
	keepsVote := r.unavailable != nil && r.leadership.Members.IsVoter(r.cfg.ID)
	if !r.stopGranted && !keepsVote && r.replica.MayStop() {
		r.stopGranted = true
		r.emit(StopGranted{})
	}
}

func (r *Reducer) installSnapshot(s *replicas.Snapshot) {
	if s == nil {
		return
	}
	r.appliedIndex, r.entriesSinceSnapshot, r.bytesSinceSnapshot = s.Index, 0, 0
	r.orders.forget(s.Index)
	if len(s.Data) == 0 || s.Index <= r.state.Index {
		return
	}
	if err := r.state.Restore(s.Data); err != nil {
		panic(fmt.Sprintf("snapshot at entry %d cannot be installed: %v", s.Index, err))
	}
	r.emit(Publish{State: r.state})
}

// applyEntry applies a committed entry. After its storage was renewed, a daemon
// receives entries again that it has already applied; these are skipped, so that
// the state never goes back.
func (r *Reducer) applyEntry(e replicas.Entry) {
	r.appliedIndex = e.Index
	r.entriesSinceSnapshot++
	r.bytesSinceSnapshot += len(e.Data)
	var err error
	if e.Kind == replicas.Command && e.Index > r.state.Index {
		err = r.applyCommand(e)
	}
	if p, ok := r.pendingProposals[e.Index]; ok {
		delete(r.pendingProposals, e.Index)
		if p.term != e.Term {
			err = ErrOverridden
		}
		r.emit(Reply{Ticket: p.ticket, State: r.state, Index: e.Index, Err: err})
	}
}

// applyCommand applies a committed command that is new to the state.
func (r *Reducer) applyCommand(e replicas.Entry) error {
	c, changed, err := r.state.Apply(e.Index, e.Data)
	if err != nil {
		// All daemons skip the same command. A panic would stop all of them, again
		// after each start.
		r.emit(Skipped{Err: err})
		return err
	}
	r.orders.record(e.Index, c)
	if changed {
		r.emit(Publish{State: r.state})
	}
	return nil
}

func (r *Reducer) compact() {
	threshold := compactBytes
	if r.maxLogBytes > 0 {
		// The rest of the limit is for the next command.
		threshold = min(threshold, r.maxLogBytes/2)
	}
	if r.entriesSinceSnapshot < compactEntries && r.bytesSinceSnapshot < threshold || r.state.Index > r.appliedIndex {
		return
	}
	data, err := r.state.Snapshot()
	if err != nil {
		panic(fmt.Sprintf("state cannot be encoded: %v", err))
	}
	r.entriesSinceSnapshot, r.bytesSinceSnapshot = 0, 0
	r.replica.Compact(r.appliedIndex, data)
	// Proposers that knew less than the previous snapshot have long timed out.
	r.orders.forget(r.snapshotIndex)
	r.snapshotIndex = r.appliedIndex
}

// emitLeadership emits a Leadership effect when the leader, the term or the
// members have changed.
func (r *Reducer) emitLeadership() {
	leader, _ := r.replica.Leader()
	next := Leadership{IsLeader: r.replica.IsLeader(), Leader: leader, Term: r.replica.Term(), Members: r.replica.Members()}
	if next.IsLeader == r.leadership.IsLeader && next.Leader == r.leadership.Leader && next.Term == r.leadership.Term && slices.Equal(next.Members, r.leadership.Members) {
		return
	}
	if r.leadership.IsLeader && !next.IsLeader {
		r.failProposals(ErrOverridden)
	}
	r.leadership = next
	r.emit(next)
}

func (r *Reducer) failStorage() {
	r.replica.Halt()
	r.becomeUnavailable(ErrStorage)
}

// becomeUnavailable fails all pending calls, and later ones until StorageOpened.
func (r *Reducer) becomeUnavailable(cause error) {
	r.unavailable = cause
	r.failProposals(cause)
	for _, p := range r.pendingReads {
		r.emit(Reply{Ticket: p.ticket, Err: cause})
	}
	r.pendingReads = nil
}

// failProposals fails every pending proposal. Their commands may still be
// committed; the operator has to send them again.
func (r *Reducer) failProposals(err error) {
	for index, p := range r.pendingProposals {
		delete(r.pendingProposals, index)
		r.emit(Reply{Ticket: p.ticket, Err: err})
	}
}

// answerReads answers the reads that were requested before the last time at
// which the leader is confirmed to have had a quorum, once all entries
// committed by then are applied. That time is the sending time of this daemon's
// own request to the leader, so that a daemon that was suspended in between
// does not return an old state as the newest.
func (r *Reducer) answerReads() {
	confirmedAt, commit := r.replica.Confirmation()
	if confirmedAt.IsZero() || r.appliedIndex < commit {
		return
	}
	remaining := r.pendingReads[:0]
	for _, p := range r.pendingReads {
		if confirmedAt.After(p.requestedAt) {
			r.emit(Reply{Ticket: p.ticket, State: r.state})
		} else {
			remaining = append(remaining, p)
		}
	}
	r.pendingReads = remaining
}
