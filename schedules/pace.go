package schedules

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/paces"
	"gypsumshelf.example/gypsumshelf/paths"
)

const (
	// lateFirstFactor is the factor by which a first event may come later than
	// predicted before it counts as a sign of stress.
	lateFirstFactor = 2
	// unnoticedFraction is the fraction of its target within which a first event is no
	// sign of stress, however early it was predicted: the caller has what it needs, and
	// delivery delays are as long as short predictions.
	unnoticedFraction = 0.5
)

// enginePace bounds the load of an engine that has started or recovered. It addresses the
// load of releases and returning data centres: all callers send to the new engines at once,
// since these have no backlog, while their caches are still empty.
type enginePace struct {
	*paces.Pace
	share   float64 // of the pace that this scheduler uses, 0 for the whole
	limiter *rate.Limiter
}

// updatePace sets the pace of an engine that is listed now.
func (s *Scheduler) updatePace(now time.Time, e *engine) {
	if s.paces == nil {
		return
	}
	cfg := paces.Config{Slots: e.profile.Slots, AnswerTime: e.profile.DecodeTime(e.profile.MeanAnswerTokens, e.profile.Slots/2, 0)}
	if e.isCold(now) {
		cfg.First = int(math.Ceil(ColdRate(e.state.ColdRequestsPerSecond) * cfg.AnswerTime.Seconds()))
	}
	pace := s.paces.Update(now, e.id(), e.state.Born, e.isCold(now), cfg)
	if e.pace == nil || e.pace.Pace != pace {
		e.pace = &enginePace{Pace: pace}
	}
	e.pace.setShare(now, s.cfg.ColdShare)
}

// rate returns the rate of a scheduler that uses a share of the pace.
func (p *enginePace) rate() rate.Limit {
	if p.Phase() == paces.Steady {
		return rate.Inf
	}
	return rate.Limit(p.PerSecond() * p.share)
}

// allows reports whether an engine with active requests may get another one.
func (p *enginePace) allows(now time.Time, active int) bool {
	if p == nil || p.Phase() == paces.Steady {
		return true
	}
	if p.limiter == nil {
		return p.Allows(active)
	}
	if r := p.rate(); p.limiter.Limit() != r {
		p.limiter.SetLimitAt(now, r)
	}
	return p.Allows(active) && p.limiter.TokensAt(now) >= 1
}

// take counts a request that the engine gets now.
func (p *enginePace) take(now time.Time) {
	if p != nil && p.limiter != nil {
		p.limiter.AllowN(now, 1)
	}
}

// keepsPace reports whether the pace of the engine allows a further request.
func (e *engine) keepsPace(now time.Time) bool { return e.pace.allows(now, e.requests(now)) }

// requests returns the number of requests of the engine, including its parts of prompts
// that others answer.
func (e *engine) requests(now time.Time) int {
	return len(e.assignments) + e.recentExternalRequests(now)
}

// isUnproven reports whether the engine has not answered since its start.
func (e *engine) isUnproven() bool { return e.pace != nil && e.pace.Phase() == paces.Starting }

// isProven reports whether an engine may prefill a part of a long prompt, which a slow one
// delays as a whole. While there are short prompts, the first answer to one of them tells.
func (p *pool) isProven(e *engine) bool { return !e.isUnproven() || p.peakShortAnswers < 1 }

// judgeFirstEvent takes the first event of a job, or the end of one without any, as
// evidence about its engines.
func (s *Scheduler) judgeFirstEvent(now time.Time, p *pool, j *jobState) {
	if s.paces == nil || j.placement == nil || j.unjudged {
		return
	}
	late := s.isUnexplainedlyLate(now, p, j)
	if !late && !j.started {
		return // it ended before its first event was late
	}
	sign := paces.Sign{SentAt: j.placedAt, Reason: paces.ReasonOnTime}
	if late {
		sign.Reason = paces.ReasonLate
	}
	if late && !p.isJudgeable(now, j) {
		return
	}
	for _, id := range j.placement.engines() {
		if e := p.engines[id]; e != nil && e.pace != nil {
			sign.Active = e.requests(now)
			e.pace.Record(now, sign)
		}
	}
}

// isJudgeable reports whether a late event of a job can be a sign of stress. Behind a bad
// path, or among requests that other schedulers have placed, something else explains it.
func (p *pool) isJudgeable(now time.Time, j *jobState) bool {
	for _, id := range j.placement.engines() {
		e := p.engines[id]
		if e == nil || e.shared || e.recentExternalRequests(now) > 0 || p.pathState(now, j.request.DataCentre, e.state.DataCentre) != paths.Sound {
			return false
		}
	}
	return true
}

// isUnexplainedlyLate reports whether a first event that comes now is later than the
// prediction and the prefills that its engines got meanwhile explain.
func (s *Scheduler) isUnexplainedlyLate(now time.Time, p *pool, j *jobState) bool {
	expected := j.placement.First
	var added time.Duration
	for _, id := range j.placement.engines() {
		if e := p.engines[id]; e != nil {
			if a := e.assignments[j.request.ID]; a != nil {
				added = max(added, e.prefillTotal-a.prefillTotal)
			}
		}
	}
	bound := max(lateFirstFactor*(expected+added), time.Duration(unnoticedFraction*float64(j.request.Target)))
	return now.Sub(j.placedAt) > bound
}

// judgeEnd takes the end of a job as evidence about its engine. A connection that cannot be
// made says nothing about the requests that the engine takes.
func (s *Scheduler) judgeEnd(now time.Time, p *pool, j *jobState, outcome Outcome, e *engine) {
	switch {
	case s.paces == nil:
	case outcome == Cancelled && !j.started:
		s.judgeFirstEvent(now, p, j)
	case outcome.IsFailure() && outcome != Unreachable && e != nil && e.pace != nil && p.pathState(now, j.request.DataCentre, e.state.DataCentre) == paths.Sound:
		e.pace.Record(now, paces.Sign{SentAt: j.placedAt, Active: e.requests(now), Reason: paces.ReasonFailure})
	}
}

// settleAdopted makes the engine steady that has run a job for another scheduler.
func (s *Scheduler) settleAdopted(j *jobState, started bool) {
	j.unjudged = true // when it was placed is not known
	if s.paces != nil && started {
		s.paces.Settle(j.placement.Server)
	}
}

// tickPaces forgets the paces of servers that are gone, and settles those of servers that
// have run for long without stress. A scheduler that shares the servers with others sees too
// few answers to judge them, and goes by their age alone.
func (s *Scheduler) tickPaces(now time.Time) {
	if s.paces == nil {
		return
	}
	s.paces.Prune(now, func(id gypsumshelf.ServerID) bool {
		for _, p := range s.pools {
			if p.engines[id] != nil {
				return true
			}
		}
		return false
	})
	s.forgetPlain()
	s.paces.SettleByAge(now, s.cfg.ColdShare > 0)
}

// TakePaceChanges returns the changes of the paces of servers since the last call.
func (s *Scheduler) TakePaceChanges() []paces.Change {
	if s.paces == nil {
		return nil
	}
	return s.paces.TakeChanges()
}

// PaceCounts returns the number of servers by the phase of their pace.
func (s *Scheduler) PaceCounts() map[paces.Phase]int {
	if s.paces == nil {
		return nil
	}
	return s.paces.Counts()
}

// RefusedGrowth returns how often the growth of a pace was refused, by reason.
func (s *Scheduler) RefusedGrowth() map[string]uint64 {
	if s.paces == nil {
		return nil
	}
	return s.paces.Refused()
}
