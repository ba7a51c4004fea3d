package schedules

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/costs"
)

const (
	// demandMemory is the time after which demand counts 1/e, about the time
	// between two heavy prompts under usual load.
	demandDecayTime = time.Second
	// writersPerEngine is the part of an engine's slots that short answers are
	// planned to fill; the rest absorbs bursts.
	targetSlotUtilization = 0.95
	// laneHeadroom is the part of an engine by which the light lane exceeds that.
	shortPromptHeadroom = 0.3
	// lightMemory is the time after which the highest number of light answers
	// counts 1/e: a quarter of the time that such an answer takes, so that the
	// lane does not follow each answer and still follows a burst.
	shortAnswersDecayTime = 500 * time.Millisecond
	// leastDemand is the reading, in engines, below which no lane is kept.
	minReservedDemand = 0.02
	// maxRetryAfter bounds the time after which a refused caller is asked to
	// come back.
	maxRetryAfter = 3 * time.Second
	// lostAfter is the time after its deadline at which a job is taken for ended.
	lostJobGrace = time.Second
	// retrySpread is the number of different times after which refused callers return.
	retryAfterSteps = 16
	// latePerEngine bounds the light jobs that wait although they are late: the
	// slots that requests in time leave free do not serve more before they leave.
	maxLateJobsPerEngine = 2
	// leaveMargin is the time by which a refusal comes before the caller leaves.
	refusalMargin = 200 * time.Millisecond
	// startTime is the time for which a new scheduler lets jobs wait for engines
	// that have not announced themselves yet.
	startupGrace = 3 * time.Second
	// minRetryAfter is the shortest such time: an earlier return finds the same queue.
	minRetryAfter = 100 * time.Millisecond
)

// run is a job with what the scheduler did about it.
type jobState struct {
	request     Job
	arrived     time.Time
	prefillTime time.Duration // time that one engine takes to read the prompt
	long        bool          // kept apart from answers with short pauses
	placement   *Placement
	started     bool // the first event has been seen
}

func (j *jobState) due(t time.Duration) time.Time { return j.arrived.Add(t) }

// pool is the scheduler's state for one service.
type pool struct {
	profile            *costs.Engine
	engines            map[gypsumshelf.ServerID]*engine
	sorted             []*engine // by ID
	queue              []*jobState
	longPromptDemand   float64 // engine seconds of heavy reading asked for, decaying
	longPromptDemandAt time.Time
	peakShortAnswers   float64 // highest number of light answers at once, decaying
	peakShortAnswersAt time.Time
	refusedCount       int // jobs refused so far
}

// Config configures a Scheduler.
type Config struct {
	// Share is the part of what a cold engine bears that this scheduler may use;
	// 0 stands for all of it. Schedulers that do not know of each other's jobs
	// have equal shares.
	Share float64
}

// Scheduler places jobs on engines.
type Scheduler struct {
	cfg        Config
	firstJobAt time.Time // of the first job
	pools      map[string]*pool
	jobs       map[JobID]*jobState
}

// New returns a Scheduler without engines.
func New(cfg Config) *Scheduler {
	return &Scheduler{cfg: cfg, pools: map[string]*pool{}, jobs: map[JobID]*jobState{}}
}

// SetShare changes the share for engines that turn cold from now on.
func (s *Scheduler) SetShare(share float64) { s.cfg.Share = share }

// Update replaces what is known of the engines of all services. Engines that
// are not listed any more get no new work.
func (s *Scheduler) Update(now time.Time, profiles map[string]*costs.Engine, states []EngineState) {
	for name, f := range profiles {
		if s.pools[name] == nil {
			s.pools[name] = &pool{engines: map[gypsumshelf.ServerID]*engine{}}
		}
		s.pools[name].profile = f
	}
	listed := map[gypsumshelf.ServerID]bool{}
	for _, state := range states {
		p := s.pools[state.Service]
		if p == nil {
			continue
		}
		listed[state.ID] = true
		if p.engines[state.ID] == nil {
			p.engines[state.ID] = newEngine(state, p.profile)
		}
		p.engines[state.ID].update(now, state, p.profile, s.cfg.Share)
	}
	for _, p := range s.pools {
		for id := range p.engines {
			if !listed[id] {
				delete(p.engines, id)
			}
		}
		p.sorted = p.sorted[:0]
		for _, e := range p.engines {
			p.sorted = append(p.sorted, e)
		}
		slices.SortFunc(p.sorted, func(a, b *engine) int { return cmp.Compare(a.id(), b.id()) })
	}
}

