package forwards

import (
	"bytes"
	"context"
	"errors"
	"hash/fnv"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/buffers"
	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/crashes"
	"gypsumshelf.example/gypsumshelf/faults"
	"gypsumshelf.example/gypsumshelf/logs"
	"gypsumshelf.example/gypsumshelf/schedules"
	"gypsumshelf.example/gypsumshelf/timers"
)

// Placer selects the engines that run a job.
type Placer interface {
	// Place waits for a scheduling decision; it fails when ctx ends first.
	Place(ctx context.Context, job schedules.Job) (schedules.Decision, error)
	// Started reports the first event of a job.
	Started(id schedules.JobID)
	// End reports the end of a job; blamed is the engine at fault, empty for the
	// primary.
	End(id schedules.JobID, outcome schedules.Outcome, blamed gypsumshelf.ServerID)
}

// Recorder records metrics of requests and attempts.
type Recorder interface {
	Request(service, outcome string, status int, took time.Duration)
	Attempt(service, outcome string)
	FirstEvent(service string, took time.Duration)
	// RequestStopped counts a request that the stop of the daemon has ended.
	RequestStopped(service, phase, outcome string)
}

// Config configures a Forwarder.
type Config struct {
	Daemon     gypsumshelf.DaemonID
	DataCentre string
	Protocol   Protocol
	Dialer     Dialer // connects to backend servers, nil for direct connections
	Fleet      *Fleet
	Placer     Placer
	Crashes    CrashReporter  // nil if nothing is to be reported
	Limits     LimitKeeper    // nil if backend servers name no limits
	Leaves     LeaveReporter  // nil if nobody is to be told
	Paths      PathRecorder   // nil if paths are not judged
	Answers    AnswerReporter // nil if the pace of servers is not found out
	Previewer  Previewer      // nil if previews are not answered
	Retries    RetryBudget
	BodyBudget int64 // memory for the bodies of requests and responses in bytes, 0 for no limit
	// MemoryBound is the time within which engine memory reserved for a request must
	// be free after the request has ended, 0 for the default of 4 s.
	MemoryBound time.Duration
	StateFresh  func() bool // reports whether the replicated state is recent enough to use; nil means always
	Log         *logrus.Entry
	Recorder    Recorder
}

// Forwarder is the HTTP handler that proxies callers' requests to backend servers.
type Forwarder struct {
	cfg              Config
	catalog          atomic.Pointer[catalogs.Catalog]
	catalogReady     chan struct{}             // closed when the first catalog is set
	drain            atomic.Pointer[DrainPlan] // nil until a planned stop begins
	drainBegun       context.Context           // ends when drain is set
	beginDrain       context.CancelFunc        // ends drainBegun
	activeRequests   atomic.Int64
	handedBack       atomic.Int64       // requests, for the stop of the daemon
	brokenOff        atomic.Int64       // requests, for the stop of the daemon
	stopped          context.Context    // ends when the daemon ends its requests
	stopRequests     context.CancelFunc // ends stopped
	pauses           timers.PauseDetector
	quarantines      atomic.Pointer[crashes.QuarantineSet]
	localQuarantines atomic.Pointer[crashes.QuarantineSet] // found by this daemon while there was no leader
	crashChecks      crashChecks
	bodies           *buffers.Budget

	budgetMu    sync.Mutex
	retryBudget *attempts.Budget // of retries, per service
}

// New returns a Forwarder, which refuses requests until SetCatalog is called.
func New(cfg Config) *Forwarder {
	if cfg.Dialer == nil {
		cfg.Dialer = directDialer{}
	}
	f := &Forwarder{cfg: cfg, catalogReady: make(chan struct{}), bodies: buffers.NewBudget(cfg.BodyBudget)}
	f.drainBegun, f.beginDrain = context.WithCancel(context.Background())
	f.stopped, f.stopRequests = context.WithCancel(context.Background())
	f.retryBudget = attempts.NewBudget(cfg.Retries.daemonBudget(1))
	f.crashChecks = crashChecks{forwarder: f, pending: map[serverStart]*crashCheck{}}
	return f
}

// SetDaemonCount sets the number of entry daemons that share the retry budget.
func (f *Forwarder) SetDaemonCount(daemons int) {
	b := f.cfg.Retries.daemonBudget(daemons)
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	f.retryBudget.Resize(b.PerSecond, b.Burst)
}

// SetCatalog replaces the catalog. Requests in progress keep the previous one.
func (f *Forwarder) SetCatalog(c *catalogs.Catalog) {
	if f.catalog.Swap(c) == nil {
		close(f.catalogReady)
	}
}

