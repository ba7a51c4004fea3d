package forwards

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/logs"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// Outcomes of requests in logs and metrics.
const (
	outcomeAnswered   = "answered"
	outcomeRefused    = "refused" // the request has not run
	outcomeFailed     = "failed"  // the request may have run
	outcomeBrokenOff  = "broken-off"
	outcomeCallerGone = "caller-gone"
)

// phase is what a request is doing.
type phase string

// Phases of requests in logs and metrics.
const (
	phaseAdmission phase = "admission"
	phaseBody      phase = "reading-body"
	phaseWaiting   phase = "waiting" // for a scheduling decision, also between two attempts
	phasePlaced    phase = "placed"  // on an engine that it was not sent to yet
	phaseReserving phase = "reserving-memory"
	phaseSending   phase = "connecting"
	phaseAwaiting  phase = "awaiting-answer"
	phaseStreaming phase = "streaming"
	phaseWriting   phase = "writing-answer"
)

// endCause says who ended a request before it had its answer.
type endCause string

// Causes of the end of a request in logs.
const (
	notEnded        endCause = ""
	endedByCaller   endCause = "caller" // it has closed its connection
	endedByDeadline endCause = "deadline"
	endedByStop     endCause = "stop" // of this daemon
)

// errStopped is the cause with which the context of a request ends when the daemon ends its
// requests. Without a cause, the end of a connection that the daemon closes would look like
// one that the caller has closed.
var errStopped = errors.New("the daemon has stopped")

// EndRequests ends the requests that are still in progress. It must be called before their
// connections are closed.
func (f *Forwarder) EndRequests() { f.stopRequests() }

// requestContext returns the context of a request and a function that releases it.
func (f *Forwarder) requestContext(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(f.stopped, func() { cancel(errStopped) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// endedBy returns who has ended the request, if anyone has.
func (req *proxyRequest) endedBy() endCause {
	ctx := req.r.Context()
	switch {
	case errors.Is(context.Cause(ctx), errStopped), req.handedBack:
		return endedByStop
	case ctx.Err() != nil:
		return endedByCaller
	case !req.deadline.IsZero() && req.remaining() <= 0:
		return endedByDeadline
	}
	return notEnded
}

// finishUnanswered ends a request for which no attempt returned a complete,
// successful response.
func (req *proxyRequest) finishUnanswered(cause string) {
	switch {
	case req.endedBy() == endedByCaller:
		// A caller that has closed its side only still reads, and net/http would send it an
		// empty response with status 200.
		req.outcome, req.cause, req.abortConnection = outcomeCallerGone, cause, true
	case req.headerWritten:
		req.outcome, req.cause, req.abortConnection = outcomeBrokenOff, cause, true
	case req.failureResponse != nil:
		req.writeResponse(req.failureResponse)
	case req.verdict == gypsumshelf.NotRun && req.endedBy() == endedByStop:
		req.refuse(http.StatusServiceUnavailable, schedules.HandBackRetryAfter, cause)
	case req.verdict == gypsumshelf.NotRun:
		req.refuse(http.StatusServiceUnavailable, failedRetryAfter, cause)
	case req.remaining() <= 0:
		req.outcome, req.cause = outcomeFailed, cause
		req.writeText(http.StatusGatewayTimeout, cause)
	default:
		req.outcome, req.cause = outcomeFailed, cause
		req.writeText(http.StatusBadGateway, cause)
	}
}

// finishUnrepeated ends a request whose last attempt failed with err, and which is not
// repeated for a reason.
func (req *proxyRequest) finishUnrepeated(err error, reason string) {
	if errors.Is(err, errStopped) {
		req.finishUnanswered(err.Error()) // names the reason
		return
	}
	req.finishUnanswered(fmt.Sprintf("%v; %s", err, reason))
}

// recordEnd logs the end of the request and updates its metrics.
func (req *proxyRequest) recordEnd() {
	if req.outcome == "" {
		req.outcome, req.cause = outcomeFailed, "unexpected error"
	}
	took := req.now().Sub(req.arrived)
	service, route := "", ""
	var version uint64
	if req.catalog != nil {
		version = req.catalog.Version()
	}
	if req.route != nil {
		route = req.route.Name
	}
	if req.service != nil {
		service = req.service.Name
	}
	req.forwarder.cfg.Recorder.Request(service, req.outcome, req.status, took)
	by := req.endedBy()
	if by == endedByStop && req.outcome != outcomeAnswered {
		req.countStopped(service)
	}
	entry := req.forwarder.cfg.Log.WithFields(logrus.Fields{
		logs.KeyRequest: req.meta.ID, "route": route, "service": service, "outcome": req.outcome, "status": req.status,
		"cause": req.cause, "attempts": req.sentAttempts, "tried": req.triedServers, logs.KeyVerdict: req.verdict.String(), "took-ms": took.Milliseconds(),
		"catalog-version": version, "prompt-tokens": req.meta.PromptTokens, "last-event": req.lastEvent,
	})
	if req.timing.placements > 0 {
		entry = entry.WithFields(req.timing.fields(req.route)).WithField("data-centre", req.forwarder.cfg.DataCentre)
	}
	if by != notEnded {
		entry = entry.WithFields(logrus.Fields{"ended-by": by, "phase": req.phase})
	}
	if req.outcome == outcomeAnswered {
		entry.Info("request ended")
	} else {
		entry.Warn("request ended")
	}
}

// countStopped counts a request that the stop of the daemon has ended.
func (req *proxyRequest) countStopped(service string) {
	req.forwarder.cfg.Recorder.RequestStopped(service, string(req.phase), req.outcome)
	if req.outcome == outcomeRefused {
		req.forwarder.handedBack.Add(1)
	} else {
		req.forwarder.brokenOff.Add(1)
	}
}

// recordFailedAttempt logs and counts an attempt whose response was not relayed
// completely.
func (req *proxyRequest) recordFailedAttempt(server gypsumshelf.ServerID, outcome schedules.Outcome, err error) {
	req.forwarder.cfg.Recorder.Attempt(req.service.Name, outcome.String())
	entry := req.forwarder.cfg.Log.WithFields(logrus.Fields{
		logs.KeyRequest: req.meta.ID, logs.KeyServer: server, "outcome": outcome.String(), "sent": req.sentAttempts,
		"after-ms": req.now().Sub(req.arrived).Milliseconds(), "last-event": req.lastEvent,
	}).WithError(err)
	if outcome == schedules.Lost {
		copies := req.identify().copies
		entry = entry.WithFields(logrus.Fields{"request-hash": copies[0], "wider-hashes": copies[1:]})
	}
	entry.Warn("attempt failed")
}
