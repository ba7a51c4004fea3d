package schedules

import "time"

// predictWait returns the predicted time until those of the jobs that are of the same
// kind as j, short or long, have been placed.
func (p *pool) predictWait(j *jobState, jobs []*jobState) time.Duration {
	var work time.Duration
	shortJobs := 0
	for _, o := range jobs {
		if o == j {
			continue
		}
		if o.long {
			work += o.prefillTime
		} else {
			shortJobs++
		}
	}
	if j.long {
		return work / time.Duration(max(1, p.longPromptEngineCount()))
	}
	// All slots together end one answer each in about the duration of a usual
	// answer.
	slots := max(1, len(p.sorted)*p.profile.Slots)
	return time.Duration(shortJobs) * p.profile.DecodeTime(p.profile.MeanAnswerTokens, p.profile.Slots/2, 0) / time.Duration(slots)
}

// limitedWait returns the time until the limits of the engines leave room for the
// waiting jobs and another one. It is 0 if an engine has named no limit.
func (p *pool) limitedWait(now time.Time) time.Duration {
	perSecond, room := 0.0, 0.0
	for _, e := range p.sorted {
		l := e.limits.get(now, e.id())
		if l == nil {
			return 0
		}
		perSecond += l.rate
		room += max(0, l.limiter.TokensAt(now))
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(max(0, float64(len(p.queue)+1)-room) / perSecond * float64(time.Second))
}

// minTimeToFirstEvent returns the time to the first event of a job on engines
// without other prefills.
func (p *pool) minTimeToFirstEvent(j *jobState) time.Duration {
	pass := p.profile.PassTime(p.profile.Slots, p.profile.Slots*p.profile.MeanPromptTokens/2)
	if j.long {
		return j.prefillTime/time.Duration(max(1, p.reservedCount())) + pass
	}
	return j.prefillTime + pass + pass/2 // the pass in progress has to end first
}

// minServiceTime returns the shortest possible time from the placement of a job
// to the end of its answer.
func (p *pool) minServiceTime(j *jobState) time.Duration {
	return p.prefillAtBest(j) + p.profile.DecodeTime(j.request.Expected, 1, j.request.Prompt)
}

// prefillAtBest returns the prefill time of a job that all engines share.
func (p *pool) prefillAtBest(j *jobState) time.Duration {
	return p.profile.SharedPrefillTime(j.request.Prompt, min(maxHelpers, len(p.sorted)))
}

// isUnservable reports whether a waiting job can no longer get its first event
// before the caller disconnects, or its answer before the deadline. The check
// is refusalMargin early, so that the refusal and its retry time still reach
// the caller.
func (p *pool) isUnservable(now time.Time, j *jobState) bool {
	return now.Add(p.minTimeToFirstEvent(j)+refusalMargin).After(j.due(j.request.Patience)) || now.Add(p.minServiceTime(j)).After(j.due(j.request.Deadline))
}

// isLate reports whether a waiting job cannot meet its target any more.
func (p *pool) isLate(now time.Time, j *jobState) bool {
	return now.Add(p.minTimeToFirstEvent(j)).After(j.due(j.request.Target))
}
