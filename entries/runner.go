package entries

import (
	"context"
	"errors"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/engines"
)

// requestRunner runs the attempts of a request and writes its response. There is
// one implementation for completions and one for calls of plain services.
type requestRunner interface {
	// runAttempt runs one attempt to its end.
	runAttempt(ctx context.Context, start attempts.Start) (attempts.Ended, error)
	// deliveredPosition returns the position up to which the response has been
	// delivered to the caller.
	deliveredPosition() int
	// fail ends the response with an error.
	fail(err *gypsumshelf.Error)
	// finish ends a complete response.
	finish()
	// replay writes a recorded outcome as the response.
	replay(o attempts.Outcome)
}

// run submits a request to the reducer and carries out the reducer's decisions
// until the request ends.
func (h *Handler) run(ctx context.Context, req gypsumshelf.Request, runner requestRunner) {
	active, ok := h.activeRequests.add(ctx, req.ID)
	if !ok {
		runner.fail(gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest, "request id %q is in use", req.ID))
		return
	}
	defer h.activeRequests.remove(req.ID)
	h.cfg.Submit(attempts.Arrived{Request: req})
	for {
		d, ok := active.nextDecision()
		if !ok {
			h.cfg.Submit(attempts.CallerGone{Request: req.ID})
			return
		}
		switch d := d.(type) {
		case attempts.Start:
			if callerGone := h.runAttempt(active, d, runner); callerGone {
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

// runAttempt runs an attempt and reports its end to the reducer. It returns true,
// and reports nothing, when the caller has disconnected or does not read.
func (h *Handler) runAttempt(active *activeRequest, start attempts.Start, runner requestRunner) (callerGone bool) {
	if !start.NotAfter.IsZero() && !h.cfg.Now().Before(start.NotAfter) {
		// The process was suspended after the decision, beyond the end of the lease.
		h.cfg.Submit(attempts.Failed{Attempt: start.Attempt, Position: runner.deliveredPosition(), Failure: gypsumshelf.Errorf(
			gypsumshelf.NotRun, gypsumshelf.CodeNotReady, "freshness lease expired before attempt %s was sent", start.Attempt)})
		return false
	}
	ctx, cancel := active.beginAttempt(start.Attempt)
	defer cancel(nil)
	ended, err := runner.runAttempt(ctx, start)
	if err == nil {
		h.cfg.Submit(ended)
		return false
	}
	callError := engines.AsCallError(err)
	if callError.Err.Code == gypsumshelf.CodeCallerGone {
		return true
	}
	if cause := context.Cause(active.ctx); cause != nil && !errors.Is(cause, errRequestEnded) {
		return true
	}
	h.cfg.Submit(attempts.Failed{
		Attempt: start.Attempt, Position: runner.deliveredPosition(), Failure: callError.Err, ConnectionBroken: callError.ConnectionBroken, ServerUnreachable: callError.ServerUnreachable,
	})
	return false
}
