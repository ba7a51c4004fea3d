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
	minFailurePenalty = time.Second
	maxFailurePenalty = 8 * time.Second
	// slowPace is the reported pace from which an engine is not used while
	// faster ones are free.
	slowdownThreshold = 1.6
	// paceLife is the time for which a reported pace is believed, foreignLife
	// that for which reported requests of other schedulers are.
	slowdownTTL     = 4 * time.Second
	externalLoadTTL = 1500 * time.Millisecond
	// foreignSlack is the number of requests by which a report may exceed what
	// was placed without a reason: it lags by 200 ms, in which several short
	// answers end, and counts parts that have just been read.
	externalRequestTolerance = 5
	// foreignGap is the pause that is assumed to suit the callers of requests
	// that other schedulers placed: most answers are short.
	externalRequestGap = 200 * time.Millisecond
	// memoryShare is the part of an engine's memory that is planned for; a
	// prompt that grows past the memory is read again from its start.
	plannedMemoryFraction = 0.97
	// coldShare is the part of the rate that a cold engine bears which one
	// scheduler uses. Retries and daemons without the scheduler add to it.
	coldRateFraction = 0.7
)

// part is a job's work on one engine.
type assignment struct {
	job          *jobState
	primary      bool // the engine writes the answer
	memoryTokens int  // tokens in the engine's memory
}

// reading is a part of a prompt that the engine was given to read.
type prefill struct {
	end      time.Time // predicted end
	duration time.Duration
}

// engine is the scheduler's picture of one engine.
type engine struct {
	state               EngineState
	profile             *costs.Engine
	assignments         map[JobID]*assignment
	summary             summary   // of parts
	prefillEnd          time.Time // predicted end of all reading
	prefills            []prefill // in the order of their ends
	avoidUntil          time.Time // no work before this time
	consecutiveFailures int       // consecutive
	load                Load
	loadAt              time.Time
	externalRequests    int // requests that this scheduler did not place, at loadAt
	coldLimiter         *rate.Limiter
	shared              bool // others place jobs here too
}

func newEngine(state EngineState, profile *costs.Engine) *engine {
	return &engine{state: state, profile: profile, assignments: map[JobID]*assignment{}, load: Load{Pace: 1}}
}

// update takes a new state of the engine.
func (e *engine) update(now time.Time, state EngineState, profile *costs.Engine, share float64) {
	e.state, e.profile, e.shared = state, profile, share > 0
	if !e.isCold(now) || e.coldLimiter != nil {
		return
	}
	perSecond := state.ColdRate * coldRateFraction
	if share == 0 {
		e.coldLimiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/2)))
		return
	}
	// With equal shares every scheduler would begin with a burst of its own.
	e.coldLimiter = rate.NewLimiter(rate.Limit(perSecond*share), 1)
	e.coldLimiter.AllowN(now, 1)
}

func (e *engine) isCold(now time.Time) bool {
	return e.state.ColdRate > 0 && now.Before(e.state.ColdUntil)
}

// usable reports whether the engine may get work now.
func (e *engine) usable(now time.Time) bool {
	if now.Before(e.avoidUntil) {
		return false
	}
	return !e.isCold(now) || e.coldLimiter.TokensAt(now) >= 1
}

// currentPace returns how many times slower than its figures the engine works.
func (e *engine) slowdown(now time.Time) float64 {
	if e.load.Pace <= 1 || now.Sub(e.loadAt) > slowdownTTL {
		return 1
	}
	return e.load.Pace
}

// report takes what the engine says of itself. Requests beyond those that were
// placed here come from entry daemons that schedule by themselves.
func (e *engine) recordLoad(now time.Time, l Load) {
	e.load, e.loadAt = l, now
	if e.externalRequests = l.Running + l.Waiting - len(e.assignments); e.externalRequests <= externalRequestTolerance {
		e.externalRequests = 0
	}
}

// strangers returns the number of requests that other schedulers placed.
func (e *engine) recentExternalRequests(now time.Time) int {
	if e.externalRequests == 0 || now.Sub(e.loadAt) > externalLoadTTL {
		return 0
	}
	return e.externalRequests
}

// unseen reports whether other schedulers may have given the engine work that
// no recent report shows. A long prompt there could hold up many answers.
func (e *engine) mayHaveUnreportedLoad(now time.Time) bool {
	return e.shared && now.Sub(e.loadAt) > externalLoadTTL
}

// writers returns the number of answers in progress or about to begin.
func (e *engine) activeAnswers(now time.Time) int {
	return e.summary.answers + e.recentExternalRequests(now)
}

// summary is what decisions need to know of an engine's parts. It is kept
// beside them, because every decision asks all engines for it.
type summary struct {
	answers               int           // answers in progress or about to begin
	shortAnswers          int           // those of light prompts
	memoryTokens          int           // tokens in memory
	minGap                time.Duration // shortest pause that the callers of the writers accept
	primaryPrefillPending bool          // a heavy prompt that the engine will answer is not read yet
	longPrefillPending    bool          // a part of a heavy prompt is not known to be read
}

// put adds or replaces a job's part.
func (e *engine) addAssignment(a *assignment) {
	e.assignments[a.job.request.ID] = a
	e.updateSummary()
}

