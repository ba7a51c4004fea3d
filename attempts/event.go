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
	// Outcome is the answer of a keyed call, nil for all other requests.
	Outcome *Outcome
}

// Failed is the event of an attempt that ended without a whole answer.
type Failed struct {
	Attempt  gypsumshelf.AttemptID
	Position int // tokens delivered to the caller in all
	Failure  *gypsumshelf.Error
	Broken   bool // the connection was reset or closed in mid-attempt
	Dead     bool // the server refused a connection, or a probe on a new one got no answer
}

// CallerGone is the event of a caller that closed its connection or does not
// read its answer.
type CallerGone struct{ Request gypsumshelf.RequestID }

// Stop is the event of the first stop signal: the daemon takes no new requests.
type Stop struct{}

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

// EventName implements gypsumshelf.Event.
func (Stop) EventName() string { return "stop" }

// Start is the effect that runs an attempt.
type Start struct {
	Request  gypsumshelf.RequestID
	Attempt  gypsumshelf.AttemptID
	Server   gypsumshelf.ServerID
	Address  string
	Model    string // name by which the server knows the model, empty for a plain service
	Priority int    // smaller is more urgent
	Resume   int    // position of the first token wanted
	// NotAfter is the end of the freshness lease and of the server's share under
	// which the start was decided; zero when there is none. A later attempt must
	// not be sent.
	NotAfter time.Time
	// Answer is the time by which the answer must have begun; past it another
	// attempt still has time to finish.
	Answer   time.Time
	Deadline time.Time // time by which the request ends
	Last     bool      // no other attempt can follow, the body may be dropped once sent
}

// Cancel is the effect that makes an engine drop an attempt whose answer is no
// longer wanted, so that its memory comes back.
type Cancel struct {
	Attempt gypsumshelf.AttemptID
	Server  gypsumshelf.ServerID
	Address string
}

// Abort is the effect that ends an attempt whose backend server has restarted:
// its connection may stay silent instead of being reset.
type Abort struct {
	Request gypsumshelf.RequestID
	Attempt gypsumshelf.AttemptID
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

// EffectName implements gypsumshelf.Effect.
func (Cancel) EffectName() string { return "cancel-attempt" }

// EffectName implements gypsumshelf.Effect.
func (Abort) EffectName() string { return "abort-attempt" }
