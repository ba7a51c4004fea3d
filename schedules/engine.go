package schedules

import (
	"time"

	"golang.org/x/time/rate"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/costs"
)

const (
	// firstPenalty is the time for which an engine gets no work after a failure;
	// it doubles with each further one, since a crashed engine is back after
	// seconds and a failing one stays so for longer.
	firstPenalty = time.Second
	maxPenalty   = 8 * time.Second
	// slowPace is the reported pace from which an engine is not used while
	// faster ones are free.
	slowPace = 1.6
	// paceLife is the time for which a reported pace is believed.
	paceLife = 4 * time.Second
	// memoryShare is the part of an engine's memory that is planned for; a
	// prompt that grows past the memory is read again from its start.
	memoryShare = 0.97
	// coldShare is the part of the rate that a cold engine bears which one
	// scheduler uses. Retries and daemons without the scheduler add to it.
	coldShare = 0.7
)

// part is a job's work on one engine.
type part struct {
	job     *run
	read    time.Duration // time to read this engine's part of the prompt
	writes  bool          // the engine writes the answer
	context int           // tokens in the engine's memory
}

// engine is the scheduler's picture of one engine.
type engine struct {
	state     EngineState
	figures   *costs.Engine
	parts     map[JobID]*part
	readUntil time.Time // predicted end of all reading
	avoid     time.Time // no work before this time
	failures  int       // consecutive
	pace      float64
	paceAt    time.Time
	cold      *rate.Limiter
}

func newEngine(state EngineState, figures *costs.Engine) *engine {
	return &engine{state: state, figures: figures, parts: map[JobID]*part{}, pace: 1}
}

// update takes a new state of the engine.
func (e *engine) update(now time.Time, state EngineState, figures *costs.Engine) {
	e.state, e.figures = state, figures
	if e.isCold(now) && e.cold == nil {
		e.cold = rate.NewLimiter(rate.Limit(state.ColdRate*coldShare), max(1, int(state.ColdRate*coldShare/2)))
	}
}

func (e *engine) isCold(now time.Time) bool {
	return e.state.ColdRate > 0 && now.Before(e.state.ColdUntil)
}

// usable reports whether the engine may get work now.
func (e *engine) usable(now time.Time) bool {
	if now.Before(e.avoid) {
		return false
	}
	return !e.isCold(now) || e.cold.TokensAt(now) >= 1
}

// currentPace returns how many times slower than its figures the engine works.
func (e *engine) currentPace(now time.Time) float64 {
	if now.Sub(e.paceAt) > paceLife {
		return 1
	}
	return max(1, e.pace)
}

// writers returns the number of answers in progress or about to begin, the sum
// of all contexts, and the shortest pause that their callers accept.
func (e *engine) writers() (n, context int, gap time.Duration) {
	for _, p := range e.parts {
		context += p.context
		if p.writes {
			n++
			if gap == 0 || p.job.job.Gap < gap {
				gap = p.job.job.Gap
			}
		}
	}
	return n, context, gap
}

// free returns the tokens that still fit into the engine's memory.
func (e *engine) free() int {
	used := 0
	for _, p := range e.parts {
		used += p.context
	}
	return int(memoryShare*float64(e.figures.MemoryTokens)) - used
}

// backlog returns the time until the engine has read what it was given.
func (e *engine) backlog(now time.Time) time.Duration { return max(0, e.readUntil.Sub(now)) }

// allowance returns how long the engine may read for a new job without a pause
// that is too long for the answers that it is writing.
func (e *engine) allowance(now time.Time) time.Duration {
	n, context, gap := e.writers()
	if n == 0 {
		return time.Hour
	}
	return max(0, gap-e.figures.Pass(n, context)-e.backlog(now)-gapMargin)
}

// gapMargin is kept free of reading in each pause between events: delivery and
// wake-ups take some of it.
const gapMargin = 30 * time.Millisecond

// fail notes a failure.
func (e *engine) fail(now time.Time) {
	penalty := min(maxPenalty, firstPenalty<<min(e.failures, 6))
	e.failures++
	if until := now.Add(penalty); until.After(e.avoid) {
		e.avoid = until
	}
}

// succeed notes an answer in full.
func (e *engine) succeed() { e.failures = 0 }

// settle corrects the prediction when nothing is left to read.
func (e *engine) settle(now time.Time) {
	for _, p := range e.parts {
		if !p.job.started {
			return
		}
	}
	if e.readUntil.After(now) {
		e.readUntil = now
	}
}

// id returns the engine's identity.
func (e *engine) id() gypsumshelf.ServerID { return e.state.ID }
