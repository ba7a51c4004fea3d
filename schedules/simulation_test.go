package schedules

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/costs"
)

// testProfile returns the profile of the engines of both deployments.
func testProfile() *costs.Profile {
	return &costs.Profile{
		Slots: 16, MemoryTokens: 450_000, StepTime: 925 * time.Microsecond, StepTimePerAnswer: 4830 * time.Nanosecond,
		StepTimePerThousandTokens: 2540 * time.Nanosecond, PrefillRate: 256_000, PrefillTimePerMillionPairs: 91700 * time.Nanosecond,
		PrefillChunk: 2048, StepsPerPass: 46, MeanPromptTokens: 13_227, MeanAnswerTokens: 1541,
	}
}

// class is a class of requests in a simulated load.
type class struct {
	name                    string
	ratePerSecond           float64
	meanPrompt, promptSigma float64
	maxPrompt               float64
	meanEvents              float64
	target, gap             time.Duration
	deadline                time.Duration
	value, lateValue        float64
}

var baseClasses = []class{
	{"draft", 30.7, 5000, 0.9, 23_800, 35, 300 * time.Millisecond, 200 * time.Millisecond, 10 * time.Second, 1.3, 0.33},
	{"check", 2.23, 45_000, 0.5, 110_000, 21, 1500 * time.Millisecond, 500 * time.Millisecond, 10 * time.Second, 3.1, 0.79},
	{"review", 0.922, 210_000, 0.55, 1_000_000, 17, 3 * time.Second, 800 * time.Millisecond, 15 * time.Second, 22, 5.4},
}

// largeDeploymentClasses are the classes of the grown deployments.
var largeDeploymentClasses = []class{
	{"draft", 76.7, 5000, 0.9, 23_800, 33, 300 * time.Millisecond, 200 * time.Millisecond, 10 * time.Second, 1.4, 0.34},
	{"check", 7.03, 45_000, 0.5, 110_000, 20, 1500 * time.Millisecond, 500 * time.Millisecond, 10 * time.Second, 2.6, 0.65},
	{"review", 1.6, 300_000, 0.55, 1_000_000, 16, 4 * time.Second, 800 * time.Millisecond, 15 * time.Second, 30, 7.5},
}

// simJob is a job in the simulation.
type simJob struct {
	class            *class
	job              Job
	arrived          time.Duration
	remainingEvents  int
	pendingParts     int // parts with an unfinished prefill
	timeToFirstEvent time.Duration
	lastEventAt      time.Duration
	maxGap           time.Duration
	completed        bool
	placement        *Placement
	placedAt         time.Duration
	refused          bool
}

// simEngine executes passes as the documentation of the platform describes
// them.
type simEngine struct {
	id       gypsumshelf.ServerID
	prefills []*simPrefill
	answers  []*simJob
	inPass   bool
	slowdown float64  // 0 stands for 1
	cold     *simCold // nil if it is warm
}

type simPrefill struct {
	job             *simJob
	remainingMs     float64
	remainingTokens float64
	helper          bool
}

// simulation runs a scheduler with simulated engines.
type simulation struct {
	t          testing.TB
	now        time.Duration
	rand       *rand.Rand
	profile    *costs.Profile
	classes    []class
	scheduler  *Scheduler
	engines    map[gypsumshelf.ServerID]*simEngine
	jobs       map[JobID]*simJob
	submitted  []*simJob
	queue      simQueue
	eventCount int
	network    *simNetwork                               // nil if events arrive at once
	spread     bool                                      // callers are in three data centres
	identify   func(j *simJob)                           // nil if requests have no fingerprints
	refused    func(j *simJob, retryAfter time.Duration) // nil if callers do not return
	failing    func(gypsumshelf.ServerID) bool           // tells which engines break off requests, nil for none
}

type simEvent struct {
	at       time.Duration
	sequence int
	action   func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

var simStart = time.Unix(1000, 0)

func (s *simulation) time() time.Time { return simStart.Add(s.now) }

func (s *simulation) after(d time.Duration, action func()) {
	s.eventCount++
	heap.Push(&s.queue, simEvent{at: s.now + d, sequence: s.eventCount, action: action})
}

func newSimulation(t testing.TB, engines int, seed uint64) *simulation {
	s := &simulation{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), profile: testProfile(), scheduler: New(Config{}), classes: baseClasses,
		engines: map[gypsumshelf.ServerID]*simEngine{}, jobs: map[JobID]*simJob{},
	}
	var states []EngineState
	for i := range engines {
		id := gypsumshelf.ServerID(fmt.Sprintf("e%02d", i))
		s.engines[id] = &simEngine{id: id}
		states = append(states, EngineState{ID: id, Service: "llm", DataCentre: "a"})
	}
	s.scheduler.UpdateEngines(s.time(), map[string]*costs.Profile{"llm": s.profile}, states)
	return s
}

