package attempts

import (
	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/configs"
)

// Outcome is the recorded result of a call with an idempotency key.
type Outcome struct {
	// Verdict is not-run when the call never ran, may-have-run when its result is
	// unknown, and ran when the answer below was delivered.
	Verdict     gypsumshelf.Verdict
	Status      int
	ContentType string
	Body        []byte
	// Truncated means that the answer exceeded MaxOutcomeBytes and was not
	// recorded; a resent call learns only that it ran.
	Truncated bool
}

// MaxOutcomeBytes is the largest answer kept in the replicated state.
const MaxOutcomeBytes = configs.MaxOutcomeBytes

// Replay is the effect that answers a request with a recorded outcome.
type Replay struct {
	Request gypsumshelf.RequestID
	Outcome Outcome
}

// EffectName implements gypsumshelf.Effect.
func (Replay) EffectName() string { return "replay-outcome" }

// keyState is the state of the replicated record of a request's idempotency key.
type keyState uint8

const (
	keyNotRequested keyState = iota
	keyPending               // requested, not yet confirmed
	keyRecorded              // recorded for this request
	keyReleased              // outcome recorded, or the key belongs to another request
)

// Keyed reports whether a request needs a record of its idempotency key.
func Keyed(req gypsumshelf.Request) bool { return req.Key != "" && !req.Idempotent }

// KeyOf returns the idempotency key of a request, scoped to its workspace.
func KeyOf(req gypsumshelf.Request) configs.RunKey {
	return configs.RunKey{Workspace: req.Workspace, Key: req.Key}
}

// MarkKeyRequested marks the request's key as requested under a run id.
func (r *Record) MarkKeyRequested(runID string) { r.key, r.runID = keyPending, runID }

// Run returns the run id under which the request's key was requested.
func (r *Record) Run() string { return r.runID }

// MarkKeyRecorded marks the key as recorded for this request.
func (r *Record) MarkKeyRecorded() { r.key = keyRecorded }

// MarkKeyTaken marks the key as belonging to another request.
func (r *Record) MarkKeyTaken() { r.key = keyReleased }

// ReleaseKey releases the request's key. It returns false when the key is not
// recorded for the request.
func (r *Record) ReleaseKey() bool {
	held := r.key == keyRecorded
	if held {
		r.key = keyReleased
	}
	return held
}
