package attempts

import (
	"fmt"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Attempt is one attempt to run a request on one backend server.
type Attempt struct {
	id            gypsumshelf.AttemptID
	server        gypsumshelf.ServerID
	address       string
	incarnation   string
	started       time.Time
	sent          bool
	startPosition int // position of the first token requested
	endPosition   int // tokens delivered when the attempt ended
}

// ID returns the attempt's id.
func (a *Attempt) ID() gypsumshelf.AttemptID { return a.id }

// Server returns the backend server of the attempt.
func (a *Attempt) Server() gypsumshelf.ServerID { return a.server }

// Address returns the IP:PORT of the attempt's backend server.
func (a *Attempt) Address() string { return a.address }

// Started returns the time at which the attempt began.
func (a *Attempt) Started() time.Time { return a.started }

// Incarnation returns the incarnation of the server that the attempt ran on.
func (a *Attempt) Incarnation() string { return a.incarnation }

// Record is the state of one request.
type Record struct {
	request            gypsumshelf.Request
	attempts           []*Attempt
	running            *Attempt
	verdict            gypsumshelf.Verdict // worst verdict of ended attempts
	position           int                 // tokens delivered to the caller
	retryAt            time.Time           // zero unless a retry is waiting
	isolationWaitStart time.Time           // start of a suspect's wait for an idle server, zero when not waiting
	key                keyState
	runID              string // id of this run in the key's record
	endedAt            time.Time
	notes              []Note
}

// Request returns the request.
func (r *Record) Request() gypsumshelf.Request { return r.request }

// Position returns the number of tokens delivered to the caller.
func (r *Record) Position() int { return r.position }

// Running returns the attempt in progress, or nil.
func (r *Record) Running() *Attempt { return r.running }

// Attempts returns all attempts of the request in order.
func (r *Record) Attempts() []*Attempt { return r.attempts }

// Closed reports whether the request has ended.
func (r *Record) Closed() bool { return !r.endedAt.IsZero() }

// Verdict returns the combined verdict of all attempts so far. An attempt in
// progress counts as may-have-run from its start, because the event that bytes
// were sent may still be queued. An unconfirmed key record also counts as
// may-have-run, because another daemon may be running the call.
func (r *Record) Verdict() gypsumshelf.Verdict {
	if r.running != nil || r.key == keyPending {
		return r.verdict.Worse(gypsumshelf.MayHaveRun)
	}
	return r.verdict
}

// IsolationWaited returns how long the request has waited for a backend server
// without other work. The first call after an attempt starts the wait.
func (r *Record) IsolationWaited(now time.Time) time.Duration {
	if r.isolationWaitStart.IsZero() {
		r.isolationWaitStart = now
	}
	return now.Sub(r.isolationWaitStart)
}

// LastServer returns the backend server of the latest attempt, or "".
func (r *Record) LastServer() gypsumshelf.ServerID {
	if len(r.attempts) == 0 {
		return ""
	}
	return r.attempts[len(r.attempts)-1].server
}

// Tried reports whether an attempt was made on the server.
func (r *Record) Tried(id gypsumshelf.ServerID) bool {
	for _, a := range r.attempts {
		if a.server == id {
			return true
		}
	}
	return false
}

// Note is one entry of a request's explanation.
type Note struct {
	At   time.Time `json:"at"`
	Text string    `json:"text"`
}

// Note adds an entry to the request's explanation.
func (r *Record) Note(now time.Time, format string, args ...any) { r.note(now, format, args...) }

func (r *Record) note(now time.Time, format string, args ...any) {
	r.notes = append(r.notes, Note{At: now, Text: fmt.Sprintf(format, args...)})
}
