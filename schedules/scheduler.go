package schedules

import (
	"cmp"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/costs"
	"gypsumshelf.example/gypsumshelf/crashes"
	"gypsumshelf.example/gypsumshelf/paces"
	"gypsumshelf.example/gypsumshelf/paths"
)

const (
	// maxRetryAfter is the upper bound of Decision.RetryAfter.
	maxRetryAfter = 3 * time.Second
	// lostJobGrace is the time after its deadline at which a job without a
	// reported end is removed.
	lostJobGrace = time.Second
	// retryAfterSteps is the number of different retry times among which refused
	// callers are distributed.
	retryAfterSteps = 16
	// maxLateJobsPerEngine bounds the waiting short jobs that cannot meet their
	// target. Slots that on-time jobs leave free cannot serve more of them before
	// their callers disconnect.
	maxLateJobsPerEngine = 2
	// refusalMargin is the time between a refusal and the end of the caller's
	// patience.
	refusalMargin = 200 * time.Millisecond
	// startupGrace is the time, from its first job on, in which a new scheduler
	// queues jobs even if no engine of their service is known. The engines may not
	// have announced themselves yet.
	startupGrace = 3 * time.Second
	// firstReportWait is the time, from its first job on, for which a new scheduler leaves
	// out the engines that have sent no load report. Without one it does not know of the
	// jobs that daemons have not handed over yet. A poll takes a round trip; a longer wait
	// would make most short prompts late.
	firstReportWait = reportLag / 2
	// minRetryAfter is the lower bound of Decision.RetryAfter. A caller that
	// returns earlier meets the same queue.
	minRetryAfter = 100 * time.Millisecond
)

// jobState is a job with its scheduling state.
type jobState struct {
	request         Job
	arrived         time.Time
	prefillTime     time.Duration // prefill time of the whole prompt on one engine
	long            bool          // the prompt is long: its parts are kept away from answers that accept only short pauses
	placement       *Placement
	placedAt        time.Time
	repeated        bool          // its caller repeats the request at once
	hasPlace        bool          // its caller was refused and returns when it was told to
	adopted         bool          // another scheduler placed the job
	assignedPrefill time.Duration // engine.prefillTotal as of the placement
	slowdown        float64       // of the engine as of the placement, 0 if another scheduler predicted the first event
	started         bool          // the first event has been reported
	orphanUntil     time.Time     // when the answer to a lost daemon ends, zero if the daemon is not lost
	unjudged        bool          // its events say nothing about its engines
	stopAt          time.Time     // when its daemon breaks off its requests, zero if no stop has begun
}

func (j *jobState) due(t time.Duration) time.Time { return j.arrived.Add(t) }

// pool holds the engines and the queue of one service.
type pool struct {
	profile            *costs.Profile
	engines            map[gypsumshelf.ServerID]*engine
	sorted             []*engine // by ID
	queue              []*jobState
	longPromptDemand   float64 // decaying sum of the prefill times of long prompts, in seconds
	longPromptDemandAt time.Time
	peakShortAnswers   float64 // decaying peak of concurrent short answers
	peakShortAnswersAt time.Time
	refusedCount       int
	paths              *paths.Table // nil if paths are not judged
	policy             Policy
	demand             demand         // not used without policy.ForecastDemand
	awaitReportsUntil  time.Time      // engines without a load report are left out before
	reportedBurst      bool           // as of the last DemandChange
	answersOf          map[string]int // active answers by workspace
	shareExceeded      bool           // a workspace holds more than its share of the slots
	nextShortReturn    time.Time      // from which there is capacity for another refused caller
	nextLongReturn     time.Time
}

