// Package dispatchers runs the scheduler of engine work behind an RPC service.
// The leading control daemon schedules for all entry daemons. Each entry daemon
// also has a local scheduler for the time in which no leader answers.
package dispatchers

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/costs"
	"gypsumshelf.example/gypsumshelf/crashes"
	"gypsumshelf.example/gypsumshelf/schedules"
	"gypsumshelf.example/gypsumshelf/timers"
)

const (
	// tickPeriod is the period at which waiting jobs are reconsidered: a tenth of
	// the shortest target.
	tickPeriod = 25 * time.Millisecond
	// minLocalSchedulers is the lower bound of the assumed number of local
	// schedulers. It is several times the number in the smallest deployment.
	minLocalSchedulers = 16
	// decisionTTL is the time for which a decision can be requested again. It is
	// the longest silence after which a daemon still trusts its leader.
	decisionTTL = 2 * time.Second
	// reportPeriod is the period at which the leader polls the load of engines. A
	// slow engine is detected within two periods.
	reportPeriod = time.Second
	// localReportPeriod is shorter, since a local scheduler sees the load of other
	// daemons only in reports. It stops polling reportIdleTimeout after its last
	// job.
	localReportPeriod = 250 * time.Millisecond
	reportIdleTimeout = time.Second
	// reportSteps is the number of steps in which the polls of one period are spread,
	// so that they do not all run at once.
	reportSteps = 10
	// maxReportsPerSecond limits the polls of one daemon. With more engines than this
	// in a period, each is polled less often.
	maxReportsPerSecond = 500
	// reportTimeout is the time after which an engine without an answer is treated
	// as failed.
	reportTimeout = 600 * time.Millisecond
	// localQuarantineTime is far above the time without a leader, and short, since a
	// daemon alone does not know which requests are answered elsewhere.
	localQuarantineTime = 30 * time.Second
)

// ErrInactive is returned while the scheduler is not active, and by Await also
// for a job that has no pending decision.
var ErrInactive = errors.New("the scheduler of this daemon is not active")

// Reporter requests load reports from engines.
type Reporter interface {
	Report(ctx context.Context, address string) (schedules.Load, error)
}

// Engine is the state and the address of an engine.
type Engine struct {
	State   schedules.EngineState
	Address string
}

// Config configures a Dispatcher.
type Config struct {
	DataCentre string               // of the daemon
	Daemon     gypsumshelf.DaemonID // selects the engines that a local scheduler uses
	Log        *logrus.Entry
	Reporter   Reporter // nil if engines are not polled
	Local      bool     // one of several schedulers that do not know of each other's jobs
	Policy     schedules.Policy
	// HandleQuarantines is called with what this scheduler finds to crash backend
	// servers, and must not block; nil if nothing is to be done.
	HandleQuarantines func([]crashes.Quarantine)
	// HandleRefuted is called with the quarantines that turned out to be wrong, and must
	// not block; nil if nothing is to be done.
	HandleRefuted func([]crashes.Lift)
	Timers        *timers.Service
}

// pendingDecision is the decision about a job, or a placeholder for it. A
// decision is kept after its delivery, since the response that carried it may
// have missed its deadline.
type pendingDecision struct {
	daemon    gypsumshelf.DaemonID // of the job
	done      chan struct{}        // closed when the job is decided, or is lost
	decision  *schedules.Decision
	decidedAt time.Time
}

// Dispatcher runs a scheduler and gives concurrent callers access to it.
type Dispatcher struct {
	cfg Config

	mu              sync.Mutex
	active          bool
	activeSince     time.Time
	scheduler       *schedules.Scheduler
	profiles        map[string]*costs.Profile
	engines         []Engine
	pending         map[schedules.JobID]*pendingDecision // jobs whose daemons may request a decision
	reportsInFlight map[gypsumshelf.ServerID]bool        // engines with a poll in flight
	nextReport      int                                  // index in engines of the next one to poll
	checkedAt       map[string]time.Time                 // when the engines of a data centre were last polled after a failure
	invalidReports  map[gypsumshelf.ServerID]bool        // engines whose last report was invalid
	localSchedulers int                                  // in the deployment
	quarantines     []crashes.Quarantine                 // in force for all daemons
	lifts           []crashes.Lift                       // of quarantines
	lastJobAt       time.Time
	ended           map[schedules.JobID]time.Time // jobs that ended lately, if placements may be requested twice
	previews        *rate.Limiter
}

