package replicas

import (
	"bytes"
	"fmt"
	"slices"
	"time"
)

// InvariantError is the panic value when a safety invariant of the log is
// violated. The process must not continue, or it would corrupt other replicas.
type InvariantError struct{ reason string }

// Error implements error.
func (e *InvariantError) Error() string { return "replicated log: " + e.reason }

func invariantViolated(format string, args ...any) {
	panic(&InvariantError{reason: fmt.Sprintf(format, args...)})
}

// entryLog is the part of the log that is held in memory: the entries after base.
type entryLog struct {
	base     uint64 // index of the last compacted entry
	baseTerm uint64
	entries  []Entry
}

func (l *entryLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of an entry, and false when the entry is compacted or
// missing.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// entriesFrom returns the entries from index on, limited to maxBytes of data but
// at least one entry.
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
	// Cloned so that a later truncation and append cannot overwrite entries
	// that are in flight.
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

// truncate removes all entries from index on.
func (l *entryLog) truncate(index uint64) { l.entries = l.entries[:index-l.base-1] }

// compact removes the entries up to index from memory.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	term, ok := l.term(index)
	if !ok {
		invariantViolated("log with last entry %d cannot be compacted up to entry %d", l.lastIndex(), index)
	}
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base, l.baseTerm = index, term
}

// reset replaces the log by an empty one that starts after a snapshot.
func (l *entryLog) reset(index, term uint64) {
	l.base, l.baseTerm, l.entries = index, term, nil
}

// checkSame panics when a received entry differs from the held entry of the same
// index and term.
func (l *entryLog) checkSame(e Entry) {
	if e.Index <= l.base {
		return
	}
	own := l.entries[e.Index-l.base-1]
	if own.Kind != e.Kind || !bytes.Equal(own.Data, e.Data) || !own.At.Equal(e.At) {
		invariantViolated("two entries of index %d and term %d differ", e.Index, e.Term)
	}
}

// lastEntryTime returns the time of the last entry, or fallback when no entry is
// held.
func (l *entryLog) lastEntryTime(fallback time.Time) time.Time {
	if len(l.entries) == 0 {
		return fallback
	}
	return l.entries[len(l.entries)-1].At
}
