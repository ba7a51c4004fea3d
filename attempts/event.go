package attempts

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Arrived is the event of a request that a caller has sent.
type Arrived struct{ Request gypsumshelf.Request }

// Sent is the event of an attempt of which bytes may have reached the server.
type Sent struct{ Attempt gypsumshelf.AttemptID }

// FirstToken is the event of an attempt's first token.
type FirstToken struct{ Attempt gypsumshelf.AttemptID }

// Ended is the event of an attempt that delivered its complete answer.
type Ended struct {
	Attempt  gypsumshelf.AttemptID
	Position int // tokens delivered to the caller in all
	// Outcome is the answer of a keyed call, nil for all other requests.
	Outcome *Outcome
}

// Failed is the event of an attempt that ended without a complete answer.
type Failed struct {
	Attempt           gypsumshelf.AttemptID
	Position          int // tokens delivered to the caller in all
	Failure           *gypsumshelf.Error
	ConnectionBroken  bool // the server reset or closed the connection during the attempt
	ServerUnreachable bool // the server refused a connection or did not answer a probe on a new one
}

// CallerGone is the event of a caller that closed its connection or stopped
// reading its answer.
type CallerGone struct{ Request gypsumshelf.RequestID }

// Stop is the event of the first stop signal: the daemon takes no new requests and begins
// no work on those that have not run.
type Stop struct{}

// Interrupt is the event of the second stop signal: the daemon ends the requests in
// progress.
type Interrupt struct{}

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
	// NotAfter is the earlier end of the freshness lease and of the server's share
	// on which the decision rests, zero for none. The attempt must not be sent
	// after it.
	NotAfter time.Time
	// AnswerDue is the time by which the answer must have begun, early enough for
	// another attempt to finish.
	AnswerDue time.Time
	Deadline  time.Time // time by which the request ends
	Last      bool      // no other attempt can follow, so the body may be released once sent
}

// Cancel is the effect that makes an engine drop an attempt whose answer is no
// longer needed and free its memory.
type Cancel struct {
	Attempt gypsumshelf.AttemptID
	Server  gypsumshelf.ServerID
	Address string
}

// Abort is the effect that ends an attempt whose backend server has restarted. It
// is needed because the old connection may stall instead of being reset.
type Abort struct {
	Request gypsumshelf.RequestID
	Attempt gypsumshelf.AttemptID
}

// Refuse is the effect that ends a request with an error.
type Refuse struct {
	Request gypsumshelf.RequestID
	Err     *gypsumshelf.Error
}

// Finish is the effect that ends a request whose answer is complete.
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

// EventName implements gypsumshelf.Event.
func (Interrupt) EventName() string { return "interrupt" }
