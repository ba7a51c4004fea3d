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
	demandMemory = time.Second
	// writersPerEngine is the part of an engine's slots that short answers are
	// planned to fill; the rest absorbs bursts.
	writersPerEngine = 0.95
	// laneHeadroom is the part of an engine by which the light lane exceeds that.
	laneHeadroom = 0.3
	// lightMemory is the time after which the highest number of light answers
	// counts 1/e: a quarter of the time that such an answer takes, so that the
	// lane does not follow each answer and still follows a burst.
	lightMemory = 500 * time.Millisecond
	// leastDemand is the reading, in engines, below which no lane is kept.
	leastDemand = 0.02
	// maxRetryAfter bounds the time after which a refused caller is asked to
	// come back.
	maxRetryAfter = 3 * time.Second
	// lostAfter is the time after its deadline at which a job is taken for ended.
	lostAfter = time.Second
	// retrySpread is the number of different times after which refused callers return.
	retrySpread = 16
	// latePerEngine bounds the light jobs that wait although they are late: the
	// slots that requests in time leave free do not serve more before they leave.
	latePerEngine = 2
	// leaveMargin is the time by which a refusal comes before the caller leaves.
	leaveMargin = 200 * time.Millisecond
	// startTime is the time for which a new scheduler lets jobs wait for engines
	// that have not announced themselves yet.
	startTime = 3 * time.Second
	// minRetryAfter is the shortest such time: an earlier return finds the same queue.
	minRetryAfter = 100 * time.Millisecond
)

// run is a job with what the scheduler did about it.
type run struct {
	job       Job
	arrived   time.Time
	alone     time.Duration // time that one engine takes to read the prompt
	heavy     bool          // kept apart from answers with short pauses
	placement *Placement
	started   bool // the first event has been seen
}

func (r *run) due(t time.Duration) time.Time { return r.arrived.Add(t) }

// pool is the scheduler's state for one service.
type pool struct {
	figures  *costs.Engine
	engines  map[gypsumshelf.ServerID]*engine
	order    []*engine // by ID
	queue    []*run
	demand   float64 // engine seconds of heavy reading asked for, decaying
	demandAt time.Time
	light    float64 // highest number of light answers at once, decaying
	lightAt  time.Time
	refused  int // jobs refused so far
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
	cfg   Config
	since time.Time // of the first job
	pools map[string]*pool
	runs  map[JobID]*run
}

// New returns a Scheduler without engines.
func New(cfg Config) *Scheduler {
	return &Scheduler{cfg: cfg, pools: map[string]*pool{}, runs: map[JobID]*run{}}
}

// SetShare changes the share for engines that turn cold from now on.
func (s *Scheduler) SetShare(share float64) { s.cfg.Share = share }

// Update replaces what is known of the engines of all services. Engines that
// are not listed any more get no new work.
func (s *Scheduler) Update(now time.Time, figures map[string]*costs.Engine, states []EngineState) {
	for name, f := range figures {
		if s.pools[name] == nil {
			s.pools[name] = &pool{engines: map[gypsumshelf.ServerID]*engine{}}
		}
		s.pools[name].figures = f
	}
	listed := map[gypsumshelf.ServerID]bool{}
	for _, state := range states {
		p := s.pools[state.Service]
		if p == nil {
			continue
		}
		listed[state.ID] = true
		if p.engines[state.ID] == nil {
			p.engines[state.ID] = newEngine(state, p.figures)
		}
		p.engines[state.ID].update(now, state, p.figures, s.cfg.Share)
	}
	for _, p := range s.pools {
		for id := range p.engines {
			if !listed[id] {
				delete(p.engines, id)
			}
		}
		p.order = p.order[:0]
		for _, e := range p.engines {
			p.order = append(p.order, e)
		}
		slices.SortFunc(p.order, func(a, b *engine) int { return cmp.Compare(a.id(), b.id()) })
	}
}

