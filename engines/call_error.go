package engines

import (
	"context"
	"errors"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/streams"
)

// CallError is the error of a failed call, with evidence about the server's state.
type CallError struct {
	Err               *gypsumshelf.Error
	ConnectionBroken  bool // the server reset or closed the connection during the call
	ServerUnreachable bool // the server refused a connection or did not answer a probe on a new one
}

// Error implements error.
func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns the error with its verdict.
func (e *CallError) Unwrap() error { return e.Err }

// AsCallError returns the CallError in the chain of err. It wraps any other error;
// without a verdict of its own, the error gets may-have-run, because bytes may have
// been sent.
func AsCallError(err error) *CallError {
	callErr := new(CallError)
	if errors.As(err, &callErr) {
		return callErr
	}
	failure := new(gypsumshelf.Error)
	if !errors.As(err, &failure) {
		failure = gypsumshelf.Errorf(gypsumshelf.MayHaveRun, gypsumshelf.CodeBackendFailed, "%v", err)
	}
	return &CallError{Err: failure}
}

// ErrRestarted is the cancellation cause of a call whose server has announced a
// new incarnation. It is set by users of Client.
var ErrRestarted = errors.New("backend server has restarted")

// Cancellation causes set by a progressMonitor.
var (
	errNoProgress  = errors.New("no progress on the connection")
	errNoAnswer    = errors.New("answer did not begin in time")
	errProbeFailed = errors.New("probe on a new connection failed")
)

// isConnectionLost reports whether err means that the server closed or reset the
// connection or has restarted.
func isConnectionLost(err error) bool {
	return streams.IsConnectionLost(err) || errors.Is(err, streams.ErrNoEnd) || errors.Is(err, ErrRestarted)
}

// callError returns the error of a call that failed after bytes may have been sent.
func (c *Client) callError(ctx context.Context, address string, code gypsumshelf.Code, err error) *CallError {
	cause := context.Cause(ctx)
	if cause != nil {
		err = cause
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		code = gypsumshelf.CodeDeadline
	}
	callErr := &CallError{
		Err:               gypsumshelf.Errorf(gypsumshelf.MayHaveRun, code, "call to %s failed: %v", address, err),
		ConnectionBroken:  isConnectionLost(err),
		ServerUnreachable: errors.Is(err, errProbeFailed),
	}
	if callErr.ConnectionBroken && cause == nil {
		callErr.ServerUnreachable = !c.probe(ctx, address)
	}
	return callErr
}
