package daemons

import (
	"fmt"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/disks"
	"gypsumshelf.example/gypsumshelf/replicas"
)

const (
	// compactAfterEntries is the number of applied entries after which the log
	// is compacted into a snapshot.
	compactAfterEntries = 4096
	// compactAfterBytes is the size of applied entries after which the log is
	// compacted. Few entries can be large, since they hold outcomes of requests.
	compactAfterBytes = 8 << 20
)

// replicaLog is the replicated log of the reducer. The replica in it is replaced
// when the storage is.
type replicaLog struct {
	replica              *replicas.Replica
	cfg                  replicas.Config
	failed               bool   // the storage accepts no writes
	appliedIndex         uint64 // index of the last applied entry of any kind
	entriesSinceSnapshot int    // applied since the last snapshot
	bytesSinceSnapshot   int
}

func newReplicaLog(cfg replicas.Config) *replicaLog {
	return &replicaLog{replica: replicas.New(cfg), cfg: cfg}
}

// fail stops the replica until LogOpened.
func (l *replicaLog) fail() {
	l.replica.Halt()
	l.failed = true
}

// Propose implements replicatedLog.
func (l *replicaLog) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	return l.replica.Propose(now, data)
}

// Leader implements replicatedLog.
func (l *replicaLog) Leader() (gypsumshelf.DaemonID, bool) { return l.replica.Leader() }

// Term implements replicatedLog.
func (l *replicaLog) Term() uint64 { return l.replica.Term() }

// Confirmation implements replicatedLog.
func (l *replicaLog) Confirmation() (asked time.Time, commit uint64) { return l.replica.Confirmation() }

// LogReceived is the event of a log message from another daemon.
type LogReceived struct{ Message replicas.Message }

// LogSynced is the event of a completed sync to disk.
type LogSynced struct{ Sequence uint64 }

// LogFailed is the event of storage that accepts no more writes.
type LogFailed struct{}

// LogOpened is the event of storage that was opened again, perhaps with a new
// incarnation and empty.
type LogOpened struct{ Opening disks.Opening }

// LogSend is the effect that sends a log message.
type LogSend struct{ Message replicas.Message }

// LogWrite is the effect that writes to the storage and syncs it, if the replica of this
// session is still the one that was recovered from it.
type LogWrite struct {
	Session uint64
	Persist *replicas.Persist
}

// LogRenew is the effect that replaces storage that lacks what this daemon has
// already confirmed to its peers.
type LogRenew struct{ Session uint64 }

// EventName implements gypsumshelf.Event.
func (LogReceived) EventName() string { return "log-received" }

// EventName implements gypsumshelf.Event.
func (LogSynced) EventName() string { return "log-synced" }

// EventName implements gypsumshelf.Event.
func (LogFailed) EventName() string { return "log-failed" }

// EventName implements gypsumshelf.Event.
func (LogOpened) EventName() string { return "log-opened" }

// EffectName implements gypsumshelf.Effect.
func (LogSend) EffectName() string { return "log-send" }

// EffectName implements gypsumshelf.Effect.
func (LogWrite) EffectName() string { return "log-write" }

// EffectName implements gypsumshelf.Effect.
func (LogRenew) EffectName() string { return "log-renew" }

func (r *Reducer) registerLogHandlers() {
	registerHandler(r, func(now time.Time, e LogReceived) { r.log.replica.Receive(now, e.Message) })
	registerHandler(r, func(now time.Time, e LogSynced) { r.log.replica.Synced(now, e.Sequence) })
	registerHandler(r, func(time.Time, LogFailed) { r.log.fail() })
	registerHandler(r, r.handleLogOpened)
}

func (r *Reducer) tickLog(now time.Time) {
	if r.log != nil {
		r.log.replica.Tick(now)
		if r.stopping {
			r.log.replica.Resign(now)
		}
	}
}

// handleLogOpened creates a new replica on storage that was opened again. On empty
// storage, the leader sends it a snapshot. The configuration stays in force, since
// committed entries never revert.
func (r *Reducer) handleLogOpened(now time.Time, e LogOpened) {
	*r.log = *newReplicaLog(recoveredConfig(r.log.cfg, e.Opening))
	r.tickLog(now)
}

// processReplicaOutput emits the replica's messages and writes, applies what it
// committed and renews the freshness lease. It runs after every event, since any
// event can propose a command.
func (r *Reducer) processReplicaOutput(now time.Time) {
	for r.log != nil {
		out := r.log.replica.TakeOutput()
		if out.Renew {
			r.emit(LogRenew{Session: r.log.cfg.Session})
			r.log.replica.Halt()
			return
		}
		for _, m := range out.Messages {
			r.emit(LogSend{Message: m})
		}
		r.applyCommitted(now, out)
		switch {
		case out.Persist == nil:
			r.configuration.renewLease(now, r.log.appliedIndex)
			return
		case r.log.cfg.Durable:
			r.emit(LogWrite{Session: r.log.cfg.Session, Persist: out.Persist})
		default:
			// Without a data folder the daemon never votes, so nothing has to be durable.
			r.log.replica.Synced(now, out.Persist.Sequence)
		}
	}
}

// applyCommitted applies snapshots and committed commands to the configuration.
// It skips entries that are applied already: a daemon receives them again after
// its storage was replaced.
func (r *Reducer) applyCommitted(now time.Time, out replicas.Output) {
	l, c := r.log, r.configuration
	if s := out.InstallSnapshot; s != nil {
		l.appliedIndex, l.entriesSinceSnapshot, l.bytesSinceSnapshot = s.Index, 0, 0
		if len(s.Data) > 0 && s.Index > c.state.Index() {
			if err := c.installSnapshot(s.Index, s.Data); err != nil {
				panic(fmt.Sprintf("snapshot at entry %d cannot be installed: %v", s.Index, err))
			}
		}
	}
	for _, e := range out.Committed {
		l.appliedIndex = e.Index
		l.entriesSinceSnapshot++
		l.bytesSinceSnapshot += len(e.Data)
		if e.Kind == replicas.Command && e.Index > c.state.Index() {
			c.apply(now, e.Index, e.At, e.Data)
		}
	}
	if l.entriesSinceSnapshot < compactAfterEntries && l.bytesSinceSnapshot < compactAfterBytes || c.state.Index() > l.appliedIndex {
		return
	}
	data, err := c.state.Snapshot()
	if err != nil {
		panic(fmt.Sprintf("configuration cannot be encoded: %v", err))
	}
	l.entriesSinceSnapshot, l.bytesSinceSnapshot = 0, 0
	l.replica.Compact(l.appliedIndex, data)
}

// otherDaemons returns all daemons except self.
func otherDaemons(self gypsumshelf.DaemonID, all []gypsumshelf.DaemonID) []gypsumshelf.DaemonID {
	var peers []gypsumshelf.DaemonID
	for _, id := range all {
		if id != self {
			peers = append(peers, id)
		}
	}
	return peers
}