// Submit takes a new job. Without a decision about it in the result, the job waits.
func (s *Scheduler) Submit(now time.Time, job Job) []Decision {
	p := s.pools[job.Service]
	if s.since.IsZero() {
		s.since = now
	}
	if p == nil || len(p.engines) == 0 && now.Sub(s.since) > startTime {
		return []Decision{{Job: job.ID, RetryAfter: minRetryAfter, Reason: "no engine of the service is known"}}
	}
	r := s.admit(now, p, job)
	if wait := p.predictWait(r); wait > min(job.Patience, job.Deadline-p.minimum(r)) {
		delete(s.runs, job.ID)
		return []Decision{p.refuse(now, r, "the queue is longer than the caller waits")}
	}
	p.queue = append(p.queue, r)
	return s.drain(now, p, r.heavy)
}

// admit creates the run of a job and counts its demand.
func (s *Scheduler) admit(now time.Time, p *pool, job Job) *run {
	r := &run{job: job, arrived: now, alone: p.figures.Read(job.Prompt)}
	r.heavy = r.alone > p.lightRead()
	if r.heavy {
		p.decay(now)
		p.demand += r.alone.Seconds()
	}
	s.runs[job.ID] = r
	return r
}

// Adopt takes over a job that another scheduler or a daemon placed.
func (s *Scheduler) Adopt(now time.Time, job Job, placement Placement, started bool) {
	p := s.pools[job.Service]
	if p == nil || s.runs[job.ID] != nil {
		return
	}
	r := s.admit(now, p, job)
	p.assign(now, r, &placement)
	if r.started = started; started {
		p.settle(now, r)
	}
}

// Started notes the first event of a job.
func (s *Scheduler) Started(now time.Time, id JobID) []Decision {
	r := s.runs[id]
	if r == nil || r.started {
		return nil
	}
	r.started = true
	p := s.pools[r.job.Service]
	if r.placement != nil {
		p.settle(now, r)
	}
	if !r.heavy {
		return nil // its slot is still taken
	}
	return s.drain(now, p, everyJob)
}

// End notes the end of a job, placed or waiting. The blamed engine, when there
// is one, gets no new work for a while if the outcome is a failure.
func (s *Scheduler) End(now time.Time, id JobID, outcome Outcome, blamed gypsumshelf.ServerID) []Decision {
	r := s.runs[id]
	if r == nil {
		return nil
	}
	delete(s.runs, id)
	p := s.pools[r.job.Service]
	if r.placement == nil {
		p.queue = slices.DeleteFunc(p.queue, func(o *run) bool { return o == r })
		return nil
	}
	for _, engine := range r.placement.engines() {
		if e := p.engines[engine]; e != nil {
			e.remove(id)
			e.settle(now)
		}
	}
	if e := p.engines[cmp.Or(blamed, r.placement.Server)]; e != nil {
		switch {
		case outcome.Failure():
			e.fail(now)
		case outcome == Completed:
			e.succeed()
		}
	}
	return s.drain(now, p, lightOnly)
}

// Report takes what an engine says of itself.
func (s *Scheduler) Report(now time.Time, id gypsumshelf.ServerID, l Load) {
	for _, p := range s.pools {
		if e := p.engines[id]; e != nil {
			e.report(now, l)
		}
	}
}

// Drop ends all jobs of an entry daemon that is not heard any more. If it still
// runs, its requests show in the reports of the engines.
func (s *Scheduler) Drop(now time.Time, daemon gypsumshelf.DaemonID) []Decision {
	var decisions []Decision
	for id, r := range s.runs {
		if r.job.Daemon == daemon {
			decisions = append(decisions, s.End(now, id, Cancelled, "")...)
		}
	}
	return decisions
}

// Suspect keeps new work off an engine that does not answer.
func (s *Scheduler) Suspect(now time.Time, id gypsumshelf.ServerID) {
	for _, p := range s.pools {
		if e := p.engines[id]; e != nil && !now.Before(e.avoid) {
			e.fail(now)
		}
	}
}

// Tick decides about waiting jobs.
func (s *Scheduler) Tick(now time.Time) []Decision {
	var decisions []Decision
	for id, r := range s.runs {
		// The daemon that held the job has died, or its note was lost.
		if r.placement != nil && now.After(r.due(r.job.Deadline+lostAfter)) {
			decisions = append(decisions, s.End(now, id, Cancelled, "")...)
		}
	}
	for _, p := range s.pools {
		decisions = append(decisions, s.drain(now, p, everyJob)...)
	}
	return decisions
}

