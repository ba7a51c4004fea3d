package schedules

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/paths"
)

const (
	// maxRatio bounds the learned ratio. A slower engine is not used anyway while others
	// are, and the ratio of one that has recovered has to decay soon.
	maxRatio = 8
	// ratioDecayTime is the time constant with which a learned ratio decays to 1. It is
	// about the duration of a short answer: later answers share no pass with the observed
	// ones.
	ratioDecayTime = 2 * time.Second
	// minLearnedSlowdown is the learned slowdown below which an engine does not count as
	// slow any more. It is within the differences between the passes of an engine.
	minLearnedSlowdown = 1.1
)

// ratio is the learned ratio of the observed to the predicted time to the first event of an
// engine. It answers engines that are slower than they report. It rises with the second of
// two late events in a row only, since a single one may have other causes.
type ratio struct {
	value  float64 // as of at, at least 1
	at     time.Time
	last   float64 // last observation, at least 1
	lastAt time.Time
}

// decayed returns what is left of a ratio after a time.
func decayed(value float64, age time.Duration) float64 {
	if value <= 1 {
		return 1
	}
	return 1 + (value-1)*math.Exp(-max(0, age.Seconds())/ratioDecayTime.Seconds())
}

func (r *ratio) get(now time.Time) float64 { return decayed(r.value, now.Sub(r.at)) }

// raise sets the ratio to a value unless it is higher.
func (r *ratio) raise(now time.Time, value float64) {
	r.value, r.at = max(r.get(now), value), now
}

// record records an observed ratio.
func (r *ratio) record(now time.Time, observed float64) {
	observed = clampRatio(observed)
	r.raise(now, min(observed, decayed(r.last, now.Sub(r.lastAt))))
	r.last, r.lastAt = observed, now
}

// recordOverdue records the ratios that jobs exceed whose first events have not come yet.
func (r *ratio) recordOverdue(now time.Time, overdue []float64) {
	if len(overdue) == 0 {
		return
	}
	late := append([]float64{decayed(r.last, now.Sub(r.lastAt))}, overdue...)
	slices.SortFunc(late, func(a, b float64) int { return cmp.Compare(b, a) })
	r.raise(now, clampRatio(late[1]))
}

func clampRatio(v float64) float64 {
	if math.IsNaN(v) {
		return 1
	}
	return min(maxRatio, max(1, v))
}

// isRecent reports whether an observation is new enough to compare other engines with it.
func (r *ratio) isRecent(now time.Time) bool {
	return !r.lastAt.IsZero() && now.Sub(r.lastAt) <= ratioDecayTime
}

// observedRatio returns the ratio of a time to the first event to the one that was
// predicted without a slowdown of the engine. Prefills that the engine was assigned after the
// job may run in the same pass and delay the first event: in a burst that is placed at once,
// they do so on all busy engines.
func (j *jobState) observedRatio(e *engine, took time.Duration) float64 {
	predicted := j.placement.First + max(0, e.prefillTotal-j.assignedPrefill) // an engine that was listed again starts at 0
	return max(0, took-pauseMargin).Seconds() / predicted.Seconds() * j.slowdown
}

// isLearnable reports whether the time to the first event of a job tells of its engine
// alone: the scheduler has predicted it, no helper took part, and the path is sound.
func (p *pool) isLearnable(now time.Time, j *jobState, e *engine) bool {
	return j.slowdown > 0 && j.placement.First > 0 && len(j.placement.Helpers) == 0 && p.pathState(now, j.request.DataCentre, e.state.DataCentre) == paths.Sound
}

// learnFirst learns from the first event of a job.
func (p *pool) learnFirst(now time.Time, j *jobState) {
	if !p.policy.LearnPredictions || j.placement == nil {
		return
	}
	if e := p.engines[j.placement.Server]; e != nil && p.isLearnable(now, j, e) {
		e.ratio.record(now, j.observedRatio(e, now.Sub(j.placedAt)))
	}
}

// updateRatios learns from overdue first events and compares the ratios of all engines.
// Predictions that are wrong for all of them, as in a burst that is placed at once, make no
// engine slow: the ratio of an engine counts as far as it exceeds the median of the others
// that were observed lately. It counts from slowdownThreshold on, and then until it has
// decayed: smaller ratios are within what the load of a pass explains, and in the replays
// without slow engines, predictions that followed them made more short prompts late.
func (p *pool) updateRatios(now time.Time) {
	if !p.policy.LearnPredictions {
		return
	}
	var recent []float64
	for _, e := range p.sorted {
		p.learnOverdue(now, e)
		if e.ratio.isRecent(now) {
			recent = append(recent, e.ratio.get(now))
		}
	}
	slices.Sort(recent)
	for _, e := range p.sorted {
		relative := e.ratio.get(now) / medianOfOthers(recent, e.ratio.get(now), e.ratio.isRecent(now))
		e.isSlow = relative >= slowdownThreshold || e.isSlow && relative >= minLearnedSlowdown
		e.learnedSlowdown = 1
		if e.isSlow {
			e.learnedSlowdown = relative
		}
	}
}

// medianOfOthers returns the upper median of sorted ratios without one of them if that is
// contained, and 1 if no other is left.
func medianOfOthers(sorted []float64, own float64, contained bool) float64 {
	others := len(sorted)
	if contained {
		others--
	}
	if others == 0 {
		return 1
	}
	middle := others / 2
	if contained && sorted[middle] >= own {
		middle++ // the own ratio is before the median or at its place
	}
	return sorted[middle]
}

func (p *pool) learnOverdue(now time.Time, e *engine) {
	var overdue []float64
	for _, a := range e.assignments {
		if !a.primary || a.job.started || !p.isLearnable(now, a.job, e) {
			continue
		}
		if r := a.job.observedRatio(e, now.Sub(a.job.placedAt)); r > 1 {
			overdue = append(overdue, r)
		}
	}
	e.ratio.recordOverdue(now, overdue)
}

// SlowChange states that an engine began or ceased to count as slow for its late first
// events.
type SlowChange struct {
	Server gypsumshelf.ServerID
	Slow   bool
	Ratio  float64 // learned
	Stated float64 // slowdown that the engine reports
}

// TakeSlowChanges returns the changes since the last call.
func (s *Scheduler) TakeSlowChanges() []SlowChange {
	changes := s.slowChanges
	s.slowChanges = nil
	return changes
}

// recordSlow records which engines have begun or ceased to count as slow.
func (s *Scheduler) recordSlow(now time.Time, p *pool) {
	for _, e := range p.sorted {
		if e.isSlow != e.reportedSlow {
			e.reportedSlow = e.isSlow
			s.slowChanges = append(s.slowChanges, SlowChange{Server: e.id(), Slow: e.isSlow, Ratio: e.learnedSlowdown, Stated: e.statedSlowdown(now)})
		}
	}
}
