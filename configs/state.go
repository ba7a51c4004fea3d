// Package configs is the replicated state machine: classes, data centres taken
// out, names, command ids, records of non-idempotent requests, quarantine and
// fencing epochs. It is deterministic: replicas that apply the same entries
// hold the same state.
package configs

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

const (
	// CommandRetention is the time for which the answer to a command id is kept.
	// It covers an operator who resends a command on the next day's shift.
	CommandRetention = 24 * time.Hour
	// HistoryLimit is the number of accepted changes kept for config history.
	HistoryLimit = 1000
	// MaxSchemes is the number of naming schemes of each kind.
	MaxSchemes = 3
	// MaxOutcomeBytes bounds the body kept with an outcome, since every voter
	// syncs it and every snapshot contains it.
	MaxOutcomeBytes = 64 << 10
	// MaxRunRetention is the longest time for which a run's record is kept.
	MaxRunRetention = 7 * 24 * time.Hour
	// sweepInterval is the time between two removals of expired records.
	sweepInterval = time.Minute
)

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	d stateData
}

// stateData holds the fields of a State in the form of its snapshot.
type stateData struct {
	Index       uint64                                                `json:"index"`
	Now         time.Time                                             `json:"now"` // latest time of an entry, never goes back
	LastSweep   time.Time                                             `json:"swept"`
	Revision    gypsumshelf.Revision                                  `json:"revision"`
	Classes     map[string]gypsumshelf.Target                         `json:"classes"`
	TakenOut    map[string]gypsumshelf.Revision                       `json:"taken-out"` // revision of the take-out by data centre
	Names       map[gypsumshelf.NameKind]map[string]map[string]string `json:"names"`     // canonical name by kind, scheme and alias
	History     []Recorded                                            `json:"history"`
	Commands    map[string]commandRecord                              `json:"commands"`
	ExpiredIDs  boundedHashSet                                        `json:"spent-ids"`
	Runs        map[string]*Run                                       `json:"runs"`
	ExpiredKeys boundedHashSet                                        `json:"spent-keys"`
	Quarantine  map[uint64]QuarantineRecord                           `json:"quarantine"`
	Epochs      map[string]Epoch                                      `json:"epochs"`
	Orders      map[gypsumshelf.ServerID]IssuedOrder                  `json:"orders"`
	Loads       loadBucket                                            `json:"loads"`
}

// New returns the state before the first entry.
func New() *State {
	s := &State{}
	s.d.initialize()
	return s
}

// initialize makes the maps that an empty state or an old snapshot lacks.
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

// Apply applies the command of the log entry with the given index. at is the
// time of the leader that proposed the entry; time never goes back, so that a
// new leader whose clock is behind revives nothing that has expired. Entries
// must arrive in increasing order of index.
func (s *State) Apply(index uint64, at time.Time, c Command) Result {
	if index <= s.d.Index {
		panic(fmt.Sprintf("entry %d applied after entry %d", index, s.d.Index))
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
	case Operate:
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
	panic(fmt.Sprintf("command %s is not handled", c.CommandType()))
}

// assertRevision checks that the revision moves forward by at most one, and
// only with the change that the history shows for it.
func (s *State) assertRevision(before gypsumshelf.Revision, r Result) {
	switch {
	case s.d.Revision == before:
	case s.d.Revision != before+1 || !r.Accepted() || r.Recorded == nil:
		panic(fmt.Sprintf("revision went from %d to %d with result %+v", before, s.d.Revision, r))
	case s.d.History[len(s.d.History)-1] != *r.Recorded || r.Recorded.Revision != s.d.Revision:
		panic(fmt.Sprintf("history of revision %d differs from its answer", s.d.Revision))
	}
}

// sweep removes expired records, at most once in sweepPeriod.
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
func (s *State) History() []Recorded { return slices.Clone(s.d.History) }

// builtInDefaultTarget is the class that exists until an operator sets it.
var builtInDefaultTarget = gypsumshelf.Target{FirstToken: time.Second, Finish: time.Minute}

// Class returns a class by its name. The class default always exists.
func (s *State) Class(name string) (gypsumshelf.Class, bool) {
	target, ok := s.d.Classes[name]
	if !ok && name == gypsumshelf.DefaultClassName {
		target, ok = builtInDefaultTarget, true
	}
	return gypsumshelf.Class{Name: name, Target: target}, ok
}

// Classes returns all classes in the order of their names.
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

// TakenOut returns the canonical names of the data centres out of service.
func (s *State) TakenOut() []string { return slices.Sorted(maps.Keys(s.d.TakenOut)) }
