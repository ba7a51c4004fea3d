// Package attempts tracks each request of a daemon: its attempts on backend
// servers, its verdict, and notes that explain both.
package attempts

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Config configures a Table.
type Config struct {
	MaxAttempts int           // most attempts of one request
	RecordTTL   time.Duration // time for which the records of ended requests are kept
	Retries     BudgetConfig
	Suspects    SuspectsConfig
}

// Table holds the requests of a daemon.
type Table struct {
	cfg          Config
	records      map[gypsumshelf.RequestID]*Record
	open         map[gypsumshelf.RequestID]*Record
	endedRecords []*Record // in order of endedAt
	byAttempt    map[gypsumshelf.AttemptID]*Record
	budget       *Budget
	suspects     *Suspects
}

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{
		cfg:       cfg,
		records:   map[gypsumshelf.RequestID]*Record{},
		open:      map[gypsumshelf.RequestID]*Record{},
		byAttempt: map[gypsumshelf.AttemptID]*Record{},
		budget:    NewBudget(cfg.Retries),
		suspects:  NewSuspects(cfg.Suspects),
	}
}

// Suspects returns the body hashes suspected of crashing backend servers.
func (t *Table) Suspects() *Suspects { return t.suspects }

// Open adds a new request. It returns nil when the id is in use.
func (t *Table) Open(now time.Time, req gypsumshelf.Request) *Record {
	if t.records[req.ID] != nil {
		return nil
	}
	r := &Record{request: req}
	t.records[req.ID] = r
	t.open[req.ID] = r
	r.note(now, "arrived: class %s, workspace %s, about %d prompt tokens", req.Class.Name, req.Workspace, req.PromptTokens)
	return r
}

// Record returns the record of a request, or nil.
func (t *Table) Record(id gypsumshelf.RequestID) *Record { return t.records[id] }

// Target is the backend server of a new attempt.
type Target struct {
	Server      gypsumshelf.ServerID
	Address     string
	Incarnation string
}

// Begin adds an attempt of the request on a backend server. It panics when an
// attempt is in progress and when a non-idempotent request may have run.
func (t *Table) Begin(now time.Time, r *Record, target Target) *Attempt {
	invariant(!r.Closed(), "request %s has ended", r.request.ID)
	invariant(r.running == nil, "request %s has an attempt in progress", r.request.ID)
	invariant(r.request.Idempotent || r.verdict == gypsumshelf.NotRun, "request %s is not idempotent and may already have run", r.request.ID)
	invariant(r.key != keyPending, "the idempotency key of request %s is not yet recorded", r.request.ID)
	attempt := &Attempt{
		id:     gypsumshelf.AttemptID(fmt.Sprintf("%s.%d", r.request.ID, len(r.attempts)+1)),
		server: target.Server, address: target.Address, incarnation: target.Incarnation,
		started: now, startPosition: r.position,
	}
	r.attempts = append(r.attempts, attempt)
	r.running = attempt
	r.isolationWaitStart = time.Time{}
	t.byAttempt[attempt.id] = r
	if len(r.attempts) == 1 {
		t.budget.Credit(now, BudgetKey(r.request))
	}
	return attempt
}

// AttemptsUsedUp reports whether the request has used all its attempts.
func (t *Table) AttemptsUsedUp(r *Record) bool { return len(r.attempts) >= t.cfg.MaxAttempts }

// Attempt returns the record and the attempt in progress with the id, or nil.
func (t *Table) Attempt(id gypsumshelf.AttemptID) (*Record, *Attempt) {
	r := t.byAttempt[id]
	if r == nil || r.running == nil || r.running.id != id {
		return nil, nil
	}
	return r, r.running
}

// Sent records that bytes of the attempt may have reached the backend server.
func (t *Table) Sent(id gypsumshelf.AttemptID) {
	if _, a := t.Attempt(id); a != nil {
		a.sent = true
	}
}

// FirstToken records the first token of an attempt.
func (t *Table) FirstToken(now time.Time, id gypsumshelf.AttemptID) {
	if r, a := t.Attempt(id); a != nil {
		r.note(now, "first token of %s from %s after %s", id, a.server, now.Sub(a.started))
	}
}

// Ended records that an attempt delivered its complete answer.
func (t *Table) Ended(now time.Time, id gypsumshelf.AttemptID, position int) *Record {
	r, a := t.endAttempt(id, position)
	if r == nil {
		return nil
	}
	r.verdict = gypsumshelf.Ran
	t.Close(now, r, "answered in full by %s after %d tokens", a.server, position)
	return r
}

