package daemons

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/admissions"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/routes"
	"gypsumshelf.example/gypsumshelf/servers"
	"gypsumshelf.example/gypsumshelf/shares"
)

// maxMissesPerGroup is the number of requests of one group that may find no room
// in a pass over the queue before the rest of the group is skipped.
const maxMissesPerGroup = 8

// maxServerBacklog bounds the work queued ahead of a prompt on a server. With
// more, the prompt waits in the daemon, where requests are still ordered by
// deadline and workspace. It is ten ticks, so that no server becomes idle
// between two ticks.
const maxServerBacklog = 500 * time.Millisecond

// requestGroup identifies requests that fit on the same servers.
type requestGroup struct {
	service, model string
	long           bool
}

func groupOf(req gypsumshelf.Request) requestGroup {
	return requestGroup{service: req.Service, model: req.Model, long: req.PromptTokens >= routes.LongPrompt}
}

// enqueue queues an admitted request. If the queue is full, one request is refused.
func (r *Reducer) enqueue(now time.Time, rec *attempts.Record) {
	if out := r.queue.Offer(rec.Request()); out != nil {
		if other := r.attempts.Record(out.ID); other != nil {
			r.refuse(now, other, gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeOverloaded,
				"queue is full and workspace %s has the most requests in it", out.Workspace))
		}
	}
	r.dispatch(now)
}

// admissionError returns the refusal of an arrived request that no server can
// take, or that cannot meet the finish time of its class; otherwise nil.
func (r *Reducer) admissionError(now time.Time, req gypsumshelf.Request) *gypsumshelf.Error {
	var estimates []admissions.Estimate
	var millionTotal time.Duration
	largest := 0
	ready := r.servers.Ready(now, req.Service, req.Model)
	for _, s := range ready {
		if memory := s.Announcement().MemoryTokens; memory > 0 && memory < totalTokens(req) {
			largest = max(largest, memory)
			continue
		}
		firstToken, finish := s.Predict(now, workOf(req, s))
		promptTime := s.PromptTime(req.PromptTokens)
		estimates = append(estimates, admissions.Estimate{Wait: firstToken - promptTime, FirstToken: firstToken, Finish: finish})
		millionTotal += s.PromptTime(1_000_000)
	}
	if len(ready) > 0 && len(estimates) == 0 {
		return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodePromptTooLong,
			"prompt and answer need %d tokens, the largest backend server has %d", totalTokens(req), largest)
	}
	queue := time.Duration(0)
	if n := time.Duration(len(estimates)); n > 0 {
		r.millionTokenTime[req.Model] = millionTotal / n
		queue = r.promptTime(req.Model, r.queue.TokensAhead(req)) * r.liveDaemons(now) / n
	}
	return admissions.Decide(now, req, estimates, queue)
}

// promptTime estimates how long a server takes for a prompt without other work.
func (r *Reducer) promptTime(model string, tokens int) time.Duration {
	return time.Duration(float64(r.millionTokenTime[model]) * float64(tokens) / 1e6)
}

// dueTime returns the time by which waiting requests are ordered.
func (r *Reducer) dueTime(req gypsumshelf.Request) time.Time {
	return routes.Due(req, r.promptTime(req.Model, req.PromptTokens))
}

func totalTokens(req gypsumshelf.Request) int { return req.PromptTokens + req.MaxTokens }

func workOf(req gypsumshelf.Request, s *servers.Server) servers.Work {
	return servers.Work{
		Tokens: totalTokens(req), Prompt: req.PromptTokens, MaxTokens: req.MaxTokens,
		Due: routes.Due(req, s.PromptTime(req.PromptTokens)),
	}
}

// dispatch starts the waiting requests for which a backend server has room, in
// the order of the queue.
func (r *Reducer) dispatch(now time.Time) {
	clear(r.waitingWork)
	misses := map[requestGroup]int{}
	r.queue.StartWaiting(func(req gypsumshelf.Request) bool {
		group := groupOf(req)
		rec := r.attempts.Record(req.ID)
		if rec == nil || misses[group] >= maxMissesPerGroup {
			return false
		}
		if r.startAttempt(now, rec) {
			return true
		}
		misses[group]++
		return false
	})
	r.tickShares(now)
}

