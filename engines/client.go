package engines

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/answers"
	"gypsumshelf.example/gypsumshelf/streams"
)

// Headers of calls to engines.
const (
	HeaderAttempt  = "X-Request-Id"
	HeaderPriority = "X-Priority"
	HeaderResume   = "X-Resume-Position"
	// HeaderNotRun on an error response means that the server did not start the work.
	HeaderNotRun = "X-Not-Run"
)

// TCP keep-alive probes close an idle connection about 11 s after its peer has
// become unreachable.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// maxErrorBytes is the number of bytes of an error response that are kept.
const maxErrorBytes = 1024

// Client calls engines and plain services over HTTP.
type Client struct {
	cfg           ClientConfig
	freshHTTP     *http.Client // opens a new connection for each call
	preopenedHTTP *http.Client // uses preopened connections, for work that may repeat
	preopened     *preopenedConns
}

// ClientConfig configures a Client. Zero fields take the defaults below.
type ClientConfig struct {
	DialTimeout     time.Duration // time to establish a connection, and for a probe
	ProgressTimeout time.Duration // longest time without progress of a stream that has begun
	// Wrap, when not nil, is applied to the HTTP transport, for example to trace calls.
	Wrap func(http.RoundTripper) http.RoundTripper
}

const (
	defaultDialTimeout     = time.Second
	defaultProgressTimeout = 20 * time.Second
)

// NewClient returns a Client. Every call has its own connection: on a dead
// kept-alive connection, net/http resends a request by itself, which would run
// work twice, and an idle connection may be dead without notice. Work that may
// repeat can use a connection opened at most preopenedMaxAge earlier. Work that
// may not uses a new connection, since a failed dial proves that it did not run.
func NewClient(cfg ClientConfig) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.ProgressTimeout == 0 {
		cfg.ProgressTimeout = defaultProgressTimeout
	}
	dialer := &net.Dialer{Timeout: cfg.DialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	preopened := newPreopenedConns(dialer.DialContext)
	return &Client{cfg: cfg, freshHTTP: newHTTPClient(cfg, dialer.DialContext), preopenedHTTP: newHTTPClient(cfg, preopened.get), preopened: preopened}
}

func newHTTPClient(cfg ClientConfig, dial dialFunc) *http.Client {
	var transport http.RoundTripper = &http.Transport{DialContext: answers.CheckDial(rejectExpired(dial)), DisableKeepAlives: true, DisableCompression: true}
	if cfg.Wrap != nil {
		transport = cfg.Wrap(transport)
	}
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Close closes the preopened connections.
func (c *Client) Close() { c.preopened.close() }

// do sends one request. It calls sent before the first byte can be delivered. An
// error is a *CallError.
func (c *Client) do(client *http.Client, r *http.Request, sent func()) (*http.Response, error) {
	var wrote atomic.Bool
	trace := traceRequest(func() {
		wrote.Store(true)
		sent()
	})
	r.GetBody = nil // prevents net/http from resending the request
	resp, err := client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err == nil {
		return resp, nil
	}
	if !wrote.Load() {
		return nil, &CallError{
			Err:               gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBackendFailed, "no connection to %s: %v", r.URL.Host, err),
			ServerUnreachable: errors.Is(err, syscall.ECONNREFUSED),
		}
	}
	return nil, c.callError(r.Context(), r.URL.Host, gypsumshelf.CodeBackendFailed, err)
}

// Complete implements Completer.
func (c *Client) Complete(parent context.Context, call Call, sink Sink) error {
	ctx, monitor := c.monitor(withSendExpiry(parent, call.NotAfter), call.Address, call.AnswerDue, call.Deadline)
	defer monitor.stop()
	url := "http://" + call.Address + call.Path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(call.Body))
	if err != nil {
		return &CallError{Err: gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeInternal, "call to %s: %v", call.Address, err)}
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(HeaderAttempt, string(call.Attempt))
	r.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	if call.Resume > 0 {
		r.Header.Set(HeaderResume, strconv.Itoa(call.Resume))
	}
	resp, err := c.do(c.preopenedHTTP, r, sink.Sent)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &CallError{Err: statusError(call.Address, resp)}
	}
	reader := streams.NewReader(streams.ReaderConfig{
		Source: resp.Body, AttemptID: string(call.Attempt), StartPosition: call.Resume, Finished: call.Finished,
	})
	return c.copyChunks(ctx, call.Address, reader, monitor, sink)
}

// copyChunks passes chunks to sink until the stream ends.
func (c *Client) copyChunks(ctx context.Context, address string, r *streams.Reader, monitor *progressMonitor, sink Sink) error {
	for {
		chunk, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return c.callError(ctx, address, gypsumshelf.CodeBrokenStream, fmt.Errorf("stream broke at token %d: %w", r.Position(), err))
		}
		monitor.pauseForCaller()
		if err := sink.Chunk(chunk); err != nil {
			return callerGoneError(err)
		}
		monitor.recordProgress()
	}
}

// statusError returns the error for a response that is not a stream. A 4xx status
// would be the same on every server, except for those that ask for a retry.
func statusError(address string, resp *http.Response) *gypsumshelf.Error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	verdict := gypsumshelf.MayHaveRun
	if resp.Header.Get(HeaderNotRun) == "true" {
		verdict = gypsumshelf.NotRun
	}
	code := gypsumshelf.CodeBackendFailed
	switch status := resp.StatusCode; {
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		code = gypsumshelf.CodeOverloaded
	case status == http.StatusRequestTimeout, status == http.StatusTooEarly:
	case status >= 400 && status < 500:
		code = gypsumshelf.CodeBadRequest
	}
	return gypsumshelf.Errorf(verdict, code, "%s answered %d: %s", address, resp.StatusCode, bytes.TrimSpace(text))
}

// Cancel implements Completer.
func (c *Client) Cancel(ctx context.Context, address string, id gypsumshelf.AttemptID) error {
	url := fmt.Sprintf("http://%s/v1/requests/%s", address, id)
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.freshHTTP.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 500 {
		return fmt.Errorf("cancellation of attempt %s at %s was answered with status %d", id, address, resp.StatusCode)
	}
	return nil
}
