package configs

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Code is the reason for the refusal of a command; it is empty when the command
// is accepted.
type Code string

// Codes of refused commands.
const (
	CodeConflict         Code = "conflict"           // the command is not based on the current revision
	CodeCommandIDReused  Code = "command-id-reused"  // the id belongs to a different command
	CodeCommandIDExpired Code = "command-id-expired" // the id was used or created more than CommandRetention ago
	CodeInvalid          Code = "invalid"
	CodeAmbiguousName    Code = "ambiguous-name"
	CodeNotFound         Code = "not-found"
	CodeKeyReused        Code = "key-reused"  // the idempotency key belongs to a different body
	CodeKeyExpired       Code = "key-expired" // the record of the key has expired
	CodeKeyTaken         Code = "key-taken"   // another run of the key was recorded earlier
	CodeStaleEpoch       Code = "stale-epoch"
	CodeRateLimited      Code = "rate-limited" // the rate limit of the weight store is reached
)

// AcceptedChange is an accepted operator command in the history.
type AcceptedChange struct {
	Revision  gypsumshelf.Revision `json:"revision"` // revision that the change made
	At        time.Time            `json:"at"`
	Operator  string               `json:"operator"`
	CommandID string               `json:"command-id"`
	Change    Change               `json:"change"`
}

// Result is the outcome of one command.
type Result struct {
	Code     Code                 `json:"code,omitempty"` // empty when accepted
	Text     string               `json:"text"`
	Revision gypsumshelf.Revision `json:"revision"`           // revision after the command
	Recorded *AcceptedChange      `json:"recorded,omitempty"` // accepted operator command
	Winner   *AcceptedChange      `json:"winner,omitempty"`   // with CodeConflict: the change that was accepted instead
	Run      *Run                 `json:"run,omitempty"`      // set for BeginRun and FinishRun
	Epoch    uint64               `json:"epoch,omitempty"`    // current epoch, set for AdvanceEpoch and accepted IssueOrder
}

// Accepted reports whether the command took effect.
func (r Result) Accepted() bool { return r.Code == "" }