// SetQuarantines replaces the quarantines that all daemons observe. Those that this
// daemon found by itself end: the state may have lifted them.
func (f *Forwarder) SetQuarantines(quarantines []crashes.Quarantine) {
	set := crashes.NewQuarantineSet(quarantines)
	f.quarantines.Store(&set)
	f.localQuarantines.Store(nil)
}

// AddLocalQuarantines adds quarantines that this daemon has found by itself. They hold
// until the next SetQuarantines. It must not be called concurrently.
func (f *Forwarder) AddLocalQuarantines(quarantines []crashes.Quarantine) {
	set := crashes.NewQuarantineSet(quarantines)
	if old := f.localQuarantines.Load(); old != nil {
		now := f.cfg.Fleet.now()
		for cause, until := range *old {
			if _, renewed := set[cause]; !renewed && now.Before(until) {
				set[cause] = until
			}
		}
	}
	f.localQuarantines.Store(&set)
}

// RemoveLocalQuarantines ends quarantines that this daemon has found by itself. It must not be
// called concurrently with itself or AddLocalQuarantines.
func (f *Forwarder) RemoveLocalQuarantines(causes []crashes.Cause) {
	old := f.localQuarantines.Load()
	if old == nil {
		return
	}
	set := maps.Clone(*old)
	maps.DeleteFunc(set, func(c crashes.Cause, _ time.Time) bool { return slices.Contains(causes, c) })
	f.localQuarantines.Store(&set)
}

// isQuarantined reports whether any cause of the request is quarantined.
func (f *Forwarder) isQuarantined(req *proxyRequest) bool {
	now := f.cfg.Fleet.now()
	for _, set := range []*crashes.QuarantineSet{f.quarantines.Load(), f.localQuarantines.Load()} {
		if set != nil && len(*set) > 0 && set.ContainsAny(now, req.identify().causes) {
			return true
		}
	}
	return false
}

// awaitCatalog returns the current catalog, or nil when none arrives in time. A
// daemon receives its first catalog within 2 s of its start, so requests wait for
// it.
func (f *Forwarder) awaitCatalog(ctx context.Context, deadline time.Duration) *catalogs.Catalog {
	if c := f.catalog.Load(); c != nil {
		return c
	}
	wait := maxCatalogWait
	if deadline > 0 {
		wait = min(wait, time.Duration(maxCatalogWaitShare*float64(deadline)))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-f.catalogReady:
	case <-ctx.Done():
	case <-timer.C:
	}
	return f.catalog.Load()
}

const (
	// maxCatalogWait is below the 2 s after which callers of short prompts
	// disconnect.
	maxCatalogWait = 1600 * time.Millisecond
	// maxCatalogWaitShare is the part of the caller's deadline spent waiting for a
	// catalog; the rest lets the caller retry at another daemon.
	maxCatalogWaitShare = 0.4
)

// Catalog returns the current catalog, or nil before the first SetCatalog.
func (f *Forwarder) Catalog() *catalogs.Catalog { return f.catalog.Load() }

// CheckPause must be called every timers.PauseCheckPeriod; a late call shows that the
// process was paused.
func (f *Forwarder) CheckPause(now time.Time) {
	if f.pauses.Check(now) > 0 {
		f.cfg.Log.Warn("the process was paused; callers of requests that arrived meanwhile may have disconnected")
	}
}

// ActiveRequests returns the number of requests in progress.
func (f *Forwarder) ActiveRequests() int64 { return f.activeRequests.Load() }

// spendRetry takes one retry from the budget of a service and reports false when
// none is left.
func (f *Forwarder) spendRetry(service string) bool {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	return f.retryBudget.Spend(f.cfg.Fleet.now(), service)
}

// earnRetry credits the retry budget of a service for one request.
func (f *Forwarder) earnRetry(service string) {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	f.retryBudget.Credit(f.cfg.Fleet.now(), service)
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.activeRequests.Add(1)
	defer f.activeRequests.Add(-1)
	ctx, release := f.requestContext(r.Context())
	defer release()
	req := &proxyRequest{
		forwarder: f, w: w, r: r.WithContext(ctx), arrived: f.cfg.Fleet.now(), meta: f.cfg.Protocol.ParseRequest(r), phase: phaseAdmission,
		requestMemory: f.bodies.Reserve(), responseMemory: f.bodies.Reserve(),
	}
	defer req.requestMemory.Release()
	defer req.responseMemory.Release()
	if err := req.serveContained(); err != nil || req.abortConnection {
		panic(http.ErrAbortHandler) // makes the truncated response visible to the caller
	}
}

