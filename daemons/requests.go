package daemons

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
)

func (r *Reducer) registerRequestHandlers() {
	registerHandler(r, r.handleArrived)
	registerHandler(r, func(_ time.Time, e attempts.Sent) { r.attempts.Sent(e.Attempt) })
	registerHandler(r, func(now time.Time, e attempts.FirstToken) { r.attempts.FirstToken(now, e.Attempt) })
	registerHandler(r, r.handleEnded)
	registerHandler(r, r.handleFailed)
	registerHandler(r, r.handleCallerGone)
	registerHandler(r, r.handleStop)
	registerHandler(r, r.handleInterrupt)
	r.registerSuspicionHandlers()
}

func (r *Reducer) handleArrived(now time.Time, e attempts.Arrived) {
	req := e.Request
	if r.stopping {
		r.emit(attempts.Refuse{Request: req.ID, Err: r.stoppingError()})
		return
	}
	if failure := r.resolveNames(&req); failure != nil {
		r.emit(attempts.Refuse{Request: req.ID, Err: failure})
		return
	}
	rec := r.attempts.Open(now, req)
	if rec == nil {
		r.emit(attempts.Refuse{Request: req.ID, Err: gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest, "request id %q is in use", req.ID)})
		return
	}
	r.countDemand(req)
	if failure := r.notReadyError(now); failure != nil {
		r.refuse(now, rec, failure)
		return
	}
	if r.refuseIfQuarantined(now, rec) {
		return
	}
	if !r.servers.IsServed(req.Service, req.Model) {
		r.refuse(now, rec, unknownTargetError(req))
		return
	}
	if err := r.admissionError(now, req); err != nil {
		r.refuse(now, rec, err)
		return
	}
	if attempts.Keyed(req) {
		r.beginKeyedRun(now, rec)
		return
	}
	r.enqueue(now, rec)
}

// modelName returns the name that the attempt's backend server uses for the model.
func (r *Reducer) modelName(req gypsumshelf.Request, a *attempts.Attempt) string {
	s := r.servers.Server(a.Server())
	if s == nil || req.Model == "" {
		return ""
	}
	return r.servers.ModelName(s, req.Model)
}

// resolveNames replaces the model and service names of a request by the canonical ones.
func (r *Reducer) resolveNames(req *gypsumshelf.Request) *gypsumshelf.Error {
	for _, n := range []struct {
		kind gypsumshelf.NameKind
		name *string
	}{{gypsumshelf.NameModel, &req.Model}, {gypsumshelf.NameService, &req.Service}} {
		if *n.name == "" {
			continue
		}
		canonical, err := r.configuration.state.Resolve(n.kind, *n.name)
		if err != nil {
			return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest, "%v", err)
		}
		*n.name = canonical
	}
	return nil
}

func unknownTargetError(req gypsumshelf.Request) *gypsumshelf.Error {
	if req.Model != "" {
		return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeUnknownModel, "no backend server serves model %q", req.Model)
	}
	return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeUnknownService, "no backend server serves service %q", req.Service)
}

// beginAttempt records a new attempt of the request on a backend server.
func (r *Reducer) beginAttempt(now time.Time, rec *attempts.Record, server gypsumshelf.Announcement) *attempts.Attempt {
	a := r.attempts.Begin(now, rec, attempts.Target{
		Server: server.Server, Address: server.Address, Incarnation: server.Incarnation,
	})
	if r.attempts.Suspects().IsSuspect(rec.Request().BodyHash) {
		r.suspectAttempts[a.Server()] = a.ID()
	}
	return a
}

// startEffect returns the effect that runs the attempt. If another attempt may
// follow, the answer must begin within half of the remaining time, so that the
// other half is left for a retry.
func (r *Reducer) startEffect(now time.Time, rec *attempts.Record, a *attempts.Attempt) attempts.Start {
	req := rec.Request()
	answerDue := req.Deadline()
	lastAttempt := r.attempts.AttemptsUsedUp(rec)
	if !lastAttempt && req.Idempotent {
		answerDue = now.Add(req.Deadline().Sub(now) / 2)
	}
	return attempts.Start{
		Request: req.ID, Attempt: a.ID(), Server: a.Server(), Address: a.Address(),
		Model: r.modelName(req, a), Resume: rec.Position(), AnswerDue: answerDue, Deadline: req.Deadline(), Last: lastAttempt,
		NotAfter: r.configuration.lease.Expires(),
	}
}

func (r *Reducer) handleEnded(now time.Time, e attempts.Ended) {
	rec := r.attempts.Ended(now, e.Attempt, e.Position)
	if rec == nil {
		return
	}
	r.releaseServers(rec)
	r.clearSuspicion(now, rec)
	outcome := attempts.Outcome{Verdict: gypsumshelf.Ran, Truncated: true}
	if e.Outcome != nil {
		outcome = *e.Outcome
	}
	r.recordOutcome(now, rec, outcome)
	r.emit(attempts.Finish{Request: rec.Request().ID})
	r.dispatch(now)
}

