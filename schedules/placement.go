package schedules

import (
	"cmp"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

const (
	// lightPart is the part of a light prompt that one engine reads: two of them
	// fit between two events of a short answer.
	shortPromptPartTime = 70 * time.Millisecond
	// lightHelpers bounds the engines that share a light prompt.
	maxShortPromptHelpers = 10
	// maxHelpers is the number of helpers that an engine accepts in one request.
	maxHelpers = 16
	// maxAhead is the unread part of other prompts from which an engine does not
	// help with a light one: its part would hold all of them up.
	maxHelperBacklog = 600 * time.Millisecond
	// maxPart is the longest part of a heavy prompt that one engine reads while
	// others of the lane could share it: a longer one keeps the engine from
	// everything else for too long. Where the lane is so small that equal parts
	// are longer, parts may be partSpread times as long as those.
	maxPartTime  = 2 * time.Second
	maxPartRatio = 1.5
	// urgentShare is the part of its target that a heavy prompt waits for
	// engines whose answers it does not disturb.
	urgentWaitFraction = 0.15
	// hugeMargin is the time by which a huge prompt is planned to be in time. Its
	// reservations take round trips, and links add up to 60 ms.
	oversizedPromptMargin = 100 * time.Millisecond
	// The times below are added to predicted times to compare engines. Those up
	// to perWriter were found by a search over the simulated loads of
	// scheduler_test.go, whose result depends little on any one of them.

	// cleanLane is added to the predicted time of a light prompt on an engine that
	// is kept for heavy ones and writes no light answer yet: for as long as it
	// does, it can read only short parts. usedLane is added when it does already.
	unusedReservedPenalty = 300 * time.Millisecond
	usedReservedPenalty   = 200 * time.Millisecond
	// disturbance is added when an engine's answers would pause for too long.
	pausePenalty = 185 * time.Millisecond
	// otherDataCentre is added for an engine in another data centre: a round
	// trip each way, and bytes that are paid for.
	remoteDataCentrePenalty = 2 * time.Millisecond
	// perWriter spreads answers over engines that are otherwise alike.
	perAnswerPenalty = 4600 * time.Microsecond
)

// lightRead is the longest reading time of a prompt that can be shared in parts
// of lightPart; longer ones are heavy.
func (p *pool) maxShortPrefill() time.Duration {
	return shortPromptPartTime * time.Duration(1+min(maxShortPromptHelpers, max(1, len(p.sorted)/2)))
}

// options is what a pool has for waiting jobs until the next one is placed.
type candidateSet struct {
	engines     []*engine // that jobs may use, in the order of IDs
	hasFreeSlot bool      // one of them has a free slot
}

// options returns what there is for a job that avoids some engines.
func (p *pool) candidateSet(now time.Time, avoid []gypsumshelf.ServerID) candidateSet {
	o := candidateSet{engines: p.eligibleEngines(now, avoid)}
	for _, e := range o.engines {
		if e.activeAnswers(now) < p.profile.Slots {
			o.hasFreeSlot = true
			break
		}
	}
	return o
}

// choose returns where a job runs now, nil when it should wait.
func (p *pool) place(now time.Time, j *jobState, candidates candidateSet) *Placement {
	if !candidates.hasFreeSlot {
		return nil
	}
	engines := candidates.engines
	if j.long {
		engines = slices.Clone(engines)
		engines = slices.DeleteFunc(engines, func(e *engine) bool { return e.mayHaveUnreportedLoad(now) })
	}
	if j.request.Prompt+j.request.Answer > int(plannedMemoryFraction*float64(p.profile.MemoryTokens)) {
		return p.placeOversized(now, j, engines)
	}
	if j.long {
		return p.placeLong(now, j, engines)
	}
	return p.placeShort(now, j, engines)
}

// candidates returns the engines that a job may use, in the order of IDs. When
// most engines are suspects, the fault is probably not theirs and all are used.
func (p *pool) eligibleEngines(now time.Time, avoid []gypsumshelf.ServerID) []*engine {
	var usable, suspects []*engine
	for _, e := range p.sorted {
		switch {
		case slices.Contains(avoid, e.id()):
		case e.usable(now):
			usable = append(usable, e)
		case !e.isCold(now):
			suspects = append(suspects, e)
		}
	}
	if len(usable)*2 < len(p.sorted) {
		usable = append(usable, suspects...)
		slices.SortFunc(usable, func(a, b *engine) int { return cmp.Compare(a.id(), b.id()) })
	}
	fast := slices.DeleteFunc(slices.Clone(usable), func(e *engine) bool { return e.slowdown(now) >= slowdownThreshold })
	if len(fast)*2 >= len(usable) {
		return fast
	}
	return usable
}

// heavyLane returns the engines that are kept for heavy prompts, which are none
// without demand for them.
func (p *pool) reservedEngines(engines []*engine) []*engine {
	return engines[:max(0, min(p.reservedCount(), len(engines)-1))]
}

// heavyEngines returns the engines that a heavy prompt may use: those of the
// lane, or all while there is no lane.
func (p *pool) longPromptEngines(engines []*engine) []*engine {
	if lane := p.reservedEngines(engines); len(lane) > 0 {
		return lane
	}
	return engines
}

// chooseLight takes the engine that is predicted to deliver the first event
// earliest, with helpers for all but the shortest prompts.
func (p *pool) placeShort(now time.Time, j *jobState, engines []*engine) *Placement {
	reserved := len(p.reservedEngines(engines))
	parts := 1 + min(maxShortPromptHelpers, int(j.prefillTime/shortPromptPartTime))
	var best *engine
	var bestScore, bestPredicted time.Duration
	for i, e := range engines {
		if e.activeAnswers(now) >= p.profile.Slots || e.freeTokens() < j.request.Prompt+j.request.Answer {
			continue
		}
		part := j.prefillTime / time.Duration(parts)
		predicted := e.timeToFirstEvent(now, part, j.request.Prompt)
		score := predicted + time.Duration(e.activeAnswers(now))*perAnswerPenalty
		switch {
		case i >= reserved:
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
		eligible := shortPromptHelpers(now, engines, best, j.prefillTime/time.Duration(k+1))
		if len(eligible) >= k {
			placement.Helpers = serverIDs(eligible[:k])
			break
		}
	}
	return placement
}

// readers returns the engines that can read a part without disturbing what
// they write, the least busy first.
func shortPromptHelpers(now time.Time, engines []*engine, primary *engine, part time.Duration) []*engine {
	var eligible []*engine
	for _, e := range engines {
		if e != primary && !e.primaryPrefillPending() && e.prefillBudget(now, true) >= part && e.backlog(now) < maxHelperBacklog && e.slowdown(now) < slowdownThreshold && !e.isCold(now) {
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

// reader is an engine of the heavy lane with what decides about a heavy prompt.
type prefillCandidate struct {
	engine   *engine
	backlog  time.Duration
	budget   time.Duration
	slowdown float64
}

// heavyReaders returns the engines that may read parts of a heavy prompt, the
// least busy first.
func (p *pool) prefillCandidates(now time.Time, engines []*engine, urgent bool) (candidates []prefillCandidate, total int) {
	usable := p.longPromptEngines(engines)
	for _, e := range usable {
		if !e.primaryPrefillPending() && !e.longPrefillPending(now) && !e.isCold(now) {
			candidates = append(candidates, prefillCandidate{engine: e, backlog: e.backlog(now), budget: e.prefillBudget(now, urgent), slowdown: e.slowdown(now)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b prefillCandidate) int { return cmp.Compare(a.backlog, b.backlog) })
	return candidates, len(usable)
}

// urgent reports whether a heavy prompt has waited so long that answers may
// pause for it for as long as their callers accept.
func (p *pool) isUrgent(now time.Time, j *jobState) bool {
	return now.Sub(j.arrived) > time.Duration(urgentWaitFraction*float64(j.request.Target))
}

// chooseHeavy shares the reading over as many engines as bring the first event
// earlier, without disturbing answers on them.
func (p *pool) placeLong(now time.Time, j *jobState, engines []*engine) *Placement {
	candidates, total := p.prefillCandidates(now, engines, p.isUrgent(now, j))
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
	return &Placement{Server: bestGroup[0].id(), Helpers: serverIDs(bestGroup[1:]), First: bestEnd + p.profile.Pass(1, j.request.Prompt)}
}

// group returns k engines that can read a part each, the writer first, and the
// time until they have read it.
func (p *pool) selectGroup(now time.Time, candidates []prefillCandidate, j *jobState, k int, part time.Duration) ([]*engine, time.Duration) {
	eligible := make([]prefillCandidate, 0, len(candidates))
	engines := make([]*engine, 0, len(candidates))
	for _, c := range candidates {
		if c.budget >= time.Duration(float64(part)*c.slowdown) {
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

// writer returns an engine that has a slot and memory for an answer. Answers to
// heavy prompts are gathered on few engines, so that the others can read without
// disturbing any.
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

// chooseHuge places a prompt that no engine's memory holds: its writer keeps
// what is left after memory on other engines is reserved, largest first. It uses
// the fewest engines that bring the first event in time, since the reading takes
// as much of all engines together however many there are, and fewer are free at
// once sooner.
func (p *pool) placeOversized(now time.Time, j *jobState, engines []*engine) *Placement {
	candidates, total := p.prefillCandidates(now, engines, p.isUrgent(now, j))
	limit := j.due(j.request.Target).Sub(now)
	if j.prefillTime/time.Duration(min(max(2, total), maxHelpers+1)) > limit {
		// It is late: the caller's patience counts, of which a half is left for
		// engines that turn out slower.
		limit = j.due(j.request.Patience).Sub(now) / 2
	}
	margin := p.profile.Pass(1, j.request.Prompt) + oversizedPromptMargin
	if placement := p.placeOnFewest(now, j, candidates, limit-margin); placement != nil {
		return placement
	}
	return p.placeOnFewest(now, j, candidates, limit)
}

// fewest places a huge prompt on the fewest engines that read their parts
// within a limit.
func (p *pool) placeOnFewest(now time.Time, j *jobState, candidates []prefillCandidate, limit time.Duration) *Placement {
	for k := 2; k <= min(len(candidates), maxHelpers+1); k++ {
		part := j.prefillTime / time.Duration(k)
		var eligible []*engine
		for _, c := range candidates {
			if len(eligible) < k && c.budget >= time.Duration(float64(part)*c.slowdown) && c.backlog+part <= limit {
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

// spread returns the placement of a huge prompt on engines that each read a
// part, nil when their memory does not hold it.
func (p *pool) placeAcross(now time.Time, j *jobState, engines []*engine, part time.Duration) *Placement {
	byFreeTokens := slices.Clone(engines)
	slices.SortStableFunc(byFreeTokens, func(a, b *engine) int { return cmp.Compare(b.freeTokens(), a.freeTokens()) })
	primary := byFreeTokens[0]
	if primary.activeAnswers(now) >= p.profile.Slots {
		return nil
	}
	remaining := j.request.Prompt + j.request.Answer - primary.freeTokens()
	placement := &Placement{Server: primary.id(), Helpers: serverIDs(byFreeTokens[1:]), First: part + p.profile.Pass(1, j.request.Prompt)}
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