// Submit takes a new job. Without a decision about it in the result, the job waits.
func (s *Scheduler) Submit(now time.Time, job Job) []Decision {
	p := s.pools[job.Service]
	if s.firstJobAt.IsZero() {
		s.firstJobAt = now
	}
	if p == nil || len(p.engines) == 0 && now.Sub(s.firstJobAt) > startupGrace {
		return []Decision{{Job: job.ID, RetryAfter: minRetryAfter, Reason: "no engine of the service is known"}}
	}
	j := s.addJob(now, p, job)
	if wait := p.predictWait(j); wait > min(job.Patience, job.Deadline-p.minServiceTime(j)) {
		delete(s.jobs, job.ID)
		return []Decision{p.refuse(now, j, "the queue is longer than the caller waits")}
	}
	p.queue = append(p.queue, j)
	return s.processQueue(now, p, j.long)
}

// admit creates the run of a job and counts its demand.
func (s *Scheduler) addJob(now time.Time, p *pool, job Job) *jobState {
	j := &jobState{request: job, arrived: now, prefillTime: p.profile.Read(job.Prompt)}
	j.long = j.prefillTime > p.maxShortPrefill()
	if j.long {
		p.decayDemand(now)
		p.longPromptDemand += j.prefillTime.Seconds()
	}
	s.jobs[job.ID] = j
	return j
}

// Adopt takes over a job that another scheduler or a daemon placed.
func (s *Scheduler) Adopt(now time.Time, job Job, placement Placement, started bool) {
	p := s.pools[job.Service]
	if p == nil || s.jobs[job.ID] != nil {
		return
	}
	j := s.addJob(now, p, job)
	p.assign(now, j, &placement)
	if j.started = started; started {
		p.finishPrefill(now, j)
	}
}

// Started notes the first event of a job.
func (s *Scheduler) Started(now time.Time, id JobID) []Decision {
	j := s.jobs[id]
	if j == nil || j.started {
		return nil
	}
	j.started = true
	p := s.pools[j.request.Service]
	if j.placement != nil {
		p.finishPrefill(now, j)
	}
	if !j.long {
		return nil // its slot is still taken
	}
	return s.processQueue(now, p, allJobs)
}

// End notes the end of a job, placed or waiting. The blamed engine, when there
// is one, gets no new work for a while if the outcome is a failure.
func (s *Scheduler) End(now time.Time, id JobID, outcome Outcome, blamed gypsumshelf.ServerID) []Decision {
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	delete(s.jobs, id)
	p := s.pools[j.request.Service]
	if j.placement == nil {
		p.queue = slices.DeleteFunc(p.queue, func(o *jobState) bool { return o == j })
		return nil
	}
	for _, server := range j.placement.engines() {
		if e := p.engines[server]; e != nil {
			e.removeAssignment(id)
			e.finishPrefills(now)
		}
	}
	if e := p.engines[cmp.Or(blamed, j.placement.Server)]; e != nil {
		switch {
		case outcome.Failure():
			e.recordFailure(now)
		case outcome == Completed:
			e.recordSuccess()
		}
	}
	return s.processQueue(now, p, shortJobsOnly)
}

// Report takes what an engine says of itself.
func (s *Scheduler) Report(now time.Time, id gypsumshelf.ServerID, l Load) {
	for _, p := range s.pools {
		if e := p.engines[id]; e != nil {
			e.recordLoad(now, l)
		}
	}
}

// Drop ends all jobs of an entry daemon that is not heard any more. If it still
// runs, its requests show in the reports of the engines.
func (s *Scheduler) Drop(now time.Time, daemon gypsumshelf.DaemonID) []Decision {
	var decisions []Decision
	for id, j := range s.jobs {
		if j.request.Daemon == daemon {
			decisions = append(decisions, s.End(now, id, Cancelled, "")...)
		}
	}
	return decisions
}

// Suspect keeps new work off an engine that does not answer.
func (s *Scheduler) Suspect(now time.Time, id gypsumshelf.ServerID) {
	for _, p := range s.pools {
		if e := p.engines[id]; e != nil && !now.Before(e.avoidUntil) {
			e.recordFailure(now)
		}
	}
}

