// Package schedules decides which model engines run a request, which helpers
// share its prefill, and which requests wait or are refused. It has no clock,
// no I/O and no goroutine; package dispatchers runs it.
package schedules

import (
	"fmt"
	"math"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/crashes"
)

// JobID identifies a job, which stands for one attempt of a request.
type JobID string

// Job describes an attempt of a request to the scheduler.
type Job struct {
	ID         JobID
	Service    string
	Daemon     gypsumshelf.DaemonID // entry daemon that holds the request
	DataCentre string               // of the entry daemon
	Workspace  string
	Prompt     int             // tokens
	Answer     int             // maximum tokens of the answer
	Expected   int             // expected tokens of the answer
	Causes     []crashes.Cause // prompt parts and identities of the request, which may crash engines
	Priority   int             // 0 is the most urgent

	// Durations are relative to the arrival of the job at the scheduler.
	Target   time.Duration // until the first event is due
	Patience time.Duration // until the caller disconnects if there is no first event
	Deadline time.Duration // until the whole answer is due
	Gap      time.Duration // longest pause between events that the caller accepts
	Stop     time.Duration // until the entry daemon breaks off its requests for a planned stop, 0 if none has begun

	// Fingerprint is the same for all exact copies of a request that its caller sends, empty
	// if it is not known.
	Fingerprint string

	Avoid []gypsumshelf.ServerID // engines already tried for this request or avoided by its daemon after failures
}

// Hold is a memory reservation that must be made on an engine before the job
// starts.
type Hold struct {
	Server gypsumshelf.ServerID
	Tokens int
}

// Placement states where a job runs.
type Placement struct {
	Server  gypsumshelf.ServerID   // primary engine: prefills a part of the prompt and generates the answer
	Helpers []gypsumshelf.ServerID // prefill the other parts
	Holds   []Hold                 // memory reservations on helpers, in the order in which they are filled
	First   time.Duration          // predicted time to the first event
	Limited bool                   // the primary engine has named a limit, as far as the scheduler knows
}

// engines returns all engines of the placement, the primary first.
func (p *Placement) engines() []gypsumshelf.ServerID {
	return append([]gypsumshelf.ServerID{p.Server}, p.Helpers...)
}

// Decision is the scheduler's decision about one job.
type Decision struct {
	Job        JobID
	Placement  *Placement    // nil when the job is refused
	RetryAfter time.Duration // for a refused job
	Reason     string        // of the refusal
	Waited     time.Duration // time that the job spent in the queue
	Waiting    int           // jobs in the queue at the time of the decision
	Scheduler  string        // address of the scheduling daemon, empty for a local decision
	HandedBack bool          // refused since the entry daemon of the job stops
}

// Outcome is the result of an attempt.
type Outcome uint8

// Outcomes of attempts.
const (
	Completed   Outcome = iota
	Cancelled           // the caller disconnected or the deadline passed
	Rejected            // the engine refused the request without running it
	Unreachable         // no connection to the engine
	Broken              // the engine failed or its answer ended early
	Stalled             // the engine stopped sending events
	Lost                // the engine closed or reset the connection before its answer was complete
)

// IsFailure reports whether the outcome counts as a failure of the engine.
func (o Outcome) IsFailure() bool { return o >= Rejected }

// String returns the kebab-case name used in logs.
func (o Outcome) String() string {
	return [...]string{"completed", "cancelled", "rejected", "unreachable", "broken", "stalled", "lost"}[o]
}

// Load is an engine's report of its own load. It lags behind the actual load.
type Load struct {
	Slowdown float64 // factor by which the engine is slower than its profile
	Running  int     // requests, and prefills for other engines
	Queued   int     // requests that wait for a slot
	Born     int64   // start of the engine that reports, in ms since 1970, 0 if it does not say
}

// maxReportedRequests is far above the slots of any engine and far below the integers that
// overflow when they are added.
const maxReportedRequests = 1_000_000

// validate returns an error if a load is impossible. A slowdown of 0 is one that the engine
// does not state.
func (l Load) validate() error {
	switch {
	case math.IsNaN(l.Slowdown), math.IsInf(l.Slowdown, 0), l.Slowdown < 0:
		return fmt.Errorf("slowdown is %v, want a finite number of at least 0", l.Slowdown)
	case l.Running < 0, l.Running > maxReportedRequests:
		return fmt.Errorf("running is %d, want 0 to %d", l.Running, maxReportedRequests)
	case l.Queued < 0, l.Queued > maxReportedRequests:
		return fmt.Errorf("queued is %d, want 0 to %d", l.Queued, maxReportedRequests)
	}
	return nil
}

// EngineState is the state of an engine that the scheduler needs.
type EngineState struct {
	ID                    gypsumshelf.ServerID
	Born                  int64 // start of the engine, in ms since 1970
	Service               string
	DataCentre            string
	ColdUntil             time.Time // zero when warm
	ColdRequestsPerSecond float64   // requests per second that the engine accepts while cold, 0 if unlimited
}
