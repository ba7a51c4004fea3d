package daemons

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
)

func (r *Reducer) registerRequests() {
	on(r, r.arrived)
	on(r, func(_ time.Time, e attempts.Sent) { r.attempts.Sent(e.Attempt) })
	on(r, func(now time.Time, e attempts.FirstToken) { r.attempts.FirstToken(now, e.Attempt) })
	on(r, r.ended)
	on(r, r.failed)
	on(r, r.callerGone)
}

func (r *Reducer) arrived(now time.Time, e attempts.Arrived) {
	req := e.Request
	rec := r.attempts.Open(now, req)
	if rec == nil {
		r.emit(attempts.Refuse{Request: req.ID, Err: gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest, "request id %q is in use", req.ID)})
		return
	}
	if !r.servers.Knows(req.Service, req.Model) {
		r.refuse(now, rec, unknownTarget(req))
		return
	}
	r.admit(now, rec)
}

func unknownTarget(req gypsumshelf.Request) *gypsumshelf.Error {
	if req.Model != "" {
		return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeUnknownModel, "no backend server serves model %q", req.Model)
	}
	return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeUnknownService, "no backend server serves service %q", req.Service)
}

func (r *Reducer) ended(now time.Time, e attempts.Ended) {
	rec := r.attempts.Ended(now, e.Attempt, e.Position)
	if rec == nil {
		return
	}
	r.release(rec)
	r.emit(attempts.Finish{Request: rec.Request().ID})
	r.dispatch(now)
}

func (r *Reducer) failed(now time.Time, e attempts.Failed) {
	rec, retry := r.attempts.Failed(now, e.Attempt, e.Position, e.Failure)
	if rec == nil {
		return
	}
	r.release(rec)
	if retry {
		r.queue.Push(rec.Request())
	} else {
		failure := *e.Failure
		failure.Verdict = rec.Verdict()
		r.refuse(now, rec, &failure)
	}
	r.dispatch(now)
}

func (r *Reducer) callerGone(now time.Time, e attempts.CallerGone) {
	rec := r.attempts.Record(e.Request)
	if rec == nil {
		return
	}
	r.queue.Remove(e.Request)
	r.release(rec)
	r.attempts.Close(now, rec, "caller closed the connection")
	r.dispatch(now)
}

func (r *Reducer) refuse(now time.Time, rec *attempts.Record, err *gypsumshelf.Error) {
	r.queue.Remove(rec.Request().ID)
	r.release(rec)
	r.attempts.Close(now, rec, "ended with %s", err)
	r.emit(attempts.Refuse{Request: rec.Request().ID, Err: err})
}

func (r *Reducer) release(rec *attempts.Record) {
	for _, a := range rec.Attempts() {
		r.servers.Ended(a.Server(), a.ID())
	}
}
