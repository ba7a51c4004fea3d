package loadtests

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/entries"
	"gypsumshelf.example/gypsumshelf/standins"
)

// PlainReport is the part of a Report about calls to plain services.
type PlainReport struct {
	Requests          int            `json:"requests"`
	Answered          int            `json:"answered"`
	RepeatedKeys      int            `json:"repeated"` // requests whose idempotency key was sent twice
	Failures          map[string]int `json:"failures"` // by code and verdict
	CountersRead      bool           `json:"checked"`  // whether the run counts of the stand-ins were available
	DuplicateRuns     int            `json:"twice"`    // non-idempotent calls that ran more than once
	FalseVerdicts     int            `json:"untrue"`   // verdicts or answers that contradict the run counts
	MismatchedAnswers int            `json:"foreign"`  // answers that belong to another call
}

// Err returns an error when a call ran twice, a verdict was false or an answer belonged
// to another call.
func (p PlainReport) Err() error {
	if p.DuplicateRuns+p.FalseVerdicts+p.MismatchedAnswers > 0 {
		return fmt.Errorf("plain calls: %d ran twice, %d untrue verdicts, %d foreign answers", p.DuplicateRuns, p.FalseVerdicts, p.MismatchedAnswers)
	}
	return nil
}

func (p PlainReport) writeText(w io.Writer) {
	fmt.Fprintf(w, "plain calls %d (%d with a repeated key), answered %d, ran twice %d, untrue verdicts %d, foreign answers %d, counters read: %t\n",
		p.Requests, p.RepeatedKeys, p.Answered, p.DuplicateRuns, p.FalseVerdicts, p.MismatchedAnswers, p.CountersRead)
	for _, key := range slices.Sorted(maps.Keys(p.Failures)) {
		fmt.Fprintf(w, "  %s: %d\n", key, p.Failures[key])
	}
}

// plainCall is a call to a plain service with the result that its caller received.
type plainCall struct {
	id            string
	nonIdempotent bool // must not run more than once
	hasKey        bool // sent with an idempotency key
	sentTwice     bool // sent twice concurrently with the same key
	answered      bool
	verdict       gypsumshelf.Verdict
}

// plainRecorder collects the calls of a run and their results.
type plainRecorder struct {
	mu     sync.Mutex
	calls  []plainCall
	report PlainReport
}

func newPlainRecorder() *plainRecorder {
	return &plainRecorder{report: PlainReport{Failures: map[string]int{}}}
}

// callPlainService sends one call to a plain service through a daemon.
func (c *Caller) callPlainService(ctx context.Context, address, service string, call plainCall, rec *plainRecorder) {
	method := http.MethodGet
	if call.nonIdempotent {
		method = http.MethodPost
	}
	url := fmt.Sprintf("http://%s/services/%s/calls/%s", address, service, call.id)
	r, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		rec.add(call, "", CodeConnectionFailed)
		return
	}
	if call.hasKey {
		r.Header.Set(entries.HeaderKey, call.id)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		call.verdict = gypsumshelf.MayHaveRun
		rec.add(call, "", CodeConnectionFailed)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		out := readRefusal(resp, time.Now())
		call.verdict = out.Verdict
		rec.add(call, "", out.Code)
		return
	}
	var answer standins.PlainAnswer
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		call.verdict = gypsumshelf.MayHaveRun
		rec.add(call, "", CodeConnectionFailed)
		return
	}
	call.answered, call.verdict = true, gypsumshelf.Ran
	rec.add(call, answer.Call, "")
}

func (p *plainRecorder) add(call plainCall, answeredID string, code gypsumshelf.Code) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, call)
	p.report.Requests++
	if call.sentTwice {
		p.report.RepeatedKeys++
	}
	if !call.answered {
		p.report.Failures[fmt.Sprintf("%s %s", code, call.verdict)]++
		return
	}
	p.report.Answered++
	if answeredID != call.id {
		p.report.MismatchedAnswers++
	}
}

// compareWithRuns compares the results that callers received with the number of times
// that each call ran.
func (p *plainRecorder) compareWithRuns(runs map[string]int) PlainReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.report
	r.CountersRead = true
	counted := map[string]bool{}
	for _, call := range p.calls {
		if !call.nonIdempotent {
			continue
		}
		n := runs[call.id]
		if n > 1 && !counted[call.id] {
			r.DuplicateRuns++
		}
		counted[call.id] = true
		// When two requests have the same key, one may be refused while the other runs.
		if (call.answered && n == 0) || (!call.answered && !call.sentTwice && call.verdict == gypsumshelf.NotRun && n > 0) {
			r.FalseVerdicts++
		}
	}
	return r
}

// fetchPlainRuns reads how often each plain call ran from the control address of a
// fleet of stand-ins.
func (c *Caller) fetchPlainRuns(ctx context.Context, control string) (map[string]int, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+"/calls", nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, fmt.Errorf("reading the run counts of the stand-ins: %w", err)
	}
	defer resp.Body.Close()
	var runs map[string]int
	if err := json.NewDecoder(resp.Body).Decode(&runs); err != nil {
		return nil, fmt.Errorf("decoding the run counts of the stand-ins: %w", err)
	}
	return runs, nil
}
