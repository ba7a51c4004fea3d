package schedules

import (
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/paths"
)

// Preview states what would become of a job that arrived now.
type Preview struct {
	Placement  *Placement // nil if the job would wait or be refused
	Refusal    string     // reason for a refusal, empty for none
	RetryAfter time.Duration
	Waiting    int // jobs in the queue of the service
	Engines    []EnginePreview
}

// EnginePreview is what a preview says about one engine.
type EnginePreview struct {
	Server     gypsumshelf.ServerID
	DataCentre string
	First      time.Duration // predicted time to the first event, if the engine is the primary
	Pause      time.Duration // predicted pause of its answers for the prefill of its part, 0 without answers
	Answers    int           // active ones
	Slots      int
	FreeTokens int
	Reserved   bool   // for long prompts
	Exclusion  string // why it is not chosen as the primary, empty if it may be
	HasLoad    bool   // it has sent a load report
	LoadAge    time.Duration
}

// Reasons for which an engine is not chosen.
const (
	excludedAvoided    = "the entry daemon avoids it after a failure or for a pause"
	excludedLimited    = "its limit is used up"
	excludedFailed     = "it has failed lately"
	excludedCold       = "it is cold, and its rate is used up"
	excludedSlow       = "it is slower than most others"
	excludedFull       = "it has no free slot"
	excludedMemory     = "it has too little free memory"
	excludedLost       = "it cannot be reached directly"
	excludedLossy      = "the path to it loses packets"
	excludedUnreported = "it has sent no recent load report"
	excludedShort      = "it is kept for short prompts"
	excludedPrefill    = "it prefills another long prompt"
	excludedPause      = "its answers would pause for too long"
)

// Preview states what would become of a job that arrived now. It answers operators, under
// any load, and changes nothing: the job is submitted to a copy. The job must have an ID
// that no other job has.
func (s *Scheduler) Preview(now time.Time, job Job) Preview {
	var preview Preview
	if p := s.pools[job.Service]; p != nil {
		preview.Waiting = len(p.queue)
		preview.Engines = s.copyFor(now, job.Service).previewEngines(now, job)
	}
	for _, d := range s.copyFor(now, job.Service).Submit(now, job) {
		if d.Job == job.ID {
			preview.Placement, preview.Refusal, preview.RetryAfter = d.Placement, d.Reason, d.RetryAfter
		}
	}
	return preview
}

// copyFor returns a copy of the scheduler with one service, to which jobs can be submitted.
// It shares with the original only what Submit does not change.
func (s *Scheduler) copyFor(now time.Time, service string) *Scheduler {
	out := *s
	out.limits = s.limits.copy(now)
	out.found, out.places, out.jobs = nil, maps.Clone(s.places), map[JobID]*jobState{}
	out.copies, out.slowChanges, out.demandChanges = maps.Clone(s.copies), nil, nil
	if s.paths != nil {
		out.paths = s.paths.Copy(now)
	}
	out.pools = map[string]*pool{}
	if p := s.pools[service]; p != nil {
		out.pools[service] = p.copy(now, out.limits, out.paths)
	}
	return &out
}

func (p *pool) copy(now time.Time, l *limits, table *paths.Table) *pool {
	out := *p
	out.paths, out.answersOf = table, maps.Clone(p.answersOf)
	out.queue = make([]*jobState, 0, len(p.queue)+1)
	for _, j := range p.queue {
		waiting := *j
		out.queue = append(out.queue, &waiting)
	}
	out.engines, out.sorted = make(map[gypsumshelf.ServerID]*engine, len(p.engines)), make([]*engine, 0, len(p.sorted))
	for _, e := range p.sorted {
		c := *e
		c.assignments, c.prefills, c.limits = maps.Clone(e.assignments), slices.Clone(e.prefills), l
		c.coldLimiter, c.ended = copyLimiter(now, e.coldLimiter), slices.Clone(e.ended)
		c.pace = e.pace.copy(now)
		out.engines[c.id()] = &c
		out.sorted = append(out.sorted, &c)
	}
	return &out
}

// copy returns a pace whose limiter is not shared. What an engine has shown of itself
// does not change with a submitted job.
func (p *enginePace) copy(now time.Time) *enginePace {
	if p == nil {
		return nil
	}
	out := *p
	out.limiter = copyLimiter(now, p.limiter)
	return &out
}

