package servers

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Started records an attempt that is sent to a server.
func (t *Table) Started(now time.Time, id gypsumshelf.ServerID, attempt gypsumshelf.AttemptID, tokens int) {
	s := t.servers[id]
	if s == nil {
		return
	}
	_, ahead := s.Load()
	s.inFlight[attempt] = work{tokens: tokens, ahead: ahead, started: now, report: s.reports}
	s.tokens += tokens
	s.sinceReport++
	s.sinceTokens += tokens
}

// FirstToken records the first token of an attempt; a latency far above the
// server's own past starts slow start again.
func (t *Table) FirstToken(now time.Time, id gypsumshelf.ServerID, attempt gypsumshelf.AttemptID) {
	s := t.servers[id]
	if s == nil {
		return
	}
	w, ok := s.inFlight[attempt]
	if !ok || w.firstToken {
		return
	}
	w.firstToken = true
	s.inFlight[attempt] = w
	if s.cold.observe(now.Sub(w.started), w.tokens+w.ahead) {
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
func (t *Table) Completed(id gypsumshelf.ServerID, attempt gypsumshelf.AttemptID) {
	s := t.servers[id]
	if s == nil {
		return
	}
	if w, ok := s.inFlight[attempt]; ok {
		s.evidence.Completed++
		s.evidence.Tokens += w.tokens
		s.ramp.completed(w.tokens)
	}
}

// Failed records that an attempt failed on the server. It must be called
// before Ended.
func (t *Table) Failed(id gypsumshelf.ServerID, attempt gypsumshelf.AttemptID) {
	s := t.servers[id]
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
	s.tokens -= w.tokens
	delete(s.inFlight, attempt)
	if w.report == s.reports {
		s.sinceReport--
		s.sinceTokens -= w.tokens
	}
}
