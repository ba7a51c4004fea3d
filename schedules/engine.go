package schedules

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/costs"
)

const (
	// minFailurePenalty is the time for which an engine gets no work after its
	// first failure. It doubles with each consecutive failure up to
	// maxFailurePenalty: a crashed engine is back within seconds, while a
	// persistent fault lasts longer.
	minFailurePenalty = time.Second
	maxFailurePenalty = 8 * time.Second
	// slowdownThreshold is the reported slowdown from which an engine is used only
	// if there are too few faster ones.
	slowdownThreshold = 1.6
	// slowdownTTL is the time for which a reported slowdown is valid, and
	// externalLoadTTL the time for which a reported number of external requests is
	// valid. External requests are those that other schedulers placed.
	slowdownTTL     = 4 * time.Second
	externalLoadTTL = 1500 * time.Millisecond
	// externalRequestTolerance is the number of requests by which a report may
	// exceed the placed ones before the excess counts as external. Reports lag by
	// 200 ms, in which several short answers end, and include prefills that have
	// just ended.
	externalRequestTolerance = 5
	// reportLag is the age of the load in a report. reconciledRequestTolerance replaces
	// externalRequestTolerance where the excess is reconciled with the requests that were
	// placed or ended within it: one whose placement or end passes the report on its way
	// may still be counted twice. With the larger one, several local schedulers together
	// exceed the slots of an engine by as many requests.
	reportLag                  = 200 * time.Millisecond
	reconciledRequestTolerance = 1
	// externalRequestGap is the longest pause that the callers of external
	// requests are assumed to accept. Most answers are short ones, whose callers
	// accept no longer pause.
	externalRequestGap = 200 * time.Millisecond
	// plannedMemoryFraction is the fraction of an engine's memory that placements
	// may fill. An engine restarts the prefill of a prompt that outgrows its
	// memory.
	plannedMemoryFraction = 0.97
	// coldRateFraction is the fraction of a cold engine's request rate that a
	// scheduler uses. The rest is left for retries and for daemons that schedule
	// locally.
	coldRateFraction = 0.7
)

// assignment is the work of one job on one engine.
type assignment struct {
	job          *jobState
	primary      bool          // the engine generates the answer
	memoryTokens int           // tokens that the job keeps in the engine's memory
	placedAt     time.Time     // zero if another scheduler placed the job
	prefillTotal time.Duration // of the engine, with the job's own part
}

// endedAssignment is an assignment that ended within reportLag.
type endedAssignment struct{ placedAt, endedAt time.Time }

// prefill is the prefill of a prompt or of a part of one on an engine.
type prefill struct {
	end      time.Time // predicted end
	duration time.Duration
}

// engine is the scheduler's view of one engine.
type engine struct {
	state               EngineState
	profile             *costs.Profile
	assignments         map[JobID]*assignment
	summary             summary       // of assignments
	prefillEnd          time.Time     // predicted end of all prefills
	prefills            []prefill     // sorted by end
	avoidUntil          time.Time     // no new work before this time
	tieBreak            time.Duration // added to scores, so that schedulers choose different ones of equal engines
	protectFirst        bool          // a prefill may not make first events of short prompts late
	busyUntil           time.Time     // work of another scheduler is assumed until this time
	consecutiveFailures int
	load                Load
	loadAt              time.Time
	externalRequests    int // requests that other schedulers placed, as of loadAt
	coldLimiter         *rate.Limiter
	limits              *limits // that engines have named; shared by all of them
	shared              bool    // other schedulers place jobs here too
	learns              bool    // Policy.LearnPredictions
	ended               []endedAssignment
	ratio               ratio         // not used without Policy.LearnPredictions
	learnedSlowdown     float64       // ratio compared with those of other engines, 0 if it is not learned
	reportedSlow        bool          // as of the last SlowChange
	pace                *enginePace   // nil if the pace of servers is not found out
	prefillTotal        time.Duration // predicted time of all prefills since the engine is known
	isSlow              bool          // the learned slowdown applies
}

func newEngine(state EngineState, profile *costs.Profile, limits *limits) *engine {
	return &engine{state: state, profile: profile, limits: limits, assignments: map[JobID]*assignment{}, load: Load{Slowdown: 1}}
}

