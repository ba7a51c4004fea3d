package daemons

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/routes"
	"gypsumshelf.example/gypsumshelf/servers"
)

func (r *Reducer) registerServers() { on(r, r.announced) }

func (r *Reducer) announced(now time.Time, e servers.Announced) {
	var update servers.Update
	if e.Forwarded {
		update = r.servers.AnnounceForwarded(now, e.Announcement, e.Age)
	} else {
		update = r.servers.Announce(now, e.Announcement)
		r.emit(servers.Forward{Announcement: e.Announcement})
	}
	if update.Changed {
		r.restarted(now, e.Announcement, update.Lost)
	}
	r.dispatch(now)
}

// dispatch starts every waiting request for which a backend server has room.
func (r *Reducer) dispatch(now time.Time) {
	r.queue.Each(func(req gypsumshelf.Request) bool {
		rec := r.attempts.Record(req.ID)
		return rec != nil && r.start(now, rec)
	})
}

func (r *Reducer) start(now time.Time, rec *attempts.Record) bool {
	if r.notReady(now) != nil {
		return false
	}
	req := rec.Request()
	ready := r.eligible(now, rec, r.servers.Ready(now, req.Service, req.Model))
	candidates := make([]routes.Candidate, 0, len(ready))
	for _, s := range ready {
		candidates = append(candidates, candidate(s))
	}
	i, ok := r.cfg.Policy.Choose(now, req, candidates)
	if !ok {
		return false
	}
	a := r.begin(now, rec, r.servers.Server(candidates[i].Server).Announcement())
	rec.Note(now, "routed to %s in %s: %d of %d candidates, %d tokens in progress", a.Server(),
		candidates[i].DataCentre, i+1, len(candidates), candidates[i].Tokens)
	r.servers.Started(now, a.Server(), a.ID(), req.PromptTokens+req.MaxTokens)
	r.emit(r.startEffect(now, rec, a))
	return true
}

func candidate(s *servers.Server) routes.Candidate {
	a := s.Announcement()
	n, tokens := s.Load()
	return routes.Candidate{
		Server: a.Server, DataCentre: a.DataCentre, Attempts: n, Tokens: tokens, Memory: a.MemoryTokens,
	}
}

func (r *Reducer) observeFirstToken(now time.Time, id gypsumshelf.AttemptID) {
	if _, a := r.attempts.Attempt(id); a != nil {
		r.servers.FirstToken(now, a.Server(), id)
	}
}

// observeEnd passes the outcome of a request's last attempt to slow start. A
// caller that left says nothing about the server.
func (r *Reducer) observeEnd(rec *attempts.Record, failure *gypsumshelf.Error) {
	all := rec.Attempts()
	last := all[len(all)-1]
	switch {
	case failure == nil:
		r.servers.Completed(last.Server(), last.ID())
	case failure.Code != gypsumshelf.CodeCallerGone:
		r.servers.Failed(last.Server(), last.ID())
	}
}