// New returns an inactive Dispatcher.
func New(cfg Config) *Dispatcher {
	d := &Dispatcher{cfg: cfg, localSchedulers: minLocalSchedulers, pending: map[schedules.JobID]*pendingDecision{}, reportsInFlight: map[gypsumshelf.ServerID]bool{}, invalidReports: map[gypsumshelf.ServerID]bool{}, ended: map[schedules.JobID]time.Time{}, checkedAt: map[string]time.Time{}, previews: newPreviewLimiter()}
	d.scheduler = d.newScheduler()
	cfg.Timers.Subscribe(tickPeriod, d.tick)
	if cfg.Reporter != nil {
		cfg.Timers.Subscribe(d.reportPeriod()/reportSteps, d.pollIfActive)
	}
	return d
}

func (d *Dispatcher) reportPeriod() time.Duration {
	if d.cfg.Local {
		return localReportPeriod
	}
	return reportPeriod
}

func (d *Dispatcher) newScheduler() *schedules.Scheduler {
	if !d.cfg.Local {
		return schedules.New(schedules.Config{Daemon: d.cfg.Daemon, DataCentre: d.cfg.DataCentre, Policy: d.cfg.Policy, Polled: d.cfg.Reporter != nil})
	}
	return schedules.New(schedules.Config{Daemon: d.cfg.Daemon, DataCentre: d.cfg.DataCentre, Policy: d.cfg.Policy, ColdShare: 1 / float64(d.localSchedulers), QuarantineTime: localQuarantineTime})
}

// SetLocalSchedulers sets the number of local schedulers. It takes effect for
// engines that turn cold from now on.
func (d *Dispatcher) SetLocalSchedulers(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.localSchedulers = max(minLocalSchedulers, n)
	d.scheduler.SetColdShare(1 / float64(d.localSchedulers))
}

// SetActive starts or stops scheduling. After a start the scheduler knows no
// jobs until daemons hand over theirs.
func (d *Dispatcher) SetActive(active bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active == active {
		return
	}
	d.active, d.activeSince = active, d.cfg.Timers.Now()
	d.scheduler = d.newScheduler()
	for id, w := range d.pending {
		if w.decision == nil {
			close(w.done)
		}
		delete(d.pending, id)
	}
	d.scheduler.UpdateEngines(d.cfg.Timers.Now(), d.profiles, d.states())
	d.scheduler.SetQuarantines(d.quarantines, d.lifts)
	if active && d.cfg.Reporter != nil {
		d.pollEngines(maxReportsInFlight)
	}
	d.cfg.Log.WithField("active", active).Info("the scheduler of engine work was activated or deactivated")
}

// UpdateEngines replaces the profiles of the services and the engines that may
// get work.
func (d *Dispatcher) UpdateEngines(profiles map[string]*costs.Profile, engines []Engine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cfg.Local {
		engines = sampleEngines(d.cfg.Daemon, engines)
	}
	d.profiles, d.engines = profiles, engines
	d.scheduler.UpdateEngines(d.cfg.Timers.Now(), profiles, d.states())
}

// SetQuarantines replaces the quarantines that are in force for all daemons, and the
// lifts of earlier ones.
func (d *Dispatcher) SetQuarantines(quarantines []crashes.Quarantine, lifts []crashes.Lift) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quarantines, d.lifts = quarantines, lifts
	d.scheduler.SetQuarantines(quarantines, lifts)
}

func (d *Dispatcher) states() []schedules.EngineState {
	states := make([]schedules.EngineState, 0, len(d.engines))
	for _, e := range d.engines {
		states = append(states, e.State)
	}
	return states
}