// serveContained is serve with its unexpected errors contained.
func (req *proxyRequest) serveContained() (err error) {
	defer faults.Recover(req.forwarder.cfg.Log.WithField(logs.KeyRequest, req.meta.ID), "request", &err)
	req.serve()
	return nil
}

// proxyRequest is the state of one caller's request.
type proxyRequest struct {
	forwarder *Forwarder
	w         http.ResponseWriter
	r         *http.Request
	meta      RequestMeta
	catalog   *catalogs.Catalog
	route     *catalogs.Route
	service   *catalogs.Service
	workspace *catalogs.Workspace
	body      []byte
	bodyRead  bool      // completely
	identity  *identity // nil until identify is called
	arrived   time.Time
	deadline  time.Time

	requestMemory  *buffers.Reservation // of the body
	responseMemory *buffers.Reservation // of the buffered response

	lostServers     []*serverLoss          // of attempts whose connection was lost
	placedOnLimited bool                   // the scheduler knows of a limit of the engine in use
	submittedJobs   int                    // number of jobs submitted to the scheduler
	sentAttempts    int                    // number of attempts sent to a backend server
	triedServers    []gypsumshelf.ServerID // servers of all attempts, including those not reached
	verdict         gypsumshelf.Verdict    // worst verdict of all attempts
	lastEvent       int                    // ID of the last event written to the caller, or that the caller already had
	headerWritten   bool
	failureResponse *bufferedResponse // 5xx response of a backend server, relayed if no other attempt succeeds
	abortConnection bool              // close the connection without completing the response
	timing          streamTiming
	pacedServer     gypsumshelf.ServerID // plain server at which the scheduler counts the request
	awaitsPace      bool                 // a plain server that has started or recovered may have room soon
	phase           phase
	handedBack      bool // refused since the daemon stops
	status          int
	outcome         string
	cause           string
}

// bufferedResponse is a complete response of a backend server.
type bufferedResponse struct {
	status int
	header http.Header
	body   buffers.Chunks
}

func (req *proxyRequest) now() time.Time { return req.forwarder.cfg.Fleet.now() }

func (req *proxyRequest) remaining() time.Duration { return req.deadline.Sub(req.now()) }

func (req *proxyRequest) serve() {
	defer req.recordEnd()
	if !req.admit() || !req.readBody() {
		return
	}
	f := req.forwarder
	if f.isQuarantined(req) {
		req.refuse(http.StatusServiceUnavailable, quarantineRetryAfter, crashes.QuarantineReason)
		return
	}
	if f.pauses.RecentlyPaused(req.now()) && !timers.Sleep(req.r.Context(), callerCloseWait) {
		req.finishUnanswered("the caller disconnected while the process was paused")
		return
	}
	if f.cfg.Dialer.HasNoWay(req.service.Name) {
		req.refuse(http.StatusServiceUnavailable, failedRetryAfter, noWayReason)
		return
	}
	f.earnRetry(req.service.Name)
	req.lastEvent = req.meta.LastEvent
	ctx, cancel := context.WithDeadline(req.r.Context(), req.deadline)
	defer cancel()
	if req.service.Engine != nil {
		req.serveFromEngines(ctx)
	} else {
		req.serveFromPlainService(ctx)
	}
}

// admit finds the route, checks the key and sets the deadline. It reports false
// when it has refused the request.
func (req *proxyRequest) admit() bool {
	req.catalog = req.forwarder.awaitCatalog(req.r.Context(), req.meta.Deadline)
	switch {
	case req.catalog == nil:
		return req.refuse(http.StatusServiceUnavailable, startupRetryAfter, "the daemon has no catalog yet")
	case req.forwarder.cfg.StateFresh != nil && !req.forwarder.cfg.StateFresh():
		return req.refuse(http.StatusServiceUnavailable, startupRetryAfter, "no control daemon has confirmed the state for too long")
	}
	req.route = req.catalog.Route(req.r.Host, req.r.URL.Path)
	if req.route == nil {
		return req.refuse(http.StatusNotFound, 0, "no route for this host and path")
	}
	if req.catalog.RequiresKey() {
		req.workspace = req.catalog.Workspace(req.meta.Key)
		if req.workspace == nil && !req.route.Anonymous {
			return req.refuse(http.StatusUnauthorized, 0, "the key is unknown")
		}
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, string(req.meta.ID))
	req.service = req.catalog.Service(req.route.SelectService(h.Sum64()))
	wait := req.route.Timeout
	if req.meta.Deadline > 0 {
		wait = min(wait, req.meta.Deadline)
	}
	req.deadline = req.arrived.Add(wait)
	req.limitWriting()
	if req.arrivedTooLate() {
		return req.handBack("the daemon is stopping")
	}
	return true
}

