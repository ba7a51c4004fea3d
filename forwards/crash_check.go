package forwards

import (
	"context"
	"errors"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/crashes"
	"gypsumshelf.example/gypsumshelf/logs"
	"gypsumshelf.example/gypsumshelf/relays"
	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/schedules"
	"gypsumshelf.example/gypsumshelf/timers"
)

const (
	// lossCollectTime is the time in which the connections to a backend server that has
	// ended are all lost.
	lossCollectTime = 20 * time.Millisecond
	// probeTimeout is the time after which a probe says nothing about its backend
	// server, which may be busy or cut off.
	probeTimeout = 500 * time.Millisecond
	// probeTries and probeRetryDelay bound the probes whose connection is closed
	// without an answer, as when a backend server has no connection left.
	probeTries      = 3
	probeRetryDelay = 50 * time.Millisecond
	// probePeriod is the time between two rounds of probes of a backend server of which
	// nothing else is heard, maxProbePeriod that of the later ones.
	probePeriod    = 500 * time.Millisecond
	maxProbePeriod = time.Second
	// maxSilentTime is the time in which a backend server that ends without a trace is
	// back at its address, or is announced to be elsewhere.
	maxSilentTime = 6 * time.Second
	// maxWatchedBytes bounds the memory for requests whose backend servers are checked.
	maxWatchedBytes = 4 << 20
	// watchedRunBytes is the memory of such a request without its causes.
	watchedRunBytes = 160
)

// CrashReporter receives the evidence about what crashes backend servers.
type CrashReporter interface {
	// ReportCrash reports which requests were at work on a backend server that has
	// ended.
	ReportCrash(r crashes.Report)
	// ReportCompleted reports that a request with the causes was answered. Requests to
	// engines are reported by Placer.End instead.
	ReportCompleted(causes []crashes.Cause)
	// ReportAbandoned reports requests that are watched while the daemon stops: their
	// backend server may yet end.
	ReportAbandoned(r crashes.Report)
}

// crashChecks finds out whether backend servers have ended under requests: those that lost
// their connections, and those whose attempts were given up while the server may have gone
// on. A connection alone may be lost for other reasons.
type crashChecks struct {
	forwarder *Forwarder
	active    atomic.Int64 // checks

	mu        sync.Mutex
	pending   map[serverStart]*crashCheck
	bytes     int // of the watched runs of all checks
	forgotten int // runs for which there was no memory, since the last log line
}

// serverStart identifies one start of a backend server.
type serverStart struct {
	id   gypsumshelf.ServerID
	born int64
}

// watchedRun is a request that a backend server may have been working on when it ended.
type watchedRun struct {
	causes  []crashes.Cause
	began   time.Time
	endedAt time.Time // when its connection was lost, or its attempt was given up
	lost    bool
}

func (r watchedRun) size() int {
	n := watchedRunBytes
	for _, c := range r.causes {
		n += len(c)
	}
	return n
}

// isCleared reports whether a backend server that lived at a time has not ended under the
// request.
func (r watchedRun) isCleared(alive time.Time) bool {
	if r.lost {
		return alive.After(r.endedAt)
	}
	return alive.Sub(r.endedAt) >= crashes.AbandonedTime
}

// serverLoss is a connection that a request has lost.
type serverLoss struct {
	done  chan struct{} // closed when ended is known
	ended bool          // the backend server has ended, too
}

// crashCheck watches one start of a backend server.
type crashCheck struct {
	checks *crashChecks
	server rosters.Entry
	path   string        // of the health check of its service, empty if it has none
	wake   chan struct{} // receives a value when a connection was lost

	// guarded by mu of checks
	runs      []watchedRun
	losses    []*serverLoss // not judged yet
	aliveAt   time.Time     // when an answer came last, or its probe was sent
	announced bool          // the backend server has announced its end
}

// recordEnd remembers a request whose attempt has ended without a complete response, and
// has its backend server checked. A backend server that had announced its end is not
// checked.
func (c *crashChecks) recordEnd(req *proxyRequest, a *attempt, began time.Time, outcome schedules.Outcome) {
	lost := outcome == schedules.Lost
	abandoned := !lost && !a.sentAt.IsZero() && a.verdict == gypsumshelf.MayHaveRun && !a.complete
	if !lost && !abandoned || c.forwarder.cfg.Crashes == nil {
		return
	}
	if c.forwarder.cfg.Fleet.hasAnnouncedEnd(a.server) {
		return
	}
	run := watchedRun{causes: req.identify().causes, began: began, endedAt: req.now(), lost: lost}
	c.mu.Lock()
	defer c.mu.Unlock()
	fits := c.bytes+run.size() <= maxWatchedBytes
	if !fits {
		c.forgotten++
	}
	if !fits && !lost {
		return
	}
	check := c.check(a.server, req.service.HealthPath)
	if lost {
		loss := &serverLoss{done: make(chan struct{})}
		check.losses = append(check.losses, loss)
		req.lostServers = append(req.lostServers, loss)
		check.wakeUp()
	}
	if fits {
		c.bytes += run.size()
		check.runs = append(check.runs, run)
	}
}

