package forwards

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/logs"
	"gypsumshelf.example/gypsumshelf/schedules"
	"gypsumshelf.example/gypsumshelf/timers"
)

// Placer decides on which engines a job runs.
type Placer interface {
	// Place waits for a decision; it fails when ctx ends first.
	Place(ctx context.Context, job schedules.Job) (schedules.Decision, error)
	Started(id schedules.JobID)
	End(id schedules.JobID, outcome schedules.Outcome, blamed gypsumshelf.ServerID)
}

// Recorder counts what happens to requests.
type Recorder interface {
	Request(service, outcome string, status int, took time.Duration)
	Attempt(service, outcome string)
	FirstEvent(service string, took time.Duration)
}

// Config configures a Forwarder.
type Config struct {
	Daemon     gypsumshelf.DaemonID
	DataCentre string
	Protocol   Protocol
	Fleet      *Fleet
	Placer     Placer
	Retries    Retries
	Fresh      func() bool // whether the state may still be used; nil for always
	Log        *logrus.Entry
	Recorder   Recorder
}

// Forwarder serves the requests of callers.
type Forwarder struct {
	cfg     Config
	catalog atomic.Pointer[catalogs.Catalog]
	ready   chan struct{}             // closed with the first catalog
	ending  atomic.Bool               // connections end with their next answer
	until   atomic.Pointer[time.Time] // set when the daemon stops: requests must end before it
	active  atomic.Int64
	still   standstill

	budgetMu sync.Mutex
	budget   *attempts.Budget // of second attempts, for each service
}

// New returns a Forwarder that refuses all requests until it has a catalog.
func New(cfg Config) *Forwarder {
	f := &Forwarder{cfg: cfg, ready: make(chan struct{})}
	f.budget = attempts.NewBudget(cfg.Retries.budget(1))
	return f
}

// ShareRetries tells the forwarder how many daemons share the budget of second
// attempts.
func (f *Forwarder) ShareRetries(daemons int) {
	b := f.cfg.Retries.budget(daemons)
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	f.budget.Resize(b.PerSecond, b.Burst)
}

// SetCatalog puts a catalog in force for requests that arrive from now on.
func (f *Forwarder) SetCatalog(c *catalogs.Catalog) {
	if f.catalog.Swap(c) == nil {
		close(f.ready)
	}
}

// awaitCatalog returns the catalog in force. A daemon that has just started
// gets one within a second or two, for which requests wait.
func (f *Forwarder) awaitCatalog(ctx context.Context, deadline time.Duration) *catalogs.Catalog {
	if c := f.catalog.Load(); c != nil {
		return c
	}
	wait := catalogWait
	if deadline > 0 {
		wait = min(wait, time.Duration(catalogWaitShare*float64(deadline)))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-f.ready:
	case <-ctx.Done():
	case <-timer.C:
	}
	return f.catalog.Load()
}

const (
	// catalogWait is below the 2 s after which callers of short prompts leave.
	catalogWait = 1600 * time.Millisecond
	// catalogWaitShare leaves the caller time to come back to another daemon.
	catalogWaitShare = 0.4
)

// Catalog returns the catalog in force, nil before the first.
func (f *Forwarder) Catalog() *catalogs.Catalog { return f.catalog.Load() }

// CloseConnections makes every answer from now on the last of its connection.
func (f *Forwarder) CloseConnections() { f.ending.Store(true) }

// StopTaking makes the forwarder refuse requests that arrive from now on, unless
// their time ends before the daemon does.
func (f *Forwarder) StopTaking(until time.Time) { f.until.Store(&until) }

// Beat is called every BeatPeriod, so that the forwarder notices when the
// process was stopped.
func (f *Forwarder) Beat(now time.Time) {
	if f.still.tick(now) {
		f.cfg.Log.Warn("the process stood still; callers of requests that waited meanwhile may have left")
	}
}

// Active returns the number of requests in progress.
func (f *Forwarder) Active() int64 { return f.active.Load() }

// spend takes one second attempt out of the budget of a service.
func (f *Forwarder) spend(service string) bool {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	return f.budget.Spend(f.cfg.Fleet.now(), service)
}

func (f *Forwarder) earn(service string) {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	f.budget.Earn(f.cfg.Fleet.now(), service)
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	d := &delivery{forwarder: f, w: w, r: r, arrived: f.cfg.Fleet.now(), meta: f.cfg.Protocol.Meta(r)}
	d.serve()
	if d.abort {
		panic(http.ErrAbortHandler) // the connection must not look as if the answer were whole
	}
}

