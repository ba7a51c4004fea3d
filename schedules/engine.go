package schedules

import (
	"slices"
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
	// paceLife is the time for which a reported pace is believed, foreignLife
	// that for which reported requests of other schedulers are.
	paceLife    = 4 * time.Second
	foreignLife = 1500 * time.Millisecond
	// foreignSlack is the number of requests by which a report may exceed what
	// was placed without a reason: it lags by 200 ms, in which several short
	// answers end, and counts parts that have just been read.
	foreignSlack = 5
	// foreignGap is the pause that is assumed to suit the callers of requests
	// that other schedulers placed: most answers are short.
	foreignGap = 200 * time.Millisecond
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
	writes  bool // the engine writes the answer
	context int  // tokens in the engine's memory
}

// reading is a part of a prompt that the engine was given to read.
type reading struct {
	until time.Time // predicted end
	took  time.Duration
}

// engine is the scheduler's picture of one engine.
type engine struct {
	state     EngineState
	figures   *costs.Engine
	parts     map[JobID]*part
	sum       summary   // of parts
	readUntil time.Time // predicted end of all reading
	reads     []reading // in the order of their ends
	avoid     time.Time // no work before this time
	failures  int       // consecutive
	load      Load
	loadAt    time.Time
	foreign   int // requests that this scheduler did not place, at loadAt
	cold      *rate.Limiter
	shared    bool // others place jobs here too
}

func newEngine(state EngineState, figures *costs.Engine) *engine {
	return &engine{state: state, figures: figures, parts: map[JobID]*part{}, load: Load{Pace: 1}}
}

// update takes a new state of the engine.
func (e *engine) update(now time.Time, state EngineState, figures *costs.Engine, share float64) {
	e.state, e.figures, e.shared = state, figures, share > 0
	if !e.isCold(now) || e.cold != nil {
		return
	}
	perSecond := state.ColdRate * coldShare
	if share == 0 {
		e.cold = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/2)))
		return
	}
	// With equal shares every scheduler would begin with a burst of its own.
	e.cold = rate.NewLimiter(rate.Limit(perSecond*share), 1)
	e.cold.AllowN(now, 1)
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
	if e.load.Pace <= 1 || now.Sub(e.loadAt) > paceLife {
		return 1
	}
	return e.load.Pace
}

// report takes what the engine says of itself. Requests beyond those that were
// placed here come from entry daemons that schedule by themselves.
func (e *engine) report(now time.Time, l Load) {
	e.load, e.loadAt = l, now
	if e.foreign = l.Running + l.Waiting - len(e.parts); e.foreign <= foreignSlack {
		e.foreign = 0
	}
}

// strangers returns the number of requests that other schedulers placed.
func (e *engine) strangers(now time.Time) int {
	if e.foreign == 0 || now.Sub(e.loadAt) > foreignLife {
		return 0
	}
	return e.foreign
}

// unseen reports whether other schedulers may have given the engine work that
// no recent report shows. A long prompt there could hold up many answers.
func (e *engine) unseen(now time.Time) bool {
	return e.shared && now.Sub(e.loadAt) > foreignLife
}

// writers returns the number of answers in progress or about to begin.
func (e *engine) writers(now time.Time) int { return e.sum.writers + e.strangers(now) }

// summary is what decisions need to know of an engine's parts. It is kept
// beside them, because every decision asks all engines for it.
type summary struct {
	writers   int           // answers in progress or about to begin
	light     int           // those of light prompts
	context   int           // tokens in memory
	gap       time.Duration // shortest pause that the callers of the writers accept
	committed bool          // a heavy prompt that the engine will answer is not read yet
	unread    bool          // a part of a heavy prompt is not known to be read
}

// put adds or replaces a job's part.
func (e *engine) put(p *part) {
	e.parts[p.job.job.ID] = p
	e.summarize()
}

// remove ends a job's part.
func (e *engine) remove(id JobID) {
	if _, ok := e.parts[id]; ok {
		delete(e.parts, id)
		e.summarize()
	}
}

