package replicas

import (
	"bytes"
	"fmt"
	"slices"
	"time"
)

// InvariantError is the panic value when the replica finds that a safety rule
// of the log is broken. The process must not continue: it would spread the damage.
type InvariantError struct{ reason string }

// Error implements error.
func (e *InvariantError) Error() string { return "replicated log: " + e.reason }

func invariantViolated(format string, args ...any) {
	panic(&InvariantError{reason: fmt.Sprintf(format, args...)})
}

// entryLog holds the entries after base in memory.
type entryLog struct {
	base     uint64 // index of the last entry that is not held
	baseTerm uint64
	entries  []Entry
}

func (l *entryLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of an entry; false when it is compacted or missing.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// entriesFrom returns the entries from index on, at least one and then at most bytes
// of data.
func (l *entryLog) entriesFrom(index uint64, maxBytes int) []Entry {
	if index <= l.base || index > l.lastIndex() {
		return nil
	}
	entries := l.entries[index-l.base-1:]
	for i := range entries {
		maxBytes -= len(entries[i].Data)
		if maxBytes < 0 && i > 0 {
			entries = entries[:i]
			break
		}
	}
	// The clone keeps a later truncation from changing entries in flight.
	return slices.Clone(entries)
}

func (l *entryLog) append(e Entry) {
	if e.Index != l.lastIndex()+1 {
		invariantViolated("entry %d appended after entry %d", e.Index, l.lastIndex())
	}
	if e.Term < l.lastTerm() {
		invariantViolated("entry %d of term %d appended after term %d", e.Index, e.Term, l.lastTerm())
	}
	l.entries = append(l.entries, e)
}

// truncate removes the entries from index on.
func (l *entryLog) truncate(index uint64) { l.entries = l.entries[:index-l.base-1] }

// compact forgets the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	term, ok := l.term(index)
	if !ok {
		invariantViolated("log up to %d cannot be compacted at %d", l.lastIndex(), index)
	}
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base, l.baseTerm = index, term
}

// reset replaces the log by an empty one after a snapshot.
func (l *entryLog) reset(index, term uint64) {
	l.base, l.baseTerm, l.entries = index, term, nil
}

// checkSame panics when an entry differs from the one that the log holds with the
// same index and term.
func (l *entryLog) checkSame(e Entry) {
	if e.Index <= l.base {
		return
	}
	own := l.entries[e.Index-l.base-1]
	if own.Kind != e.Kind || !bytes.Equal(own.Data, e.Data) || !own.At.Equal(e.At) {
		invariantViolated("two entries of index %d and term %d differ", e.Index, e.Term)
	}
}

// lastEntryTime returns the time of the last entry, or otherwise.
func (l *entryLog) lastEntryTime(fallback time.Time) time.Time {
	if len(l.entries) == 0 {
		return fallback
	}
	return l.entries[len(l.entries)-1].At
}
