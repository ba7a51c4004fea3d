// Package daemons composes the reducer parts into one reducer and runs it with
// the drivers around it.
package daemons

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/admissions"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/routes"
	"gypsumshelf.example/gypsumshelf/servers"
)

// ReducerConfig configures a Reducer.
type ReducerConfig struct {
	Daemon   gypsumshelf.DaemonID
	Policy   routes.Policy
	Servers  servers.Config
	Attempts attempts.Config
}

// Reducer makes every decision of a daemon. It has no clock, no I/O and no
// goroutine; time arrives with each event.
type Reducer struct {
	cfg      ReducerConfig
	servers  *servers.Table
	attempts *attempts.Table
	queue    admissions.Queue
	out      []gypsumshelf.Effect
}

// NewReducer returns a Reducer without any backend server or request.
func NewReducer(cfg ReducerConfig) *Reducer {
	return &Reducer{
		cfg:      cfg,
		servers:  servers.New(cfg.Servers),
		attempts: attempts.New(cfg.Attempts),
	}
}

// Tick is the event of the periodic timer.
type Tick struct{}

// EventName implements gypsumshelf.Event.
func (Tick) EventName() string { return "tick" }

// Step applies one event and returns the effects to carry out, in order.
func (r *Reducer) Step(now time.Time, ev gypsumshelf.Event) []gypsumshelf.Effect {
	r.out = nil
	switch e := ev.(type) {
	case Tick:
		r.tick(now)
	case servers.Announced:
		r.announced(now, e)
	case attempts.Arrived:
		r.arrived(now, e.Request)
	case attempts.Sent:
		r.attempts.Sent(e.Attempt)
	case attempts.FirstToken:
		r.attempts.FirstToken(now, e.Attempt)
	case attempts.Ended:
		r.ended(now, e)
	case attempts.Failed:
		r.failed(now, e)
	case attempts.CallerGone:
		r.callerGone(now, e.Request)
	}
	return r.out
}

func (r *Reducer) emit(e gypsumshelf.Effect) { r.out = append(r.out, e) }

func (r *Reducer) tick(now time.Time) {
	for _, rec := range r.attempts.Overdue(now) {
		r.refuse(now, rec, gypsumshelf.Errorf(rec.Verdict(), gypsumshelf.CodeDeadline,
			"not finished within %s of class %s", rec.Request().Class.Target.Finish, rec.Request().Class.Name))
	}
	r.attempts.Expire(now)
	r.servers.Expire(now)
	r.dispatch(now)
}

func (r *Reducer) announced(now time.Time, e servers.Announced) {
	r.servers.Announce(now, e.Announcement)
	if !e.Forwarded {
		r.emit(servers.Forward{Announcement: e.Announcement})
	}
	r.dispatch(now)
}

func (r *Reducer) arrived(now time.Time, req gypsumshelf.Request) {
	rec := r.attempts.Open(now, req)
	if rec == nil {
		r.emit(attempts.Refuse{Request: req.ID, Err: gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest, "request id %q is in use", req.ID)})
		return
	}
	if !r.servers.Knows(req.Service, req.Model) {
		r.refuse(now, rec, unknownTarget(req))
		return
	}
	r.queue.Push(req)
	r.dispatch(now)
}

func unknownTarget(req gypsumshelf.Request) *gypsumshelf.Error {
	if req.Model != "" {
		return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeUnknownModel, "no backend server serves model %q", req.Model)
	}
	return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeUnknownService, "no backend server serves service %q", req.Service)
}

// dispatch starts every waiting request for which a backend server has room.
func (r *Reducer) dispatch(now time.Time) {
	r.queue.Each(func(req gypsumshelf.Request) bool {
		rec := r.attempts.Record(req.ID)
		return rec != nil && r.start(now, rec)
	})
}

func (r *Reducer) start(now time.Time, rec *attempts.Record) bool {
	req := rec.Request()
	ready := r.servers.Ready(now, req.Service, req.Model)
	candidates := make([]routes.Candidate, 0, len(ready))
	for _, s := range ready {
		if !rec.Tried(s.Announcement().Server) {
			candidates = append(candidates, candidate(s))
		}
	}
	i, ok := r.cfg.Policy.Choose(now, req, candidates)
	if !ok {
		return false
	}
	server := r.servers.Server(candidates[i].Server)
	a := r.attempts.Begin(now, rec, candidates[i].Server)
	rec.Note(now, "routed to %s in %s: %d of %d candidates, %d tokens in progress", a.Server(),
		candidates[i].DataCentre, i+1, len(candidates), candidates[i].Tokens)
	r.servers.Started(a.Server(), a.ID(), req.PromptTokens+req.MaxTokens)
	r.emit(attempts.Start{
		Request: req.ID, Attempt: a.ID(), Server: a.Server(),
		Address:  server.Announcement().Address,
		Priority: int(req.FirstTokenDeadline().Sub(now).Milliseconds()),
		Resume:   rec.Position(),
	})
	return true
}

func candidate(s *servers.Server) routes.Candidate {
	a := s.Announcement()
	n, tokens := s.InFlight()
	return routes.Candidate{
		Server: a.Server, DataCentre: a.DataCentre,
		Attempts: n + a.Load.Queued, Tokens: tokens + a.Load.UsedTokens, Memory: a.MemoryTokens,
	}
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

func (r *Reducer) callerGone(now time.Time, id gypsumshelf.RequestID) {
	rec := r.attempts.Record(id)
	if rec == nil {
		return
	}
	r.queue.Remove(id)
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