// delivery is one request of a caller on its way.
type delivery struct {
	forwarder *Forwarder
	w         http.ResponseWriter
	r         *http.Request
	meta      Meta
	catalog   *catalogs.Catalog
	route     *catalogs.Route
	service   *catalogs.Service
	workspace *catalogs.Workspace
	body      []byte
	arrived   time.Time
	deadline  time.Time

	jobs      int                    // submitted to the scheduler
	sent      int                    // attempts that reached a backend server
	tried     []gypsumshelf.ServerID // of all attempts
	verdict   gypsumshelf.Verdict    // of all attempts
	lastEvent int                    // last event passed on, or that the caller had
	headSent  bool
	failed    *wholeAnswer // the backend server's own failure, delivered when nothing better comes
	abort     bool
	pace      pace
	status    int
	outcome   string
	cause     string
}

// wholeAnswer is a complete answer of a backend server.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// Outcomes of requests in logs and metrics.
const (
	outcomeAnswered = "answered"
	outcomeRefused  = "refused" // has not run
	outcomeFailed   = "failed"  // may have run
	outcomeBroken   = "broken-off"
	outcomeGone     = "caller-gone"
)

func (d *delivery) now() time.Time { return d.forwarder.cfg.Fleet.now() }

func (d *delivery) left() time.Duration { return d.deadline.Sub(d.now()) }

func (d *delivery) serve() {
	defer d.record()
	if !d.admit() || !d.readBody() {
		return
	}
	f := d.forwarder
	if f.still.recent(d.now()) && !timers.Pause(d.r.Context(), callerCheck) {
		d.finish("the caller left while the process stood still")
		return
	}
	f.earn(d.service.Name)
	d.lastEvent = d.meta.LastEvent
	ctx, cancel := context.WithDeadline(d.r.Context(), d.deadline)
	defer cancel()
	if d.service.Engine != nil {
		d.runOnEngines(ctx)
	} else {
		d.runOnPlain(ctx)
	}
}

// admit finds the route and checks the key. It reports false after an answer.
func (d *delivery) admit() bool {
	d.catalog = d.forwarder.awaitCatalog(d.r.Context(), d.meta.Deadline)
	switch {
	case d.catalog == nil:
		return d.refuse(http.StatusServiceUnavailable, startRetryAfter, "the daemon has no catalog yet")
	case d.forwarder.cfg.Fresh != nil && !d.forwarder.cfg.Fresh():
		return d.refuse(http.StatusServiceUnavailable, startRetryAfter, "no control daemon has confirmed the state for too long")
	}
	d.route = d.catalog.Route(d.r.Host, d.r.URL.Path)
	if d.route == nil {
		return d.refuse(http.StatusNotFound, 0, "no route for this host and path")
	}
	if d.catalog.Protected() {
		d.workspace = d.catalog.Workspace(d.meta.Key)
		if d.workspace == nil && !d.route.Anonymous {
			return d.refuse(http.StatusUnauthorized, 0, "the key is unknown")
		}
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, string(d.meta.ID))
	d.service = d.catalog.Service(d.route.Service(h.Sum64()))
	wait := d.route.Timeout
	if d.meta.Deadline > 0 {
		wait = min(wait, d.meta.Deadline)
	}
	d.deadline = d.arrived.Add(wait)
	if until := d.forwarder.until.Load(); until != nil && d.deadline.After(*until) {
		return d.refuse(http.StatusServiceUnavailable, stopRetryAfter, "the daemon is stopping")
	}
	return true
}

const (
	// stopRetryAfter and startRetryAfter are as long as a new connection takes
	// to reach another daemon.
	stopRetryAfter  = 50 * time.Millisecond
	startRetryAfter = 400 * time.Millisecond
)

func (d *delivery) readBody() bool {
	limit := d.catalog.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if d.r.ContentLength > limit {
		return d.refuse(http.StatusRequestEntityTooLarge, 0, "the body is too long")
	}
	body, err := io.ReadAll(io.LimitReader(d.r.Body, limit+1))
	switch {
	case err != nil:
		d.outcome, d.cause, d.abort = outcomeGone, "the body could not be read: "+err.Error(), true
		return false
	case int64(len(body)) > limit:
		return d.refuse(http.StatusRequestEntityTooLarge, 0, "the body is too long")
	}
	d.body = body
	return true
}

// defaultBodyLimit holds when a catalog states none: a prompt of a million tokens.
const defaultBodyLimit = 4 << 20

// refuse answers a request that has not run and never will; it returns false.
func (d *delivery) refuse(status int, retryAfter time.Duration, cause string) bool {
	d.outcome, d.cause = outcomeRefused, cause
	if status == http.StatusServiceUnavailable {
		d.w.Header().Set("Retry-After", strconv.FormatFloat(max(retryAfter, minRetryAfter).Seconds(), 'f', 3, 64))
	}
	if d.forwarder.ending.Load() {
		d.w.Header().Set("Connection", "close")
	}
	d.answer(status, cause)
	return false
}

// minRetryAfter keeps refused callers from coming back at once.
const minRetryAfter = 20 * time.Millisecond

