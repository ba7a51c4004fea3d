package servers

import "time"

// Limit bounds the work in progress on a server, summed over all daemons.
type Limit struct {
	Attempts int
	Tokens   int // prompt and output tokens, 0 when the server states no memory
}

// SlowStartConfig configures the slow start of servers.
type SlowStartConfig struct {
	InitialAttempts int // limit of a cold server
	FullAttempts    int // limit of a warm server
	// InitialFraction divides the announced memory into the token limit of a
	// cold server.
	InitialFraction int
}

// DefaultSlowStart is the slow start used by daemons. One attempt at first: a new
// server fails under full load and nothing is known yet of what it can bear.
var DefaultSlowStart = SlowStartConfig{InitialAttempts: 1, FullAttempts: 32, InitialFraction: 16}

// slowStart is the limit of one server. It starts small, grows by one attempt and
// by the tokens of each completed attempt, which doubles it at most once for
// each round of full use, and is halved by a failure.
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
