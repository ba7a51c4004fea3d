// Package configs implements the replicated state machine of the configuration.
// It holds classes, data centres that are out of service, names, command ids,
// records of non-idempotent requests, quarantined body hashes, fencing epochs
// and orders to engines. It is deterministic: replicas that apply the same
// entries hold the same state.
package configs

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

const (
	// CommandRetention is the time for which the result for a command id is kept.
	// It covers an operator who resends a command on the next day's shift.
	CommandRetention = 24 * time.Hour
	// HistoryLimit is the number of accepted changes kept in the history.
	HistoryLimit = 1000
	// MaxSchemes is the maximum number of naming schemes of each kind.
	MaxSchemes = 3
	// MaxOutcomeBytes is the maximum size of a body kept with an outcome. It is
	// bounded because every voter syncs the body and every snapshot contains it.
	MaxOutcomeBytes = 64 << 10
	// MaxRunRetention is the maximum retention of the record of a run.
	MaxRunRetention = 7 * 24 * time.Hour
	// sweepInterval is the minimum time between two removals of expired records.
	sweepInterval = time.Minute
)

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	d stateData
}

// stateData holds the fields of a State as they are encoded in a snapshot.
type stateData struct {
	Index       uint64                                                `json:"index"`
	Now         time.Time                                             `json:"now"` // latest time of an entry, monotonic
	LastSweep   time.Time                                             `json:"swept"`
	Revision    gypsumshelf.Revision                                  `json:"revision"`
	Classes     map[string]gypsumshelf.Target                         `json:"classes"`
	TakenOut    map[string]gypsumshelf.Revision                       `json:"taken-out"` // revision of the take-out by data centre
	Names       map[gypsumshelf.NameKind]map[string]map[string]string `json:"names"`     // canonical name by kind, scheme and alias
	History     []AcceptedChange                                      `json:"history"`
	Commands    map[string]commandRecord                              `json:"commands"`
	ExpiredIDs  boundedHashSet                                        `json:"spent-ids"`
	Runs        map[string]*Run                                       `json:"runs"`
	ExpiredKeys boundedHashSet                                        `json:"spent-keys"`
	Quarantine  map[uint64]QuarantineRecord                           `json:"quarantine"`
	Epochs      map[string]Epoch                                      `json:"epochs"`
	Orders      map[gypsumshelf.ServerID]IssuedOrder                  `json:"orders"`
	Loads       loadBucket                                            `json:"loads"`
}

// New returns the empty state, before the first entry.
func New() *State {
	s := &State{}
	s.d.initialize()
	return s
}

// initialize creates the maps that an empty state or an old snapshot lacks, and
// the fields that a snapshot does not contain.
func (d *stateData) initialize() {
	makeMap(&d.Classes)
	makeMap(&d.TakenOut)
	makeMap(&d.Names)
	makeMap(&d.Commands)
	makeMap(&d.Runs)
	makeMap(&d.Quarantine)
	makeMap(&d.Epochs)
	makeMap(&d.Orders)
	d.ExpiredIDs.initialize(maxExpiredIDs)
	d.ExpiredKeys.initialize(maxExpiredKeys)
}

func makeMap[K comparable, V any](m *map[K]V) {
	if *m == nil {
		*m = map[K]V{}
	}
}

// Apply applies the command of the log entry with the given index. Entries must
// be applied in increasing order of index; Apply panics otherwise. at is the
// clock of the leader that proposed the entry. The time of the state is
// monotonic, so that an expired record does not become valid again under a new
// leader whose clock is behind.
func (s *State) Apply(index uint64, at time.Time, c Command) Result {
	if index <= s.d.Index {
		panic(fmt.Sprintf("configs: log entry %d applied after entry %d, want an increasing index", index, s.d.Index))
	}
	s.d.Index = index
	if at.After(s.d.Now) {
		s.d.Now = at.UTC().Round(0)
	}
	s.sweep()
	before := s.d.Revision
	result := s.apply(c)
	s.assertRevision(before, result)
	return result
}

func (s *State) apply(c Command) Result {
	switch c := c.(type) {
	case OperatorCommand:
		return s.operate(c)
	case BeginRun:
		return s.beginRun(c)
	case FinishRun:
		return s.finishRun(c)
	case Quarantine:
		return s.quarantine(c)
	case LiftQuarantine:
		return s.liftQuarantine(c)
	case AdvanceEpoch:
		return s.advanceEpoch(c)
	case IssueOrder:
		return s.issueOrder(c)
	case EndOrder:
		return s.endOrder(c)
	}
	panic(fmt.Sprintf("configs: no handler for command type %q", c.CommandType()))
}

// assertRevision panics unless the revision is unchanged, or has increased by one
// with an accepted change that is the last one in the history.
func (s *State) assertRevision(before gypsumshelf.Revision, r Result) {
	switch {
	case s.d.Revision == before:
	case s.d.Revision != before+1 || !r.Accepted() || r.Recorded == nil:
		panic(fmt.Sprintf("configs: revision changed from %d to %d with result %+v, want an accepted change and revision %d", before, s.d.Revision, r, before+1))
	case s.d.History[len(s.d.History)-1] != *r.Recorded || r.Recorded.Revision != s.d.Revision:
		panic(fmt.Sprintf("configs: last history entry differs from the recorded change of revision %d", s.d.Revision))
	}
}

// sweep removes expired records, at most once per sweepInterval.
func (s *State) sweep() {
	if s.d.Now.Sub(s.d.LastSweep) < sweepInterval {
		return
	}
	s.d.LastSweep = s.d.Now
	s.sweepCommands()
	s.sweepRuns()
	s.sweepOrders()
	maps.DeleteFunc(s.d.Quarantine, func(_ uint64, q QuarantineRecord) bool { return !s.d.Now.Before(q.Expires) })
}

func (s *State) refuse(code Code, format string, args ...any) Result {
	return Result{Code: code, Text: fmt.Sprintf(format, args...), Revision: s.d.Revision}
}

// Index returns the index of the last applied entry.
func (s *State) Index() uint64 { return s.d.Index }

// Revision returns the number of accepted operator commands.
func (s *State) Revision() gypsumshelf.Revision { return s.d.Revision }

// History returns the latest accepted changes, the oldest first.
func (s *State) History() []AcceptedChange { return slices.Clone(s.d.History) }

// builtInDefaultTarget is the target of the default class until an operator sets
// one.
var builtInDefaultTarget = gypsumshelf.Target{FirstToken: time.Second, Finish: time.Minute}

// Class returns a class by its name. The default class always exists.
func (s *State) Class(name string) (gypsumshelf.Class, bool) {
	target, ok := s.d.Classes[name]
	if !ok && name == gypsumshelf.DefaultClassName {
		target, ok = builtInDefaultTarget, true
	}
	return gypsumshelf.Class{Name: name, Target: target}, ok
}

// Classes returns all classes, sorted by name.
func (s *State) Classes() []gypsumshelf.Class {
	names := slices.Collect(maps.Keys(s.d.Classes))
	if _, ok := s.d.Classes[gypsumshelf.DefaultClassName]; !ok {
		names = append(names, gypsumshelf.DefaultClassName)
	}
	slices.Sort(names)
	classes := make([]gypsumshelf.Class, len(names))
	for i, name := range names {
		classes[i], _ = s.Class(name)
	}
	return classes
}

// TakenOut returns the canonical names of the data centres that are out of
// service, sorted.
func (s *State) TakenOut() []string { return slices.Sorted(maps.Keys(s.d.TakenOut)) }