// Tick decides about waiting jobs.
func (s *Scheduler) Tick(now time.Time) []Decision {
	var decisions []Decision
	for id, j := range s.jobs {
		// The daemon that held the job has died, or its note was lost.
		if j.placement != nil && now.After(j.due(j.request.Deadline+lostJobGrace)) {
			decisions = append(decisions, s.End(now, id, Cancelled, "")...)
		}
	}
	for _, p := range s.pools {
		decisions = append(decisions, s.processQueue(now, p, allJobs)...)
	}
	return decisions
}

// Which waiting jobs are looked at. A heavy job waits for several engines and
// is costly to place, so that the end of a single answer is no reason to try it.
const (
	shortJobsOnly = false
	allJobs       = true
)

// drain places and refuses waiting jobs, the most urgent first.
func (s *Scheduler) processQueue(now time.Time, p *pool, includeLong bool) []Decision {
	p.decayDemand(now)
	p.updateShortAnswers(now)
	if len(p.queue) == 0 {
		return nil
	}
	var decisions []Decision
	slices.SortStableFunc(p.queue, func(a, b *jobState) int { return p.compare(now, a, b) })
	waiting, late := len(p.queue), 0
	defaultCandidates := p.candidateSet(now, nil) // most jobs avoid no engine
	remaining := p.queue[:0]
	for _, j := range p.queue {
		if j.long && !includeLong {
			remaining = append(remaining, j)
			continue
		}
		d := Decision{Job: j.request.ID, Waited: now.Sub(j.arrived), Waiting: waiting}
		candidates := defaultCandidates
		if len(j.request.Avoid) > 0 {
			candidates = p.candidateSet(now, j.request.Avoid)
		}
		placement := p.place(now, j, candidates)
		if placement == nil && !j.long && p.isLate(now, j) {
			late++
		}
		switch {
		case placement != nil:
			p.assign(now, j, placement)
			d.Placement = placement
			defaultCandidates = p.candidateSet(now, nil)
		case p.isUnservable(now, j):
			delete(s.jobs, j.request.ID)
			d = p.refuse(now, j, "no engine was free in time")
		case late > maxLateJobsPerEngine*len(p.sorted) && !j.long:
			delete(s.jobs, j.request.ID)
			d = p.refuse(now, j, "too many late requests wait")
		default:
			remaining = append(remaining, j)
			continue
		}
		decisions = append(decisions, d)
	}
	clear(p.queue[len(remaining):])
	p.queue = remaining
	return decisions
}

// compare orders waiting jobs: those that can still meet their target, then the
// late ones by arrival. A late job earns little more by being first, while one in
// time would become late behind it. Of light jobs in time the newest is first:
// when more arrive than slots are free, the oldest would have no time to spare,
// and each delay on its way would make it late. Heavy jobs go by their due time.
func (p *pool) compare(now time.Time, a, b *jobState) int {
	lateA, lateB := p.isLate(now, a), p.isLate(now, b)
	switch {
	case lateA != lateB && lateB:
		return -1
	case lateA != lateB:
		return 1
	case lateA:
		return a.arrived.Compare(b.arrived)
	}
	if c := cmp.Compare(a.request.Priority, b.request.Priority); c != 0 {
		return c
	}
	if !a.long && !b.long {
		return b.arrived.Compare(a.arrived)
	}
	return a.due(a.request.Target).Compare(b.due(b.request.Target))
}

// late reports whether a waiting job cannot meet its target any more.
func (p *pool) isLate(now time.Time, j *jobState) bool {
	return now.Add(p.minTimeToFirstEvent(j)).After(j.due(j.request.Target))
}

// soonest returns the time to the first event of a job that is placed on
// engines with no other prompt to read.
func (p *pool) minTimeToFirstEvent(j *jobState) time.Duration {
	pass := p.profile.Pass(p.profile.Slots, p.profile.Slots*p.profile.UsualPrompt/2)
	if j.long {
		return j.prefillTime/time.Duration(max(1, p.reservedCount())) + pass
	}
	return j.prefillTime + pass + pass/2 // the pass in progress has to end first
}

// minimum returns the least time that a job takes once it is placed.
func (p *pool) minServiceTime(j *jobState) time.Duration {
	return p.profile.ReadShared(j.request.Prompt, min(maxHelpers, len(p.sorted))) + p.profile.Write(j.request.Expected, 1, j.request.Prompt)
}

