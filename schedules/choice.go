package schedules

import (
	"cmp"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

const (
	// shortRead is the longest reading time of a prompt that may share an engine
	// with answers in progress: it fits between two events of a short answer.
	shortRead = 130 * time.Millisecond
	// shortPart is the part of a short prompt that one engine reads; more is
	// shared with helpers, so that two prompts fit into one pause.
	shortPart = 45 * time.Millisecond
	// maxHelpers is the number of helpers that an engine accepts in one request.
	maxHelpers = 16
	// maxAhead is the reading that is given to an engine in advance. More would
	// fix the order of long prompts too early, less would leave engines idle
	// between two decisions.
	maxAhead = 250 * time.Millisecond
	// comfortShare is the part of the time left to the target within which more
	// helpers bring the caller nothing.
	comfortShare = 0.2
	// urgentShare is the part of its target that a long prompt waits for engines
	// without short answers, before it disturbs those.
	urgentShare = 0.3
	// otherLane is added to the predicted time of a short prompt on an engine
	// that is kept for long ones.
	otherLane = 150 * time.Millisecond
	// otherDataCentre is added for an engine in another data centre: a round
	// trip each way, and bytes that are paid for.
	otherDataCentre = 2 * time.Millisecond
	// perWriter spreads answers over engines that are otherwise alike.
	perWriter = 2 * time.Millisecond
)

// choose returns where a job runs now, nil when it should wait.
func (p *pool) choose(now time.Time, r *run) *Placement {
	engines := p.candidates(now, r)
	if len(engines) == 0 {
		return nil
	}
	if r.job.Prompt+r.job.Answer > int(memoryShare*float64(p.figures.MemoryTokens)) {
		return p.chooseHuge(now, r, engines)
	}
	if r.long {
		return p.chooseLong(now, r, engines)
	}
	return p.chooseShort(now, r, engines)
}

// candidates returns the engines that a job may use, in the order of IDs. When
// most engines are suspects, the fault is probably not theirs and all are used.
func (p *pool) candidates(now time.Time, r *run) []*engine {
	var usable, suspects []*engine
	for _, e := range p.order {
		switch {
		case slices.Contains(r.job.Avoid, e.id()):
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

// lanes divides engines into those kept for long prompts and the others.
func (p *pool) lanes(engines []*engine) (long, short []*engine) {
	n := min(p.laneSize(), len(engines)-1)
	return engines[:n], engines[n:]
}

// chooseShort takes the engine that is predicted to deliver the first event
// earliest.
func (p *pool) chooseShort(now time.Time, r *run, engines []*engine) *Placement {
	long, _ := p.lanes(engines)
	var best *engine
	var bestScore, first time.Duration
	for i, e := range engines {
		n, context, _ := e.writers()
		if n >= p.figures.Slots || e.free() < r.job.Prompt+r.job.Answer {
			continue
		}
		predicted := time.Duration(float64(e.backlog(now)+r.alone+p.figures.Pass(n+1, context+r.job.Prompt)) * e.currentPace(now))
		score := predicted + time.Duration(n)*perWriter
		if i < len(long) {
			score += otherLane
		}
		if e.state.DataCentre != r.job.DataCentre {
			score += otherDataCentre
		}
		if best == nil || score < bestScore {
			best, bestScore, first = e, score, predicted
		}
	}
	if best == nil {
		return nil
	}
	placement := &Placement{Server: best.id(), First: first}
	if k := int(r.alone / shortPart); k > 0 {
		placement.Helpers = helpersFor(now, engines, best, k, r.alone/time.Duration(k+1))
	}
	return placement
}

// helpersFor returns up to k engines that can read a part without disturbing
// what they write, the least busy first.
func helpersFor(now time.Time, engines []*engine, writer *engine, k int, part time.Duration) []gypsumshelf.ServerID {
	var able []*engine
	for _, e := range engines {
		if e != writer && e.allowance(now) >= part && e.currentPace(now) < slowPace && !e.isCold(now) {
			able = append(able, e)
		}
	}
	slices.SortStableFunc(able, func(a, b *engine) int { return cmp.Compare(a.backlog(now), b.backlog(now)) })
	return ids(able[:min(k, len(able))])
}

func ids(engines []*engine) []gypsumshelf.ServerID {
	var out []gypsumshelf.ServerID
	for _, e := range engines {
		out = append(out, e.id())
	}
	return out
}

// chooseLong shares the reading over as many engines as the target asks for.
func (p *pool) chooseLong(now time.Time, r *run, engines []*engine) *Placement {
	group, finish := p.group(now, r, engines)
	if group == nil {
		return nil
	}
	writer := p.writer(group, r.job.Prompt+r.job.Answer)
	if writer == nil {
		// Readers need no memory for a prompt that another engine writes for.
		writer = p.writer(engines, r.job.Prompt+r.job.Answer)
		if writer == nil {
			return nil
		}
		group = append(group[:len(group)-1:len(group)-1], writer)
	}
	others := slices.DeleteFunc(slices.Clone(group), func(e *engine) bool { return e == writer })
	return &Placement{Server: writer.id(), Helpers: ids(others), First: finish + p.figures.Pass(1, r.job.Prompt)}
}

// group returns the engines that read a long prompt and the time until they
// have read it, nil when it should wait.
func (p *pool) group(now time.Time, r *run, engines []*engine) (best []*engine, finish time.Duration) {
	long, _ := p.lanes(engines)
	urgent := now.Sub(r.arrived) > time.Duration(urgentShare*float64(r.job.Target))
	left := r.due(r.job.Target).Sub(now)
	comfort := time.Duration(comfortShare * float64(left))
	order := make([]*engine, 0, len(engines))
	for _, e := range engines {
		if e.backlog(now) <= maxAhead {
			order = append(order, e)
		}
	}
	slices.SortStableFunc(order, func(a, b *engine) int {
		return cmp.Compare(b.allowance(now)-b.backlog(now), a.allowance(now)-a.backlog(now))
	})
	for k := 1; k <= min(len(order), maxHelpers+1); k++ {
		part := r.alone / time.Duration(k)
		var group []*engine
		var end time.Duration
		for _, e := range order {
			if len(group) == k {
				break
			}
			need := time.Duration(float64(part) * e.currentPace(now))
			if e.allowance(now) < need && !(urgent && slices.Contains(long, e)) {
				continue
			}
			group = append(group, e)
			end = max(end, e.backlog(now)+need)
		}
		if len(group) < k || best != nil && end >= finish {
			continue
		}
		best, finish = group, end
		if finish <= comfort {
			break
		}
	}
	if best != nil && !urgent && finish > left/2 && finish > shortRead && len(best) < len(long) {
		return nil, 0 // engines that are busy now would make it faster soon
	}
	return best, finish
}

// writer returns the engine with the fewest answers that has a slot and memory.
func (p *pool) writer(engines []*engine, tokens int) *engine {
	var best *engine
	fewest := p.figures.Slots
	for _, e := range engines {
		if n, _, _ := e.writers(); n < fewest && e.free() >= tokens {
			best, fewest = e, n
		}
	}
	return best
}

// chooseHuge places a prompt that no engine's memory holds: its writer keeps
// what is left after memory on other engines is reserved, largest first.
func (p *pool) chooseHuge(now time.Time, r *run, engines []*engine) *Placement {
	order := slices.Clone(engines)
	slices.SortStableFunc(order, func(a, b *engine) int { return cmp.Compare(b.free(), a.free()) })
	writer := p.writer(order, p.figures.MemoryTokens/2)
	if writer == nil {
		return nil
	}
	rest := r.job.Prompt + r.job.Answer - writer.free()
	placement := &Placement{Server: writer.id()}
	chosen := []*engine{writer}
	for _, e := range order {
		if rest <= 0 {
			break
		}
		if e == writer || e.isCold(now) || e.free() < p.figures.MemoryTokens/4 {
			continue
		}
		take := min(rest, e.free())
		placement.Holds = append(placement.Holds, Hold{Server: e.id(), Tokens: take})
		chosen = append(chosen, e)
		rest -= take
	}
	if rest > 0 {
		return nil
	}
	long, _ := p.lanes(engines)
	for _, e := range long {
		if len(chosen) <= maxHelpers && !slices.Contains(chosen, e) && e.backlog(now) <= maxAhead && !e.isCold(now) {
			chosen = append(chosen, e)
		}
	}
	placement.Helpers = ids(chosen[1:])
	for _, e := range chosen {
		placement.First = max(placement.First, e.backlog(now)+p.figures.ReadShared(r.job.Prompt, len(chosen)))
	}
	return placement
}