func (l *limits) copy(now time.Time) *limits {
	out := newLimits(l.share)
	for id, limit := range l.byServer {
		c := *limit
		c.limiter = copyLimiter(now, limit.limiter)
		out.byServer[id] = &c
	}
	return out
}

// copyLimiter returns a limiter that has as many tokens now, nil for nil.
func copyLimiter(now time.Time, l *rate.Limiter) *rate.Limiter {
	if l == nil {
		return nil
	}
	out := rate.NewLimiter(l.Limit(), l.Burst())
	if tokens := l.TokensAt(now); tokens < float64(l.Burst()) && l.Limit() > 0 {
		// It was empty when those tokens began to arrive.
		out.AllowN(now.Add(-time.Duration(tokens/float64(l.Limit())*float64(time.Second))), l.Burst())
	}
	return out
}

// previewEngines returns what a copy of the scheduler says about each engine.
func (s *Scheduler) previewEngines(now time.Time, job Job) []EnginePreview {
	p := s.pools[job.Service]
	j := s.addJob(now, p, job)
	p.decayDemand(now)
	p.updateShortAnswers(now)
	set := p.candidateSet(now, job.Avoid)
	part := j.prefillTime / time.Duration(p.previewParts(set, j))
	previews := make([]EnginePreview, 0, len(p.sorted))
	for _, e := range p.sorted {
		preview := EnginePreview{
			Server: e.id(), DataCentre: e.state.DataCentre, First: e.timeToFirstEvent(now, part, job.Prompt), Pause: e.pauseFor(now, part),
			Answers: e.activeAnswers(now), Slots: p.profile.Slots, FreeTokens: e.freeTokens(), Reserved: set.isReserved(e), HasLoad: !e.loadAt.IsZero(),
		}
		if preview.HasLoad {
			preview.LoadAge = now.Sub(e.loadAt)
		}
		preview.Exclusion = p.exclusion(now, j, e, set, part)
		previews = append(previews, preview)
	}
	return previews
}

// previewParts returns the number of parts into which the prefill of a job is split if all
// engines that it may use take one.
func (p *pool) previewParts(set candidateSet, j *jobState) int {
	if j.long {
		return max(1, min(len(set.longPromptEngines()), maxHelpers+1))
	}
	return 1 + min(maxShortPromptHelpers, int(j.prefillTime/shortPromptPartTime))
}

// pauseFor predicts the pause of the answers of an engine while it prefills a part.
func (e *engine) pauseFor(now time.Time, part time.Duration) time.Duration {
	n := e.activeAnswers(now)
	if n == 0 {
		return 0
	}
	pass := e.profile.PassTime(n, e.summary.memoryTokens)
	pause := pass + time.Duration(float64(part)*e.slowdown(now))
	for _, r := range e.prefills {
		if now.Sub(r.end) <= pass {
			pause += r.duration
		}
	}
	return pause
}

// exclusion returns the first reason for which an engine is not chosen as the primary one
// of a job, empty if there is none.
func (p *pool) exclusion(now time.Time, j *jobState, e *engine, set candidateSet, part time.Duration) string {
	tokens := j.request.Prompt + j.request.Answer
	oversized := tokens > int(plannedMemoryFraction*float64(p.profile.MemoryTokens))
	path := p.pathState(now, j.request.DataCentre, e.state.DataCentre)
	switch {
	case !slices.Contains(set.engines, e):
		return e.ineligibility(now, j)
	case e.activeAnswers(now) >= p.profile.Slots:
		return excludedFull
	case !oversized && e.freeTokens() < tokens:
		return excludedMemory
	case path == paths.Lost:
		return excludedLost
	case path == paths.Lossy:
		return excludedLossy
	case !j.long:
		return ""
	case e.mayHaveUnreportedLoad(now):
		return excludedUnreported
	case !slices.Contains(set.longPromptEngines(), e):
		return excludedShort
	case e.primaryPrefillPending() || e.longPrefillPending(now):
		return excludedPrefill
	case e.prefillBudget(now, p.isUrgent(now, j)) < part:
		return excludedPause
	}
	return ""
}

// ineligibility returns why an engine gets no job at all now.
func (e *engine) ineligibility(now time.Time, j *jobState) string {
	switch {
	case slices.Contains(j.request.Avoid, e.id()):
		return excludedAvoided
	case !e.hasRoom(now):
		return excludedLimited
	case now.Before(e.avoidUntil):
		return excludedFailed
	case e.isCold(now):
		return excludedCold
	}
	return excludedSlow
}
