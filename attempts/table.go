// Package attempts holds the life of each request on a daemon: its attempts on
// backend servers, its verdict, and the record that explains both.
package attempts

import (
	"fmt"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Config configures a Table.
type Config struct {
	MaxAttempts int           // attempts of one request in all
	Keep        time.Duration // time for which ended requests can be explained
}

// Attempt is one try of a request on one backend server.
type Attempt struct {
	id       gypsumshelf.AttemptID
	server   gypsumshelf.ServerID
	started  time.Time
	sent     bool
	position int // tokens delivered when the attempt ended
}

// ID returns the attempt's id.
func (a *Attempt) ID() gypsumshelf.AttemptID { return a.id }

// Server returns the backend server of the attempt.
func (a *Attempt) Server() gypsumshelf.ServerID { return a.server }

// Record is the state of one request.
type Record struct {
	request  gypsumshelf.Request
	attempts []*Attempt
	running  *Attempt
	verdict  gypsumshelf.Verdict
	position int // tokens delivered to the caller
	ended    time.Time
	notes    []Note
}

// Request returns the request.
func (r *Record) Request() gypsumshelf.Request { return r.request }

// Position returns the number of tokens delivered to the caller.
func (r *Record) Position() int { return r.position }

// Running returns the attempt in progress, or nil.
func (r *Record) Running() *Attempt { return r.running }

// Verdict returns the verdict over all attempts so far.
func (r *Record) Verdict() gypsumshelf.Verdict { return r.verdict }

// Tried reports whether an attempt was made on the server.
func (r *Record) Tried(id gypsumshelf.ServerID) bool {
	for _, a := range r.attempts {
		if a.server == id {
			return true
		}
	}
	return false
}

// Note is one line of a request's explanation.
type Note struct {
	At   time.Time `json:"at"`
	Text string    `json:"text"`
}

// Table holds the requests of a daemon.
type Table struct {
	cfg     Config
	records map[gypsumshelf.RequestID]*Record
	byTry   map[gypsumshelf.AttemptID]*Record
}

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{
		cfg:     cfg,
		records: map[gypsumshelf.RequestID]*Record{},
		byTry:   map[gypsumshelf.AttemptID]*Record{},
	}
}

// Open adds an arrived request. It returns nil when the id is in use.
func (t *Table) Open(now time.Time, req gypsumshelf.Request) *Record {
	if t.records[req.ID] != nil {
		return nil
	}
	r := &Record{request: req}
	t.records[req.ID] = r
	r.note(now, "arrived: class %s, workspace %s, about %d prompt tokens", req.Class.Name, req.Workspace, req.PromptTokens)
	return r
}

// Record returns the record of a request, or nil.
func (t *Table) Record(id gypsumshelf.RequestID) *Record { return t.records[id] }

// Begin adds an attempt of the request on a backend server.
func (t *Table) Begin(now time.Time, r *Record, server gypsumshelf.ServerID) *Attempt {
	a := &Attempt{
		id:      gypsumshelf.AttemptID(fmt.Sprintf("%s.%d", r.request.ID, len(r.attempts)+1)),
		server:  server,
		started: now,
	}
	r.attempts = append(r.attempts, a)
	r.running = a
	t.byTry[a.id] = r
	return a
}

// Sent records that bytes of the attempt may have reached the backend server.
func (t *Table) Sent(id gypsumshelf.AttemptID) {
	if r := t.byTry[id]; r != nil && r.running != nil && r.running.id == id {
		r.running.sent = true
		r.verdict = r.verdict.Worse(gypsumshelf.MayHaveRun)
	}
}

// FirstToken records the first token of an attempt.
func (t *Table) FirstToken(now time.Time, id gypsumshelf.AttemptID) {
	if r := t.byTry[id]; r != nil && r.running != nil && r.running.id == id {
		r.note(now, "first token of %s from %s after %s", id, r.running.server, now.Sub(r.running.started))
	}
}

// Ended records that an attempt delivered its whole answer.
func (t *Table) Ended(now time.Time, id gypsumshelf.AttemptID, position int) *Record {
	r := t.release(id, position)
	if r == nil {
		return nil
	}
	r.verdict = gypsumshelf.Ran
	t.Close(now, r, "answered in full by %s after %d tokens", r.attempts[len(r.attempts)-1].server, position)
	return r
}

// Failed records that an attempt failed. It reports whether the request may be
// tried again elsewhere.
func (t *Table) Failed(now time.Time, id gypsumshelf.AttemptID, position int, failure *gypsumshelf.Error) (r *Record, retry bool) {
	r = t.release(id, position)
	if r == nil {
		return nil, false
	}
	a := r.attempts[len(r.attempts)-1]
	r.note(now, "%s on %s failed: %s", id, a.server, failure)
	if failure.Verdict == gypsumshelf.NotRun && len(r.attempts) == 1 {
		r.verdict = gypsumshelf.NotRun
	}
	r.verdict = r.verdict.Worse(failure.Verdict)
	repeatable := r.request.Idempotent || r.verdict == gypsumshelf.NotRun
	retry = repeatable && len(r.attempts) < t.cfg.MaxAttempts && now.Before(r.request.Deadline())
	return r, retry
}

func (t *Table) release(id gypsumshelf.AttemptID, position int) *Record {
	r := t.byTry[id]
	if r == nil || r.running == nil || r.running.id != id {
		return nil
	}
	delete(t.byTry, id)
	r.running.position = position
	r.position = max(r.position, position)
	r.running = nil
	return r
}

// Close ends a request; its record is kept for Config.Keep.
func (t *Table) Close(now time.Time, r *Record, format string, args ...any) {
	if r.running != nil {
		delete(t.byTry, r.running.id)
		r.running = nil
	}
	r.ended = now
	r.note(now, format, args...)
}

// Overdue returns the open requests whose deadline has passed.
func (t *Table) Overdue(now time.Time) []*Record {
	var late []*Record
	for _, r := range t.records {
		if r.ended.IsZero() && !now.Before(r.request.Deadline()) {
			late = append(late, r)
		}
	}
	return late
}

// Active returns the number of requests that have not ended.
func (t *Table) Active() int {
	n := 0
	for _, r := range t.records {
		if r.ended.IsZero() {
			n++
		}
	}
	return n
}

// Expire forgets requests that ended more than Config.Keep ago.
func (t *Table) Expire(now time.Time) {
	for id, r := range t.records {
		if !r.ended.IsZero() && now.Sub(r.ended) > t.cfg.Keep {
			delete(t.records, id)
		}
	}
}

// Explain returns the notes of a request, or nil when it is not known.
func (t *Table) Explain(id gypsumshelf.RequestID) []Note {
	if r := t.records[id]; r != nil {
		return r.notes
	}
	return nil
}

// Note adds a line to the request's explanation.
func (r *Record) Note(now time.Time, format string, args ...any) { r.note(now, format, args...) }

func (r *Record) note(now time.Time, format string, args ...any) {
	r.notes = append(r.notes, Note{At: now, Text: fmt.Sprintf(format, args...)})
}

// Attempts returns all attempts of the request in order.
func (r *Record) Attempts() []*Attempt { return r.attempts }
