package schedules

import (
	"math"
	"time"
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

// shortAnswerTime returns the duration of a usual short answer.
func (p *pool) shortAnswerTime() time.Duration {
	return p.profile.DecodeTime(p.profile.MeanAnswerTokens, p.profile.Slots/2, 0)
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