func (r *Reducer) handleFailed(now time.Time, e attempts.Failed) {
	_, a := r.attempts.Attempt(e.Attempt)
	rec, retry := r.attempts.Failed(now, e)
	if rec == nil {
		return
	}
	r.releaseServers(rec)
	if e.Failure.Verdict != gypsumshelf.NotRun {
		r.cancelAttempt(rec, a)
	}
	switch quarantine := r.recordBrokenAttempt(now, rec, a, e); {
	case quarantine:
		// The request is refused once the quarantine is recorded, so that the
		// caller cannot resend it to a daemon that does not know of it yet.
		rec.Note(now, "waits for the quarantine of its body to be recorded")
	case retry && r.stopping && rec.Verdict() == gypsumshelf.NotRun:
		r.refuse(now, rec, r.stoppingError())
	case retry:
		r.attempts.ScheduleRetry(now, rec)
		r.queueRetries(now)
	default:
		r.refuse(now, rec, e.Failure)
	}
	r.dispatch(now)
}

// queueRetries puts the requests whose retry is due back into the queue.
func (r *Reducer) queueRetries(now time.Time) {
	for _, rec := range r.attempts.TakeDueRetries(now) {
		r.queue.Push(rec.Request())
	}
}

// refuseOverdue refuses the requests whose deadline has passed.
func (r *Reducer) refuseOverdue(now time.Time) {
	for _, rec := range r.attempts.Overdue(now) {
		r.refuse(now, rec, gypsumshelf.Errorf(rec.Verdict(), gypsumshelf.CodeDeadline,
			"not finished within %s of class %s", rec.Request().Class.Target.Finish, rec.Request().Class.Name))
	}
}

func (r *Reducer) handleCallerGone(now time.Time, e attempts.CallerGone) {
	rec := r.attempts.Record(e.Request)
	if rec == nil || rec.Closed() {
		return
	}
	r.closeRequest(now, rec, "caller closed the connection or stopped reading")
	r.dispatch(now)
}

// handleStop refuses the requests that wait and have not run: their callers can send them
// to another daemon while there is time. Those at a backend server, and those that may have
// run, go on.
func (r *Reducer) handleStop(now time.Time, _ attempts.Stop) {
	r.stopping = true
	for _, rec := range r.attempts.Active() {
		if rec.Verdict() == gypsumshelf.NotRun {
			r.refuse(now, rec, r.stoppingError())
		}
	}
}

func (r *Reducer) stoppingError() *gypsumshelf.Error {
	return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeStopping, "daemon %s is stopping", r.cfg.Daemon)
}

// handleInterrupt ends the requests in progress. Those that were sent to no backend
// server have not run.
func (r *Reducer) handleInterrupt(now time.Time, _ attempts.Interrupt) {
	r.stopping = true
	for _, rec := range r.attempts.Active() {
		code := gypsumshelf.CodeStopping
		if rec.Verdict() != gypsumshelf.NotRun {
			code = gypsumshelf.CodeInterrupted
		}
		r.refuse(now, rec, gypsumshelf.Errorf(gypsumshelf.NotRun, code, "daemon %s has ended its requests in progress to stop at once", r.cfg.Daemon))
	}
}

// refuse ends a request with err, or a worse verdict if its attempts require it.
func (r *Reducer) refuse(now time.Time, rec *attempts.Record, err *gypsumshelf.Error) {
	refusal := *err
	refusal.Verdict = err.Verdict.Worse(rec.Verdict())
	r.closeRequest(now, rec, "ended with %s", &refusal)
	r.emit(attempts.Refuse{Request: rec.Request().ID, Err: &refusal})
}

// closeRequest ends a request other than by a completed attempt, and cancels the
// attempt in progress.
func (r *Reducer) closeRequest(now time.Time, rec *attempts.Record, format string, args ...any) {
	r.queue.Remove(rec.Request().ID)
	r.releaseServers(rec)
	if a := r.attempts.Close(now, rec, format, args...); a != nil {
		r.cancelAttempt(rec, a)
	}
	r.recordOutcome(now, rec, attempts.Outcome{Verdict: rec.Verdict()})
}

// cancelAttempt cancels an attempt on its engine. Plain services have no cancel call.
func (r *Reducer) cancelAttempt(rec *attempts.Record, a *attempts.Attempt) {
	if rec.Request().Model != "" {
		r.emit(attempts.Cancel{Attempt: a.ID(), Server: a.Server(), Address: a.Address()})
	}
}

// releaseServers frees the capacity that the request's attempts use on servers.
func (r *Reducer) releaseServers(rec *attempts.Record) {
	for _, a := range rec.Attempts() {
		r.servers.Ended(a.Server(), a.ID())
		if r.suspectAttempts[a.Server()] == a.ID() {
			delete(r.suspectAttempts, a.Server())
		}
	}
}
