package forwards

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// targetTimeoutFactor times the route's target is the timeout of an attempt that
// may be repeated at another plain backend server.
const targetTimeoutFactor = 2.5

const (
	// announcementWait is the time for which a request waits when no backend server
	// of its service is known. Servers announce themselves about once a second.
	announcementWait       = 600 * time.Millisecond
	announcementPollPeriod = 30 * time.Millisecond
)

// serveFromPlainService serves a request of a service without engines.
func (req *proxyRequest) serveFromPlainService(ctx context.Context) {
	for {
		req.phase = phaseWaiting
		server, retryAfter, found, err := req.choosePlain(ctx)
		if err == nil && !found {
			err = context.Cause(ctx)
		}
		if err != nil {
			req.finishUnchosen(err)
			return
		}
		if !found && req.mayAwaitPace(retryAfter) {
			if err := req.sleep(ctx, retryAfter); err != nil {
				req.finishUnchosen(err)
				return
			}
			continue
		}
		if !found && retryAfter > 0 {
			req.refuseLimited(retryAfter)
			return
		}
		if pause := req.forwarder.cfg.Fleet.shortestPause(req.service.Name); !found && pause > 0 {
			req.refusePaused(pause)
			return
		}
		if !found && len(req.triedServers) == 0 && req.now().Sub(req.arrived) < announcementWait {
			if err := req.sleep(ctx, announcementPollPeriod); err != nil {
				req.finishUnchosen(err)
				return
			}
			continue
		}
		if !found {
			req.finishUnanswered("no backend server of the service is left")
			return
		}
		response, verdict, err := req.plainAttempt(ctx, server)
		req.verdict = req.verdict.Worse(verdict)
		if err == nil && response.status < http.StatusInternalServerError {
			req.writeResponse(response)
			return
		}
		if response != nil {
			req.failureResponse = response
			err = fmt.Errorf("the backend server responded with status %d", response.status)
		}
		if allowed, reason := req.mayRetry(verdict); !allowed {
			req.finishUnrepeated(err, reason)
			return
		}
	}
}

// finishUnchosen ends a request whose wait for a backend server has ended with err.
func (req *proxyRequest) finishUnchosen(err error) {
	if errors.Is(err, errStopsFirst) {
		req.handBack(err.Error())
		return
	}
	req.finishUnanswered("no backend server was chosen: " + err.Error())
}

// plainAttempt returns the complete response of a backend server, which may have a
// 5xx status.
func (req *proxyRequest) plainAttempt(ctx context.Context, server rosters.Entry) (*bufferedResponse, gypsumshelf.Verdict, error) {
	began := req.now()
	load := req.forwarder.cfg.Fleet.track(server)
	defer load.abandon()
	a, err := req.sendAndReadHeader(ctx, server, req.newCall(server.ID), req.plainTimeout())
	defer a.close()
	var response *bufferedResponse
	if err == nil {
		response, err = a.bufferResponse(req.remaining(), req.responseMemory)
	}
	if err != nil {
		outcome := outcomeOf(ctx, err)
		if outcome == schedules.Cancelled && req.hadNoAnswerInTime(a) {
			outcome = schedules.Stalled
		}
		outcome = req.attributed(ctx, a, outcome)
		load.end(outcome, a.reply)
		req.recordPlainAnswer(server, began, outcome, nil)
		req.forwarder.crashChecks.recordEnd(req, a, began, outcome)
		req.recordFailedAttempt(server.ID, outcome, err)
		return nil, a.verdict, err
	}
	outcome := schedules.Completed
	if response.status >= http.StatusInternalServerError {
		outcome = schedules.Broken
		req.recordFailedAttempt(server.ID, outcome, fmt.Errorf("the backend server responded with status %d", response.status))
	}
	load.end(outcome, a.reply)
	req.recordPlainAnswer(server, began, outcome, response)
	if reporter := req.forwarder.cfg.Crashes; reporter != nil {
		reporter.ReportCompleted(req.identify().causes) // also with a 5xx status: the backend server lives
	}
	return response, a.verdict, nil
}

// plainTimeout returns the timeout for the response header. A request that must not
// run twice, or has no attempt left, may use all the time until its deadline.
func (req *proxyRequest) plainTimeout() time.Duration {
	if !req.route.Idempotent() || req.sentAttempts+1 >= req.route.MaxAttempts || req.route.Target == 0 {
		return req.remaining()
	}
	return time.Duration(targetTimeoutFactor * float64(req.route.Target))
}

// hadNoAnswerInTime reports whether the deadline of the request has ended an attempt without
// an answer that had as much time as one that may be repeated. Otherwise a service whose
// requests must not run twice would never find out that one of its servers is silent.
func (req *proxyRequest) hadNoAnswerInTime(a *attempt) bool {
	return a.response == nil && !a.sentAt.IsZero() && req.route.Target > 0 && req.endedBy() == endedByDeadline &&
		req.now().Sub(a.sentAt) >= time.Duration(targetTimeoutFactor*float64(req.route.Target))
}