// Policy switches on decisions that not every deployment asks for. With the zero value
// jobs are placed by the configured engine profiles and the reported load alone.
type Policy struct {
	AvoidBadPaths      bool // prefer engines over paths that lose no packets
	LearnPredictions   bool // correct predicted times by those of finished work
	ForecastDemand     bool // divide engines by the expected arrivals
	FindPace           bool // raise the load of an engine that has started or recovered by its answers
	ProtectFirstEvents bool // let no prefill make the first event of a placed short prompt late
	ShareBusyEngines   bool // tell other schedulers which engines work for long prompts
	CheckNeighbours    bool // poll the engines of a data centre at once when one of them has failed
}

// Config configures a Scheduler.
type Config struct {
	Daemon     gypsumshelf.DaemonID // that runs the scheduler
	DataCentre string               // of that daemon
	// ColdShare is the fraction of a cold engine's request rate that this
	// scheduler may use; 0 stands for the whole rate and means that no other
	// scheduler places jobs on the engines. Schedulers that do not know of each
	// other's jobs use equal shares.
	ColdShare float64
	// Policy switches on decisions that a deployment asks for.
	Policy Policy
	// Polled states that the engines are polled for load reports from the start.
	Polled bool
	// QuarantineTime is the time for which the quarantines found here last; 0 stands
	// for crashes.QuarantineTime.
	QuarantineTime time.Duration
}

// Scheduler places jobs on engines.
type Scheduler struct {
	cfg        Config
	firstJobAt time.Time
	pools      map[string]*pool
	jobs       map[JobID]*jobState
	crashes    *crashes.Detector
	limits     *limits
	found      []crashes.Quarantine // not returned by TakeQuarantines yet
	places     map[string]keptPlace // of jobs that were handed back or refused, by fingerprint
	copies     map[string]int       // known jobs by fingerprint
	paths      *paths.Table         // nil if paths are not judged

	slowChanges   []SlowChange                          // not returned by TakeSlowChanges yet
	demandChanges []DemandChange                        // not returned by TakeDemandChanges yet
	paces         *paces.Table                          // nil if the paces of servers are not found out
	plain         map[gypsumshelf.ServerID]*plainServer // those whose pace is found out
}

// New returns a Scheduler that knows no engines.
func New(cfg Config) *Scheduler {
	detector := crashes.NewDetector(cmp.Or(cfg.QuarantineTime, crashes.QuarantineTime))
	s := &Scheduler{cfg: cfg, pools: map[string]*pool{}, jobs: map[JobID]*jobState{}, crashes: detector, limits: newLimits(cfg.ColdShare), places: map[string]keptPlace{}, copies: map[string]int{}}
	if cfg.Policy.AvoidBadPaths {
		s.paths = paths.NewTable()
	}
	if cfg.Policy.FindPace {
		s.paces, s.plain = paces.NewTable(), map[gypsumshelf.ServerID]*plainServer{}
	}
	return s
}

// SetColdShare changes Config.ColdShare for engines that turn cold or name another
// limit from now on.
func (s *Scheduler) SetColdShare(share float64) { s.cfg.ColdShare, s.limits.share = share, share }

