package entries

import (
	"context"
	"errors"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/engines"
)

// job is a request as the handler runs it; each kind of request has its own.
type job interface {
	// attempt runs one attempt to its end.
	attempt(ctx context.Context, start attempts.Start) (attempts.Ended, error)
	// delivered returns the position that the caller's answer has reached.
	delivered() int
	// fail ends the answer with an error.
	fail(err *gypsumshelf.Error)
	// finish ends a whole answer.
	finish()
	// replay answers with a recorded outcome.
	replay(o attempts.Outcome)
}

// run carries out the reducer's decisions for one request until its end.
func (h *Handler) run(ctx context.Context, req gypsumshelf.Request, j job) {
	x, ok := h.exchanges.add(ctx, req.ID)
	if !ok {
		j.fail(gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest, "request id %q is in use", req.ID))
		return
	}
	defer h.exchanges.remove(req.ID)
	h.cfg.Submit(attempts.Arrived{Request: req})
	for {
		d, ok := x.next()
		if !ok {
			h.cfg.Submit(attempts.CallerGone{Request: req.ID})
			return
		}
		switch d := d.(type) {
		case attempts.Start:
			if gone := h.attempt(x, d, j); gone {
				h.cfg.Submit(attempts.CallerGone{Request: req.ID})
				return
			}
		case attempts.Refuse:
			j.fail(d.Err)
			return
		case attempts.Finish:
			j.finish()
			return
		case attempts.Replay:
			j.replay(d.Outcome)
			return
		}
	}
}

// attempt runs an attempt and reports its end to the reducer. It returns true
// when the caller does not read its answer.
func (h *Handler) attempt(x *exchange, start attempts.Start, j job) (gone bool) {
	if !start.NotAfter.IsZero() && !h.cfg.Now().Before(start.NotAfter) {
		// The process was stopped between the decision and now.
		h.cfg.Submit(attempts.Failed{Attempt: start.Attempt, Position: j.delivered(), Failure: gypsumshelf.Errorf(
			gypsumshelf.NotRun, gypsumshelf.CodeNotReady, "freshness lease expired before attempt %s was sent", start.Attempt)})
		return false
	}
	ctx, cancel := x.begin(start.Attempt)
	defer cancel(nil)
	end, err := j.attempt(ctx, start)
	if err == nil {
		h.cfg.Submit(end)
		return false
	}
	fault := engines.FaultOf(err)
	if fault.Err.Code == gypsumshelf.CodeCallerGone {
		return true
	}
	if cause := context.Cause(x.ctx); cause != nil && !errors.Is(cause, errEnded) {
		return true
	}
	h.cfg.Submit(attempts.Failed{
		Attempt: start.Attempt, Position: j.delivered(), Failure: fault.Err, Broken: fault.Broken, Dead: fault.Dead,
	})
	return false
}