// Failed records that an attempt failed. It reports whether the request may be
// retried; if so, it has taken the retry from the budget.
func (t *Table) Failed(now time.Time, e Failed) (r *Record, retry bool) {
	r, a := t.endAttempt(e.Attempt, e.Position)
	if r == nil {
		return nil, false
	}
	r.note(now, "%s on %s failed: %s", e.Attempt, a.server, e.Failure)
	verdict := e.Failure.Verdict
	if e.Position > a.startPosition {
		verdict = verdict.Worse(gypsumshelf.MayHaveRun)
	}
	r.verdict = r.verdict.Worse(verdict)
	return r, t.mayRetry(now, r, e.Failure.Code)
}

// mayRetry reports whether the request may be retried and, if so, takes the retry
// from the budget.
func (t *Table) mayRetry(now time.Time, r *Record, code gypsumshelf.Code) bool {
	switch {
	case code == gypsumshelf.CodeCallerGone, code == gypsumshelf.CodeBadRequest, code == gypsumshelf.CodeDeadline:
		return false
	case !r.request.Idempotent && r.verdict != gypsumshelf.NotRun:
		return false
	case r.request.Model == "" && r.position > 0:
		return false // a plain service cannot resume an answer that has begun
	case len(r.attempts) >= t.cfg.MaxAttempts, !now.Before(r.request.Deadline()):
		return false
	}
	if !t.budget.Spend(now, BudgetKey(r.request)) {
		r.note(now, "not retried: the retry budget of %s is spent", BudgetKey(r.request))
		return false
	}
	return true
}

// ScheduleRetry schedules the request's retry after a delay with full jitter.
func (t *Table) ScheduleRetry(now time.Time, r *Record) {
	r.retryAt = now.Add(t.budget.Delay(len(r.attempts)))
}

// TakeDueRetries returns the requests whose retry is due, sorted by id, and
// marks the retries as no longer pending.
func (t *Table) TakeDueRetries(now time.Time) []*Record {
	return t.openMatching(func(r *Record) bool {
		if r.retryAt.IsZero() || now.Before(r.retryAt) {
			return false
		}
		r.retryAt = time.Time{}
		return true
	})
}

// endAttempt ends the attempt in progress with the id and returns it with its
// record, or nil.
func (t *Table) endAttempt(id gypsumshelf.AttemptID, position int) (*Record, *Attempt) {
	r, a := t.Attempt(id)
	if r == nil {
		return nil, nil
	}
	invariant(position >= r.position, "position of request %s went back from token %d to %d", r.request.ID, r.position, position)
	delete(t.byAttempt, id)
	a.endPosition = position
	r.position = position
	r.running = nil
	return r, a
}

// Close ends a request; its record is kept for Config.RecordTTL. It returns the
// attempt that was in progress, or nil.
func (t *Table) Close(now time.Time, r *Record, format string, args ...any) *Attempt {
	interrupted := r.running
	if interrupted != nil {
		r.verdict = r.Verdict()
		delete(t.byAttempt, interrupted.id)
		r.running = nil
	}
	r.endedAt = now
	r.retryAt = time.Time{}
	delete(t.open, r.request.ID)
	t.endedRecords = append(t.endedRecords, r)
	r.note(now, format, args...)
	return interrupted
}

// Overdue returns the open requests whose deadline has passed.
func (t *Table) Overdue(now time.Time) []*Record {
	return t.openMatching(func(r *Record) bool { return !now.Before(r.request.Deadline()) })
}

// openMatching returns the open requests for which keep returns true, sorted by
// id.
func (t *Table) openMatching(keep func(*Record) bool) []*Record {
	var matching []*Record
	for _, r := range t.open {
		if keep(r) {
			matching = append(matching, r)
		}
	}
	slices.SortFunc(matching, func(a, b *Record) int { return cmp.Compare(a.request.ID, b.request.ID) })
	return matching
}

// Active returns the requests that have not ended, sorted by id.
func (t *Table) Active() []*Record { return t.openMatching(func(*Record) bool { return true }) }

// Expire removes requests that ended more than Config.RecordTTL ago and expired
// suspects.
func (t *Table) Expire(now time.Time) {
	n := 0
	for n < len(t.endedRecords) && now.Sub(t.endedRecords[n].endedAt) > t.cfg.RecordTTL {
		delete(t.records, t.endedRecords[n].request.ID)
		n++
	}
	t.endedRecords = slices.Delete(t.endedRecords, 0, n)
	t.suspects.Expire(now)
}

// Explain returns the notes of a request, or nil for an unknown request.
func (t *Table) Explain(id gypsumshelf.RequestID) []Note {
	if r := t.records[id]; r != nil {
		return r.notes
	}
	return nil
}

// invariant panics when a caller of the package breaks a rule, since continuing
// could run work twice or mix up answers.
func invariant(ok bool, format string, args ...any) {
	if !ok {
		panic("attempts: invariant broken: " + fmt.Sprintf(format, args...))
	}
}
