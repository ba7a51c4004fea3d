package engines

import (
	"context"
	"errors"
	"io"
	"syscall"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/streams"
)

// Fault is the error of a failed call with what it tells about the server.
type Fault struct {
	Err    *gypsumshelf.Error
	Broken bool // the connection was reset or closed in mid-call
	Dead   bool // the server refused a connection, or a probe on a new one got no answer
}

// Error implements error.
func (f *Fault) Error() string { return f.Err.Error() }

// Unwrap returns the error with its verdict.
func (f *Fault) Unwrap() error { return f.Err }

// FaultOf returns the Fault in err. Any other error is reported with the
// verdict may-have-run, because nothing is known of what was sent.
func FaultOf(err error) *Fault {
	fault := new(Fault)
	if errors.As(err, &fault) {
		return fault
	}
	failure := new(gypsumshelf.Error)
	if !errors.As(err, &failure) {
		failure = gypsumshelf.Errorf(gypsumshelf.MayHaveRun, gypsumshelf.CodeBackendFailed, "%v", err)
	}
	return &Fault{Err: failure}
}

// ErrRestarted is the cause with which a caller of Client cancels a call whose
// server has announced a new incarnation.
var ErrRestarted = errors.New("backend server has restarted")

// Causes with which a watch cancels a call.
var (
	errSilent   = errors.New("no progress on the connection")
	errNoAnswer = errors.New("answer did not begin in time")
	errDead     = errors.New("probe on a new connection failed")
)

// isBroken reports whether err says that the server's side of the connection
// went away.
func isBroken(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, streams.ErrNoEnd, ErrRestarted} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// fault explains a call that failed after bytes may have been sent.
func (c *Client) fault(ctx context.Context, address string, code gypsumshelf.Code, err error) *Fault {
	cause := context.Cause(ctx)
	if cause != nil {
		err = cause
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		code = gypsumshelf.CodeDeadline
	}
	f := &Fault{
		Err:    gypsumshelf.Errorf(gypsumshelf.MayHaveRun, code, "call to %s failed: %v", address, err),
		Broken: isBroken(err),
		Dead:   errors.Is(err, errDead),
	}
	if f.Broken && cause == nil {
		f.Dead = !c.probe(ctx, address)
	}
	return f
}