// check returns the check of a start of a backend server, which it begins if there is none;
// mu is held.
func (c *crashChecks) check(server rosters.Entry, path string) *crashCheck {
	key := serverStart{id: server.ID, born: server.Born}
	check := c.pending[key]
	if check == nil {
		check = &crashCheck{checks: c, server: server, path: path, wake: make(chan struct{}, 1)}
		c.pending[key] = check
		c.active.Add(1)
		go check.run()
	}
	return check
}

// recordAlive notes that a backend server has answered a request that was sent at a time.
func (c *crashChecks) recordAlive(server rosters.Entry, sent time.Time) {
	if c.active.Load() == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if check := c.pending[serverStart{id: server.ID, born: server.Born}]; check != nil && sent.After(check.aliveAt) {
		check.aliveAt = sent
	}
}

// ReportWatchedRequests passes on the requests under which backend servers may yet end. It is
// called at the end of the daemon.
func (f *Forwarder) ReportWatchedRequests() {
	if f.cfg.Crashes == nil {
		return
	}
	for _, r := range f.crashChecks.watched() {
		f.cfg.Crashes.ReportAbandoned(r)
	}
}

// watched returns the reports of what is watched, as if its backend servers had ended.
func (c *crashChecks) watched() []crashes.Report {
	now := c.forwarder.cfg.Fleet.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var reports []crashes.Report
	for _, check := range c.pending {
		if check.announced || c.forwarder.cfg.Fleet.hasAnnouncedEnd(check.server) {
			continue
		}
		if r := check.newReport(now); len(r.Runs) > 0 {
			reports = append(reports, r)
		}
	}
	return reports
}

// maxEndedServers is the number of backend servers that may end under one request. A
// second one decides for nearly all requests whose server ended by itself.
const maxEndedServers = 2

// crashesServers reports whether maxEndedServers backend servers have ended under the
// request. With fewer lost connections it does not wait for the checks.
func (req *proxyRequest) crashesServers() bool {
	if len(req.lostServers) < maxEndedServers {
		return false
	}
	ended := 0
	for _, loss := range req.lostServers {
		select {
		case <-loss.done:
		case <-req.r.Context().Done():
			return false
		}
		if loss.ended {
			ended++
		}
	}
	return ended >= maxEndedServers
}

// wakeUp begins the next round at once.
func (k *crashCheck) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default: // it is due already
	}
}

// run checks the backend server until it has ended, or has ended under none of the requests.
func (k *crashCheck) run() {
	timer := time.NewTimer(probePeriod)
	defer timer.Stop()
	for {
		next := maxProbePeriod
		select {
		case <-k.wake:
			timers.Sleep(context.Background(), lossCollectTime)
			next = probePeriod
		case <-timer.C:
		}
		report, done := k.judge(k.examine())
		if len(report.Runs) > 0 {
			k.checks.forwarder.cfg.Crashes.ReportCrash(report)
		}
		if done {
			return
		}
		timer.Reset(next)
	}
}

// condition is what a round of probes says about a start of a backend server.
type condition uint8

const (
	unknown   condition = iota
	connected           // something accepts connections at its address
	lives
	ended
)

// finding is the result of a round of probes.
type finding struct {
	condition condition
	at        time.Time // at which the condition was like that
	err       error     // why a probe failed
}

