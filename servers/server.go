package servers

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// inFlightAttempt is one attempt of this daemon in progress on a server.
type inFlightAttempt struct {
	Work
	pendingBefore int // Server.pendingPrompt when the attempt was sent
	offeredBefore int // Server.offeredPrompt when the attempt was sent
	started       time.Time
	loadReport    int // Server.loadReports when the attempt was sent
	firstToken    time.Time
}

// Work is the size of an attempt, from which its duration is estimated.
type Work struct {
	Tokens    int       // prompt tokens plus the upper bound of generated tokens
	Prompt    int       // prompt tokens
	MaxTokens int       // upper bound of generated tokens
	Due       time.Time // engines process the prompt with the earliest due time first
}

// Server is one backend server as this daemon sees it.
type Server struct {
	announcement        gypsumshelf.Announcement
	lastHeard           time.Time
	outOfService        bool      // its data centre is out of service
	unreachableAt       time.Time // last failure to reach it, zero if none
	slowStart           *slowStart
	cold                coldDetector
	evidence            Evidence
	secondsPerMaxToken  float64 // seconds of generation for each token of MaxTokens
	inFlight            map[gypsumshelf.AttemptID]inFlightAttempt
	pendingPrompt       int // prompt tokens of attempts without a first token
	meanPrompt          float64
	offeredPrompt       int // prompt tokens ever sent, less those of attempts that ended before a first token
	inFlightTokens      int
	digest              uint32 // of the announcement
	loadReports         int    // number of load reports
	attemptsSinceReport int    // attempts in progress that were sent since the last load report
	tokensSinceReport   int
}

// Evidence holds a daemon's counts of outcomes on one incarnation of a server. The
// counts only grow.
type Evidence struct {
	Completed int
	Tokens    int // tokens of completed attempts
	Failed    int
	Cold      int // times that the server was detected as cold
}

func newServer(now time.Time, cfg SlowStartConfig, a gypsumshelf.Announcement) *Server {
	return &Server{
		announcement: a,
		lastHeard:    now.Add(-time.Hour),
		slowStart:    newSlowStart(now, cfg, a.MemoryTokens),
		inFlight:     map[gypsumshelf.AttemptID]inFlightAttempt{},
	}
}

// setAnnouncement stores an announcement and counts it as a load report.
func (s *Server) setAnnouncement(a gypsumshelf.Announcement) {
	s.announcement = a
	s.slowStart.memory = a.MemoryTokens
	s.loadReports++
	s.attemptsSinceReport, s.tokensSinceReport = 0, 0
}

// Announcement returns the last announcement.
func (s *Server) Announcement() gypsumshelf.Announcement { return s.announcement }

// LastHeard returns the time of the server's last announcement.
func (s *Server) LastHeard() time.Time { return s.lastHeard }

// InFlight returns this daemon's attempts and tokens in progress on the server.
func (s *Server) InFlight() (attempts, tokens int) { return len(s.inFlight), s.inFlightTokens }

// Load estimates the attempts and tokens in progress on the server for all
// daemons: the last load report plus the work that this daemon has sent since, and
// at least this daemon's own work in progress.
func (s *Server) Load() (attempts, tokens int) {
	l := s.announcement.Load
	return max(l.Running+l.Queued+s.attemptsSinceReport, len(s.inFlight)), max(l.UsedTokens+s.tokensSinceReport, s.inFlightTokens)
}

// Limit returns the current limit of the work on the server, summed over all
// daemons.
func (s *Server) Limit() Limit { return s.slowStart.limit }

// Warm reports whether slow start has ended.
func (s *Server) Warm() bool { return s.slowStart.warm() }

// OutOfService reports whether the server's data centre is out of service.
func (s *Server) OutOfService() bool { return s.outOfService }

// Evidence returns this daemon's counts for the server's incarnation.
func (s *Server) Evidence() Evidence { return s.evidence }

// PromptTokensAhead returns the prompt tokens of this daemon that the server
// processes before a prompt due at the given time. The tokens of other daemons are
// accounted for by the measured time per token.
func (s *Server) PromptTokensAhead(due time.Time) int {
	n := 0
	for _, w := range s.inFlight {
		if w.firstToken.IsZero() && !w.Due.After(due) {
			n += w.Prompt
		}
	}
	return n
}

// Predict estimates the time to the first token and to the end of work sent now.
// Both are 0 before the first measurement.
func (s *Server) Predict(now time.Time, w Work) (firstToken, finish time.Duration) {
	first := s.SecondsPerPromptToken(now) * float64(w.Prompt+s.PromptTokensAhead(w.Due))
	end := first + s.secondsPerMaxToken*float64(w.MaxTokens)
	return seconds(first), seconds(end)
}

// SecondsPerPromptToken returns the current seconds to the first token for each
// prompt token ahead of it, including the delay by other work; 0 when unknown.
func (s *Server) SecondsPerPromptToken(now time.Time) float64 {
	return s.cold.secondsPerToken() * s.cold.contention(now)
}

// PromptTime estimates the time that the server takes for a prompt without other
// work.
func (s *Server) PromptTime(tokens int) time.Duration {
	return seconds(s.cold.secondsPerToken() * float64(tokens))
}

// LongPromptTokens returns the prompt tokens that this daemon has in progress
// in prompts of at least the given length.
func (s *Server) LongPromptTokens(length int) int {
	n := 0
	for _, w := range s.inFlight {
		if w.Prompt >= length {
			n += w.Prompt
		}
	}
	return n
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
