package engines

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// ServiceCall is one attempt of a call on one plain service.
type ServiceCall struct {
	Attempt   gypsumshelf.AttemptID
	Address   string // IP:PORT of the server
	Method    string
	URI       string // path and query
	Header    http.Header
	Body      []byte
	AnswerDue time.Time // time by which the answer must have begun
	NotAfter  time.Time // time after which nothing may be sent, zero for none
	Deadline  time.Time
}

// ResponseSink receives the response of a plain service.
type ResponseSink interface {
	// Sent is called before the first byte that could start the work is written.
	Sent()
	// Begin is called once with the status and the headers; an error ends the call.
	Begin(status int, header http.Header) error
	// Body is called for each part of the body; an error ends the call.
	Body(p []byte) error
}

// Forwarder runs calls of plain services.
type Forwarder interface {
	// Forward runs a call to the end of its answer. An error is a *CallError.
	Forward(ctx context.Context, call ServiceCall, sink ResponseSink) error
}

const copyBufferBytes = 32 << 10

// Forward implements Forwarder. It passes on responses of any status, except an
// error response that states that the call did not run.
func (c *Client) Forward(parent context.Context, call ServiceCall, sink ResponseSink) error {
	ctx, monitor := c.monitor(withSendExpiry(parent, call.NotAfter), call.Address, call.AnswerDue, call.Deadline)
	defer monitor.stop()
	r, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.URI, bytes.NewReader(call.Body))
	if err != nil {
		return &CallError{Err: gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest, "call to %s: %v", call.Address, err)}
	}
	r.Header = call.Header.Clone()
	r.Header.Set(HeaderAttempt, string(call.Attempt))
	resp, err := c.do(c.freshHTTP, r, sink.Sent)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 400 && resp.Header.Get(HeaderNotRun) == "true" {
		return &CallError{Err: statusError(call.Address, resp)}
	}
	monitor.pauseForCaller()
	if err := sink.Begin(resp.StatusCode, resp.Header); err != nil {
		return callerGoneError(err)
	}
	monitor.recordProgress()
	return c.copyBody(ctx, call.Address, resp.Body, monitor, sink)
}

// copyBody passes the body to sink until it ends.
func (c *Client) copyBody(ctx context.Context, address string, body io.Reader, monitor *progressMonitor, sink ResponseSink) error {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			monitor.pauseForCaller()
			if err := sink.Body(buf[:n]); err != nil {
				return callerGoneError(err)
			}
			monitor.recordProgress()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return c.callError(ctx, address, gypsumshelf.CodeBrokenStream, err)
		}
	}
}

func callerGoneError(err error) *CallError {
	return &CallError{Err: gypsumshelf.Errorf(gypsumshelf.MayHaveRun, gypsumshelf.CodeCallerGone, "caller does not read: %v", err)}
}