func (e *engine) summarize() {
	e.sum = summary{}
	for _, p := range e.parts {
		e.sum.context += p.context
		if p.job.heavy && !p.job.started {
			e.sum.unread = true
		}
		if !p.writes {
			continue
		}
		e.sum.writers++
		if !p.job.heavy {
			e.sum.light++
		} else if !p.job.started {
			e.sum.committed = true
		}
		if e.sum.gap == 0 || p.job.job.Gap < e.sum.gap {
			e.sum.gap = p.job.job.Gap
		}
	}
}

// free returns the tokens that still fit into the engine's memory.
func (e *engine) free() int {
	return int(memoryShare*float64(e.figures.MemoryTokens)) - e.sum.context
}

// backlog returns the time until the engine has read what it was given.
func (e *engine) backlog(now time.Time) time.Duration { return max(0, e.readUntil.Sub(now)) }

// allowance returns how long the engine may read for a new job without a pause
// that is too long for the answers that it is writing. All that is read within
// one pass adds to the pause, also what has been read already. Unless the job is
// urgent, pauses stay below calmPause even if callers would accept more: an
// answer that advances slowly keeps its memory and its slot for longer.
func (e *engine) allowance(now time.Time, urgent bool) time.Duration {
	n := e.writers(now)
	if n == 0 {
		return time.Hour
	}
	gap := e.sum.gap
	if e.strangers(now) > 0 && (gap == 0 || gap > foreignGap) {
		gap = foreignGap
	}
	if !urgent {
		gap = min(gap, calmPause)
	}
	pass := e.figures.Pass(n, e.sum.context)
	e.reads = slices.DeleteFunc(e.reads, func(r reading) bool { return now.Sub(r.until) > pass })
	left := gap - pass - gapMargin
	for _, r := range e.reads {
		left -= r.took
	}
	return max(0, left)
}

// committed reports whether the engine still has to read its own part of a
// heavy prompt that it will answer. Parts that it reads as a helper go ahead of
// its own ones, so that more of them would hold that answer up.
func (e *engine) committed() bool { return e.sum.committed }

// busy reports whether the engine may still be reading a part of a heavy
// prompt. An engine reads the newest part that it was given for another engine
// first, so that one more part would hold up the older one for its whole time.
func (e *engine) busy(now time.Time) bool {
	return e.sum.unread && now.Before(e.readUntil.Add(readMargin))
}

// readMargin is the time by which reading may end later than predicted.
const readMargin = 40 * time.Millisecond

// firstEvent predicts the time to the first event of a new answer whose prompt
// the engine reads in part: the pass in progress, then one with the reading.
func (e *engine) firstEvent(now time.Time, part time.Duration, prompt int) time.Duration {
	n := e.writers(now)
	t := e.backlog(now) + part + e.figures.Pass(n+1, e.sum.context+prompt)
	if n > 0 {
		t += e.figures.Pass(n, e.sum.context) / 2
	}
	return time.Duration(float64(t) * e.currentPace(now))
}

// read notes that the engine is given a part of a prompt to read.
func (e *engine) read(now time.Time, part time.Duration) {
	took := time.Duration(float64(part) * e.currentPace(now))
	e.readUntil = now.Add(e.backlog(now) + took)
	e.reads = append(e.reads, reading{until: e.readUntil, took: took})
	if len(e.reads) > maxReads {
		e.reads = e.reads[1:]
	}
}

// calmPause is the longest pause that is planned for while no job is urgent, a
// little below what callers of the longest prompts accept.
const calmPause = 680 * time.Millisecond

// maxReads bounds the readings that are remembered.
const maxReads = 64

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
	for i := range e.reads {
		if e.reads[i].until.After(now) {
			e.reads[i].until = now
		}
	}
}

// id returns the engine's identity.
func (e *engine) id() gypsumshelf.ServerID { return e.state.ID }