func (d *delivery) answer(status int, text string) {
	d.status = status
	d.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	d.w.WriteHeader(status)
	if _, err := io.WriteString(d.w, text+"\n"); err != nil {
		d.cause += "; the caller has left"
	}
}

// finish gives the final answer to a request that no attempt has answered.
func (d *delivery) finish(cause string) {
	switch {
	case d.r.Context().Err() != nil:
		d.outcome, d.cause = outcomeGone, cause
		d.abort = d.headSent
	case d.headSent:
		d.outcome, d.cause, d.abort = outcomeBroken, cause, true
	case d.failed != nil:
		d.deliver(d.failed)
	case d.verdict == gypsumshelf.NotRun:
		d.refuse(http.StatusServiceUnavailable, failedRetryAfter, cause)
	case d.left() <= 0:
		d.outcome, d.cause = outcomeFailed, cause
		d.answer(http.StatusGatewayTimeout, cause)
	default:
		d.outcome, d.cause = outcomeFailed, cause
		d.answer(http.StatusBadGateway, cause)
	}
}

// failedRetryAfter is the time after which another attempt may find a backend
// server that answers.
const failedRetryAfter = 150 * time.Millisecond

// deliver passes a whole answer on.
func (d *delivery) deliver(a *wholeAnswer) {
	d.outcome, d.status = outcomeAnswered, a.status
	h := d.w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if d.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	if d.forwarder.ending.Load() {
		h.Set("Connection", "close")
	}
	d.w.WriteHeader(a.status)
	if _, err := d.w.Write(a.body); err != nil && d.r.Method != http.MethodHead {
		d.outcome, d.cause = outcomeGone, "the caller left while the answer was written"
	}
}

// mayTryAgain reports whether another attempt is allowed after one that ended
// with a verdict.
func (d *delivery) mayTryAgain(verdict gypsumshelf.Verdict) (bool, string) {
	switch {
	case d.r.Context().Err() != nil:
		return false, "the caller has left"
	case d.left() < minAttempt:
		return false, "the time is over"
	case verdict != gypsumshelf.NotRun && !d.route.Idempotent():
		return false, "the request must not run twice"
	case d.sent >= max(1, d.route.MaxAttempts):
		return false, "all attempts are used"
	case len(d.tried) >= maxTries:
		return false, "too many backend servers failed"
	case d.sent > 0 && !d.forwarder.spend(d.service.Name):
		return false, "the retry budget is used up"
	}
	return true, ""
}

const (
	// minAttempt is the least time in which an attempt can bring an answer.
	minAttempt = 20 * time.Millisecond
	// maxTries bounds attempts that do not reach a backend server.
	maxTries = 5
)

// record writes the line and the counters of the request's end.
func (d *delivery) record() {
	took := d.now().Sub(d.arrived)
	service, route := "", ""
	var version uint64
	if d.catalog != nil {
		version = d.catalog.Version()
	}
	if d.route != nil {
		route = d.route.Name
	}
	if d.service != nil {
		service = d.service.Name
	}
	d.forwarder.cfg.Recorder.Request(service, d.outcome, d.status, took)
	entry := d.forwarder.cfg.Log.WithFields(logrus.Fields{
		logs.KeyRequest: d.meta.ID, "route": route, "service": service, "outcome": d.outcome, "status": d.status,
		"cause": d.cause, "attempts": d.sent, "tried": d.tried, logs.KeyVerdict: d.verdict.String(), "took-ms": took.Milliseconds(),
		"catalog-version": version, "prompt-tokens": d.meta.Prompt, "last-event": d.lastEvent,
	})
	if d.pace.placed > 0 {
		entry = entry.WithFields(d.pace.fields(d.route))
	}
	if d.outcome == outcomeAnswered {
		entry.Info("request ended")
	} else {
		entry.Warn("request ended")
	}
}

// attemptFailed logs an attempt that did not end in a delivered answer.
func (d *delivery) attemptFailed(server gypsumshelf.ServerID, outcome schedules.Outcome, err error) {
	d.forwarder.cfg.Recorder.Attempt(d.service.Name, outcome.String())
	d.forwarder.cfg.Log.WithFields(logrus.Fields{
		logs.KeyRequest: d.meta.ID, logs.KeyServer: server, "outcome": outcome.String(), "sent": d.sent,
		"after-ms": d.now().Sub(d.arrived).Milliseconds(), "last-event": d.lastEvent,
	}).WithError(err).Warn("attempt failed")
}

// outcomeOf returns the outcome of an attempt that ended with an error.
func outcomeOf(ctx context.Context, err error) schedules.Outcome {
	switch {
	case ctx.Err() != nil:
		return schedules.Cancelled
	case errors.Is(err, errConnect):
		return schedules.Unreachable
	case errors.Is(err, errSilent):
		return schedules.Stalled
	case errors.Is(err, errRejected):
		return schedules.Rejected
	}
	return schedules.Broken
}
