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
	// InitialFraction is the divisor of the announced memory that gives the token
	// limit of a cold server.
	InitialFraction int
}

// DefaultSlowStart is the slow start used by daemons. It begins with one attempt,
// because a new server fails under full load and its capacity is unknown.
var DefaultSlowStart = SlowStartConfig{InitialAttempts: 1, FullAttempts: 32, InitialFraction: 16}

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
	r := &slowStart{cfg: cfg, memory: memory}
	r.reset(now)
	r.resets = 0
	return r
}

func (r *slowStart) initial() Limit {
	return Limit{Attempts: r.cfg.InitialAttempts, Tokens: r.memory / r.cfg.InitialFraction}
}

func (r *slowStart) full() Limit { return Limit{Attempts: r.cfg.FullAttempts, Tokens: r.memory} }

func (r *slowStart) reset(now time.Time) {
	r.limit = r.initial()
	r.resetAt = now
	r.resets++
}

func (r *slowStart) completed(tokens int) {
	r.limit = clamp(Limit{Attempts: r.limit.Attempts + 1, Tokens: r.limit.Tokens + tokens}, r.initial(), r.full())
}

func (r *slowStart) failed() {
	r.limit = clamp(Limit{Attempts: r.limit.Attempts / 2, Tokens: r.limit.Tokens / 2}, r.initial(), r.full())
}

func (r *slowStart) adopt(l Limit) { r.limit = clamp(l, r.initial(), r.full()) }

func (r *slowStart) warm() bool { return r.limit == r.full() }

func clamp(l, low, high Limit) Limit {
	return Limit{
		Attempts: min(max(l.Attempts, low.Attempts), high.Attempts),
		Tokens:   min(max(l.Tokens, low.Tokens), high.Tokens),
	}
}