const (
	startupRetryAfter = 400 * time.Millisecond // several polls of the state
	// bodyBudgetRetryAfter is the time in which some of the requests whose bodies
	// are in memory end.
	bodyBudgetRetryAfter = 300 * time.Millisecond
	// quarantineRetryAfter is longer than most callers wait: a quarantine lasts an hour.
	quarantineRetryAfter = 10 * time.Second
)

func (req *proxyRequest) readBody() bool {
	limit := req.catalog.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if req.r.ContentLength > limit {
		return req.refuse(http.StatusRequestEntityTooLarge, 0, "the body is too long")
	}
	if !req.requestMemory.Resize(max(0, req.r.ContentLength)) {
		return req.refuse(http.StatusServiceUnavailable, bodyBudgetRetryAfter, buffers.ErrBudgetExceeded.Error())
	}
	body, err := req.receiveBody(limit + 1)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && req.now().Before(req.deadline):
		return req.handBack("the daemon is stopping, and the body has not arrived")
	case errors.Is(err, os.ErrDeadlineExceeded):
		req.w.Header().Set("Connection", "close")
		return req.refuse(http.StatusRequestTimeout, 0, "the body did not arrive in time")
	case errors.Is(err, buffers.ErrBudgetExceeded):
		return req.refuse(http.StatusServiceUnavailable, bodyBudgetRetryAfter, err.Error())
	case err != nil:
		req.outcome, req.cause, req.abortConnection = outcomeCallerGone, "the body could not be read: "+err.Error(), true
		return false
	case int64(len(body)) > limit:
		return req.refuse(http.StatusRequestEntityTooLarge, 0, "the body is too long")
	}
	if req.arrivedTooLate() {
		return req.handBack("the daemon is stopping, and the body has arrived too late")
	}
	req.body, req.bodyRead = body, true
	return true
}

// receiveBody reads up to a number of bytes of the body, until the deadline of the request
// or, while the daemon stops, until it can no longer be served.
func (req *proxyRequest) receiveBody(limit int64) ([]byte, error) {
	req.phase = phaseBody
	req.limitReading(req.deadline)
	stopWatching := req.onDrain(func() { req.limitReading(req.handBackTime()) })
	var body bytes.Buffer
	body.Grow(int(max(0, req.r.ContentLength)) + bytes.MinRead)
	_, err := body.ReadFrom(req.requestMemory.Reader(io.LimitReader(req.r.Body, limit)))
	stopWatching()
	// net/http detects a caller that disconnects with a read in the background, which
	// the deadline would end.
	req.limitReading(time.Time{})
	if err == nil && req.forwarder.isDraining() && !req.now().Before(req.handBackTime()) {
		// The limit that the stop has set may have passed after the end of the body, and
		// net/http would report it as the end of the caller's connection.
		err = os.ErrDeadlineExceeded
	}
	return body.Bytes(), err
}

// limitReading sets the time at which reading from the caller fails, zero for never.
func (req *proxyRequest) limitReading(deadline time.Time) {
	if req.r.ContentLength == 0 {
		return // the body ends before it begins
	}
	if err := http.NewResponseController(req.w).SetReadDeadline(deadline); err != nil {
		req.forwarder.cfg.Log.WithError(err).Warn("cannot limit the time for a caller's body")
	}
}

// limitWriting makes writes to the caller fail deliveryTime after the deadline of the
// request. The limit stays until the next request on the connection.
func (req *proxyRequest) limitWriting() {
	if err := http.NewResponseController(req.w).SetWriteDeadline(req.deadline.Add(deliveryTime)); err != nil {
		req.forwarder.cfg.Log.WithError(err).Warn("cannot limit the time for writing to a caller")
	}
}

// callerCloseWait is the time in which net/http detects that a caller has closed its
// connection. Requests that arrived during a pause of the process look new, but many of
// their callers have disconnected.
const callerCloseWait = 15 * time.Millisecond

// deliveryTime is the time in which an answer that was ready at the deadline of its
// request can still be delivered. A caller that does not read would hold the request,
// and engine memory reserved for it, for ever.
const deliveryTime = 2 * time.Second

// defaultBodyLimit, in bytes, applies when the catalog has no limit. It fits a
// prompt of 1,000,000 tokens.
const defaultBodyLimit = 4 << 20

