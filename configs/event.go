package configs

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Proposed is the event that a driver of this daemon proposes a command.
type Proposed struct {
	Ticket  uint64 // identifies the waiting driver, repeated in Decided
	Command Command
	Within  time.Duration // time after which the outcome is reported as unknown
}

// Decided is the effect that returns the result of a Proposed command. Err is
// ErrUnknownOutcome when it is not known whether the command takes effect.
type Decided struct {
	Ticket uint64
	Result Result
	Err    error
}

// Proposal is the message that forwards an encoded Entry to the leader.
type Proposal struct{ Entry []byte }

// Forwarded is the event that a Proposal arrives from another daemon.
type Forwarded struct{ Proposal Proposal }

// Forward is the effect that sends a Proposal to the leader.
type Forward struct {
	To       gypsumshelf.DaemonID
	Proposal Proposal
}

// EventName implements gypsumshelf.Event.
func (Proposed) EventName() string { return "command-proposed" }

// EventName implements gypsumshelf.Event.
func (Forwarded) EventName() string { return "proposal-forwarded" }

// EffectName implements gypsumshelf.Effect.
func (Decided) EffectName() string { return "command-decided" }

// EffectName implements gypsumshelf.Effect.
func (Forward) EffectName() string { return "forward-proposal" }