// Place submits a job. It returns nil without an error if the job waits; Await
// then returns the decision.
func (d *Dispatcher) Place(job schedules.Job) (*schedules.Decision, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.active {
		return nil, ErrInactive
	}
	now := d.cfg.Timers.Now()
	if decision, repeated, err := d.repeatedPlace(now, job.ID); repeated {
		return decision, err
	}
	if d.cfg.Local && d.cfg.Reporter != nil && now.Sub(d.lastJobAt) > reportIdleTimeout {
		d.pollEngines(maxReportsInFlight) // the last load reports are outdated
	}
	d.lastJobAt = now
	w := &pendingDecision{daemon: job.Daemon, done: make(chan struct{})}
	d.pending[job.ID] = w
	d.deliver(d.scheduler.Submit(d.cfg.Timers.Now(), job))
	return w.decision, nil
}

// Await waits for the decision about a job. It returns nil without an error if
// ctx ends first. It may be called again after it has returned the decision.
func (d *Dispatcher) Await(ctx context.Context, id schedules.JobID) (*schedules.Decision, error) {
	d.mu.Lock()
	w := d.pending[id]
	d.mu.Unlock()
	if w == nil {
		return nil, ErrInactive
	}
	select {
	case <-w.done:
		if w.decision == nil {
			return nil, ErrInactive
		}
		return w.decision, nil
	case <-ctx.Done():
		return nil, nil
	}
}

// Started records the first event of a job.
func (d *Dispatcher) Started(id schedules.JobID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active {
		d.deliver(d.scheduler.Started(d.cfg.Timers.Now(), id))
	}
}

// End records the end of a job, placed or waiting.
func (d *Dispatcher) End(id schedules.JobID, outcome schedules.Outcome, blamed gypsumshelf.ServerID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, id)
	if d.judgesPaths() {
		d.ended[id] = d.cfg.Timers.Now()
	}
	if d.active {
		d.checkNeighbours(d.cfg.Timers.Now(), id, outcome, blamed)
		d.deliver(d.scheduler.End(d.cfg.Timers.Now(), id, outcome, blamed))
	}
}

// RecordCrash records which requests were lost with a backend server that has ended.
func (d *Dispatcher) RecordCrash(r crashes.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active {
		d.scheduler.RecordCrash(d.cfg.Timers.Now(), r)
	}
}

// RecordAbandoned records requests that a daemon was watching when it stopped.
func (d *Dispatcher) RecordAbandoned(r crashes.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active {
		d.scheduler.RecordAbandoned(d.cfg.Timers.Now(), r)
	}
}

// RecordCompleted records that a request with the causes was answered without a job.
func (d *Dispatcher) RecordCompleted(causes []crashes.Cause) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active {
		d.scheduler.RecordCompleted(d.cfg.Timers.Now(), causes)
	}
}

// questionedCauses returns the causes against which handed-over crashes count only if no
// request with them was answered since.
func (d *Dispatcher) questionedCauses() []crashes.Cause {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.QuestionedCauses()
}

// RecordLimit records what an answer of a backend server said about its limit.
func (d *Dispatcher) RecordLimit(l schedules.ServerLimit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active {
		d.scheduler.RecordLimit(d.cfg.Timers.Now(), l)
	}
}

// Admit chooses a server among those that have named limits.
func (d *Dispatcher) Admit(r schedules.AdmissionRequest) (schedules.Admission, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.active {
		return schedules.Admission{}, ErrInactive
	}
	return d.scheduler.Admit(d.cfg.Timers.Now(), r), nil
}

// Adopt takes over jobs that other schedulers placed. It returns ErrInactive while the
// scheduler is not active, since it would forget them with its start.
func (d *Dispatcher) Adopt(jobs []AdoptedJob) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.active {
		return ErrInactive
	}
	for _, j := range jobs {
		d.scheduler.Adopt(d.cfg.Timers.Now(), j.Job, j.Placement, j.Started)
	}
	return nil
}

