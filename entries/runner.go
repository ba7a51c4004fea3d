package entries

import (
	"context"
	"errors"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/engines"
)

// requestRunner is a request as the handler runs it; each kind of request has its own.
type requestRunner interface {
	// runAttempt runs one runAttempt to its end.
	runAttempt(ctx context.Context, start attempts.Start) (attempts.Ended, error)
	// deliveredPosition returns the position that the caller's answer has reached.
	deliveredPosition() int
	// fail ends the answer with an error.
	fail(err *gypsumshelf.Error)
	// finish ends a whole answer.
	finish()
	// replay answers with a recorded outcome.
	replay(o attempts.Outcome)
}

// run carries out the reducer's decisions for one request until its end.
func (h *Handler) run(ctx context.Context, req gypsumshelf.Request, runner requestRunner) {
	x, ok := h.activeRequests.add(ctx, req.ID)
	if !ok {
		runner.fail(gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest, "request id %q is in use", req.ID))
		return
	}
	defer h.activeRequests.remove(req.ID)
	h.cfg.Submit(attempts.Arrived{Request: req})
	for {
		d, ok := x.nextDecision()
		if !ok {
			h.cfg.Submit(attempts.CallerGone{Request: req.ID})
			return
		}
		switch d := d.(type) {
		case attempts.Start:
			if callerGone := h.runAttempt(x, d, runner); callerGone {
				h.cfg.Submit(attempts.CallerGone{Request: req.ID})
				return
			}
		case attempts.Refuse:
			runner.fail(d.Err)
			return
		case attempts.Finish:
			runner.finish()
			return
		case attempts.Replay:
			runner.replay(d.Outcome)
			return
		}
	}
}

// runAttempt runs an runAttempt and reports its end to the reducer. It returns true
// when the caller does not read its answer.
func (h *Handler) runAttempt(x *activeRequest, start attempts.Start, runner requestRunner) (callerGone bool) {
	if !start.NotAfter.IsZero() && !h.cfg.Now().Before(start.NotAfter) {
		// The process was stopped between the decision and now.
		h.cfg.Submit(attempts.Failed{Attempt: start.Attempt, Position: runner.deliveredPosition(), Failure: gypsumshelf.Errorf(
			gypsumshelf.NotRun, gypsumshelf.CodeNotReady, "freshness lease expired before attempt %s was sent", start.Attempt)})
		return false
	}
	ctx, cancel := x.beginAttempt(start.Attempt)
	defer cancel(nil)
	ended, err := runner.runAttempt(ctx, start)
	if err == nil {
		h.cfg.Submit(ended)
		return false
	}
	fault := engines.FaultOf(err)
	if fault.Err.Code == gypsumshelf.CodeCallerGone {
		return true
	}
	if cause := context.Cause(x.ctx); cause != nil && !errors.Is(cause, errRequestEnded) {
		return true
	}
	h.cfg.Submit(attempts.Failed{
		Attempt: start.Attempt, Position: runner.deliveredPosition(), Failure: fault.Err, Broken: fault.Broken, Dead: fault.Dead,
	})
	return false
}