// examine finds out whether the backend server lives. It asks it only if nothing was heard
// from it since the last round.
func (k *crashCheck) examine() finding {
	c := k.checks
	now := c.forwarder.cfg.Fleet.now()
	c.mu.Lock()
	k.announced = k.announced || c.forwarder.cfg.Fleet.hasAnnouncedEnd(k.server)
	heard, lost, open := k.aliveAt, len(k.losses) > 0, false
	for _, r := range k.runs {
		open = open || !r.isCleared(heard)
		lost = lost || r.lost && !r.isCleared(heard)
	}
	c.mu.Unlock()
	switch {
	case c.forwarder.cfg.Fleet.IsReplaced(k.server):
		return finding{condition: ended, at: now}
	case !lost && (!open || now.Sub(heard) < probePeriod):
		return finding{condition: lives, at: heard}
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	state, err := k.probeUntilAnswered(ctx)
	return finding{condition: state, at: now, err: err}
}

// judge draws the conclusions from a round. It returns the report of a crash, without runs if
// there was none, and whether the check has ended.
func (k *crashCheck) judge(f finding) (report crashes.Report, done bool) {
	c := k.checks
	now := c.forwarder.cfg.Fleet.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, loss := range k.losses {
		loss.ended = f.condition == ended && !k.announced
		close(loss.done)
	}
	k.losses = nil
	watched := len(k.runs)
	switch {
	case k.announced:
		k.forget(func(watchedRun) bool { return true })
	case f.condition == ended:
		report = k.newReport(now)
		k.forget(func(watchedRun) bool { return true })
	default:
		k.forget(func(r watchedRun) bool {
			switch {
			case now.Sub(r.endedAt) > maxSilentTime:
				return true
			case f.condition == lives:
				return r.isCleared(f.at)
			}
			return f.condition == connected && !r.lost && r.isCleared(f.at)
		})
	}
	if len(k.runs) > 0 {
		return report, false
	}
	delete(c.pending, serverStart{id: k.server.ID, born: k.server.Born})
	c.active.Add(-1)
	log := c.forwarder.cfg.Log.WithFields(logrus.Fields{
		logs.KeyServer: k.server.ID, "lost-requests": watched, "ended": f.condition == ended, "announced": k.announced, "forgotten-requests": c.forgotten,
	})
	c.forgotten = 0
	if f.err != nil {
		log = log.WithError(f.err)
	}
	if f.condition == lives && watched == 0 {
		log.Debug("checked whether a backend server has ended that lost requests")
	} else {
		log.Info("checked whether a backend server has ended that lost requests")
	}
	return report, true
}

// forget removes runs; mu of checks is held.
func (k *crashCheck) forget(done func(watchedRun) bool) {
	k.runs = slices.DeleteFunc(k.runs, func(r watchedRun) bool {
		if !done(r) {
			return false
		}
		k.checks.bytes -= r.size()
		return true
	})
}

// newReport returns the report of the end of the backend server with the requests that it may
// have been working on; mu of checks is held. The end was at the first lost connection, or
// else after the last sign of life.
func (k *crashCheck) newReport(now time.Time) crashes.Report {
	at, lost := k.aliveAt, false
	for _, r := range k.runs {
		switch {
		case r.lost && (!lost || r.endedAt.Before(at)):
			at, lost = r.endedAt, true
		case !r.lost && !lost && r.endedAt.After(at):
			at = r.endedAt
		}
	}
	report := crashes.Report{Server: k.server.ID, Born: k.server.Born, Age: now.Sub(at)}
	for _, r := range k.runs {
		if r.isCleared(k.aliveAt) {
			continue
		}
		end := at
		if r.lost {
			end = r.endedAt
		}
		report.Runs = append(report.Runs, crashes.Run{Causes: r.causes, Duration: max(0, end.Sub(r.began))})
	}
	return report
}

// probeUntilAnswered repeats probes whose connections are closed without an answer. The
// backend server has ended if its address refuses connections, or another one answers there.
// The error says why a probe failed.
func (k *crashCheck) probeUntilAnswered(ctx context.Context) (state condition, err error) {
	for range probeTries {
		var reply ResponseMeta
		reply, err = k.probe(ctx)
		switch {
		case err == nil && k.path == "":
			return connected, nil
		case err == nil && reply.WrongServer:
			return ended, nil
		case err == nil:
			return lives, nil
		case ctx.Err() != nil, errors.Is(err, relays.ErrNoPath), errors.Is(err, errNoProgress), errors.Is(err, os.ErrDeadlineExceeded):
			return unknown, err
		case errors.Is(err, errConnect):
			if isTimeout(err) {
				return unknown, err
			}
			return ended, err
		}
		timers.Sleep(ctx, probeRetryDelay)
	}
	return unknown, err
}

// probe asks the backend server for its health. Any other one at its address says that
// it is not the intended one. Without a health check it only connects, since a backend
// server could run anything else as a request.
func (k *crashCheck) probe(ctx context.Context) (ResponseMeta, error) {
	x, err := k.checks.forwarder.dial(ctx, relays.Target{Address: k.server.Address, Service: k.server.Service})
	if err != nil {
		return ResponseMeta{}, err
	}
	defer x.close()
	if k.path == "" {
		return ResponseMeta{}, nil
	}
	protocol := k.checks.forwarder.cfg.Protocol
	header := http.Header{}
	protocol.SetHeaders(header, Call{Server: k.server.ID, Remaining: probeTimeout, Urgency: -1, LastEvent: NoEvent})
	out := &outgoingRequest{method: http.MethodGet, uri: k.path, host: k.server.Address, header: header}
	data, err := out.encode()
	if err != nil {
		return ResponseMeta{}, err
	}
	x.send(data)
	response, err := x.readHeader(out, probeTimeout)
	if err != nil {
		return ResponseMeta{}, err
	}
	return protocol.ParseResponse(response.Header, response.StatusCode), nil
}
