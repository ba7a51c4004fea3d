package attempts

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Arrived is the event of a request that a caller has sent.
type Arrived struct{ Request gypsumshelf.Request }

// Sent is the event of an attempt whose bytes may have reached the server.
type Sent struct{ Attempt gypsumshelf.AttemptID }

// FirstToken is the event of an attempt's first token.
type FirstToken struct{ Attempt gypsumshelf.AttemptID }

// Ended is the event of an attempt that delivered its whole answer.
type Ended struct {
	Attempt  gypsumshelf.AttemptID
	Position int // tokens delivered to the caller in all
}

// Failed is the event of an attempt that ended without a whole answer.
type Failed struct {
	Attempt  gypsumshelf.AttemptID
	Position int // tokens delivered to the caller in all
	Failure  *gypsumshelf.Error
}

// CallerGone is the event of a caller that closed its connection.
type CallerGone struct{ Request gypsumshelf.RequestID }

// EventName implements gypsumshelf.Event.
func (Arrived) EventName() string { return "request-arrived" }

// EventName implements gypsumshelf.Event.
func (Sent) EventName() string { return "attempt-sent" }

// EventName implements gypsumshelf.Event.
func (FirstToken) EventName() string { return "attempt-first-token" }

// EventName implements gypsumshelf.Event.
func (Ended) EventName() string { return "attempt-ended" }

// EventName implements gypsumshelf.Event.
func (Failed) EventName() string { return "attempt-failed" }

// EventName implements gypsumshelf.Event.
func (CallerGone) EventName() string { return "caller-gone" }

// Start is the effect that runs an attempt.
type Start struct {
	Request  gypsumshelf.RequestID
	Attempt  gypsumshelf.AttemptID
	Server   gypsumshelf.ServerID
	Address  string
	Priority int // smaller is more urgent
	Resume   int // position of the first token wanted
	// NotAfter is the end of the freshness lease under which the start was
	// decided; zero when there is none. A later attempt must not be sent.
	NotAfter time.Time
}

// Refuse is the effect that ends a request with an error.
type Refuse struct {
	Request gypsumshelf.RequestID
	Err     *gypsumshelf.Error
}

// Finish is the effect that ends a request whose answer is whole.
type Finish struct{ Request gypsumshelf.RequestID }

// EffectName implements gypsumshelf.Effect.
func (Start) EffectName() string { return "start-attempt" }

// EffectName implements gypsumshelf.Effect.
func (Refuse) EffectName() string { return "refuse-request" }

// EffectName implements gypsumshelf.Effect.
func (Finish) EffectName() string { return "finish-request" }