// update sets the state of the engine. Each cold period begins with a new request
// limiter.
func (e *engine) update(now time.Time, state EngineState, profile *costs.Profile, share float64) {
	if e.state.Born != state.Born {
		e.ratio = ratio{} // it tells of the start before
	}
	e.state, e.profile, e.shared = state, profile, share > 0
	e.limits.restarted(state.ID, state.Born)
	if !e.isCold(now) {
		e.coldLimiter = nil
	}
	if !e.isCold(now) || e.coldLimiter != nil {
		return
	}
	perSecond := ColdRate(state.ColdRequestsPerSecond)
	if share == 0 {
		e.coldLimiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/2)))
		return
	}
	// Start without a burst, since the bursts of all schedulers would add up.
	e.coldLimiter = rate.NewLimiter(rate.Limit(perSecond*share), 1)
	e.coldLimiter.AllowN(now, 1)
}

// ColdRate returns the requests per second that all daemons together send to a cold
// backend server that accepts a rate.
func ColdRate(perSecond float64) float64 { return perSecond * coldRateFraction }

func (e *engine) isCold(now time.Time) bool {
	return e.state.ColdRequestsPerSecond > 0 && now.Before(e.state.ColdUntil)
}

// usable reports whether the engine may get new work.
func (e *engine) usable(now time.Time) bool {
	if now.Before(e.avoidUntil) || !e.hasRoom(now) || !e.keepsPace(now) {
		return false
	}
	return !e.isCold(now) || e.coldLimiter.TokensAt(now) >= 1
}

// hasRoom reports whether the engine has named no limit, or one that a further request
// keeps.
func (e *engine) hasRoom(now time.Time) bool { return e.limits.allows(now, e.id()) }

// countRequest counts a request that the engine gets now against its rates.
func (e *engine) countRequest(now time.Time) {
	if e.isCold(now) {
		e.coldLimiter.AllowN(now, 1)
	}
	e.limits.take(now, e.id())
	e.pace.take(now)
}

// slowdown returns the factor by which the engine is slower than its profile: the larger
// of the reported and the learned one.
func (e *engine) slowdown(now time.Time) float64 {
	return max(e.learnedSlowdown, e.statedSlowdown(now))
}

// statedSlowdown returns the slowdown that the engine reports.
func (e *engine) statedSlowdown(now time.Time) float64 {
	if e.load.Slowdown <= 1 || now.Sub(e.loadAt) > slowdownTTL {
		return 1
	}
	return e.load.Slowdown
}

// recordLoad stores a load report of the engine. Reported requests in excess of
// the placed ones come from entry daemons that schedule locally.
func (e *engine) recordLoad(now time.Time, l Load) {
	e.load, e.loadAt = l, now
	expected, tolerance := len(e.assignments), externalRequestTolerance
	if e.learns {
		expected, tolerance = e.assignmentsAt(now, now.Add(-reportLag)), reconciledRequestTolerance
	}
	if e.externalRequests = l.Running + l.Queued - expected; e.externalRequests <= tolerance {
		e.externalRequests = 0
	}
}

// assignmentsAt returns the number of assignments at an earlier time, at most reportLag ago.
func (e *engine) assignmentsAt(now, earlier time.Time) int {
	e.forgetEnded(now)
	n := 0
	for _, a := range e.assignments {
		if !a.placedAt.After(earlier) {
			n++
		}
	}
	for _, a := range e.ended {
		if !a.placedAt.After(earlier) && a.endedAt.After(earlier) {
			n++
		}
	}
	return n
}

func (e *engine) forgetEnded(now time.Time) {
	e.ended = slices.DeleteFunc(e.ended, func(a endedAssignment) bool { return now.Sub(a.endedAt) > reportLag })
}

// recentExternalRequests returns the number of requests that other schedulers
// placed, or 0 if the last report is too old.
func (e *engine) recentExternalRequests(now time.Time) int {
	if e.externalRequests == 0 || now.Sub(e.loadAt) > externalLoadTTL {
		return 0
	}
	return e.externalRequests
}

// mayHaveUnreportedLoad reports whether other schedulers may have placed work
// that no recent report includes. The prefill of a long prompt could delay many
// answers there.
func (e *engine) mayHaveUnreportedLoad(now time.Time) bool {
	return e.shared && now.Sub(e.loadAt) > externalLoadTTL
}

// activeAnswers returns the number of answers that the engine generates or is
// about to generate.
func (e *engine) activeAnswers(now time.Time) int {
	return e.summary.answers + e.recentExternalRequests(now)
}

// summary aggregates the assignments of an engine. It is updated with them,
// because every decision reads it for all engines.
type summary struct {
	answers               int           // answers in progress or about to begin
	shortAnswers          int           // those of short prompts
	memoryTokens          int           // tokens in memory
	minGap                time.Duration // shortest of the longest pauses that the callers accept
	primaryPrefillPending bool          // a long prompt that the engine will answer has an unfinished prefill
	longPrefillPending    bool          // the prefill of a long prompt may be unfinished
}

