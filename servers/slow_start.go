package servers

import "time"

// Limit is the limit of the work in progress on a server, summed over all daemons.
type Limit struct {
	Attempts int
	Tokens   int // prompt and output tokens, 0 when the server announces no memory
}

// SlowStartConfig configures the slow start of servers.
type SlowStartConfig struct {
	InitialAttempts int // limit of a cold server
	FullAttempts    int // limit of a warm server
	// InitialDivisor divides the announced memory to give the token limit of a
	// cold server.
	InitialDivisor int
}

// DefaultSlowStart is the slow start used by daemons. It begins with one attempt,
// because a new server fails under full load and its capacity is unknown.
var DefaultSlowStart = SlowStartConfig{InitialAttempts: 1, FullAttempts: 32, InitialDivisor: 16}

// slowStart is the limit of one server. Each completed attempt raises it by one
// attempt and the attempt's tokens, so that it at most doubles in a round of full
// use. Each failure halves it.
type slowStart struct {
	cfg     SlowStartConfig
	memory  int
	limit   Limit
	resetAt time.Time // last reset
	resets  int
}

func newSlowStart(now time.Time, cfg SlowStartConfig, memory int) *slowStart {
	s := &slowStart{cfg: cfg, memory: memory}
	s.reset(now)
	s.resets = 0
	return s
}

func (s *slowStart) initial() Limit {
	return Limit{Attempts: s.cfg.InitialAttempts, Tokens: s.memory / s.cfg.InitialDivisor}
}

func (s *slowStart) full() Limit { return Limit{Attempts: s.cfg.FullAttempts, Tokens: s.memory} }

func (s *slowStart) reset(now time.Time) {
	s.limit = s.initial()
	s.resetAt = now
	s.resets++
}

func (s *slowStart) completed(tokens int) {
	s.limit = clamp(Limit{Attempts: s.limit.Attempts + 1, Tokens: s.limit.Tokens + tokens}, s.initial(), s.full())
}

func (s *slowStart) failed() {
	s.limit = clamp(Limit{Attempts: s.limit.Attempts / 2, Tokens: s.limit.Tokens / 2}, s.initial(), s.full())
}

func (s *slowStart) adopt(l Limit) { s.limit = clamp(l, s.initial(), s.full()) }

func (s *slowStart) warm() bool { return s.limit == s.full() }

func clamp(l, low, high Limit) Limit {
	return Limit{
		Attempts: min(max(l.Attempts, low.Attempts), high.Attempts),
		Tokens:   min(max(l.Tokens, low.Tokens), high.Tokens),
	}
}
