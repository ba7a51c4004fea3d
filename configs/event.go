package configs

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Proposed is the event of a command from a driver of this daemon.
type Proposed struct {
	Ticket  uint64 // identifies the waiting driver
	Command Command
	Within  time.Duration // time after which the outcome is reported as unknown
}

// Decided is the effect that answers Proposed. Err is ErrUnknownOutcome when
// the command may or may not take effect.
type Decided struct {
	Ticket uint64
	Result Result
	Err    error
}

// Proposal is the message that passes a command on to the leader.
type Proposal struct{ Entry []byte }

// Forwarded is the event of a Proposal from another daemon.
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
