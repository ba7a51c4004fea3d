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
	lightPart = 70 * time.Millisecond
	// lightHelpers bounds the engines that share a light prompt.
	lightHelpers = 10
	// maxHelpers is the number of helpers that an engine accepts in one request.
	maxHelpers = 16
	// maxAhead is the unread part of other prompts from which an engine does not
	// help with a light one: its part would hold all of them up.
	maxAhead = 600 * time.Millisecond
	// maxPart is the longest part of a heavy prompt that one engine reads while
	// others of the lane could share it: a longer one keeps the engine from
	// everything else for too long. Where the lane is so small that equal parts
	// are longer, parts may be partSpread times as long as those.
	maxPart    = 2 * time.Second
	partSpread = 1.5
	// urgentShare is the part of its target that a heavy prompt waits for
	// engines whose answers it does not disturb.
	urgentShare = 0.15
	// hugeMargin is the time by which a huge prompt is planned to be in time. Its
	// reservations take round trips, and links add up to 60 ms.
	hugeMargin = 100 * time.Millisecond
	// The times below are added to predicted times to compare engines. Those up
	// to perWriter were found by a search over the simulated loads of
	// scheduler_test.go, whose result depends little on any one of them.

	// cleanLane is added to the predicted time of a light prompt on an engine that
	// is kept for heavy ones and writes no light answer yet: for as long as it
	// does, it can read only short parts. usedLane is added when it does already.
	cleanLane = 300 * time.Millisecond
	usedLane  = 200 * time.Millisecond
	// disturbance is added when an engine's answers would pause for too long.
	disturbance = 185 * time.Millisecond
	// otherDataCentre is added for an engine in another data centre: a round
	// trip each way, and bytes that are paid for.
	otherDataCentre = 2 * time.Millisecond
	// perWriter spreads answers over engines that are otherwise alike.
	perWriter = 4600 * time.Microsecond
)

// lightRead is the longest reading time of a prompt that can be shared in parts
// of lightPart; longer ones are heavy.
func (p *pool) lightRead() time.Duration {
	return lightPart * time.Duration(1+min(lightHelpers, max(1, len(p.order)/2)))
}

// options is what a pool has for waiting jobs until the next one is placed.
type options struct {
	engines []*engine // that jobs may use, in the order of IDs
	slot    bool      // one of them has a free slot
}

// options returns what there is for a job that avoids some engines.
func (p *pool) options(now time.Time, avoid []gypsumshelf.ServerID) options {
	o := options{engines: p.candidates(now, avoid)}
	for _, e := range o.engines {
		if e.writers(now) < p.figures.Slots {
			o.slot = true
			break
		}
	}
	return o
}

// choose returns where a job runs now, nil when it should wait.
func (p *pool) choose(now time.Time, r *run, o options) *Placement {
	if !o.slot {
		return nil
	}
	engines := o.engines
	if r.heavy {
		engines = slices.Clone(engines)
		engines = slices.DeleteFunc(engines, func(e *engine) bool { return e.unseen(now) })
	}
	if r.job.Prompt+r.job.Answer > int(memoryShare*float64(p.figures.MemoryTokens)) {
		return p.chooseHuge(now, r, engines)
	}
	if r.heavy {
		return p.chooseHeavy(now, r, engines)
	}
	return p.chooseLight(now, r, engines)
}

// candidates returns the engines that a job may use, in the order of IDs. When
// most engines are suspects, the fault is probably not theirs and all are used.
func (p *pool) candidates(now time.Time, avoid []gypsumshelf.ServerID) []*engine {
	var usable, suspects []*engine
	for _, e := range p.order {
		switch {
		case slices.Contains(avoid, e.id()):
		case e.usable(now):
			usable = append(usable, e)
		case !e.isCold(now):
			suspects = append(suspects, e)
		}
	}
	if len(usable)*2 < len(p.order) {
		usable = append(usable, suspects...)
		slices.SortFunc(usable, func(a, b *engine) int { return cmp.Compare(a.id(), b.id()) })
	}
	fast := slices.DeleteFunc(slices.Clone(usable), func(e *engine) bool { return e.currentPace(now) >= slowPace })
	if len(fast)*2 >= len(usable) {
		return fast
	}
	return usable
}

