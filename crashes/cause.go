// Package crashes finds what ends backend servers: a part of prompts, or a whole
// request that its caller sends again and again. It has no clock and no I/O.
package crashes

import (
	"slices"
	"strings"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Cause is what requests have in common that may crash a backend server: the ID of a
// prompt part, or the hash of what a caller repeats when it sends a request again.
type Cause string

// Prefixes of causes that identify a request. IDs of prompt parts have no colon.
const (
	requestPrefix    = "request:"
	anySessionPrefix = "any-session:"
	anyPromptPrefix  = "any-prompt:"
)

// RequestCause returns the cause that exact copies of a request have in common.
func RequestCause(hash string) Cause { return Cause(requestPrefix + hash) }

// AnySessionCause returns the cause that copies of a request in any session have in common:
// the last part of a prompt, which may belong to the session, may differ.
func AnySessionCause(hash string) Cause { return Cause(anySessionPrefix + hash) }

// AnyPromptCause returns the cause that copies of a request with any prompt parts have in
// common.
func AnyPromptCause(hash string) Cause { return Cause(anyPromptPrefix + hash) }

// breadth orders causes by how many requests have them.
type breadth int

const (
	exactRequest breadth = iota
	anySession
	anyPrompt
	promptPart
)

func (c Cause) breadth() breadth {
	switch {
	case strings.HasPrefix(string(c), requestPrefix):
		return exactRequest
	case strings.HasPrefix(string(c), anySessionPrefix):
		return anySession
	case strings.HasPrefix(string(c), anyPromptPrefix):
		return anyPrompt
	default:
		return promptPart
	}
}

// IsRequest reports whether the cause identifies a request, and not a part of its prompt.
func (c Cause) IsRequest() bool { return c.breadth() < promptPart }

// IsWide reports whether the cause identifies a request, but different requests may have it.
func (c Cause) IsWide() bool { return c.breadth() == anySession || c.breadth() == anyPrompt }

// Run is a request that was lost with the connection to its backend server.
type Run struct {
	Causes   []Cause
	Duration time.Duration // from the start of the attempt to the loss of the connection
}

// Report states which runs an entry daemon has lost with one start of a backend server
// that has ended.
type Report struct {
	Server gypsumshelf.ServerID
	Born   int64         // start of the backend server, in ms since 1970
	Age    time.Duration // since the loss of the first run
	Runs   []Run
}

// Quarantine keeps requests with a cause away from backend servers.
type Quarantine struct {
	Cause Cause     `json:"part"` // the key dates from the time when only parts had quarantines
	Until time.Time `json:"until"`
}

// Lift ends the quarantine of a cause. Crashes before it do not count any more.
type Lift struct {
	Cause Cause     `json:"cause"`
	At    time.Time `json:"at"`
}

const (
	// QuarantineCause says why a request with a quarantined cause gets no attempt.
	QuarantineCause = "the request or a part of its prompt crashes backend servers"
	// QuarantineReason is the reason of refusals of such requests.
	QuarantineReason = QuarantineCause + "; it has not run and will not run"
)

// QuarantineSet holds the end of each quarantine by its cause.
type QuarantineSet map[Cause]time.Time

// NewQuarantineSet returns a set of quarantines.
func NewQuarantineSet(quarantines []Quarantine) QuarantineSet {
	s := QuarantineSet{}
	for _, q := range quarantines {
		s[q.Cause] = q.Until
	}
	return s
}

// ContainsAny reports whether any of the causes is quarantined at a time.
func (s QuarantineSet) ContainsAny(now time.Time, causes []Cause) bool {
	return len(s) > 0 && slices.ContainsFunc(causes, func(c Cause) bool { return now.Before(s[c]) })
}
