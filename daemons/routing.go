package daemons

import (
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/routes"
	"gypsumshelf.example/gypsumshelf/servers"
)

func (r *Reducer) registerServers() { on(r, r.announced) }

func (r *Reducer) announced(now time.Time, e servers.Announced) {
	r.restarted(now, e.Announcement, r.servers.Announce(now, e.Announcement))
	if !e.Forwarded {
		r.emit(servers.Forward{Announcement: e.Announcement})
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
	ready := slices.DeleteFunc(r.servers.Ready(now, req.Service, req.Model), func(s *servers.Server) bool {
		return !r.configuration.state.InService(s.Announcement().DataCentre)
	})
	ready = r.eligible(now, rec, ready)
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
	r.servers.Started(a.Server(), a.ID(), req.PromptTokens+req.MaxTokens)
	r.emit(r.startEffect(now, rec, a))
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