// heavyLane returns the engines that are kept for heavy prompts, which are none
// without demand for them.
func (p *pool) heavyLane(engines []*engine) []*engine {
	return engines[:max(0, min(p.laneSize(), len(engines)-1))]
}

// heavyEngines returns the engines that a heavy prompt may use: those of the
// lane, or all while there is no lane.
func (p *pool) heavyEngines(engines []*engine) []*engine {
	if lane := p.heavyLane(engines); len(lane) > 0 {
		return lane
	}
	return engines
}

// chooseLight takes the engine that is predicted to deliver the first event
// earliest, with helpers for all but the shortest prompts.
func (p *pool) chooseLight(now time.Time, r *run, engines []*engine) *Placement {
	lane := len(p.heavyLane(engines))
	parts := 1 + min(lightHelpers, int(r.alone/lightPart))
	var best *engine
	var bestScore, first time.Duration
	for i, e := range engines {
		if e.writers(now) >= p.figures.Slots || e.free() < r.job.Prompt+r.job.Answer {
			continue
		}
		part := r.alone / time.Duration(parts)
		predicted := e.firstEvent(now, part, r.job.Prompt)
		score := predicted + time.Duration(e.writers(now))*perWriter
		switch {
		case i >= lane:
		case e.sum.light == 0:
			score += cleanLane
		default:
			score += usedLane
		}
		if e.allowance(now, true) < part {
			score += disturbance
		}
		if e.state.DataCentre != r.job.DataCentre {
			score += otherDataCentre
		}
		if best == nil || score < bestScore {
			best, bestScore, first = e, score, predicted
		}
	}
	if best == nil || now.Add(first).After(r.due(r.job.Patience)) {
		return nil
	}
	placement := &Placement{Server: best.id(), First: first}
	for k := parts - 1; k > 0; k-- {
		able := readers(now, engines, best, r.alone/time.Duration(k+1))
		if len(able) >= k {
			placement.Helpers = ids(able[:k])
			break
		}
	}
	return placement
}

// readers returns the engines that can read a part without disturbing what
// they write, the least busy first.
func readers(now time.Time, engines []*engine, writer *engine, part time.Duration) []*engine {
	var able []*engine
	for _, e := range engines {
		if e != writer && !e.committed() && e.allowance(now, true) >= part && e.backlog(now) < maxAhead && e.currentPace(now) < slowPace && !e.isCold(now) {
			able = append(able, e)
		}
	}
	slices.SortStableFunc(able, func(a, b *engine) int { return cmp.Compare(a.backlog(now), b.backlog(now)) })
	return able
}

func ids(engines []*engine) []gypsumshelf.ServerID {
	var out []gypsumshelf.ServerID
	for _, e := range engines {
		out = append(out, e.id())
	}
	return out
}

// reader is an engine of the heavy lane with what decides about a heavy prompt.
type reader struct {
	engine    *engine
	backlog   time.Duration
	allowance time.Duration
	pace      float64
}

// heavyReaders returns the engines that may read parts of a heavy prompt, the
// least busy first.
func (p *pool) heavyReaders(now time.Time, engines []*engine, urgent bool) (readers []reader, lane int) {
	heavy := p.heavyEngines(engines)
	for _, e := range heavy {
		if !e.committed() && !e.busy(now) && !e.isCold(now) {
			readers = append(readers, reader{engine: e, backlog: e.backlog(now), allowance: e.allowance(now, urgent), pace: e.currentPace(now)})
		}
	}
	slices.SortStableFunc(readers, func(a, b reader) int { return cmp.Compare(a.backlog, b.backlog) })
	return readers, len(heavy)
}

// urgent reports whether a heavy prompt has waited so long that answers may
// pause for it for as long as their callers accept.
func (p *pool) urgent(now time.Time, r *run) bool {
	return now.Sub(r.arrived) > time.Duration(urgentShare*float64(r.job.Target))
}

// chooseHeavy shares the reading over as many engines as bring the first event
// earlier, without disturbing answers on them.
func (p *pool) chooseHeavy(now time.Time, r *run, engines []*engine) *Placement {
	readers, lane := p.heavyReaders(now, engines, p.urgent(now, r))
	longest := max(maxPart, time.Duration(partSpread*float64(r.alone)/float64(max(1, lane))))
	var best []*engine
	var finish time.Duration
	for k := 1; k <= min(len(readers), maxHelpers+1); k++ {
		part := r.alone / time.Duration(k)
		if part > longest {
			continue
		}
		if part < lightPart && best != nil {
			break
		}
		group, end := p.group(now, readers, r, k, part)
		if group != nil && (best == nil || end < finish) {
			best, finish = group, end
		}
	}
	if best == nil {
		return nil
	}
	return &Placement{Server: best[0].id(), Helpers: ids(best[1:]), First: finish + p.figures.Pass(1, r.job.Prompt)}
}

