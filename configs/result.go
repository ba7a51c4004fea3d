package configs

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Code is the reason for which a command was refused; empty when accepted.
type Code string

// Codes of refused commands.
const (
	CodeConflict         Code = "conflict"           // another change was made at the revision seen
	CodeCommandIDReused  Code = "command-id-reused"  // the id belongs to a different command
	CodeCommandIDExpired Code = "command-id-expired" // the id is older than CommandRetention
	CodeInvalid          Code = "invalid"
	CodeAmbiguousName    Code = "ambiguous-name"
	CodeNotFound         Code = "not-found"
	CodeKeyReused        Code = "key-reused"  // the idempotency key belongs to a different body
	CodeKeyExpired       Code = "key-expired" // the record of the key has expired
	CodeKeyTaken         Code = "key-taken"   // another run of the key began earlier
	CodeStaleEpoch       Code = "stale-epoch"
)

// Recorded is an accepted operator command.
type Recorded struct {
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
	Recorded *Recorded            `json:"recorded,omitempty"` // accepted operator command
	Winner   *Recorded            `json:"winner,omitempty"`   // with CodeConflict: the change that was made instead
	Run      *Run                 `json:"run,omitempty"`      // of BeginRun and FinishRun
	Epoch    uint64               `json:"epoch,omitempty"`    // current epoch, of AdvanceEpoch
}

// Accepted reports whether the command took effect.
func (r Result) Accepted() bool { return r.Code == "" }
