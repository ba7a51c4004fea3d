package servers

import (
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// work is one attempt of this daemon in progress on a server.
type work struct {
	tokens     int
	ahead      int // tokens in progress on the server when it was sent
	started    time.Time
	report     int // number of load reports before it was sent
	firstToken bool
}

// Server is one backend server as this daemon sees it.
type Server struct {
	announcement gypsumshelf.Announcement
	heard        time.Time
	out          bool // its data centre is taken out
	ramp         *ramp
	cold         coldDetector
	evidence     Evidence
	inFlight     map[gypsumshelf.AttemptID]work
	tokens       int
	reports      int // number of load reports
	sinceReport  int // attempts sent since that report and still in progress
	sinceTokens  int
}

// Evidence counts what a daemon has seen of one incarnation of a server. The
// counts only grow.
type Evidence struct {
	Completed int
	Tokens    int // tokens of completed attempts
	Failed    int
	Cold      int // times that the server was found cold
}

func newServer(now time.Time, cfg RampConfig, a gypsumshelf.Announcement) *Server {
	return &Server{
		announcement: a,
		heard:        now.Add(-time.Hour),
		ramp:         newRamp(now, cfg, a.MemoryTokens),
		inFlight:     map[gypsumshelf.AttemptID]work{},
	}
}

func (s *Server) report(a gypsumshelf.Announcement) {
	s.announcement = a
	s.ramp.memory = a.MemoryTokens
	s.reports++
	s.sinceReport, s.sinceTokens = 0, 0
}

// Announcement returns the last announcement.
func (s *Server) Announcement() gypsumshelf.Announcement { return s.announcement }

// InFlight returns the number of attempts and tokens that this daemon has in
// progress on the server.
func (s *Server) InFlight() (attempts, tokens int) { return len(s.inFlight), s.tokens }

// Load returns the attempts and tokens believed in progress on the server for
// all daemons: the last report, corrected by what this daemon has sent since,
// and at least what this daemon has in progress itself.
func (s *Server) Load() (attempts, tokens int) {
	l := s.announcement.Load
	return max(l.Running+l.Queued+s.sinceReport, len(s.inFlight)), max(l.UsedTokens+s.sinceTokens, s.tokens)
}

// Limit returns the work that the server can bear now, summed over all daemons.
func (s *Server) Limit() Limit { return s.ramp.limit }

// Warm reports whether slow start has ended.
func (s *Server) Warm() bool { return s.ramp.warm() }

// OutOfService reports whether the server's data centre is taken out.
func (s *Server) OutOfService() bool { return s.out }

// Evidence returns the counts of this daemon for the server's incarnation.
func (s *Server) Evidence() Evidence { return s.evidence }

// TokenTime returns the present time to the first token for each token of
// work ahead, 0 when nothing is known.
func (s *Server) TokenTime() time.Duration {
	return time.Duration(s.cold.perToken() * float64(time.Second))
}

func (s *Server) serves(service, model string) bool {
	if model != "" {
		return slices.Contains(s.announcement.Models, model)
	}
	return s.announcement.Service == service && s.announcement.Kind == gypsumshelf.KindPlain
}
