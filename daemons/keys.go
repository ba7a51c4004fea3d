package daemons

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
)

func (r *Reducer) registerKeys() {
	on(r, r.keyBegun)
	on(r, r.keyRefused)
	on(r, r.keyOutcome)
}

func (r *Reducer) askKey(rec *attempts.Record) {
	req := rec.Request()
	rec.AskKey()
	r.emit(attempts.BeginKey{Request: req.ID, Key: attempts.KeyOf(req), BodyHash: req.BodyHash, Deadline: req.Deadline()})
}

func (r *Reducer) keyBegun(now time.Time, e attempts.KeyBegun) {
	rec := r.attempts.Record(e.Request)
	if rec == nil || !rec.HoldKey() {
		return
	}
	if rec.Closed() {
		// The request ended while its key was being recorded, and never ran.
		r.finishKey(rec, attempts.Outcome{Verdict: gypsumshelf.NotRun})
		return
	}
	rec.Note(now, "idempotency key recorded")
	r.enqueue(now, rec)
}

func (r *Reducer) keyRefused(now time.Time, e attempts.KeyRefused) {
	if rec := r.attempts.Record(e.Request); rec != nil && rec.DropKey() && !rec.Closed() {
		r.refuse(now, rec, e.Err)
	}
}

func (r *Reducer) keyOutcome(now time.Time, e attempts.KeyOutcome) {
	rec := r.attempts.Record(e.Request)
	if rec == nil || !rec.DropKey() || rec.Closed() {
		return
	}
	switch {
	case e.Outcome.Verdict != gypsumshelf.Ran:
		r.refuse(now, rec, gypsumshelf.Errorf(gypsumshelf.MayHaveRun, gypsumshelf.CodeDuplicateKey,
			"an earlier request with idempotency key %q has an unknown outcome", rec.Request().Key))
	case e.Outcome.Truncated:
		r.refuse(now, rec, gypsumshelf.Errorf(gypsumshelf.Ran, gypsumshelf.CodeDuplicateKey,
			"an earlier request with idempotency key %q ran; its answer was too large to be recorded", rec.Request().Key))
	default:
		r.end(now, rec, "answered with the recorded outcome of its key")
		r.emit(attempts.Replay{Request: rec.Request().ID, Outcome: e.Outcome})
	}
}

// finishKey records the outcome of a request that holds its key.
func (r *Reducer) finishKey(rec *attempts.Record, outcome attempts.Outcome) {
	if rec.GiveKey() {
		r.emit(attempts.FinishKey{Request: rec.Request().ID, Key: attempts.KeyOf(rec.Request()), Outcome: outcome})
	}
}
