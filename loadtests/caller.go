// Package loadtests generates load for running daemons, measures latencies and
// costs, and checks every answer.
package loadtests

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/engines"
	"gypsumshelf.example/gypsumshelf/entries"
)

// Request describes one request to send.
type Request struct {
	Address      string // IP:PORT of the daemon's listener for callers
	Model        string
	Workspace    string
	Class        string
	RequestID    string // generated when empty
	PromptTokens int
	MaxTokens    int
	Seed         uint64    // makes the prompt, and so the answer, unique to the request
	NonStreaming bool      // asks for the answer in one response body
	Intended     time.Time // start of the latency measurement, the current time when zero
}

// Caller sends requests and compares their answers with those that the stand-ins of
// package standins must give.
type Caller struct {
	http *http.Client
}

// NewCaller returns a Caller.
func NewCaller() *Caller {
	return &Caller{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// Close closes idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Prompt returns a prompt of about n tokens that is unique to the seed.
func Prompt(seed uint64, n int) string {
	prefix := fmt.Sprintf("%016x ", seed)
	return prefix + strings.Repeat("abc ", max(0, n-len(prefix)/4))
}

// Do sends one request and reads its answer to the end.
func (c *Caller) Do(ctx context.Context, req Request) Outcome {
	if req.RequestID == "" {
		req.RequestID = uuid.NewString()
	}
	if req.Intended.IsZero() {
		req.Intended = time.Now()
	}
	prompt := Prompt(req.Seed, req.PromptTokens)
	httpReq, err := newHTTPRequest(ctx, req, prompt)
	if err != nil {
		return Outcome{Result: Broken, Err: err}
	}
	resp, err := c.http.Do(httpReq)
	if err != nil {
		return Outcome{Result: Broken, Code: CodeConnectionFailed, Verdict: gypsumshelf.MayHaveRun, Err: err, Total: time.Since(req.Intended)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp, req.Intended)
	}
	check := newChecker(req, prompt, req.Intended)
	if req.NonStreaming {
		return check.checkNonStreaming(resp.Body)
	}
	return check.checkStream(resp.Body)
}

func newHTTPRequest(ctx context.Context, req Request, prompt string) (*http.Request, error) {
	data, err := json.Marshal(map[string]any{"model": req.Model, "prompt": prompt, "max_tokens": req.MaxTokens, "stream": !req.NonStreaming})
	if err != nil {
		return nil, err
	}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+req.Address+"/v1/completions", bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	httpReq.Header.Set("Content-Type", "application/json")
	httpReq.Header.Set(entries.HeaderRequestID, req.RequestID)
	httpReq.Header.Set(engines.HeaderAttempt, req.RequestID) // required by engines that are called directly
	setHeaderIfSet(httpReq, entries.HeaderWorkspace, req.Workspace)
	setHeaderIfSet(httpReq, entries.HeaderClass, req.Class)
	return httpReq, nil
}

func setHeaderIfSet(httpReq *http.Request, key, value string) {
	if value != "" {
		httpReq.Header.Set(key, value)
	}
}

// readRefusal returns the outcome of a response with an error status.
func readRefusal(resp *http.Response, start time.Time) Outcome {
	var body errorBody
	err := json.NewDecoder(resp.Body).Decode(&body)
	if err == nil {
		err = fmt.Errorf("%s: %s", body.Code, body.Text)
	}
	return Outcome{Result: Refused, Err: err, Code: body.Code, Verdict: body.Verdict, Total: time.Since(start)}
}