// Which waiting jobs are looked at. A heavy job waits for several engines and
// is costly to place, so that the end of a single answer is no reason to try it.
const (
	lightOnly = false
	everyJob  = true
)

// drain places and refuses waiting jobs, the most urgent first.
func (s *Scheduler) drain(now time.Time, p *pool, heavy bool) []Decision {
	p.decay(now)
	p.observeLight(now)
	if len(p.queue) == 0 {
		return nil
	}
	var decisions []Decision
	slices.SortStableFunc(p.queue, func(a, b *run) int { return p.compare(now, a, b) })
	waiting, late := len(p.queue), 0
	shared := p.options(now, nil) // most jobs avoid no engine
	kept := p.queue[:0]
	for _, r := range p.queue {
		if r.heavy && !heavy {
			kept = append(kept, r)
			continue
		}
		d := Decision{Job: r.job.ID, Waited: now.Sub(r.arrived), Waiting: waiting}
		o := shared
		if len(r.job.Avoid) > 0 {
			o = p.options(now, r.job.Avoid)
		}
		placement := p.choose(now, r, o)
		if placement == nil && !r.heavy && p.late(now, r) {
			late++
		}
		switch {
		case placement != nil:
			p.assign(now, r, placement)
			d.Placement = placement
			shared = p.options(now, nil)
		case p.hopeless(now, r):
			delete(s.runs, r.job.ID)
			d = p.refuse(now, r, "no engine was free in time")
		case late > latePerEngine*len(p.order) && !r.heavy:
			delete(s.runs, r.job.ID)
			d = p.refuse(now, r, "too many late requests wait")
		default:
			kept = append(kept, r)
			continue
		}
		decisions = append(decisions, d)
	}
	clear(p.queue[len(kept):])
	p.queue = kept
	return decisions
}

// compare orders waiting jobs: those that can still meet their target, then the
// late ones by arrival. A late job earns little more by being first, while one in
// time would become late behind it. Of light jobs in time the newest is first:
// when more arrive than slots are free, the oldest would have no time to spare,
// and each delay on its way would make it late. Heavy jobs go by their due time.
func (p *pool) compare(now time.Time, a, b *run) int {
	lateA, lateB := p.late(now, a), p.late(now, b)
	switch {
	case lateA != lateB && lateB:
		return -1
	case lateA != lateB:
		return 1
	case lateA:
		return a.arrived.Compare(b.arrived)
	}
	if c := cmp.Compare(a.job.Priority, b.job.Priority); c != 0 {
		return c
	}
	if !a.heavy && !b.heavy {
		return b.arrived.Compare(a.arrived)
	}
	return a.due(a.job.Target).Compare(b.due(b.job.Target))
}

// late reports whether a waiting job cannot meet its target any more.
func (p *pool) late(now time.Time, r *run) bool {
	return now.Add(p.soonest(r)).After(r.due(r.job.Target))
}

// soonest returns the time to the first event of a job that is placed on
// engines with no other prompt to read.
func (p *pool) soonest(r *run) time.Duration {
	pass := p.figures.Pass(p.figures.Slots, p.figures.Slots*p.figures.UsualPrompt/2)
	if r.heavy {
		return r.alone/time.Duration(max(1, p.laneSize())) + pass
	}
	return r.alone + pass + pass/2 // the pass in progress has to end first
}

// minimum returns the least time that a job takes once it is placed.
func (p *pool) minimum(r *run) time.Duration {
	return p.figures.ReadShared(r.job.Prompt, min(maxHelpers, len(p.order))) + p.figures.Write(r.job.Expected, 1, r.job.Prompt)
}

// hopeless reports whether a waiting job cannot be served any more. It is said
// before the caller leaves, who is then told when to come back.
func (p *pool) hopeless(now time.Time, r *run) bool {
	return now.Add(p.soonest(r)+leaveMargin).After(r.due(r.job.Patience)) || now.Add(p.minimum(r)).After(r.due(r.job.Deadline))
}

