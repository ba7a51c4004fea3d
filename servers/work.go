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
	s.inFlight[attempt] = work{Work: w, ahead: s.Ahead(w.Due), started: now, report: s.reports}
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
	if s.cold.observe(now.Sub(w.started), w.Prompt+w.ahead) {
		s.turnCold(now)
	}
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
