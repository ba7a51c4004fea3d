package schedules

import (
	"math"
	"time"
)

const (
	// demandDecayTime is the time constant of the exponential decay of the long
	// prompt demand. It is close to the time between two long prompts under normal
	// load.
	demandDecayTime = time.Second
	// targetSlotUtilization is the fraction of an engine's slots that short
	// answers are planned to fill. The rest absorbs bursts.
	targetSlotUtilization = 0.95
	// shortPromptHeadroom is the capacity, in engines, that is kept for short
	// prompts in addition to the planned utilization.
	shortPromptHeadroom = 0.3
	// shortAnswersDecayTime is the time constant of the exponential decay of the
	// peak number of short answers. It is a quarter of the duration of a short
	// answer, so that the number of reserved engines follows bursts but not single
	// answers.
	shortAnswersDecayTime = 500 * time.Millisecond
	// minReservedDemand is the prefill demand, in engines, below which no engine
	// is reserved for long prompts.
	minReservedDemand = 0.02
)

// demand is the forecast of the short answers of a pool. It answers bursts of short prompts:
// the prefill of a long prompt that began before a burst blocks an engine that the
// burst needs, and answers of both on one engine pause for too long.
type demand struct {
	arrivals     forecast      // of short prompts
	trend        trend         // of arrivals, as of the last update
	answers      float64       // short answers at the end of the next part of a long prompt
	longPartTime time.Duration // prefill time of the last part of a long prompt that was placed
	burst        bool          // a burst of short prompts begins
}

// DemandChange states that the forecast of a service's short answers began or ceased to
// hold back long prompts.
type DemandChange struct {
	Service           string
	Burst             bool    // a burst begins
	PerSecond         float64 // arrivals of short prompts
	ShortAnswers      float64 // recent peak of active and waiting ones
	Forecast          float64 // at the end of the next part of a long prompt
	LongPromptEngines int     // engines that long prompts may use
}

// TakeDemandChanges returns the changes since the last call.
func (s *Scheduler) TakeDemandChanges() []DemandChange {
	changes := s.demandChanges
	s.demandChanges = nil
	return changes
}

// updateDemand updates the forecast. The next part of a long prompt is taken to last as
// long as the last one.
func (p *pool) updateDemand(now time.Time) {
	if !p.policy.ForecastDemand {
		return
	}
	d := &p.demand
	d.trend = d.arrivals.trend(now)
	d.answers = d.trend.rate(d.longPartTime) * p.shortAnswerTime().Seconds()
	d.burst = d.trend.isRising(d.burst) && d.answers > p.peakShortAnswers
}

// shortAnswerTime returns the duration of a usual short answer. It is not 0, even if the
// profile states no costs.
func (p *pool) shortAnswerTime() time.Duration {
	return max(time.Millisecond, p.profile.DecodeTime(p.profile.MeanAnswerTokens, p.profile.Slots/2, 0))
}

// recordBurst records whether a burst has begun or ended since the last call.
func (s *Scheduler) recordBurst(service string, p *pool) {
	if p.demand.burst == p.reportedBurst {
		return
	}
	p.reportedBurst = p.demand.burst
	s.demandChanges = append(s.demandChanges, DemandChange{
		Service: service, Burst: p.demand.burst, PerSecond: p.demand.trend.rate(0), ShortAnswers: p.peakShortAnswers,
		Forecast: p.demand.answers, LongPromptEngines: p.longPromptEngineCount(),
	})
}

// waitsForBurst reports whether a long prompt waits since a burst of short prompts begins.
// It does not if it is urgent, or if it would be late after the longest such wait.
func (p *pool) waitsForBurst(now time.Time, j *jobState) bool {
	if !p.demand.burst || p.isUrgent(now, j) {
		return false
	}
	end := j.arrived.Add(time.Duration(urgentWaitFraction * float64(j.request.Target)))
	return !end.Add(p.minTimeToFirstEvent(j)).After(j.due(j.request.Target))
}

// neededIn returns the time until the forecast of short answers needs an engine that long
// prompts may use, given its index among these, and false if it does not need it.
func (p *pool) neededIn(index int) (time.Duration, bool) {
	if !p.policy.ForecastDemand {
		return 0, false
	}
	perEngine := targetSlotUtilization * float64(p.profile.Slots)
	answers := (float64(len(p.sorted)-1-index) - shortPromptHeadroom) * perEngine
	return p.demand.trend.timeUntil(math.Max(0, answers) / p.shortAnswerTime().Seconds())
}

func (p *pool) decayDemand(now time.Time) {
	if !p.longPromptDemandAt.IsZero() {
		p.longPromptDemand *= math.Exp(-now.Sub(p.longPromptDemandAt).Seconds() / demandDecayTime.Seconds())
	}
	p.longPromptDemandAt = now
}

// reservedCount returns the number of engines that are reserved for long
// prompts. These are all engines that short answers do not need, because the
// prefill of a long prompt takes less time on more engines.
func (p *pool) reservedCount() int {
	demand := p.longPromptDemand / demandDecayTime.Seconds() // in engines
	if demand < minReservedDemand {
		return 0
	}
	perEngine := targetSlotUtilization * float64(p.profile.Slots)
	need := int(math.Ceil(max(p.peakShortAnswers, p.demand.answers)/perEngine + shortPromptHeadroom))
	return max(1, len(p.sorted)-need)
}

// longPromptEngineCount returns the number of engines that long prompts may use: the
// reserved ones, or all engines if none is reserved.
func (p *pool) longPromptEngineCount() int {
	if reserved := p.reservedCount(); reserved > 0 {
		return reserved
	}
	return len(p.sorted)
}

// updateShortAnswers tracks the peak number of short answers. The peak rises at
// once and decays slowly, so that the set of reserved engines does not change
// whenever an answer ends.
func (p *pool) updateShortAnswers(now time.Time) {
	n := 0
	for _, e := range p.sorted {
		n += e.summary.shortAnswers
	}
	for _, j := range p.queue {
		if !j.long {
			n++
		}
	}
	if !p.peakShortAnswersAt.IsZero() {
		p.peakShortAnswers *= math.Exp(-now.Sub(p.peakShortAnswersAt).Seconds() / shortAnswersDecayTime.Seconds())
	}
	p.peakShortAnswers, p.peakShortAnswersAt = max(p.peakShortAnswers, float64(n)), now
}
