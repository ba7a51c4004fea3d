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
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/streams"
)

// Headers of calls to engines.
const (
	HeaderAttempt  = "X-Request-Id"
	HeaderPriority = "X-Priority"
	HeaderResume   = "X-Resume-Position"
	// HeaderNotRun on an error answer says that the server did not start the work.
	HeaderNotRun = "X-Not-Run"
)

// Client calls engines over HTTP.
type Client struct {
	http *http.Client
}

// ClientConfig configures a Client.
type ClientConfig struct {
	DialTimeout time.Duration // time to establish a connection
	// Wrap, when not nil, is applied to the HTTP transport, for example to trace calls.
	Wrap func(http.RoundTripper) http.RoundTripper
}

// NewClient returns a Client. Each call opens its own connection: net/http
// resends a request on its own when a kept-alive connection turns out dead,
// which would run work twice, and an idle connection may have gone silent.
func NewClient(cfg ClientConfig) *Client {
	dialer := &net.Dialer{Timeout: cfg.DialTimeout}
	var transport http.RoundTripper = &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	if cfg.Wrap != nil {
		transport = cfg.Wrap(transport)
	}
	return &Client{http: &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// Do sends one request and reports through sent whether any byte of it may
// have been delivered. The request must not have GetBody set, so that net/http
// cannot replay it.
func (c *Client) Do(r *http.Request, sent func()) (*http.Response, error) {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		wrote.Store(true)
		sent()
	}}
	r.GetBody = nil
	resp, err := c.http.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err == nil {
		return resp, nil
	}
	if !wrote.Load() {
		return nil, gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBackendFailed, "no connection to %s: %v", r.URL.Host, err)
	}
	return nil, gypsumshelf.Errorf(gypsumshelf.MayHaveRun, gypsumshelf.CodeBackendFailed, "no answer from %s: %v", r.URL.Host, err)
}

// Complete implements Completer.
func (c *Client) Complete(ctx context.Context, call Call, sink Sink) error {
	url := "http://" + call.Address + call.Path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(call.Body))
	if err != nil {
		return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeInternal, "call to %s: %v", call.Address, err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(HeaderAttempt, string(call.Attempt))
	r.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	if call.Resume > 0 {
		r.Header.Set(HeaderResume, strconv.Itoa(call.Resume))
	}
	resp, err := c.Do(r, sink.Sent)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(call.Address, resp)
	}
	return copyChunks(streams.NewReader(streams.ReaderConfig{
		Source: resp.Body, Attempt: string(call.Attempt), Start: call.Resume,
	}), sink)
}

func copyChunks(r *streams.Reader, sink Sink) error {
	for {
		chunk, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return gypsumshelf.Errorf(gypsumshelf.MayHaveRun, gypsumshelf.CodeBrokenStream, "stream broke at token %d: %v", r.Position(), err)
		}
		if err := sink.Chunk(chunk); err != nil {
			return gypsumshelf.Errorf(gypsumshelf.MayHaveRun, gypsumshelf.CodeCallerGone, "caller does not read: %v", err)
		}
	}
}

func statusError(address string, resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
	verdict := gypsumshelf.MayHaveRun
	if resp.Header.Get(HeaderNotRun) == "true" {
		verdict = gypsumshelf.NotRun
	}
	code := gypsumshelf.CodeBackendFailed
	if resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable {
		code = gypsumshelf.CodeOverloaded
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
	resp, err := c.http.Do(r)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