// run simulates a load. factor returns the multiple of a class's rate at a
// time.
func (s *simulation) run(length time.Duration, factor func(c *class, at time.Duration) float64) {
	for i := range s.classes {
		s.scheduleArrivals(&s.classes[i], length, factor)
	}
	s.tick(length + 20*time.Second)
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.action()
	}
}

func (s *simulation) tick(until time.Duration) {
	if s.now < until {
		s.apply(s.scheduler.Tick(s.time()))
		s.after(25*time.Millisecond, func() { s.tick(until) })
	}
}

// maxRateFactor is the upper bound of the rate factors of a load.
const maxRateFactor = 3.0

func (s *simulation) scheduleArrivals(c *class, length time.Duration, factor func(*class, time.Duration) float64) {
	for at := time.Duration(0); at < length; {
		at += time.Duration(s.rand.ExpFloat64() / (c.ratePerSecond * maxRateFactor) * float64(time.Second))
		if s.rand.Float64() > factor(c, at)/maxRateFactor {
			continue
		}
		prompt := s.lognormal(c.meanPrompt, c.promptSigma, c.maxPrompt)
		events := int(max(1, s.lognormal(c.meanEvents, 0.6, c.meanEvents*2.5)))
		s.after(at-s.now, func() { s.submit(c, int(prompt), events) })
	}
}

func (s *simulation) lognormal(mean, sigma, limit float64) float64 {
	return min(limit, mean*math.Exp(sigma*s.rand.NormFloat64()-sigma*sigma/2))
}

func (s *simulation) submit(c *class, prompt, events int) {
	j := &simJob{class: c, arrived: s.now, remainingEvents: events}
	j.job = Job{
		ID: JobID(fmt.Sprintf("%s-%d", c.name, len(s.submitted))), Service: "llm", DataCentre: "a", Prompt: prompt,
		Answer: events * 46, Expected: events * 46, Target: c.target, Deadline: c.deadline, Gap: c.gap,
		Patience: max(2*time.Second, 4*c.target, 8*c.gap),
	}
	if s.spread {
		j.job.DataCentre = string("abc"[len(s.submitted)%3])
	}
	if s.identify != nil {
		s.identify(j)
	}
	s.submitted = append(s.submitted, j)
	s.jobs[j.job.ID] = j
	s.apply(s.scheduler.Submit(s.time(), j.job))
}

// apply carries out decisions.
func (s *simulation) apply(decisions []Decision) {
	for _, d := range decisions {
		j := s.jobs[d.Job]
		if d.Placement == nil {
			j.refused = true
			if s.refused != nil {
				s.refused(j, d.RetryAfter)
			}
			continue
		}
		ids := append([]gypsumshelf.ServerID{d.Placement.Server}, d.Placement.Helpers...)
		if s.failing != nil && s.failing(d.Placement.Server) {
			s.fail(j, d.Placement.Server)
			continue
		}
		j.pendingParts = len(ids)
		j.placement, j.placedAt = d.Placement, s.now
		ms := float64(s.profile.PrefillTime(j.job.Prompt)) / 1e6 / float64(len(ids))
		for i, id := range ids {
			e := s.engines[id]
			r := &simPrefill{job: j, remainingMs: ms, remainingTokens: float64(j.job.Prompt) / float64(len(ids)), helper: i > 0}
			if r.helper { // engines start with the newest part that they have as a helper
				e.prefills = append([]*simPrefill{r}, e.prefills...)
			} else {
				e.prefills = append(e.prefills, r)
			}
			s.runPass(e)
		}
	}
}

// runPass runs one pass of an engine and schedules the next.
func (s *simulation) runPass(e *simEngine) {
	if e.inPass || len(e.prefills) == 0 && len(e.answers) == 0 {
		return
	}
	e.inPass = true
	context := 0
	for _, w := range e.answers {
		context += w.job.Prompt
	}
	steps := 1
	passMs := 0.0
	if len(e.answers) > 0 {
		steps = s.profile.StepsPerPass
		passMs = float64(s.profile.PassTime(len(e.answers), context)) / 1e6
	}
	var finished []*simPrefill
	for range steps {
		if len(e.prefills) == 0 {
			break
		}
		r := e.prefills[0]
		partMs := min(r.remainingMs, r.remainingMs*float64(s.profile.PrefillChunk)/max(1, r.remainingTokens))
		r.remainingMs -= partMs
		r.remainingTokens -= float64(s.profile.PrefillChunk)
		passMs += partMs
		if len(e.answers) == 0 {
			passMs += float64(s.profile.StepTime) / 1e6
		}
		if r.remainingTokens <= 0 {
			finished = append(finished, r)
			e.prefills = e.prefills[1:]
		}
	}
	if e.slowdown > 0 {
		passMs *= e.slowdown
	}
	answers := append([]*simJob(nil), e.answers...)
	passMs *= e.cold.slowdown(s.now, len(e.answers)+len(e.prefills)+len(finished))
	s.after(time.Duration(passMs*1e6), func() {
		e.inPass = false
		for _, w := range answers {
			s.emitEvent(e, w)
		}
		for _, r := range finished {
			s.finishPrefill(r)
			if j := r.job; steps > 1 && !r.helper && j.pendingParts == 0 {
				s.emitEvent(e, j) // the first token was generated in this pass
			}
		}
		s.runPass(e)
	})
}

