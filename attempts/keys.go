package attempts

import (
	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/configs"
)

// Outcome is the recorded end of a keyed call.
type Outcome struct {
	// Verdict is not-run when the call never ran, may-have-run when the end of
	// the run is unknown, and ran when the answer below was delivered.
	Verdict     gypsumshelf.Verdict
	Status      int
	ContentType string
	Body        []byte
	// Truncated says that the answer was larger than MaxOutcomeBytes and is not
	// recorded; a resend then learns only that the call ran.
	Truncated bool
}

// MaxOutcomeBytes bounds the answer that is kept in the replicated state.
const MaxOutcomeBytes = configs.MaxOutcomeBytes

// Replay is the effect that answers a request with a recorded outcome.
type Replay struct {
	Request gypsumshelf.RequestID
	Outcome Outcome
}

// EffectName implements gypsumshelf.Effect.
func (Replay) EffectName() string { return "replay-outcome" }

// keyState is the state of a request's key record.
type keyState uint8

const (
	keyNotRequested keyState = iota
	keyPending               // asked for, not yet answered
	keyRecorded              // recorded for this request
	keyReleased              // outcome recorded, or the key belongs to another request
)

// Keyed reports whether a request needs a key record.
func Keyed(req gypsumshelf.Request) bool { return req.Key != "" && !req.Idempotent }

// KeyOf returns the key of a request.
func KeyOf(req gypsumshelf.Request) configs.RunKey {
	return configs.RunKey{Workspace: req.Workspace, Key: req.Key}
}

// AskKey marks the key of a request as asked for under a run id.
func (r *Record) AskKey(runID string) { r.key, r.runID = keyPending, runID }

// Run returns the id under which the request's key was asked for.
func (r *Record) Run() string { return r.runID }

// HoldKey marks the key as recorded for the request.
func (r *Record) HoldKey() { r.key = keyRecorded }

// DropKey marks the key as belonging to another request.
func (r *Record) DropKey() { r.key = keyReleased }

// GiveKey reports whether the request holds its key, and marks it as finished.
func (r *Record) GiveKey() bool {
	held := r.key == keyRecorded
	if held {
		r.key = keyReleased
	}
	return held
}