// refuse responds to a request that has not run and will not run; it always
// returns false.
func (req *proxyRequest) refuse(status int, retryAfter time.Duration, cause string) bool {
	req.outcome, req.cause = outcomeRefused, cause
	if status == http.StatusServiceUnavailable {
		req.w.Header().Set("Retry-After", strconv.FormatFloat(max(retryAfter, minRetryAfter).Seconds(), 'f', 3, 64))
	}
	if req.forwarder.isDraining() {
		req.w.Header().Set("Connection", "close")
	}
	if !req.bodyRead {
		req.limitUnreadBody()
	}
	req.writeText(status, cause)
	return false
}

const (
	// unreadBodyTime is the time after an answer in which the rest of a body may arrive
	// before the connection is closed. net/http waits as long as this for callers of longer
	// bodies to read the answer.
	unreadBodyTime = 500 * time.Millisecond
	// restOfBodyTime is the time in which the rest of a body may arrive before the answer to
	// a refused request, which then leaves the connection open.
	restOfBodyTime = 2 * time.Second
)

// limitUnreadBody limits the time for which net/http reads the rest of the body of a refused
// request. It does so after an answer that closes the connection, and before any other.
func (req *proxyRequest) limitUnreadBody() {
	limit := restOfBodyTime
	if req.w.Header().Get("Connection") == "close" {
		limit = unreadBodyTime
	}
	req.limitReading(req.now().Add(limit))
}

// minRetryAfter keeps refused callers from retrying immediately.
const minRetryAfter = 20 * time.Millisecond

func (req *proxyRequest) writeText(status int, text string) {
	req.status = status
	req.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	req.w.WriteHeader(status)
	if _, err := io.WriteString(req.w, text+"\n"); err != nil {
		req.cause += "; the answer could not be written: " + err.Error()
	}
}

// failedRetryAfter is the time after which a retry may find a working backend
// server.
const failedRetryAfter = 150 * time.Millisecond

// writeResponse relays a complete response to the caller.
func (req *proxyRequest) writeResponse(response *bufferedResponse) {
	req.outcome, req.status, req.phase = outcomeAnswered, response.status, phaseWriting
	h := req.w.Header()
	for name, values := range response.header {
		h[name] = values
	}
	if req.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(response.body.Len()))
	}
	if req.forwarder.isDraining() {
		h.Set("Connection", "close")
	}
	req.w.WriteHeader(response.status)
	if _, err := response.body.WriteTo(req.w); err != nil && req.r.Method != http.MethodHead {
		req.outcome, req.cause = outcomeCallerGone, "the answer could not be written: "+err.Error()
		if req.endedBy() == endedByStop {
			req.outcome = outcomeBrokenOff
		}
	}
}

// mayRetry reports whether another attempt is allowed after one that ended with
// verdict, and the reason if not. It takes the retry out of the budget.
func (req *proxyRequest) mayRetry(verdict gypsumshelf.Verdict) (bool, string) {
	if allowed, reason := req.retryPossible(verdict); !allowed {
		req.handedBack = reason == stopsReason
		return false, reason
	}
	if !req.spendRetry() {
		return false, "the retry budget is used up"
	}
	return true, ""
}

// spendRetry takes a retry out of the budget, unless no attempt was sent yet. It
// reports false when none is left.
func (req *proxyRequest) spendRetry() bool {
	return req.sentAttempts == 0 || req.forwarder.spendRetry(req.service.Name)
}

// stopsReason is the reason for no other attempt while the daemon stops.
const stopsReason = "the daemon stops"

// retryPossible reports whether another attempt is allowed apart from the budget,
// and the reason if not.
func (req *proxyRequest) retryPossible(verdict gypsumshelf.Verdict) (bool, string) {
	switch {
	case req.endedBy() == endedByStop:
		return false, "the daemon has stopped"
	case req.r.Context().Err() != nil:
		return false, "the caller has left"
	case req.remaining() < minAttemptTime:
		return false, "the time is over"
	case req.timeLeft() < minAttemptTime:
		return false, stopsReason
	case verdict != gypsumshelf.NotRun && !req.route.Idempotent():
		return false, "the request must not run twice"
	case req.sentAttempts >= max(1, req.route.MaxAttempts):
		return false, "all attempts are used"
	case len(req.triedServers) >= maxTriedServers:
		return false, "too many backend servers failed"
	case req.forwarder.isQuarantined(req):
		return false, crashes.QuarantineCause
	case req.forwarder.cfg.Dialer.HasNoWay(req.service.Name):
		return false, noWayReason
	case req.crashesServers():
		return false, "backend servers have ended under the request"
	}
	return true, ""
}

const (
	// minAttemptTime is the shortest time in which an attempt can return a response.
	minAttemptTime = 20 * time.Millisecond
	// maxTriedServers also bounds attempts that do not reach a backend server,
	// which MaxAttempts of the route does not count.
	maxTriedServers = 5
)