// startAttempt starts the request on a backend server. It returns false if none
// has room or the freshness lease is not valid.
func (r *Reducer) startAttempt(now time.Time, rec *attempts.Record) bool {
	if r.notReadyError(now) != nil {
		return false
	}
	req := rec.Request()
	candidates := r.candidates(now, rec)
	i, ok := r.cfg.Policy.Choose(now, req, candidates)
	if !ok {
		r.addWaitingWork(now, req, candidates)
		return false
	}
	server := r.servers.Server(candidates[i].Server)
	work := workOf(req, server)
	a := r.beginAttempt(now, rec, server.Announcement())
	rec.Note(now, "routed to %s in %s: %d of %d candidates, %d tokens in progress", a.Server(),
		candidates[i].DataCentre, i+1, len(candidates), candidates[i].Tokens)
	r.servers.Started(now, a.Server(), a.ID(), work)
	r.queue.RecordUsage(now, req.Workspace, totalTokens(req))
	start := r.startEffect(now, rec, a)
	start.Priority = r.priority(work)
	if r.shares != nil {
		if until := r.shares.ShareExpiry(a.Server()); start.NotAfter.IsZero() || until.Before(start.NotAfter) {
			start.NotAfter = until
		}
	}
	r.emit(start)
	return true
}

// priority returns the time at which the first token is due, in milliseconds of
// the Unix epoch, so that an engine can compare requests of different daemons
// and arrival times. It is 0 if the policy sets no priorities.
func (r *Reducer) priority(w servers.Work) int {
	if !r.cfg.Policy.Prioritizes() {
		return 0
	}
	return int(w.Due.UnixMilli())
}

// candidates returns the servers that could take an attempt of the request.
func (r *Reducer) candidates(now time.Time, rec *attempts.Record) []routes.Candidate {
	req := rec.Request()
	ready := r.eligibleServers(now, rec, r.servers.Ready(now, req.Service, req.Model))
	candidates := make([]routes.Candidate, 0, len(ready))
	for _, s := range ready {
		a := s.Announcement()
		if a.MemoryTokens > 0 && a.MemoryTokens < totalTokens(req) {
			continue
		}
		n, tokens := s.Load()
		work := workOf(req, s)
		candidates = append(candidates, routes.Candidate{
			Server: a.Server, DataCentre: a.DataCentre, Attempts: n, Tokens: tokens, Memory: a.MemoryTokens,
			TokensAhead: s.PromptTokensAhead(work.Due), SecondsPerToken: s.SecondsPerPromptToken(now),
			LongTokens: s.LongPromptTokens(routes.LongPrompt),
		})
		c := &candidates[len(candidates)-1]
		c.Busy = c.TokensAhead > 0 && c.SecondsPerToken*float64(c.TokensAhead) > maxServerBacklog.Seconds()
		c.HasRoom = !c.Busy && r.hasRoom(now, s, work.Tokens)
	}
	return candidates
}

// hasRoom reports whether this daemon's share of a server has room for an attempt
// of the given tokens. An attempt above the server's token limit may run if it
// is the only one and the daemon holds the whole limit.
func (r *Reducer) hasRoom(now time.Time, s *servers.Server, tokens int) bool {
	n, used := s.InFlight()
	limit := s.Limit()
	share := shares.Amount(limit)
	if r.shares != nil {
		var whole shares.Amount
		share, whole = r.shares.Share(now, s.Announcement().Server)
		limit = servers.Limit(whole)
	}
	if n >= share.Attempts {
		return false
	}
	if s.Announcement().MemoryTokens == 0 || used+tokens <= share.Tokens {
		return true
	}
	return tokens > limit.Tokens && n == 0 && share == shares.Amount(limit)
}

// updateSlowStart reports results of attempts to the slow start of their server.
// Failures by a caller that closed its connection, or by an attempt that was not
// sent, say nothing about the server and are left out.
func (r *Reducer) updateSlowStart(now time.Time, ev gypsumshelf.Event) {
	switch e := ev.(type) {
	case attempts.FirstToken:
		r.servers.FirstToken(now, e.Attempt)
	case attempts.Ended:
		r.servers.Completed(now, e.Attempt)
	case attempts.Failed:
		if e.ServerUnreachable {
			r.servers.Unreachable(now, e.Attempt)
		}
		if e.Failure.Code != gypsumshelf.CodeCallerGone && e.Failure.Code != gypsumshelf.CodeNotReady {
			r.servers.Failed(e.Attempt)
		}
	}
}