// remove ends a job's part.
func (e *engine) removeAssignment(id JobID) {
	if _, ok := e.assignments[id]; ok {
		delete(e.assignments, id)
		e.updateSummary()
	}
}

func (e *engine) updateSummary() {
	e.summary = summary{}
	for _, a := range e.assignments {
		e.summary.memoryTokens += a.memoryTokens
		if a.job.long && !a.job.started {
			e.summary.longPrefillPending = true
		}
		if !a.primary {
			continue
		}
		e.summary.answers++
		if !a.job.long {
			e.summary.shortAnswers++
		} else if !a.job.started {
			e.summary.primaryPrefillPending = true
		}
		if e.summary.minGap == 0 || a.job.request.Gap < e.summary.minGap {
			e.summary.minGap = a.job.request.Gap
		}
	}
}

// free returns the tokens that still fit into the engine's memory.
func (e *engine) freeTokens() int {
	return int(plannedMemoryFraction*float64(e.profile.MemoryTokens)) - e.summary.memoryTokens
}

// backlog returns the time until the engine has read what it was given.
func (e *engine) backlog(now time.Time) time.Duration { return max(0, e.prefillEnd.Sub(now)) }

// allowance returns how long the engine may read for a new job without a pause
// that is too long for the answers that it is writing. All that is read within
// one pass adds to the pause, also what has been read already. Unless the job is
// urgent, pauses stay below calmPause even if callers would accept more: an
// answer that advances slowly keeps its memory and its slot for longer.
func (e *engine) prefillBudget(now time.Time, urgent bool) time.Duration {
	n := e.activeAnswers(now)
	if n == 0 {
		return time.Hour
	}
	maxPause := e.summary.minGap
	if e.recentExternalRequests(now) > 0 && (maxPause == 0 || maxPause > externalRequestGap) {
		maxPause = externalRequestGap
	}
	if !urgent {
		maxPause = min(maxPause, maxNonUrgentPause)
	}
	pass := e.profile.Pass(n, e.summary.memoryTokens)
	e.prefills = slices.DeleteFunc(e.prefills, func(r prefill) bool { return now.Sub(r.end) > pass })
	budget := maxPause - pass - pauseMargin
	for _, r := range e.prefills {
		budget -= r.duration
	}
	return max(0, budget)
}

// committed reports whether the engine still has to read its own part of a
// heavy prompt that it will answer. Parts that it reads as a helper go ahead of
// its own ones, so that more of them would hold that answer up.
func (e *engine) primaryPrefillPending() bool { return e.summary.primaryPrefillPending }

// busy reports whether the engine may still be reading a part of a heavy
// prompt. An engine reads the newest part that it was given for another engine
// first, so that one more part would hold up the older one for its whole time.
func (e *engine) longPrefillPending(now time.Time) bool {
	return e.summary.longPrefillPending && now.Before(e.prefillEnd.Add(prefillEndMargin))
}

// readMargin is the time by which reading may end later than predicted.
const prefillEndMargin = 40 * time.Millisecond

// firstEvent predicts the time to the first event of a new answer whose prompt
// the engine reads in part: the pass in progress, then one with the reading.
func (e *engine) timeToFirstEvent(now time.Time, part time.Duration, prompt int) time.Duration {
	n := e.activeAnswers(now)
	t := e.backlog(now) + part + e.profile.Pass(n+1, e.summary.memoryTokens+prompt)
	if n > 0 {
		t += e.profile.Pass(n, e.summary.memoryTokens) / 2
	}
	return time.Duration(float64(t) * e.slowdown(now))
}

// read notes that the engine is given a part of a prompt to read.
func (e *engine) addPrefill(now time.Time, part time.Duration) {
	duration := time.Duration(float64(part) * e.slowdown(now))
	e.prefillEnd = now.Add(e.backlog(now) + duration)
	e.prefills = append(e.prefills, prefill{end: e.prefillEnd, duration: duration})
	if len(e.prefills) > maxPrefills {
		e.prefills = e.prefills[1:]
	}
}

// calmPause is the longest pause that is planned for while no job is urgent, a
// little below what callers of the longest prompts accept.
const maxNonUrgentPause = 680 * time.Millisecond

// maxReads bounds the readings that are remembered.
const maxPrefills = 64

// gapMargin is kept free of reading in each pause between events: delivery and
// wake-ups take some of it.
const pauseMargin = 30 * time.Millisecond

// fail notes a failure.
func (e *engine) recordFailure(now time.Time) {
	penalty := min(maxFailurePenalty, minFailurePenalty<<min(e.consecutiveFailures, 6))
	e.consecutiveFailures++
	if until := now.Add(penalty); until.After(e.avoidUntil) {
		e.avoidUntil = until
	}
}

// succeed notes an answer in full.
func (e *engine) recordSuccess() { e.consecutiveFailures = 0 }

// settle corrects the prediction when nothing is left to read.
func (e *engine) finishPrefills(now time.Time) {
	for _, a := range e.assignments {
		if !a.job.started {
			return
		}
	}
	if e.prefillEnd.After(now) {
		e.prefillEnd = now
	}
	for i := range e.prefills {
		if e.prefills[i].end.After(now) {
			e.prefills[i].end = now
		}
	}
}

// id returns the engine's identity.
func (e *engine) id() gypsumshelf.ServerID { return e.state.ID }
