package schedules

import (
	"cmp"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

const (
	// shortPromptPartTime is the prefill time of one part of a short prompt. Two
	// parts fit between two events of a short answer.
	shortPromptPartTime = 70 * time.Millisecond
	// maxShortPromptHelpers bounds the helpers of a short prompt.
	maxShortPromptHelpers = 10
	// maxHelpers is the number of helpers that an engine accepts in one request.
	maxHelpers = 16
	// maxHelperBacklog is the prefill backlog from which an engine does not help
	// with a short prompt: the additional part would delay every prompt in the
	// backlog.
	maxHelperBacklog = 600 * time.Millisecond
	// maxPartTime bounds the prefill time of one part of a long prompt, because a
	// longer part blocks all other work on its engine. If there are too few
	// engines to keep equal parts below this bound, a part may take up to
	// maxPartRatio times an equal share.
	maxPartTime  = 2 * time.Second
	maxPartRatio = 1.5
	// urgentWaitFraction is the fraction of its target that a long prompt waits
	// for engines on which it causes no long pauses.
	urgentWaitFraction = 0.15
	// oversizedPromptMargin is the time by which the predicted first event of an
	// oversized prompt precedes its target. It covers the round trips of the
	// memory reservations and up to 60 ms of network delay.
	oversizedPromptMargin = 100 * time.Millisecond
	// The penalties below are added to the predicted time to the first event when
	// engines are compared. The results of the simulated loads of
	// scheduler_test.go depend little on the exact value of any one of them.
	//
	// unusedReservedPenalty is added for a short prompt on a reserved engine
	// without short answers: while it generates one, it can prefill only short
	// parts of long prompts. usedReservedPenalty is added if the engine already
	// generates short answers.
	unusedReservedPenalty = 300 * time.Millisecond
	usedReservedPenalty   = 200 * time.Millisecond
	// pausePenalty is added if answers of the engine would pause for too long.
	pausePenalty = 185 * time.Millisecond
	// remoteDataCentrePenalty is added for an engine in another data centre. It
	// stands for the additional round trips and the cost of the traffic.
	remoteDataCentrePenalty = 2 * time.Millisecond
	// perAnswerPenalty is added for each active answer of an engine. It balances
	// the answers among otherwise equal engines.
	perAnswerPenalty = 4600 * time.Microsecond
)

// maxShortPrefill returns the prefill time up to which a prompt is short, which
// means that it can be split into parts of shortPromptPartTime. Other prompts
// are long.
func (p *pool) maxShortPrefill() time.Duration {
	return shortPromptPartTime * time.Duration(1+min(maxShortPromptHelpers, max(1, len(p.sorted)/2)))
}

// candidateSet holds the engines that are available to waiting jobs. It is
// valid until the next job is placed.
type candidateSet struct {
	engines     []*engine // eligible engines, sorted by ID
	hasFreeSlot bool      // at least one of the engines has a free slot
	// reserved is the number of engines at the beginning that are reserved for long
	// prompts, and firstUnreserved the ID of the next one.
	reserved        int
	firstUnreserved gypsumshelf.ServerID
}

// newCandidateSet returns a set of engines, which are sorted by ID. No engine is reserved
// without recent long prompts.
func (p *pool) newCandidateSet(engines []*engine) candidateSet {
	set := candidateSet{engines: engines, reserved: max(0, min(p.reservedCount(), len(engines)-1))}
	if set.reserved > 0 {
		set.firstUnreserved = engines[set.reserved].id()
	}
	return set
}

// restrict returns a set with some of the engines. The same ones are reserved.
func (s candidateSet) restrict(engines []*engine) candidateSet {
	s.engines, s.reserved = engines, 0
	for _, e := range engines {
		if s.isReserved(e) {
			s.reserved++
		}
	}
	return s
}

// isReserved reports whether an engine of the set is reserved for long prompts.
func (s candidateSet) isReserved(e *engine) bool { return e.id() < s.firstUnreserved }

// longPromptEngines returns the engines that a long prompt may use: the reserved ones, or
// all engines if none is reserved.
func (s candidateSet) longPromptEngines() []*engine {
	if s.reserved > 0 {
		return s.engines[:s.reserved]
	}
	return s.engines
}

// candidateSet returns the engines that are available to a job that avoids some
// engines.
func (p *pool) candidateSet(now time.Time, avoid []gypsumshelf.ServerID) candidateSet {
	set := p.newCandidateSet(p.eligibleEngines(now, avoid))
	for _, e := range set.engines {
		if e.activeAnswers(now) < p.profile.Slots {
			set.hasFreeSlot = true
			break
		}
	}
	return set
}

// place returns a placement for a job, or nil if the job has to wait.
func (p *pool) place(now time.Time, j *jobState, candidates candidateSet) *Placement {
	if !candidates.hasFreeSlot {
		return nil
	}
	if j.long {
		if p.waitsForBurst(now, j) {
			return nil
		}
		candidates = p.newCandidateSet(slices.DeleteFunc(slices.Clone(candidates.engines), func(e *engine) bool { return e.mayHaveUnreportedLoad(now) }))
	}
	if j.request.Prompt+j.request.Answer > int(plannedMemoryFraction*float64(p.profile.MemoryTokens)) {
		return p.placeWithinReach(now, j, candidates, p.placeOversized)
	}
	if j.long {
		return p.placeWithinReach(now, j, candidates, p.placeLong)
	}
	return p.placeShortByPath(now, j, candidates)
}

// eligibleEngines returns the engines that a job may use, sorted by ID. It
// includes engines with recent failures if most engines are unusable, because
// the fault is then probably not theirs. It leaves out slow engines if at least
// half of the usable engines are not slow.
func (p *pool) eligibleEngines(now time.Time, avoid []gypsumshelf.ServerID) []*engine {
	var usable, suspects []*engine
	atPace := 0 // engines without recent failures that have as many requests as their pace allows
	for _, e := range p.sorted {
		switch {
		case slices.Contains(avoid, e.id()), !e.hasRoom(now), p.awaitsReport(now, e):
		case e.usable(now):
			usable = append(usable, e)
		case !e.isCold(now) && e.keepsPace(now):
			suspects = append(suspects, e)
		case !now.Before(e.avoidUntil) && !e.keepsPace(now):
			atPace++
		}
	}
	if (len(usable)+atPace)*2 < len(p.sorted) {
		usable = append(usable, suspects...)
		slices.SortFunc(usable, func(a, b *engine) int { return cmp.Compare(a.id(), b.id()) })
	}
	fast := slices.DeleteFunc(slices.Clone(usable), func(e *engine) bool { return e.slowdown(now) >= slowdownThreshold })
	if len(fast)*2 >= len(usable) {
		return withoutBusy(now, fast)
	}
	return withoutBusy(now, usable)
}

// placeShort selects the engine with the lowest predicted time to the first
// event, plus penalties, and adds helpers for all but the shortest prompts.
func (p *pool) placeShort(now time.Time, j *jobState, candidates candidateSet) *Placement {
	engines := candidates.engines
	parts := 1 + min(maxShortPromptHelpers, int(j.prefillTime/shortPromptPartTime))
	var best *engine
	var bestScore, bestPredicted time.Duration
	for _, e := range engines {
		if e.activeAnswers(now) >= p.profile.Slots || e.freeTokens() < j.request.Prompt+j.request.Answer {
			continue
		}
		part := j.prefillTime / time.Duration(parts)
		predicted := e.timeToFirstEvent(now, part, j.request.Prompt)
		score := predicted + e.tieBreak + time.Duration(e.activeAnswers(now))*perAnswerPenalty
		switch {
		case !candidates.isReserved(e), e.isUnproven():
		case e.summary.shortAnswers == 0:
			score += unusedReservedPenalty
		default:
			score += usedReservedPenalty
		}
		if e.prefillBudget(now, true) < part {
			score += pausePenalty
		}
		if e.state.DataCentre != j.request.DataCentre {
			score += remoteDataCentrePenalty
		}
		if best == nil || score < bestScore {
			best, bestScore, bestPredicted = e, score, predicted
		}
	}
	if best == nil || now.Add(bestPredicted).After(j.due(j.request.Patience)) {
		return nil
	}
	placement := &Placement{Server: best.id(), First: bestPredicted}
	for k := parts - 1; k > 0; k-- {
		eligible := shortPromptHelpers(now, p.withoutLost(now, engines, best), best, j.prefillTime/time.Duration(k+1))
		if len(eligible) >= k {
			placement.Helpers = serverIDs(eligible[:k])
			break
		}
	}
	return placement
}

// shortPromptHelpers returns the engines that can prefill a part without long
// pauses in their answers, sorted by backlog.
func shortPromptHelpers(now time.Time, engines []*engine, primary *engine, part time.Duration) []*engine {
	var eligible []*engine
	for _, e := range engines {
		if e != primary && !e.primaryPrefillPending() && e.prefillBudget(now, true) >= part && e.backlog(now) < maxHelperBacklog && e.slowdown(now) < slowdownThreshold && !e.isCold(now) && !e.isUnproven() {
			eligible = append(eligible, e)
		}
	}
	slices.SortStableFunc(eligible, func(a, b *engine) int { return cmp.Compare(a.backlog(now), b.backlog(now)) })
	return eligible
}

func serverIDs(engines []*engine) []gypsumshelf.ServerID {
	var out []gypsumshelf.ServerID
	for _, e := range engines {
		out = append(out, e.id())
	}
	return out
}

// prefillCandidate is an engine that may prefill a part of a long prompt, with
// the values on which its selection depends.
type prefillCandidate struct {
	engine   *engine
	backlog  time.Duration
	budget   time.Duration
	slowdown float64
	// neededIn is the time until the forecast of short answers needs the engine, if
	// isNeeded.
	neededIn time.Duration
	isNeeded bool
}

// canPrefill reports whether the engine can prefill a part without long pauses, and before
// short answers need it.
func (c *prefillCandidate) canPrefill(part time.Duration) bool {
	duration := time.Duration(float64(part) * c.slowdown)
	return c.budget >= duration && (!c.isNeeded || c.backlog+duration <= c.neededIn)
}

// prefillCandidates returns the engines that may prefill parts of a long
// prompt, sorted by backlog, and the number of engines for long prompts,
// including those that are not available at present.
func (p *pool) prefillCandidates(now time.Time, set candidateSet, urgent bool) (candidates []prefillCandidate, total int) {
	usable := set.longPromptEngines()
	for i, e := range usable {
		if !e.primaryPrefillPending() && !e.longPrefillPending(now) && !e.isCold(now) && p.isProven(e) {
			c := prefillCandidate{engine: e, backlog: e.backlog(now), budget: e.prefillBudget(now, urgent), slowdown: e.slowdown(now)}
			if !urgent {
				c.neededIn, c.isNeeded = p.neededIn(i)
			}
			candidates = append(candidates, c)
		}
	}
	slices.SortStableFunc(candidates, func(a, b prefillCandidate) int { return cmp.Compare(a.backlog, b.backlog) })
	return candidates, len(usable)
}

// isUrgent reports whether a long prompt has waited so long that it may delay
// other answers up to the longest pause that their callers accept.
func (p *pool) isUrgent(now time.Time, j *jobState) bool {
	return now.Sub(j.arrived) > time.Duration(urgentWaitFraction*float64(j.request.Target))
}

// placeLong splits the prefill among the number of engines that gives the
// earliest first event without long pauses in their answers.
func (p *pool) placeLong(now time.Time, j *jobState, set candidateSet) *Placement {
	candidates, total := p.prefillCandidates(now, set, p.isUrgent(now, j))
	maxPart := max(maxPartTime, time.Duration(maxPartRatio*float64(j.prefillTime)/float64(max(1, total))))
	var bestGroup []*engine
	var bestEnd time.Duration
	for k := 1; k <= min(len(candidates), maxHelpers+1); k++ {
		part := j.prefillTime / time.Duration(k)
		if part > maxPart {
			continue
		}
		if part < shortPromptPartTime && bestGroup != nil {
			break
		}
		group, end := p.selectGroup(now, candidates, j, k, part)
		if group != nil && (bestGroup == nil || end < bestEnd) {
			bestGroup, bestEnd = group, end
		}
	}
	if bestGroup == nil {
		return nil
	}
	return &Placement{Server: bestGroup[0].id(), Helpers: serverIDs(bestGroup[1:]), First: bestEnd + p.profile.PassTime(1, j.request.Prompt)}
}

// selectGroup returns k engines that can prefill one part each, the primary
// first, and the time until all of them have finished. It returns nil if there
// are too few engines.
func (p *pool) selectGroup(now time.Time, candidates []prefillCandidate, j *jobState, k int, part time.Duration) ([]*engine, time.Duration) {
	eligible := make([]prefillCandidate, 0, len(candidates))
	engines := make([]*engine, 0, len(candidates))
	for _, c := range candidates {
		if c.canPrefill(part) {
			eligible = append(eligible, c)
			engines = append(engines, c.engine)
		}
	}
	if len(eligible) < k {
		return nil, 0
	}
	primary := p.selectPrimary(now, engines, j.request.Prompt+j.request.Answer)
	if primary == nil {
		return nil, 0
	}
	group := []*engine{primary}
	var end time.Duration
	maxSlowdown := 1.0
	for _, c := range eligible {
		if c.engine != primary && len(group) == k {
			continue
		}
		if c.engine != primary {
			group = append(group, c.engine)
		}
		end = max(end, c.backlog)
		maxSlowdown = max(maxSlowdown, c.slowdown)
	}
	return group, end + time.Duration(float64(part)*maxSlowdown)
}

// selectPrimary returns an engine with a free slot and enough memory for an
// answer, or nil. It prefers the engine with the least free memory, which
// concentrates the answers to long prompts on few engines and leaves the others
// free for prefill.
func (p *pool) selectPrimary(now time.Time, engines []*engine, tokens int) *engine {
	var best *engine
	for _, e := range engines {
		if e.activeAnswers(now) >= p.profile.Slots || e.freeTokens() < tokens {
			continue
		}
		if best == nil || e.freeTokens() < best.freeTokens() {
			best = e
		}
	}
	return best
}

// placeOversized places a prompt that exceeds the memory of one engine. Memory
// is reserved on the helpers and the primary stores the rest. The placement
// uses the fewest engines that meet the target: the total prefill work does not
// depend on their number, and a smaller group becomes free sooner.
func (p *pool) placeOversized(now time.Time, j *jobState, set candidateSet) *Placement {
	candidates, total := p.prefillCandidates(now, set, p.isUrgent(now, j))
	limit := j.due(j.request.Target).Sub(now)
	if j.prefillTime/time.Duration(min(max(2, total), maxHelpers+1)) > limit {
		// The target cannot be met, so the caller's patience is the limit. Half of it
		// is left in reserve for engines that are slower than predicted.
		limit = j.due(j.request.Patience).Sub(now) / 2
	}
	margin := p.profile.PassTime(1, j.request.Prompt) + oversizedPromptMargin
	if placement := p.placeOnFewest(now, j, candidates, limit-margin); placement != nil {
		return placement
	}
	return p.placeOnFewest(now, j, candidates, limit)
}

// placeOnFewest places an oversized prompt on the smallest group of engines
// that prefill their parts within the limit. It returns nil if there is none.
func (p *pool) placeOnFewest(now time.Time, j *jobState, candidates []prefillCandidate, limit time.Duration) *Placement {
	for k := 2; k <= min(len(candidates), maxHelpers+1); k++ {
		part := j.prefillTime / time.Duration(k)
		var eligible []*engine
		for _, c := range candidates {
			if len(eligible) < k && c.canPrefill(part) && c.backlog+part <= limit {
				eligible = append(eligible, c.engine)
			}
		}
		if len(eligible) < k {
			continue
		}
		if placement := p.placeAcross(now, j, eligible, part); placement != nil {
			return placement
		}
	}
	return nil
}

// placeAcross returns the placement of an oversized prompt on engines that
// prefill one part each, or nil if the primary has no free slot or the free
// memory of the engines is too small.
func (p *pool) placeAcross(now time.Time, j *jobState, engines []*engine, part time.Duration) *Placement {
	byFreeTokens := slices.Clone(engines)
	slices.SortStableFunc(byFreeTokens, func(a, b *engine) int { return cmp.Compare(b.freeTokens(), a.freeTokens()) })
	primary := byFreeTokens[0]
	if primary.activeAnswers(now) >= p.profile.Slots {
		return nil
	}
	remaining := j.request.Prompt + j.request.Answer - primary.freeTokens()
	placement := &Placement{Server: primary.id(), Helpers: serverIDs(byFreeTokens[1:]), First: part + p.profile.PassTime(1, j.request.Prompt)}
	for _, e := range byFreeTokens[1:] {
		if remaining <= 0 {
			break
		}
		if tokens := min(remaining, e.freeTokens()); tokens > 0 {
			placement.Holds = append(placement.Holds, Hold{Server: e.id(), Tokens: tokens})
			remaining -= tokens
		}
	}
	if remaining > 0 {
		return nil
	}
	for _, e := range byFreeTokens {
		placement.First = max(placement.First, e.backlog(now)+part)
	}
	return placement
}
