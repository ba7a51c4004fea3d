package daemons

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/configs"
	"gypsumshelf.example/gypsumshelf/settings"
)

const (
	// keyRecordRetention is how long a recorded idempotency key answers resent requests.
	keyRecordRetention = 24 * time.Hour
	// recordTimeout bounds a proposal whose result no request waits for.
	recordTimeout = time.Minute
)

// beginKeyedRun proposes a record of the request's idempotency key. The request
// may run only once the key is recorded for it.
func (r *Reducer) beginKeyedRun(now time.Time, rec *attempts.Record) {
	req := rec.Request()
	if r.configuration.static() {
		r.refuse(now, rec, gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeNotReady,
			"daemon %s has no replicated log to record idempotency keys in", r.cfg.Daemon))
		return
	}
	// The run ID must be unique, also if the daemon restarts and the request is
	// sent again under the same request ID.
	r.keyedRuns++
	rec.MarkKeyRequested(fmt.Sprintf("%s.%s.%d", r.cfg.Daemon, r.cfg.Session, r.keyedRuns))
	command := configs.BeginRun{
		RunKey: attempts.KeyOf(req), Run: rec.Run(), BodyHash: req.BodyHash,
		Owner: r.cfg.Daemon, Retention: settings.Duration(keyRecordRetention),
	}
	r.configuration.propose(now, command, req.Deadline().Sub(now), func(now time.Time, result configs.Result, err error) {
		r.handleKeyResult(now, rec, result, err)
	})
}

// handleKeyResult continues a request once its key is decided by the log.
func (r *Reducer) handleKeyResult(now time.Time, rec *attempts.Record, result configs.Result, err error) {
	key := rec.Request().Key
	switch {
	case err != nil:
		// The verdict is may-have-run: an earlier request with the key may be
		// running, or the log may record this run, which then has no outcome.
		r.refuseIfOpen(now, rec, gypsumshelf.Errorf(gypsumshelf.MayHaveRun, gypsumshelf.CodeNotReady,
			"idempotency key %q could not be recorded: %v", key, err))
	case result.Accepted():
		r.handleKeyRecorded(now, rec)
	case result.Code == configs.CodeKeyTaken && result.Run.Outcome == nil:
		if !rec.Closed() {
			rec.Note(now, "waits for an earlier request with its idempotency key on %s", result.Run.Owner)
			r.awaitingOutcome[rec.Request().ID] = result.Run.RunKey
		}
	case result.Code == configs.CodeKeyTaken:
		r.replay(now, rec, *result.Run.Outcome)
	case result.Code == configs.CodeKeyExpired:
		r.refuseIfOpen(now, rec, gypsumshelf.Errorf(gypsumshelf.MayHaveRun, gypsumshelf.CodeKeyExpired, "%s", result.Text))
	case result.Code == configs.CodeKeyReused:
		rec.MarkKeyTaken()
		r.refuseIfOpen(now, rec, gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeDuplicateKey, "%s", result.Text))
	default:
		rec.MarkKeyTaken()
		r.refuseIfOpen(now, rec, gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeInternal, "key %q: %s", key, result.Text))
	}
}

func (r *Reducer) refuseIfOpen(now time.Time, rec *attempts.Record, err *gypsumshelf.Error) {
	if !rec.Closed() {
		r.refuse(now, rec, err)
	}
}

// handleKeyRecorded queues a request whose key is recorded for it.
func (r *Reducer) handleKeyRecorded(now time.Time, rec *attempts.Record) {
	rec.MarkKeyRecorded()
	if rec.Closed() {
		// The request ended, without having run, while its key was being recorded.
		r.recordOutcome(now, rec, attempts.Outcome{Verdict: gypsumshelf.NotRun})
		return
	}
	rec.Note(now, "idempotency key recorded")
	if r.stopping {
		r.refuse(now, rec, r.stoppingError())
		return
	}
	r.enqueue(now, rec)
}

// replayOutcomes answers the requests that wait for an earlier run with their
// key, once its outcome is recorded. Without an outcome they end at their
// deadlines.
func (r *Reducer) replayOutcomes(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(r.awaitingOutcome)) {
		rec := r.attempts.Record(id)
		run := r.configuration.state.Run(r.awaitingOutcome[id])
		switch {
		case rec == nil || rec.Closed():
			delete(r.awaitingOutcome, id)
		case run != nil && run.Outcome != nil:
			delete(r.awaitingOutcome, id)
			r.replay(now, rec, *run.Outcome)
		}
	}
}

// replay answers a request with the recorded outcome of an earlier one with its key.
func (r *Reducer) replay(now time.Time, rec *attempts.Record, o configs.Outcome) {
	if rec.Closed() {
		return
	}
	rec.MarkKeyTaken()
	key := rec.Request().Key
	switch {
	case o.Verdict == gypsumshelf.NotRun:
		r.refuse(now, rec, gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeDuplicateKey,
			"an earlier request with idempotency key %q did not run; a new attempt needs a new key", key))
	case o.Verdict != gypsumshelf.Ran:
		r.refuse(now, rec, gypsumshelf.Errorf(gypsumshelf.MayHaveRun, gypsumshelf.CodeDuplicateKey,
			"an earlier request with idempotency key %q has an unknown outcome", key))
	case o.BodyOmitted:
		r.refuse(now, rec, gypsumshelf.Errorf(gypsumshelf.Ran, gypsumshelf.CodeDuplicateKey,
			"an earlier request with idempotency key %q ran; its answer was too large to be recorded", key))
	default:
		r.closeRequest(now, rec, "answered with the recorded outcome of its idempotency key")
		r.emit(attempts.Replay{Request: rec.Request().ID, Outcome: attempts.Outcome{
			Verdict: o.Verdict, Status: o.Status, ContentType: o.ContentType, Body: o.Body,
		}})
	}
}

// recordOutcome proposes the outcome of a request, if its key is recorded for it.
func (r *Reducer) recordOutcome(now time.Time, rec *attempts.Record, o attempts.Outcome) {
	if !rec.ReleaseKey() {
		return
	}
	command := configs.FinishRun{RunKey: attempts.KeyOf(rec.Request()), Run: rec.Run(), Outcome: configs.Outcome{
		Verdict: o.Verdict, Status: o.Status, ContentType: o.ContentType, Body: o.Body, BodyOmitted: o.Truncated,
	}}
	r.configuration.propose(now, command, recordTimeout, func(time.Time, configs.Result, error) {})
}
