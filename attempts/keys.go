package attempts

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Key identifies a non-idempotent call; resends of the call carry the same key.
type Key struct {
	Workspace string
	Service   string
	Name      string // value of the caller's Idempotency-Key header
}

// Outcome is the recorded end of a keyed call.
type Outcome struct {
	// Verdict is not-run when the key may be used again, may-have-run when the
	// end of the run is unknown, and ran when the answer below was delivered.
	Verdict gypsumshelf.Verdict
	Status  int
	Header  map[string][]string
	Body    []byte
	// Truncated says that the answer was larger than MaxOutcomeBytes and is not
	// recorded; a resend then learns only that the call ran.
	Truncated bool
}

// MaxOutcomeBytes bounds the answer that is kept in the replicated state.
const MaxOutcomeBytes = 64 << 10

// BeginKey is the effect that records a key before its call leaves the daemon.
// One of KeyBegun, KeyRefused and KeyOutcome answers it. While a run under the
// key is in progress elsewhere the answer may wait until Deadline.
type BeginKey struct {
	Request  gypsumshelf.RequestID
	Key      Key
	BodyHash uint64 // a resend with another body must be refused
	Deadline time.Time
}

// FinishKey is the effect that records the outcome of a keyed call.
type FinishKey struct {
	Request gypsumshelf.RequestID
	Key     Key
	Outcome Outcome
}

// KeyBegun is the event of a key that was recorded for this request, which may
// now run.
type KeyBegun struct{ Request gypsumshelf.RequestID }

// KeyRefused is the event of a key that cannot be recorded, with the reason.
type KeyRefused struct {
	Request gypsumshelf.RequestID
	Err     *gypsumshelf.Error
}

// KeyOutcome is the event of a key whose call has already run.
type KeyOutcome struct {
	Request gypsumshelf.RequestID
	Outcome Outcome
}

// Replay is the effect that answers a request with a recorded outcome.
type Replay struct {
	Request gypsumshelf.RequestID
	Outcome Outcome
}

// EffectName implements gypsumshelf.Effect.
func (BeginKey) EffectName() string { return "begin-key" }

// EffectName implements gypsumshelf.Effect.
func (FinishKey) EffectName() string { return "finish-key" }

// EffectName implements gypsumshelf.Effect.
func (Replay) EffectName() string { return "replay-outcome" }

// EventName implements gypsumshelf.Event.
func (KeyBegun) EventName() string { return "key-begun" }

// EventName implements gypsumshelf.Event.
func (KeyRefused) EventName() string { return "key-refused" }

// EventName implements gypsumshelf.Event.
func (KeyOutcome) EventName() string { return "key-outcome" }

// keyState is the state of a request's key record.
type keyState uint8

const (
	keyNone    keyState = iota
	keyPending          // asked for, not yet answered
	keyHeld             // recorded for this request
	keyDone             // outcome recorded, or the key belongs to another request
)

// Keyed reports whether a request needs a key record.
func Keyed(req gypsumshelf.Request) bool { return req.Key != "" && !req.Idempotent }

// KeyOf returns the key of a request.
func KeyOf(req gypsumshelf.Request) Key {
	return Key{Workspace: req.Workspace, Service: req.Service, Name: req.Key}
}

// AskKey marks the key of a request as asked for.
func (r *Record) AskKey() { r.key = keyPending }

// HoldKey marks the key as recorded for the request. It reports false when the
// request did not ask.
func (r *Record) HoldKey() bool {
	if r.key != keyPending {
		return false
	}
	r.key = keyHeld
	return true
}

// DropKey marks the key as not held and reports whether it was asked for.
func (r *Record) DropKey() bool {
	asked := r.key == keyPending
	r.key = keyDone
	return asked
}

// GiveKey reports whether the request holds its key, and marks it as finished.
func (r *Record) GiveKey() bool {
	held := r.key == keyHeld
	if held {
		r.key = keyDone
	}
	return held
}
