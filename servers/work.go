package servers

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Started records an attempt that is sent to a server.
func (t *Table) Started(now time.Time, id gypsumshelf.ServerID, attempt gypsumshelf.AttemptID, w Work) {
	s := t.servers[id]
	if s == nil {
		return
	}
	t.placed[attempt] = s
	s.inFlight[attempt] = work{Work: w, pending: s.pending, offered: s.offered, started: now, report: s.reports}
	s.pending += w.Prompt
	s.offered += w.Prompt
	s.tokens += w.Tokens
	s.sinceReport++
	s.sinceTokens += w.Tokens
}

// FirstToken records the first token of an attempt; a latency far above the
// server's own past starts slow start again.
func (t *Table) FirstToken(now time.Time, attempt gypsumshelf.AttemptID) {
	s := t.placed[attempt]
	if s == nil {
		return
	}
	w, ok := s.inFlight[attempt]
	if !ok || !w.firstToken.IsZero() {
		return
	}
	w.firstToken = now
	s.inFlight[attempt] = w
	s.pending -= w.Prompt
	// The prompts processed in the meantime explain the wait, whatever their order.
	processed := w.pending + s.offered - w.offered - s.pending
	s.meanPrompt += promptWeight * (float64(w.Prompt) - s.meanPrompt)
	others := s.othersWaiting()
	processed += int(float64(others) * s.meanPrompt)
	if s.cold.observe(now, now.Sub(w.started), processed, others <= maxOthers) {
		s.turnCold(now)
	}
}

const (
	// maxOthers is the number of other daemons' waiting prompts above which a
	// first token says nothing about the server: with more, the estimate of
	// their work decides.
	maxOthers    = 4
	promptWeight = 0.1 // weight of a new sample in the mean prompt
)

// othersWaiting estimates the prompts of other daemons without a first token.
func (s *Server) othersWaiting() int {
	mine := 0
	for _, w := range s.inFlight {
		if w.firstToken.IsZero() {
			mine++
		}
	}
	return max(0, s.announcement.Load.Queued-mine)
}

// CacheLost records that the server's prefix cache was lost.
func (t *Table) CacheLost(now time.Time, id gypsumshelf.ServerID) {
	if s := t.servers[id]; s != nil {
		s.turnCold(now)
		s.cold = coldDetector{}
	}
}

func (s *Server) turnCold(now time.Time) {
	s.evidence.Cold++
	s.ramp.reset(now)
}

// Completed records that an attempt delivered its whole answer. It must be
// called before Ended.
func (t *Table) Completed(now time.Time, attempt gypsumshelf.AttemptID) {
	s := t.placed[attempt]
	if s == nil {
		return
	}
	if w, ok := s.inFlight[attempt]; ok {
		s.evidence.Completed++
		s.evidence.Tokens += w.Tokens
		s.ramp.completed(w.Tokens)
		s.observeGeneration(now, w)
	}
}

// Failed records that an attempt failed on the server. It must be called
// before Ended.
func (t *Table) Failed(attempt gypsumshelf.AttemptID) {
	s := t.placed[attempt]
	if s == nil {
		return
	}
	if _, ok := s.inFlight[attempt]; ok {
		s.evidence.Failed++
		s.ramp.failed()
	}
}

// Unreachable records that the server of an attempt refused a connection or
// answered no probe. Without this mark a dead server looks idle until its
// announcements expire, and draws the requests of all others.
func (t *Table) Unreachable(now time.Time, attempt gypsumshelf.AttemptID) {
	if s := t.placed[attempt]; s != nil {
		s.unreachable = now
	}
}

// Learn applies what another daemon has seen of a server since its last report.
func (t *Table) Learn(now time.Time, id gypsumshelf.ServerID, e Evidence) {
	s := t.servers[id]
	if s == nil {
		return
	}
	if e.Cold > 0 {
		s.ramp.reset(now)
		return
	}
	for range e.Failed {
		s.ramp.failed()
	}
	if e.Failed == 0 && e.Completed > 0 {
		s.ramp.adopt(Limit{Attempts: s.ramp.limit.Attempts + e.Completed, Tokens: s.ramp.limit.Tokens + e.Tokens})
	}
}

// Adopt takes the limit that the owner of the server's shares has stated.
func (t *Table) Adopt(id gypsumshelf.ServerID, l Limit) {
	if s := t.servers[id]; s != nil {
		s.ramp.adopt(l)
	}
}

// Ended records the end of an attempt, whatever its outcome.
func (t *Table) Ended(id gypsumshelf.ServerID, attempt gypsumshelf.AttemptID) {
	s := t.servers[id]
	if s == nil {
		return
	}
	w, ok := s.inFlight[attempt]
	if !ok {
		return
	}
	s.tokens -= w.Tokens
	if w.firstToken.IsZero() {
		s.pending -= w.Prompt
		s.offered -= w.Prompt
	}
	delete(s.inFlight, attempt)
	delete(t.placed, attempt)
	if w.report == s.reports {
		s.sinceReport--
		s.sinceTokens -= w.Tokens
	}
}

// generationWeight is the weight of a new sample in the time for each token.
const generationWeight = 0.1

func (s *Server) observeGeneration(now time.Time, w work) {
	if w.firstToken.IsZero() || w.MaxTokens == 0 {
		return
	}
	x := now.Sub(w.firstToken).Seconds() / float64(w.MaxTokens)
	if s.perMaxToken == 0 {
		s.perMaxToken = x
	}
	s.perMaxToken += generationWeight * (x - s.perMaxToken)
}
