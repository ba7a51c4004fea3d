// Package loads sends measured load to running daemons and checks every answer.
package loads

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/entries"
	"gypsumshelf.example/gypsumshelf/standins"
	"gypsumshelf.example/gypsumshelf/streams"
)

// Outcome is the result of one request.
type Outcome struct {
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
	Verdict    gypsumshelf.Verdict
	Code       gypsumshelf.Code
	Err        error // nil when the answer was whole and the caller's own
	Wrong      bool  // an answer was presented as whole but is not the caller's own
}

// Order is one request to be sent.
type Order struct {
	Address      string // IP:PORT of the daemon's listener for callers
	Model        string
	Workspace    string
	Class        string
	RequestID    string
	PromptTokens int
	MaxTokens    int
	Seed         uint64 // makes the prompt, and so the answer, unique
}

// Caller sends requests and checks their answers against package standins.
type Caller struct {
	http *http.Client
}

// NewCaller returns a Caller.
func NewCaller() *Caller {
	return &Caller{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// Prompt returns a prompt of about n tokens that is unique for the seed.
func Prompt(seed uint64, n int) string {
	head := fmt.Sprintf("%016x ", seed)
	return head + strings.Repeat("abc ", max(0, n-len(head)/4))
}

// Do sends one streaming request and reads its answer to the end.
func (c *Caller) Do(ctx context.Context, o Order) Outcome {
	prompt := Prompt(o.Seed, o.PromptTokens)
	data, err := json.Marshal(map[string]any{"model": o.Model, "prompt": prompt, "max_tokens": o.MaxTokens, "stream": true})
	if err != nil {
		return Outcome{Err: err}
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Address+"/v1/completions", bytes.NewReader(data))
	if err != nil {
		return Outcome{Err: err}
	}
	r.Header.Set("Content-Type", "application/json")
	setIf(r, entries.HeaderWorkspace, o.Workspace)
	setIf(r, entries.HeaderClass, o.Class)
	setIf(r, entries.HeaderRequestID, o.RequestID)
	start := time.Now()
	resp, err := c.http.Do(r)
	if err != nil {
		return Outcome{Err: err, Total: time.Since(start)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp, start)
	}
	return check(resp, start, prompt, o.MaxTokens)
}

func setIf(r *http.Request, key, value string) {
	if value != "" {
		r.Header.Set(key, value)
	}
}

func refusal(resp *http.Response, start time.Time) Outcome {
	var body struct {
		Code    gypsumshelf.Code    `json:"code"`
		Text    string              `json:"text"`
		Verdict gypsumshelf.Verdict `json:"verdict"`
	}
	err := json.NewDecoder(resp.Body).Decode(&body)
	if err == nil {
		err = fmt.Errorf("%s: %s", body.Code, body.Text)
	}
	return Outcome{Err: err, Code: body.Code, Verdict: body.Verdict, Total: time.Since(start)}
}

func check(resp *http.Response, start time.Time, prompt string, n int) Outcome {
	var out Outcome
	var text strings.Builder
	reader := streams.NewReader(streams.ReaderConfig{Source: resp.Body, Attempt: resp.Header.Get(entries.HeaderRequestID)})
	for {
		chunk, err := reader.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			out.Err = err
			out.Total = time.Since(start)
			return out
		}
		if out.Tokens == 0 {
			out.FirstToken = time.Since(start)
		}
		out.Tokens += chunk.Count()
		text.WriteString(chunk.Text())
	}
	out.Total = time.Since(start)
	out.Verdict = gypsumshelf.Ran
	if text.String() != standins.Answer(prompt, n) {
		out.Wrong = true
		out.Err = fmt.Errorf("answer of %d tokens is not the whole answer to the prompt", out.Tokens)
	}
	return out
}
