package replicas

import (
	"bytes"
	"fmt"
	"slices"
	"time"
)

// InvariantError is the panic value when the replica finds that a safety rule
// of the log is broken. The process must not continue: it would spread the damage.
type InvariantError struct{ text string }

// Error implements error.
func (e *InvariantError) Error() string { return "replicated log: " + e.text }

func violated(format string, args ...any) {
	panic(&InvariantError{text: fmt.Sprintf(format, args...)})
}

// entryLog holds the entries after base in memory.
type entryLog struct {
	base     uint64 // index of the last entry that is not held
	baseTerm uint64
	entries  []Entry
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an entry; false when it is compacted or missing.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// from returns the entries from index on, at least one and then at most bytes
// of data.
func (l *entryLog) from(index uint64, bytes int) []Entry {
	if index <= l.base || index > l.last() {
		return nil
	}
	entries := l.entries[index-l.base-1:]
	for i := range entries {
		bytes -= len(entries[i].Data)
		if bytes < 0 && i > 0 {
			entries = entries[:i]
			break
		}
	}
	// The clone keeps a later truncation from changing entries in flight.
	return slices.Clone(entries)
}

func (l *entryLog) append(e Entry) {
	if e.Index != l.last()+1 {
		violated("entry %d appended after entry %d", e.Index, l.last())
	}
	if e.Term < l.lastTerm() {
		violated("entry %d of term %d appended after term %d", e.Index, e.Term, l.lastTerm())
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
		violated("log up to %d cannot be compacted at %d", l.last(), index)
	}
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base, l.baseTerm = index, term
}

// reset replaces the log by an empty one after a snapshot.
func (l *entryLog) reset(index, term uint64) {
	l.base, l.baseTerm, l.entries = index, term, nil
}

// same panics when an entry differs from the one that the log holds with the
// same index and term.
func (l *entryLog) same(e Entry) {
	if e.Index <= l.base {
		return
	}
	own := l.entries[e.Index-l.base-1]
	if own.Kind != e.Kind || !bytes.Equal(own.Data, e.Data) || !own.At.Equal(e.At) {
		violated("two entries of index %d and term %d differ", e.Index, e.Term)
	}
}

// lastAt returns the time of the last entry, or otherwise.
func (l *entryLog) lastAt(otherwise time.Time) time.Time {
	if len(l.entries) == 0 {
		return otherwise
	}
	return l.entries[len(l.entries)-1].At
}
