package servers

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// inFlightAttempt is one attempt of this daemon in progress on a server.
type inFlightAttempt struct {
	Work
	pendingBefore int // value of Server.pending when it was sent
	offeredBefore int // value of Server.offered when it was sent
	started       time.Time
	loadReport    int // number of load reports before it was sent
	firstToken    time.Time
}

// Work describes an attempt for the estimate of its time.
type Work struct {
	Tokens    int       // prompt tokens and upper bound of generated tokens
	Prompt    int       // prompt tokens
	MaxTokens int       // upper bound of generated tokens
	Due       time.Time // engines process the prompt that is due first
}

// Server is one backend server as this daemon sees it.
type Server struct {
	announcement        gypsumshelf.Announcement
	lastHeard           time.Time
	outOfService        bool      // its data centre is taken out
	unreachableAt       time.Time // last time that it could not be reached, zero if never
	slowStart           *slowStart
	cold                coldDetector
	evidence            Evidence
	secondsPerMaxToken  float64 // seconds of generation for each token of MaxTokens
	inFlight            map[gypsumshelf.AttemptID]inFlightAttempt
	pendingPrompt       int // prompt tokens of attempts without a first token
	meanPrompt          float64
	offeredPrompt       int // prompt tokens sent, without those of attempts that ended before their first token
	inFlightTokens      int
	digest              uint32 // of the announcement
	loadReports         int    // number of load reports
	attemptsSinceReport int    // attempts sent since that report and still in progress
	tokensSinceReport   int
}

// Evidence counts what a daemon has seen of one incarnation of a server. The
// counts only grow.
type Evidence struct {
	Completed int
	Tokens    int // tokens of completed attempts
	Failed    int
	Cold      int // times that the server was found cold
}

func newServer(now time.Time, cfg SlowStartConfig, a gypsumshelf.Announcement) *Server {
	return &Server{
		announcement: a,
		lastHeard:    now.Add(-time.Hour),
		slowStart:    newSlowStart(now, cfg, a.MemoryTokens),
		inFlight:     map[gypsumshelf.AttemptID]inFlightAttempt{},
	}
}

func (s *Server) setAnnouncement(a gypsumshelf.Announcement) {
	s.announcement = a
	s.slowStart.memory = a.MemoryTokens
	s.loadReports++
	s.attemptsSinceReport, s.tokensSinceReport = 0, 0
}

// Announcement returns the last announcement.
func (s *Server) Announcement() gypsumshelf.Announcement { return s.announcement }

// Heard returns when the server last announced itself.
func (s *Server) Heard() time.Time { return s.lastHeard }

// InFlight returns the number of attempts and tokens that this daemon has in
// progress on the server.
func (s *Server) InFlight() (attempts, tokens int) { return len(s.inFlight), s.inFlightTokens }

// Load returns the attempts and tokens believed in progress on the server for
// all daemons: the last report, corrected by what this daemon has sent since,
// and at least what this daemon has in progress itself.
func (s *Server) Load() (attempts, tokens int) {
	l := s.announcement.Load
	return max(l.Running+l.Queued+s.attemptsSinceReport, len(s.inFlight)), max(l.UsedTokens+s.tokensSinceReport, s.inFlightTokens)
}

// Limit returns the work that the server can bear now, summed over all daemons.
func (s *Server) Limit() Limit { return s.slowStart.limit }

// Warm reports whether slow start has ended.
func (s *Server) Warm() bool { return s.slowStart.warm() }

// OutOfService reports whether the server's data centre is taken out.
func (s *Server) OutOfService() bool { return s.outOfService }

// Evidence returns the counts of this daemon for the server's incarnation.
func (s *Server) Evidence() Evidence { return s.evidence }

// Ahead returns the prompt tokens of this daemon that the server processes
// before a prompt due at the given time. Those of other daemons show in the
// measured time for each token.
func (s *Server) Ahead(due time.Time) int {
	n := 0
	for _, w := range s.inFlight {
		if w.firstToken.IsZero() && !w.Due.After(due) {
			n += w.Prompt
		}
	}
	return n
}

// Predict estimates the time to the first token and to the end of a piece of
// work that is sent now; both are 0 while nothing is known of the server.
func (s *Server) Predict(now time.Time, w Work) (firstToken, finish time.Duration) {
	first := s.TokenTime(now) * float64(w.Prompt+s.Ahead(w.Due))
	end := first + s.secondsPerMaxToken*float64(w.MaxTokens)
	return seconds(first), seconds(end)
}

// TokenTime returns the present seconds for each prompt token ahead of the
// first token, including the delay by other work; 0 when unknown.
func (s *Server) TokenTime(now time.Time) float64 {
	return s.cold.secondsPerToken() * s.cold.contention(now)
}

// PromptTime estimates the time that the server alone takes for a prompt.
func (s *Server) PromptTime(tokens int) time.Duration {
	return seconds(s.cold.secondsPerToken() * float64(tokens))
}

// LongTokens returns the prompt tokens that this daemon has in progress in
// prompts of at least the given length.
func (s *Server) LongTokens(length int) int {
	n := 0
	for _, w := range s.inFlight {
		if w.Prompt >= length {
			n += w.Prompt
		}
	}
	return n
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