// predictWait returns the time until the waiting jobs ahead of a job are placed.
func (p *pool) predictWait(r *run) time.Duration {
	var work time.Duration
	short := 0
	for _, o := range p.queue {
		if o == r {
			continue
		}
		if o.heavy {
			work += o.alone
		} else {
			short++
		}
	}
	if r.heavy {
		return work / time.Duration(max(1, p.laneSize()))
	}
	// A slot is free after each answer; all slots end an answer in about the
	// time of a usual one.
	slots := max(1, len(p.order)*p.figures.Slots)
	return time.Duration(short) * p.figures.Write(p.figures.UsualAnswer, p.figures.Slots/2, 0) / time.Duration(slots)
}

// refuse returns the decision that turns a job away. The caller is asked to
// come back when the answers in progress have ended and the heavy prompts ahead
// have been read; refused callers are spread so that they do not return at once.
func (p *pool) refuse(now time.Time, r *run, reason string) Decision {
	wait := p.predictWait(r)
	if !r.heavy {
		wait = p.figures.Write(p.figures.UsualAnswer, p.figures.Slots/2, 0)
	}
	p.refused++
	wait += time.Duration(p.refused%retrySpread) * wait / time.Duration(2*retrySpread)
	return Decision{
		Job: r.job.ID, Reason: reason, RetryAfter: min(maxRetryAfter, max(minRetryAfter, wait)),
		Waited: now.Sub(r.arrived), Waiting: len(p.queue),
	}
}

func (p *pool) decay(now time.Time) {
	if !p.demandAt.IsZero() {
		p.demand *= math.Exp(-now.Sub(p.demandAt).Seconds() / demandMemory.Seconds())
	}
	p.demandAt = now
}

// laneSize returns the number of engines that are kept for heavy prompts: all
// that light answers do not need, since a heavy prompt is read the faster the
// more engines share it.
func (p *pool) laneSize() int {
	perSecond := p.demand / demandMemory.Seconds()
	if perSecond < leastDemand {
		return 0
	}
	perEngine := writersPerEngine * float64(p.figures.Slots)
	need := int(math.Ceil(p.light/perEngine + laneHeadroom))
	return max(1, len(p.order)-need)
}

// observeLight follows the number of light answers: up at once, down slowly, so
// that an engine does not change lanes with each answer that ends.
func (p *pool) observeLight(now time.Time) {
	n := 0
	for _, e := range p.order {
		n += e.sum.light
	}
	for _, r := range p.queue {
		if !r.heavy {
			n++
		}
	}
	if !p.lightAt.IsZero() {
		p.light *= math.Exp(-now.Sub(p.lightAt).Seconds() / lightMemory.Seconds())
	}
	p.light, p.lightAt = max(p.light, float64(n)), now
}

// settle corrects the predictions of the engines after a job's prompt is read.
func (p *pool) settle(now time.Time, r *run) {
	for _, id := range r.placement.engines() {
		e := p.engines[id]
		if e == nil {
			continue
		}
		if part := e.parts[r.job.ID]; part != nil && !part.writes && part.context == 0 {
			e.remove(r.job.ID) // a helper is done once the prompt is read
		} else {
			e.summarize()
		}
		e.settle(now)
	}
}

// assign notes where a job runs.
func (p *pool) assign(now time.Time, r *run, placement *Placement) {
	r.placement = placement
	held := map[gypsumshelf.ServerID]int{}
	rest := r.job.Prompt + r.job.Answer
	for _, h := range placement.Holds {
		held[h.Server] = h.Tokens
		rest -= h.Tokens
	}
	read := r.alone / time.Duration(1+len(placement.Helpers))
	for i, id := range placement.engines() {
		e := p.engines[id]
		if e == nil {
			continue
		}
		part := &part{job: r, writes: i == 0, context: held[id]}
		if i == 0 {
			part.context = max(0, rest)
		}
		e.put(part)
		e.read(now, read)
		if i == 0 && e.isCold(now) {
			e.cold.AllowN(now, 1)
		}
	}
}
