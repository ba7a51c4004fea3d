// Package schedules decides which model engines run a request, with which
// helpers, and which requests wait or are refused. It has no clock, no I/O and
// no goroutine; package desks runs it.
package schedules

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// JobID identifies one attempt of a request that is to be placed.
type JobID string

// Job is a request as the scheduler sees it.
type Job struct {
	ID         JobID
	Service    string
	Daemon     gypsumshelf.DaemonID // entry daemon that holds the request
	DataCentre string               // of that daemon
	Workspace  string
	Prompt     int // tokens
	Answer     int // most tokens of the answer
	Expected   int // expected tokens of the answer
	Priority   int // 0 is the most urgent

	// Times are relative to the arrival of the job at the scheduler.
	Target   time.Duration // until the first event is due
	Patience time.Duration // until the caller leaves if there is no first event
	Deadline time.Duration // until the whole answer is due
	Gap      time.Duration // longest pause between events that is on time

	Avoid []gypsumshelf.ServerID // engines that the daemon could not use for this request
}

// Hold is memory that must be reserved on an engine before the job starts.
type Hold struct {
	Server gypsumshelf.ServerID
	Tokens int
}

// Placement says where a job runs.
type Placement struct {
	Server  gypsumshelf.ServerID   // writes the answer and reads a part of the prompt
	Helpers []gypsumshelf.ServerID // read the other parts
	Holds   []Hold                 // memory on helpers, in the order in which it is filled
	First   time.Duration          // predicted time to the first event
}

// engines returns all engines of the placement, the writer first.
func (p *Placement) engines() []gypsumshelf.ServerID {
	return append([]gypsumshelf.ServerID{p.Server}, p.Helpers...)
}

// Decision is what the scheduler decided about one job.
type Decision struct {
	Job        JobID
	Placement  *Placement    // nil when the job is refused
	RetryAfter time.Duration // for a refused job
	Reason     string        // of the refusal
	Waited     time.Duration // time that the job spent in the queue
	Waiting    int           // jobs in the queue when it was decided
	Scheduler  string        // address of the daemon that decided, empty for the own one
}

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of attempts.
const (
	Completed   Outcome = iota
	Cancelled           // the caller left or the time was over
	Rejected            // the engine refused the request without running it
	Unreachable         // no connection to the engine
	Broken              // the engine failed, or its answer broke off
	Stalled             // the engine went silent
)

// Failure reports whether the outcome speaks against the engine.
func (o Outcome) Failure() bool { return o >= Rejected }

// String returns the kebab-case name used in logs.
func (o Outcome) String() string {
	return [...]string{"completed", "cancelled", "rejected", "unreachable", "broken", "stalled"}[o]
}

// Load is what an engine reports of itself; it lags behind the truth.
type Load struct {
	Pace    float64 // how many times slower than its figures the engine works
	Running int     // requests, and parts of prompts for other engines
	Waiting int     // requests that wait for a slot
}

// EngineState is what the scheduler is told of an engine.
type EngineState struct {
	ID         gypsumshelf.ServerID
	Service    string
	DataCentre string
	ColdUntil  time.Time // zero when warm
	ColdRate   float64   // requests a second that it bears while cold, 0 when unlimited
}