// addAssignment adds the assignment of a job or replaces it.
func (e *engine) addAssignment(a *assignment) {
	e.assignments[a.job.request.ID] = a
	e.updateSummary()
}

// removeAssignment removes the assignment of a job.
func (e *engine) removeAssignment(now time.Time, id JobID) {
	if a, ok := e.assignments[id]; ok {
		if e.learns {
			e.forgetEnded(now)
			e.ended = append(e.ended, endedAssignment{placedAt: a.placedAt, endedAt: now})
		}
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

// freeTokens returns the number of tokens that placements may still add to the
// engine's memory.
func (e *engine) freeTokens() int {
	return int(plannedMemoryFraction*float64(e.profile.MemoryTokens)) - e.summary.memoryTokens
}

// backlog returns the predicted time until all assigned prefills have ended.
func (e *engine) backlog(now time.Time) time.Duration { return max(0, e.prefillEnd.Sub(now)) }

// prefillBudget returns the prefill time that a new job may add without a pause
// that is too long for the active answers. All prefills within one pass add up
// to one pause, including those that have already ended. Unless the job is
// urgent, the budget keeps pauses below maxNonUrgentPause even if callers
// accept longer ones, because a slow answer holds its memory and its slot for
// longer.
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
	pass := e.profile.PassTime(n, e.summary.memoryTokens)
	e.prefills = slices.DeleteFunc(e.prefills, func(r prefill) bool { return now.Sub(r.end) > pass })
	budget := maxPause - pass - pauseMargin
	for _, r := range e.prefills {
		budget -= r.duration
	}
	if e.protectFirst {
		budget = min(budget, e.firstEventSlack(now))
	}
	return max(0, budget)
}

// primaryPrefillPending reports whether the engine still has to prefill its own
// part of a long prompt that it will answer. Parts that it prefills as a helper
// run first, so another one would delay that answer.
func (e *engine) primaryPrefillPending() bool { return e.summary.primaryPrefillPending }

// longPrefillPending reports whether the engine may still prefill a part of a
// long prompt. An engine starts with the newest part that it has as a helper,
// so another one would delay the older part by its whole duration.
func (e *engine) longPrefillPending(now time.Time) bool {
	return e.summary.longPrefillPending && now.Before(e.prefillEnd.Add(prefillEndMargin))
}

// prefillEndMargin is the time by which a prefill may end later than predicted.
const prefillEndMargin = 40 * time.Millisecond

// timeToFirstEvent predicts the time to the first event of a new answer if the
// engine prefills a part of its prompt. It includes the rest of the pass in
// progress and one pass with the prefill.
func (e *engine) timeToFirstEvent(now time.Time, part time.Duration, prompt int) time.Duration {
	n := e.activeAnswers(now)
	t := e.backlog(now) + part + e.profile.PassTime(n+1, e.summary.memoryTokens+prompt)
	if n > 0 {
		t += e.profile.PassTime(n, e.summary.memoryTokens) / 2
	}
	return time.Duration(float64(t) * e.slowdown(now))
}

// addPrefill records that the engine is assigned a prefill.
func (e *engine) addPrefill(now time.Time, part time.Duration) {
	duration := time.Duration(float64(part) * e.slowdown(now))
	e.prefillEnd = now.Add(e.backlog(now) + duration)
	e.prefillTotal += duration
	e.prefills = append(e.prefills, prefill{end: e.prefillEnd, duration: duration})
	if len(e.prefills) > maxPrefills {
		e.prefills = e.prefills[1:]
	}
}

// maxNonUrgentPause is the longest pause that may be planned while no job is
// urgent. It is slightly below the pause that callers of the longest prompts
// accept.
const maxNonUrgentPause = 680 * time.Millisecond

// maxPrefills bounds the recorded prefills of an engine.
const maxPrefills = 64

// pauseMargin is the part of each accepted pause that is reserved for delivery
// and scheduling delays.
const pauseMargin = 30 * time.Millisecond

// recordFailure keeps new work off the engine for a penalty time.
func (e *engine) recordFailure(now time.Time) {
	penalty := min(maxFailurePenalty, minFailurePenalty<<min(e.consecutiveFailures, 6))
	e.consecutiveFailures++
	if until := now.Add(penalty); until.After(e.avoidUntil) {
		e.avoidUntil = until
	}
}

// recordSuccess resets the penalty after a complete answer.
func (e *engine) recordSuccess() { e.consecutiveFailures = 0 }

// finishPrefills sets the end of all prefills to now at the latest, unless an
// assigned job still waits for its first event.
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

func (e *engine) id() gypsumshelf.ServerID { return e.state.ID }
