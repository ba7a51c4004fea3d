package forwards

import (
	"context"
	"errors"

	"gypsumshelf.example/gypsumshelf/relays"
	"gypsumshelf.example/gypsumshelf/schedules"
	"gypsumshelf.example/gypsumshelf/streams"
)

// outcomeOf maps the error of an attempt to its outcome.
func outcomeOf(ctx context.Context, err error) schedules.Outcome {
	switch {
	case ctx.Err() != nil, errors.Is(err, relays.ErrNoPath), errors.Is(err, errPaused), errors.Is(err, errStopsFirst), errors.Is(err, errUnmetCondition), relays.IsRelayLost(err):
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

// isConnectionLost reports whether the backend server closed or reset the connection
// before its response was complete.
func isConnectionLost(err error) bool {
	return streams.IsConnectionLost(err) || errors.Is(err, errNoEvent)
}