func (s *simulation) finishPrefill(r *simPrefill) {
	r.job.pendingParts--
	if r.job.pendingParts > 0 {
		return
	}
	state := s.scheduler.jobs[r.job.job.ID]
	if state == nil {
		return
	}
	e := s.engines[state.placement.Server]
	e.answers = append(e.answers, r.job)
	s.runPass(e)
}

// maxDeliveryDelay bounds the delay that links and daemons add to a first event.
// On trouble-3 of Schriftgilde nine of ten first events came later than predicted
// by less than this.
const maxDeliveryDelay = 60 * time.Millisecond

func (s *simulation) emitEvent(e *simEngine, w *simJob) {
	arrived := s.now
	if s.network != nil {
		arrived = s.network.deliver(s, w)
	}
	if w.lastEventAt == 0 {
		w.timeToFirstEvent = arrived - w.arrived + time.Duration(s.rand.Float64()*float64(maxDeliveryDelay))
		s.apply(s.scheduler.Started(s.time(), w.job.ID))
	} else {
		w.maxGap = max(w.maxGap, arrived-w.lastEventAt)
	}
	w.lastEventAt = arrived
	w.remainingEvents--
	if w.remainingEvents > 0 {
		return
	}
	w.completed = true
	for i, o := range e.answers {
		if o == w {
			e.answers = append(e.answers[:i], e.answers[i+1:]...)
			break
		}
	}
	s.apply(s.scheduler.End(s.time(), w.job.ID, Completed, ""))
}

// classResult counts the outcomes of the requests of a class.
type classResult struct {
	submitted, onTime, lateFirst, lateGap, refused, lost int
	value, maxValue                                      float64
}

func (s *simulation) results() map[string]*classResult {
	out := map[string]*classResult{}
	for i := range s.classes {
		out[s.classes[i].name] = &classResult{}
	}
	for _, j := range s.submitted {
		r := out[j.class.name]
		r.submitted++
		size := min(4, 0.3+0.7*float64(j.job.Prompt)/j.class.meanPrompt)
		r.maxValue += j.class.value * size
		switch {
		case j.refused:
			r.refused++
		case !j.completed:
			r.lost++
		case j.timeToFirstEvent > j.class.target:
			r.lateFirst++
			r.value += j.class.lateValue * size
		case j.maxGap > j.class.gap:
			r.lateGap++
			r.value += j.class.lateValue * size
		default:
			r.onTime++
			r.value += j.class.value * size
		}
	}
	return out
}

func valueFraction(t testing.TB, name string, s *simulation) (fraction float64) {
	value, maxValue := 0.0, 0.0
	for i := range s.classes {
		r := s.results()[s.classes[i].name]
		value += r.value
		maxValue += r.maxValue
		t.Logf("%s %-7s submitted %4d on time %4d late first %3d late gap %3d refused %3d lost %d value %.3f",
			name, s.classes[i].name, r.submitted, r.onTime, r.lateFirst, r.lateGap, r.refused, r.lost, r.value/r.maxValue)
	}
	t.Logf("%s all %.3f", name, value/maxValue)
	return value / maxValue
}

// alternatingLoad is the load of a standard day: phases of mostly long and of
// mostly short prompts alternate.
func alternatingLoad(c *class, at time.Duration) float64 {
	longPhase := at%(20*time.Second) < 10*time.Second
	switch {
	case c.name == "draft" && longPhase:
		return 0.37
	case c.name == "draft":
		return 2.4
	case c.name == "check" && longPhase:
		return 1.3
	case c.name == "check":
		return 0.5
	case longPhase:
		return 2.7
	}
	return 0.05
}

func steadyLoad(*class, time.Duration) float64 { return 1 }

func scaledAlternatingLoad(by float64) func(*class, time.Duration) float64 {
	return func(c *class, at time.Duration) float64 { return by * alternatingLoad(c, at) }
}
