// Package loads sends measured load to running daemons and checks every answer.
package loads

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

// Order is one request to be sent.
type Order struct {
	Address      string // IP:PORT of the daemon's listener for callers
	Model        string
	Workspace    string
	Class        string
	RequestID    string // generated when empty
	PromptTokens int
	MaxTokens    int
	Seed         uint64    // makes the prompt, and so the answer, unique
	Whole        bool      // ask for an answer that is not streamed
	Intended     time.Time // time from which latency counts, the present when zero
}

// Caller sends requests and checks their answers against package standins.
type Caller struct {
	http *http.Client
}

// NewCaller returns a Caller.
func NewCaller() *Caller {
	return &Caller{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// Close drops the idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Prompt returns a prompt of about n tokens that is unique for the seed.
func Prompt(seed uint64, n int) string {
	head := fmt.Sprintf("%016x ", seed)
	return head + strings.Repeat("abc ", max(0, n-len(head)/4))
}

// Do sends one request and reads its answer to the end.
func (c *Caller) Do(ctx context.Context, o Order) Outcome {
	if o.RequestID == "" {
		o.RequestID = uuid.NewString()
	}
	if o.Intended.IsZero() {
		o.Intended = time.Now()
	}
	prompt := Prompt(o.Seed, o.PromptTokens)
	r, err := newRequest(ctx, o, prompt)
	if err != nil {
		return Outcome{Result: Broken, Err: err}
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return Outcome{Result: Broken, Code: CodeConnection, Verdict: gypsumshelf.MayHaveRun, Err: err, Total: time.Since(o.Intended)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp, o.Intended)
	}
	check := newChecker(o, prompt, o.Intended)
	if o.Whole {
		return check.whole(resp.Body)
	}
	return check.stream(resp.Body)
}

func newRequest(ctx context.Context, o Order, prompt string) (*http.Request, error) {
	data, err := json.Marshal(map[string]any{"model": o.Model, "prompt": prompt, "max_tokens": o.MaxTokens, "stream": !o.Whole})
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Address+"/v1/completions", bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(entries.HeaderRequestID, o.RequestID)
	r.Header.Set(engines.HeaderAttempt, o.RequestID) // for a direct call to an engine
	setIf(r, entries.HeaderWorkspace, o.Workspace)
	setIf(r, entries.HeaderClass, o.Class)
	return r, nil
}

func setIf(r *http.Request, key, value string) {
	if value != "" {
		r.Header.Set(key, value)
	}
}

func refusal(resp *http.Response, start time.Time) Outcome {
	var body errorBody
	err := json.NewDecoder(resp.Body).Decode(&body)
	if err == nil {
		err = fmt.Errorf("%s: %s", body.Code, body.Text)
	}
	return Outcome{Result: Refused, Err: err, Code: body.Code, Verdict: body.Verdict, Total: time.Since(start)}
}