// UpdateEngines sets the profiles of all services and the states of all
// engines. Engines that are missing from the states get no new work.
func (s *Scheduler) UpdateEngines(now time.Time, profiles map[string]*costs.Profile, states []EngineState) {
	for name, profile := range profiles {
		if s.pools[name] == nil {
			s.pools[name] = &pool{engines: map[gypsumshelf.ServerID]*engine{}, answersOf: map[string]int{}, paths: s.paths, policy: s.cfg.Policy}
		}
		s.pools[name].profile = profile
		if s.paths != nil {
			s.paths.SetStreamEvents(profile.MeanAnswerTokens / max(1, profile.StepsPerPass))
		}
	}
	listed := map[gypsumshelf.ServerID]bool{}
	for _, state := range states {
		p := s.pools[state.Service]
		if p == nil {
			continue
		}
		listed[state.ID] = true
		if p.engines[state.ID] == nil {
			p.engines[state.ID] = newEngine(state, p.profile, s.limits)
			p.engines[state.ID].tieBreak = s.tieBreak(state.ID)
			p.engines[state.ID].protectFirst = s.cfg.Policy.ProtectFirstEvents
		}
		p.engines[state.ID].learns = s.cfg.Policy.LearnPredictions
		p.engines[state.ID].update(now, state, p.profile, s.cfg.ColdShare)
		s.updatePace(now, p.engines[state.ID])
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

// Submit adds a job. The job waits if the result has no decision about it.
func (s *Scheduler) Submit(now time.Time, job Job) []Decision {
	p := s.pools[job.Service]
	if s.firstJobAt.IsZero() {
		s.firstJobAt = now
		s.awaitReports(now)
	}
	if p == nil || len(p.engines) == 0 && now.Sub(s.firstJobAt) > startupGrace {
		return []Decision{{Job: job.ID, RetryAfter: minRetryAfter, Reason: "no engine of the service is known"}}
	}
	if s.crashes.IsQuarantined(now, job.Causes) {
		return []Decision{{Job: job.ID, RetryAfter: maxRetryAfter, Reason: crashes.QuarantineReason}}
	}
	j := s.addJob(now, p, job)
	if p.policy.ForecastDemand && !j.long {
		p.demand.arrivals.record(now)
	}
	s.judgeCaller(now, j)
	wait := p.predictWait(j, s.jobsAhead(now, p, j))
	if wait > min(job.Patience, job.Deadline-p.minServiceTime(j)) && !j.hasPlace {
		return []Decision{s.refuse(now, p, j, "the queue is longer than the caller waits")}
	}
	if p.outlastsStop(now, j, wait) {
		return []Decision{s.handBack(now, p, j)}
	}
	if wait := p.limitedWait(now); wait > max(0, job.Target) {
		d := s.refuse(now, p, j, "all engines have named limits that are used up")
		d.RetryAfter = min(maxRetryAfter, max(d.RetryAfter, wait))
		return []Decision{d}
	}
	p.queue = append(p.queue, j)
	return s.processQueue(now, p, j.long)
}

// addJob registers a job and adds a long prompt to the demand.
func (s *Scheduler) addJob(now time.Time, p *pool, job Job) *jobState {
	j := &jobState{request: job, arrived: now, prefillTime: p.profile.PrefillTime(job.Prompt)}
	if job.Stop > 0 {
		j.stopAt = now.Add(job.Stop)
	}
	j.long = j.prefillTime > p.maxShortPrefill()
	if j.long {
		p.decayDemand(now)
		p.longPromptDemand += j.prefillTime.Seconds()
	}
	s.jobs[job.ID] = j
	if job.Fingerprint != "" {
		s.copies[job.Fingerprint]++
	}
	return j
}

// Adopt registers a job that another scheduler or a daemon placed.
func (s *Scheduler) Adopt(now time.Time, job Job, placement Placement, started bool) {
	p := s.pools[job.Service]
	if known := s.jobs[job.ID]; p == nil || known != nil {
		if known != nil {
			known.orphanUntil, known.unjudged = time.Time{}, false // its daemon is back
		}
		return
	}
	j := s.addJob(now, p, job)
	j.adopted = true
	p.assign(now, j, &placement)
	p.takeFromExternal(j)
	s.settleAdopted(j, started)
	if j.started = started; started {
		p.finishPrefill(now, j)
	}
}

// Started records the first event of a job.
func (s *Scheduler) Started(now time.Time, id JobID) []Decision {
	j := s.jobs[id]
	if j == nil || j.started {
		return nil
	}
	j.started = true
	p := s.pools[j.request.Service]
	p.learnFirst(now, j)
	s.judgeFirstEvent(now, p, j)
	if j.placement != nil {
		p.finishPrefill(now, j)
	}
	if !j.long {
		return nil // the job still occupies its slot
	}
	return s.processQueue(now, p, allJobs)
}

// End records the end of a job, placed or waiting. If the outcome is a failure,
// the blamed engine gets no new work for a while; without a blamed engine it is
// the primary.
func (s *Scheduler) End(now time.Time, id JobID, outcome Outcome, blamed gypsumshelf.ServerID) []Decision {
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	s.removeJob(j)
	if outcome == Completed {
		s.crashes.RecordCompleted(now, j.request.Causes)
	}
	p := s.pools[j.request.Service]
	if j.placement == nil {
		p.queue = slices.DeleteFunc(p.queue, func(o *jobState) bool { return o == j })
		return nil
	}
	p.countAnswer(j, -1)
	s.judgeEnd(now, p, j, outcome, p.engines[cmp.Or(blamed, j.placement.Server)])
	for _, server := range j.placement.engines() {
		if e := p.engines[server]; e != nil {
			e.removeAssignment(now, id)
			e.finishPrefills(now)
		}
	}
	if e := p.engines[cmp.Or(blamed, j.placement.Server)]; e != nil {
		switch {
		case outcome.IsFailure() && p.pathState(now, j.request.DataCentre, e.state.DataCentre) == paths.Sound:
			e.recordFailure(now)
		case outcome == Completed:
			e.recordSuccess()
		}
	}
	return s.processQueue(now, p, shortJobsOnly)
}

// PlacedOn returns the engine that answers a job, empty if it is unknown or waits.
func (s *Scheduler) PlacedOn(id JobID) gypsumshelf.ServerID {
	if j := s.jobs[id]; j != nil && j.placement != nil {
		return j.placement.Server
	}
	return ""
}

// UpdateLoad records the load that an engine reported. It returns an error and keeps the
// last report if the load is invalid.
func (s *Scheduler) UpdateLoad(now time.Time, id gypsumshelf.ServerID, l Load) error {
	if err := l.validate(); err != nil {
		return err
	}
	for _, p := range s.pools {
		if e := p.engines[id]; e != nil {
			e.recordLoad(now, l)
		}
	}
	return nil
}

// EndDaemonJobs ends all jobs of an entry daemon that is not reachable any
// more. If it still runs, its requests show up in the load reports of the
// engines.
func (s *Scheduler) EndDaemonJobs(now time.Time, daemon gypsumshelf.DaemonID) []Decision {
	var decisions []Decision
	for id, j := range s.jobs {
		switch {
		case j.request.Daemon != daemon:
		case s.cfg.Policy.ProtectFirstEvents && j.placement != nil:
			s.orphan(now, j)
		default:
			j.unjudged = true
			decisions = append(decisions, s.End(now, id, Cancelled, "")...)
		}
	}
	return decisions
}

// MarkUnresponsive keeps new work off an engine that does not answer, unless the path to
// it explains that.
func (s *Scheduler) MarkUnresponsive(now time.Time, id gypsumshelf.ServerID) {
	for _, p := range s.pools {
		if e := p.engines[id]; e != nil && !now.Before(e.avoidUntil) && p.pathState(now, s.cfg.DataCentre, e.state.DataCentre) == paths.Sound {
			e.recordFailure(now)
		}
	}
}

// Tick removes lost jobs and decides about waiting ones.
func (s *Scheduler) Tick(now time.Time) []Decision {
	var decisions []Decision
	s.forgetPlaces(now)
	s.tickPaces(now)
	for id, j := range s.jobs {
		// The daemon of the job has died, or its message about the end was lost.
		if j.placement != nil && now.After(j.due(j.request.Deadline+lostJobGrace)) || j.isOrphanOver(now) {
			j.unjudged = true
			decisions = append(decisions, s.End(now, id, Cancelled, "")...)
		}
	}
	decisions = append(decisions, s.judgeCrashes(now)...)
	for name, p := range s.pools {
		p.updateRatios(now)
		s.recordSlow(now, p)
		decisions = append(decisions, s.processQueue(now, p, allJobs)...)
		s.recordBurst(name, p)
	}
	return decisions
}

// Values of the includeLong parameter of processQueue. Long jobs are left out
// when a single answer ends: they are costly to place and need several engines.
const (
	shortJobsOnly = false
	allJobs       = true
)

// processQueue places and refuses waiting jobs in the order of their urgency.
func (s *Scheduler) processQueue(now time.Time, p *pool, includeLong bool) []Decision {
	p.decayDemand(now)
	p.updateShortAnswers(now)
	p.updateDemand(now)
	if len(p.queue) == 0 {
		return nil
	}
	var decisions []Decision
	p.updateShares()
	slices.SortStableFunc(p.queue, func(a, b *jobState) int { return p.compare(now, a, b) })
	waiting, late := len(p.queue), 0
	defaultCandidates := p.candidateSet(now, nil) // most jobs avoid no engine
	remaining := p.queue[:0]
	for _, j := range p.queue {
		if p.outlastsStop(now, j, p.waitBehind(j, remaining)) {
			decisions = append(decisions, s.handBack(now, p, j))
			continue
		}
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
		case placement != nil && p.outlastsStop(now, j, placement.First-p.prefillAtBest(j)):
			d = s.handBack(now, p, j)
		case placement != nil:
			placement.Limited = s.limits.get(now, placement.Server) != nil
			j.slowdown = p.engines[placement.Server].slowdown(now)
			p.assign(now, j, placement)
			d.Placement = placement
			defaultCandidates = p.candidateSet(now, nil)
		case p.isUnservable(now, j):
			d = s.refuse(now, p, j, "no engine was free in time")
		case late > maxLateJobsPerEngine*len(p.sorted) && !j.long && !j.hasPlace:
			d = s.refuse(now, p, j, "too many late requests wait")
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

// compare defines the order of waiting jobs. Jobs that can still meet their
// target precede late ones: a late job gains little from an earlier start,
// which could make an on-time job late. Late jobs are ordered by arrival. Among
// on-time jobs, priority comes first. Short jobs of equal priority are ordered
// newest first: if more jobs arrive than slots become free, the oldest would
// have no slack left, and any further delay would make it late. Long jobs are
// ordered by the time at which their first event is due.
func (p *pool) compare(now time.Time, a, b *jobState) int {
	if p.policy.ForecastDemand {
		return p.compareFairly(now, a, b)
	}
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

// finishPrefill updates the engines of a job after the prefill of its prompt.
func (p *pool) finishPrefill(now time.Time, j *jobState) {
	for _, id := range j.placement.engines() {
		e := p.engines[id]
		if e == nil {
			continue
		}
		if a := e.assignments[j.request.ID]; a != nil && !a.primary && a.memoryTokens == 0 {
			e.removeAssignment(now, j.request.ID) // a helper without a reservation has no further work
		} else {
			e.updateSummary()
		}
		e.finishPrefills(now)
	}
}

// assign records the placement of a job on its engines.
func (p *pool) assign(now time.Time, j *jobState, placement *Placement) {
	j.placement, j.placedAt = placement, now
	p.countAnswer(j, 1)
	heldTokens := map[gypsumshelf.ServerID]int{}
	remaining := j.request.Prompt + j.request.Answer
	for _, h := range placement.Holds {
		heldTokens[h.Server] = h.Tokens
		remaining -= h.Tokens
	}
	partTime := j.prefillTime / time.Duration(1+len(placement.Helpers))
	if j.long {
		p.demand.longPartTime = partTime
	}
	for i, id := range placement.engines() {
		e := p.engines[id]
		if e == nil {
			continue
		}
		a := &assignment{job: j, primary: i == 0, memoryTokens: heldTokens[id]}
		if !j.adopted {
			a.placedAt = now
		}
		if i == 0 {
			a.memoryTokens = max(0, remaining)
		}
		e.addAssignment(a)
		e.addPrefill(now, partTime)
		a.prefillTotal = e.prefillTotal
		if i == 0 {
			j.assignedPrefill = e.prefillTotal
			e.countRequest(now)
		}
	}
}
