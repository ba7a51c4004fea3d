package configs

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// CommandProposed is the event that a driver of this daemon proposes a command.
type CommandProposed struct {
	Ticket  uint64 // identifies the waiting driver, repeated in CommandDecided
	Command Command
	Timeout time.Duration // time after which the outcome is reported as unknown
}

// CommandDecided is the effect that returns the result of a proposed command.
// Err is ErrUnknownOutcome when it is not known whether the command takes
// effect.
type CommandDecided struct {
	Ticket uint64
	Result Result
	Err    error
}

// Proposal is the message that forwards an encoded Entry to the leader.
type Proposal struct{ Entry []byte }

// ProposalForwarded is the event that a Proposal arrives from another daemon.
type ProposalForwarded struct{ Proposal Proposal }

// ForwardProposal is the effect that sends a Proposal to the leader.
type ForwardProposal struct {
	To       gypsumshelf.DaemonID
	Proposal Proposal
}

// EventName implements gypsumshelf.Event.
func (CommandProposed) EventName() string { return "command-proposed" }

// EventName implements gypsumshelf.Event.
func (ProposalForwarded) EventName() string { return "proposal-forwarded" }

// EffectName implements gypsumshelf.Effect.
func (CommandDecided) EffectName() string { return "command-decided" }

// EffectName implements gypsumshelf.Effect.
func (ForwardProposal) EffectName() string { return "forward-proposal" }