// EndDaemonJobs ends all jobs of an entry daemon that is not reachable any more. If it
// still runs, Await tells it that its waiting jobs are lost.
func (d *Dispatcher) EndDaemonJobs(daemon gypsumshelf.DaemonID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, w := range d.pending {
		if w.daemon == daemon && w.decision == nil {
			close(w.done)
			delete(d.pending, id)
		}
	}
	if d.active {
		d.deliver(d.scheduler.EndDaemonJobs(d.cfg.Timers.Now(), daemon))
	}
}

func (d *Dispatcher) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, w := range d.pending {
		if w.decision != nil && now.Sub(w.decidedAt) > decisionTTL {
			delete(d.pending, id)
		}
	}
	maps.DeleteFunc(d.ended, func(_ schedules.JobID, at time.Time) bool { return now.Sub(at) > endedTTL })
	if !d.active {
		return
	}
	if now.Sub(d.activeSince) > answersCollectTime {
		d.scheduler.CountHandedOverCrashes()
	}
	d.deliver(d.scheduler.Tick(now))
	d.logPathChanges()
	d.logDemandChanges()
	d.logSlowChanges()
	d.logPaceChanges()
	if found := d.scheduler.TakeQuarantines(); len(found) > 0 && d.cfg.HandleQuarantines != nil {
		d.cfg.HandleQuarantines(found)
	}
	if refuted := d.scheduler.TakeRefutedQuarantines(); len(refuted) > 0 && d.cfg.HandleRefuted != nil {
		d.cfg.HandleRefuted(refuted)
	}
}

// deliver passes decisions to the calls that wait for them; mu is held. It
// cancels placements whose job has no such call any more.
func (d *Dispatcher) deliver(decisions []schedules.Decision) {
	for len(decisions) > 0 {
		var next []schedules.Decision
		for _, decision := range decisions {
			if w := d.pending[decision.Job]; w != nil && w.decision == nil {
				w.decision, w.decidedAt = &decision, d.cfg.Timers.Now()
				close(w.done)
			} else if decision.Placement != nil {
				next = append(next, d.scheduler.End(d.cfg.Timers.Now(), decision.Job, schedules.Cancelled, "")...)
			}
		}
		decisions = next
	}
}

// pollIfActive polls the load of the next engines while scheduling is active. A
// local scheduler polls only while it is in use, since it needs the load that
// other daemons cause.
func (d *Dispatcher) pollIfActive(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active && (!d.cfg.Local || now.Sub(d.lastJobAt) <= reportIdleTimeout) {
		step := d.reportPeriod() / reportSteps
		limit := int(maxReportsPerSecond * step.Seconds())
		d.pollEngines(min(limit, (len(d.engines)+reportSteps-1)/reportSteps))
	}
}

// maxReportsInFlight limits the polls that run at once, when scheduling starts and while
// engines answer late.
const maxReportsInFlight = 128

// pollEngines polls the next n engines in turn, except those that have a poll in
// flight; mu is held.
func (d *Dispatcher) pollEngines(n int) {
	for range min(n, len(d.engines), maxReportsInFlight-len(d.reportsInFlight)) {
		e := d.engines[d.nextReport%len(d.engines)]
		d.nextReport = (d.nextReport + 1) % len(d.engines)
		d.pollEngine(e)
	}
}

// pollEngine polls an engine unless it has a poll in flight; mu is held.
func (d *Dispatcher) pollEngine(e Engine) {
	if !d.reportsInFlight[e.State.ID] {
		d.reportsInFlight[e.State.ID] = true
		poll := &loadPoll{dispatcher: d, engine: e}
		go poll.run()
	}
}

// loadPoll is a request for the load report of an engine.
type loadPoll struct {
	dispatcher *Dispatcher
	engine     Engine
}

func (p *loadPoll) run() {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	report, err := p.dispatcher.cfg.Reporter.Report(ctx, p.engine.Address)
	d := p.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.reportsInFlight, p.engine.State.ID)
	now := d.cfg.Timers.Now()
	if err != nil {
		d.cfg.Log.WithField("backend-server", p.engine.State.ID).WithError(err).Warn("an engine sent no load report; it gets no new work for a while")
		d.scheduler.MarkUnresponsive(now, p.engine.State.ID)
		return
	}
	d.recordReport(now, p.engine.State.ID, report)
}
