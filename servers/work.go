package servers

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Started records an attempt that is being sent to a server.
func (t *Table) Started(now time.Time, id gypsumshelf.ServerID, attempt gypsumshelf.AttemptID, w Work) {
	s := t.servers[id]
	if s == nil {
		return
	}
	t.byAttempt[attempt] = s
	s.inFlight[attempt] = inFlightAttempt{Work: w, pendingBefore: s.pendingPrompt, offeredBefore: s.offeredPrompt, started: now, loadReport: s.loadReports}
	s.pendingPrompt += w.Prompt
	s.offeredPrompt += w.Prompt
	s.inFlightTokens += w.Tokens
	s.attemptsSinceReport++
	s.tokensSinceReport += w.Tokens
}

// FirstToken records the first token of an attempt. Latencies far above the
// server's baseline restart slow start.
func (t *Table) FirstToken(now time.Time, attempt gypsumshelf.AttemptID) {
	s := t.byAttempt[attempt]
	if s == nil {
		return
	}
	w, ok := s.inFlight[attempt]
	if !ok || !w.firstToken.IsZero() {
		return
	}
	w.firstToken = now
	s.inFlight[attempt] = w
	s.pendingPrompt -= w.Prompt
	// The wait covers all prompts processed in the meantime, in whatever order.
	processed := w.pendingBefore + s.offeredPrompt - w.offeredBefore - s.pendingPrompt
	s.meanPrompt += meanPromptWeight * (float64(w.Prompt) - s.meanPrompt)
	others := s.othersWaiting()
	processed += int(float64(others) * s.meanPrompt)
	if s.cold.observe(now, now.Sub(w.started), processed, others <= maxOthersWaiting) {
		s.markCold(now)
	}
}

const (
	// maxOthersWaiting is the number of other daemons' waiting prompts above which
	// a first token is not used to detect a cold server: the estimate of their work
	// would dominate the result.
	maxOthersWaiting = 4
	meanPromptWeight = 0.1 // weight of a new sample in the mean prompt
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

// CacheLost records that the server has lost its prefix cache.
func (t *Table) CacheLost(now time.Time, id gypsumshelf.ServerID) {
	if s := t.servers[id]; s != nil {
		s.markCold(now)
		s.cold = coldDetector{}
	}
}

// markCold counts the server as detected cold and restarts slow start.
func (s *Server) markCold(now time.Time) {
	s.evidence.Cold++
	s.slowStart.reset(now)
}

// Completed records that an attempt delivered its complete answer. It must be
// called before Ended.
func (t *Table) Completed(now time.Time, attempt gypsumshelf.AttemptID) {
	s := t.byAttempt[attempt]
	if s == nil {
		return
	}
	if w, ok := s.inFlight[attempt]; ok {
		s.evidence.Completed++
		s.evidence.Tokens += w.Tokens
		s.slowStart.completed(w.Tokens)
		s.observeGenerationTime(now, w)
	}
}

// Failed records that an attempt failed on the server. It must be called
// before Ended.
func (t *Table) Failed(attempt gypsumshelf.AttemptID) {
	s := t.byAttempt[attempt]
	if s == nil {
		return
	}
	if _, ok := s.inFlight[attempt]; ok {
		s.evidence.Failed++
		s.slowStart.failed()
	}
}

// Unreachable records that the server of an attempt refused a connection or did
// not answer a probe. Otherwise a dead server would look idle until its
// announcement expires and would attract requests from all other servers.
func (t *Table) Unreachable(now time.Time, attempt gypsumshelf.AttemptID) {
	if s := t.byAttempt[attempt]; s != nil {
		s.unreachableAt = now
	}
}

// ApplyEvidence applies evidence about a server that another daemon has
// gathered since its last report.
func (t *Table) ApplyEvidence(now time.Time, id gypsumshelf.ServerID, e Evidence) {
	s := t.servers[id]
	if s == nil {
		return
	}
	if e.Cold > 0 {
		s.slowStart.reset(now)
		return
	}
	for range e.Failed {
		s.slowStart.failed()
	}
	if e.Failed == 0 && e.Completed > 0 {
		s.slowStart.adopt(Limit{Attempts: s.slowStart.limit.Attempts + e.Completed, Tokens: s.slowStart.limit.Tokens + e.Tokens})
	}
}

// ApplyLimit applies the limit stated by the owner of the server's shares.
func (t *Table) ApplyLimit(id gypsumshelf.ServerID, l Limit) {
	if s := t.servers[id]; s != nil {
		s.slowStart.adopt(l)
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
	s.inFlightTokens -= w.Tokens
	if w.firstToken.IsZero() {
		s.pendingPrompt -= w.Prompt
		s.offeredPrompt -= w.Prompt
	}
	delete(s.inFlight, attempt)
	delete(t.byAttempt, attempt)
	if w.loadReport == s.loadReports {
		s.attemptsSinceReport--
		s.tokensSinceReport -= w.Tokens
	}
}

// generationWeight is the weight of a new sample in secondsPerMaxToken.
const generationWeight = 0.1

func (s *Server) observeGenerationTime(now time.Time, w inFlightAttempt) {
	if w.firstToken.IsZero() || w.MaxTokens == 0 {
		return
	}
	sample := now.Sub(w.firstToken).Seconds() / float64(w.MaxTokens)
	if s.secondsPerMaxToken == 0 {
		s.secondsPerMaxToken = sample
	}
	s.secondsPerMaxToken += generationWeight * (sample - s.secondsPerMaxToken)
}