// group returns k engines that can read a part each, the writer first, and the
// time until they have read it.
func (p *pool) group(now time.Time, readers []reader, r *run, k int, part time.Duration) ([]*engine, time.Duration) {
	able := make([]reader, 0, len(readers))
	engines := make([]*engine, 0, len(readers))
	for _, c := range readers {
		if c.allowance >= time.Duration(float64(part)*c.pace) {
			able = append(able, c)
			engines = append(engines, c.engine)
		}
	}
	if len(able) < k {
		return nil, 0
	}
	writer := p.writer(now, engines, r.job.Prompt+r.job.Answer)
	if writer == nil {
		return nil, 0
	}
	group := []*engine{writer}
	var end time.Duration
	slowest := 1.0
	for _, c := range able {
		if c.engine != writer && len(group) == k {
			continue
		}
		if c.engine != writer {
			group = append(group, c.engine)
		}
		end = max(end, c.backlog)
		slowest = max(slowest, c.pace)
	}
	return group, end + time.Duration(float64(part)*slowest)
}

// writer returns an engine that has a slot and memory for an answer. Answers to
// heavy prompts are gathered on few engines, so that the others can read without
// disturbing any.
func (p *pool) writer(now time.Time, engines []*engine, tokens int) *engine {
	var best *engine
	for _, e := range engines {
		if e.writers(now) >= p.figures.Slots || e.free() < tokens {
			continue
		}
		if best == nil || e.free() < best.free() {
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
func (p *pool) chooseHuge(now time.Time, r *run, engines []*engine) *Placement {
	readers, lane := p.heavyReaders(now, engines, p.urgent(now, r))
	limit := r.due(r.job.Target).Sub(now)
	if r.alone/time.Duration(min(max(2, lane), maxHelpers+1)) > limit {
		// It is late: the caller's patience counts, of which a half is left for
		// engines that turn out slower.
		limit = r.due(r.job.Patience).Sub(now) / 2
	}
	margin := p.figures.Pass(1, r.job.Prompt) + hugeMargin
	if placement := p.fewest(now, r, readers, limit-margin); placement != nil {
		return placement
	}
	return p.fewest(now, r, readers, limit)
}

// fewest places a huge prompt on the fewest engines that read their parts
// within a limit.
func (p *pool) fewest(now time.Time, r *run, readers []reader, limit time.Duration) *Placement {
	for k := 2; k <= min(len(readers), maxHelpers+1); k++ {
		part := r.alone / time.Duration(k)
		var able []*engine
		for _, c := range readers {
			if len(able) < k && c.allowance >= time.Duration(float64(part)*c.pace) && c.backlog+part <= limit {
				able = append(able, c.engine)
			}
		}
		if len(able) < k {
			continue
		}
		if placement := p.spread(now, r, able, part); placement != nil {
			return placement
		}
	}
	return nil
}

// spread returns the placement of a huge prompt on engines that each read a
// part, nil when their memory does not hold it.
func (p *pool) spread(now time.Time, r *run, engines []*engine, part time.Duration) *Placement {
	order := slices.Clone(engines)
	slices.SortStableFunc(order, func(a, b *engine) int { return cmp.Compare(b.free(), a.free()) })
	writer := order[0]
	if writer.writers(now) >= p.figures.Slots {
		return nil
	}
	rest := r.job.Prompt + r.job.Answer - writer.free()
	placement := &Placement{Server: writer.id(), Helpers: ids(order[1:]), First: part + p.figures.Pass(1, r.job.Prompt)}
	for _, e := range order[1:] {
		if rest <= 0 {
			break
		}
		if take := min(rest, e.free()); take > 0 {
			placement.Holds = append(placement.Holds, Hold{Server: e.id(), Tokens: take})
			rest -= take
		}
	}
	if rest > 0 {
		return nil
	}
	for _, e := range order {
		placement.First = max(placement.First, e.backlog(now)+part)
	}
	return placement
}