// hopeless reports whether a waiting job cannot be served any more. It is said
// before the caller leaves, who is then told when to come back.
func (p *pool) isUnservable(now time.Time, j *jobState) bool {
	return now.Add(p.minTimeToFirstEvent(j)+refusalMargin).After(j.due(j.request.Patience)) || now.Add(p.minServiceTime(j)).After(j.due(j.request.Deadline))
}

// predictWait returns the time until the waiting jobs ahead of a job are placed.
func (p *pool) predictWait(j *jobState) time.Duration {
	var work time.Duration
	shortJobs := 0
	for _, o := range p.queue {
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
		return work / time.Duration(max(1, p.reservedCount()))
	}
	// A slot is free after each answer; all slots end an answer in about the
	// time of a usual one.
	slots := max(1, len(p.sorted)*p.profile.Slots)
	return time.Duration(shortJobs) * p.profile.Write(p.profile.UsualAnswer, p.profile.Slots/2, 0) / time.Duration(slots)
}

// refuse returns the decision that turns a job away. The caller is asked to
// come back when the answers in progress have ended and the heavy prompts ahead
// have been read; refused callers are spread so that they do not return at once.
func (p *pool) refuse(now time.Time, j *jobState, reason string) Decision {
	wait := p.predictWait(j)
	if !j.long {
		wait = p.profile.Write(p.profile.UsualAnswer, p.profile.Slots/2, 0)
	}
	p.refusedCount++
	wait += time.Duration(p.refusedCount%retryAfterSteps) * wait / time.Duration(2*retryAfterSteps)
	return Decision{
		Job: j.request.ID, Reason: reason, RetryAfter: min(maxRetryAfter, max(minRetryAfter, wait)),
		Waited: now.Sub(j.arrived), Waiting: len(p.queue),
	}
}

func (p *pool) decayDemand(now time.Time) {
	if !p.longPromptDemandAt.IsZero() {
		p.longPromptDemand *= math.Exp(-now.Sub(p.longPromptDemandAt).Seconds() / demandDecayTime.Seconds())
	}
	p.longPromptDemandAt = now
}

// laneSize returns the number of engines that are kept for heavy prompts: all
// that light answers do not need, since a heavy prompt is read the faster the
// more engines share it.
func (p *pool) reservedCount() int {
	perSecond := p.longPromptDemand / demandDecayTime.Seconds()
	if perSecond < minReservedDemand {
		return 0
	}
	perEngine := targetSlotUtilization * float64(p.profile.Slots)
	need := int(math.Ceil(p.peakShortAnswers/perEngine + shortPromptHeadroom))
	return max(1, len(p.sorted)-need)
}

// observeLight follows the number of light answers: up at once, down slowly, so
// that an engine does not change lanes with each answer that ends.
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

// settle corrects the predictions of the engines after a job's prompt is read.
func (p *pool) finishPrefill(now time.Time, j *jobState) {
	for _, id := range j.placement.engines() {
		e := p.engines[id]
		if e == nil {
			continue
		}
		if a := e.assignments[j.request.ID]; a != nil && !a.primary && a.memoryTokens == 0 {
			e.removeAssignment(j.request.ID) // a helper is done once the prompt is read
		} else {
			e.updateSummary()
		}
		e.finishPrefills(now)
	}
}

// assign notes where a job runs.
func (p *pool) assign(now time.Time, j *jobState, placement *Placement) {
	j.placement = placement
	heldTokens := map[gypsumshelf.ServerID]int{}
	remaining := j.request.Prompt + j.request.Answer
	for _, h := range placement.Holds {
		heldTokens[h.Server] = h.Tokens
		remaining -= h.Tokens
	}
	partTime := j.prefillTime / time.Duration(1+len(placement.Helpers))
	for i, id := range placement.engines() {
		e := p.engines[id]
		if e == nil {
			continue
		}
		a := &assignment{job: j, primary: i == 0, memoryTokens: heldTokens[id]}
		if i == 0 {
			a.memoryTokens = max(0, remaining)
		}
		e.addAssignment(a)
		e.addPrefill(now, partTime)
		if i == 0 && e.isCold(now) {
			e.coldLimiter.AllowN(now, 1)
		}
	}
}
