package forwards

import (
	"context"
	"errors"
	"time"

	"gypsumshelf.example/gypsumshelf/buffers"
	"gypsumshelf.example/gypsumshelf/relays"
	"gypsumshelf.example/gypsumshelf/schedules"
	"gypsumshelf.example/gypsumshelf/streams"
)

// outcomeOf maps the error of an attempt to its outcome.
func outcomeOf(ctx context.Context, err error) schedules.Outcome {
	switch {
	case isOver(ctx), errors.Is(err, buffers.ErrBudgetExceeded), errors.Is(err, relays.ErrNoPath), errors.Is(err, errPaused), errors.Is(err, errStopsFirst), errors.Is(err, errUnmetCondition), relays.IsRelayLost(err):
		return schedules.Cancelled // not the fault of the backend server
	case errors.Is(err, errConnect):
		return schedules.Unreachable
	case errors.Is(err, errNoProgress), errors.Is(err, errEngineLost):
		return schedules.Stalled
	case errors.Is(err, errRejected):
		return schedules.Rejected
	case isConnectionLost(err):
		return schedules.Lost
	}
	return schedules.Broken
}

// isOver reports whether ctx has ended or its deadline has passed. Connections have the same
// deadline as a read limit, which may take effect before ctx ends.
func isOver(ctx context.Context) bool {
	deadline, limited := ctx.Deadline()
	return ctx.Err() != nil || limited && !time.Now().Before(deadline)
}

// isConnectionLost reports whether the backend server closed or reset the connection
// before its response was complete.
func isConnectionLost(err error) bool {
	return streams.IsConnectionLost(err) || errors.Is(err, errNoEvent)
}
