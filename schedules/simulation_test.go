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

// figures are those of the engines of both deployments.
func figures() *costs.Engine {
	return &costs.Engine{
		Slots: 16, MemoryTokens: 450_000, Step: 925 * time.Microsecond, PerSequence: 4830 * time.Nanosecond,
		PerContext: 2540 * time.Nanosecond, ReadRate: 256_000, PerMillionPair: 91700 * time.Nanosecond,
		Chunk: 2048, Stride: 46, UsualPrompt: 13_227, UsualAnswer: 1541,
	}
}

// class is a kind of request in a simulated load.
type class struct {
	name           string
	perSecond      float64
	prompt, spread float64
	most           float64
	events         float64
	target, gap    time.Duration
	deadline       time.Duration
	worth, late    float64
}

var classes = []class{
	{"draft", 30.7, 5000, 0.9, 23_800, 35, 300 * time.Millisecond, 200 * time.Millisecond, 10 * time.Second, 1.3, 0.33},
	{"check", 2.23, 45_000, 0.5, 110_000, 21, 1500 * time.Millisecond, 500 * time.Millisecond, 10 * time.Second, 3.1, 0.79},
	{"review", 0.922, 210_000, 0.55, 1_000_000, 17, 3 * time.Second, 800 * time.Millisecond, 15 * time.Second, 22, 5.4},
}

// grownClasses are those of the grown deployments.
var grownClasses = []class{
	{"draft", 76.7, 5000, 0.9, 23_800, 33, 300 * time.Millisecond, 200 * time.Millisecond, 10 * time.Second, 1.4, 0.34},
	{"check", 7.03, 45_000, 0.5, 110_000, 20, 1500 * time.Millisecond, 500 * time.Millisecond, 10 * time.Second, 2.6, 0.65},
	{"review", 1.6, 300_000, 0.55, 1_000_000, 16, 4 * time.Second, 800 * time.Millisecond, 15 * time.Second, 30, 7.5},
}

// simulated is a job in the simulation.
type simulated struct {
	class     *class
	job       Job
	arrived   time.Duration
	events    int
	parts     int // still to be read
	first     time.Duration
	last      time.Duration
	gap       time.Duration
	done      bool
	placement *Placement
	placedAt  time.Duration
	refused   bool
}

// simEngine executes passes as the platform's page describes them.
type simEngine struct {
	id      gypsumshelf.ServerID
	reads   []*simRead
	writers []*simulated
	busy    bool
}

type simRead struct {
	job    *simulated
	left   float64 // ms
	tokens float64
	helper bool
}

// simulation runs a scheduler with simulated engines.
type simulation struct {
	t         testing.TB
	now       time.Duration
	rand      *rand.Rand
	figures   *costs.Engine
	classes   []class
	scheduler *Scheduler
	engines   map[gypsumshelf.ServerID]*simEngine
	jobs      map[JobID]*simulated
	all       []*simulated
	queue     simQueue
	n         int
}

type simEvent struct {
	at time.Duration
	n  int
	do func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
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

func (s *simulation) after(d time.Duration, do func()) {
	s.n++
	heap.Push(&s.queue, simEvent{at: s.now + d, n: s.n, do: do})
}

func newSimulation(t testing.TB, engines int, seed uint64) *simulation {
	s := &simulation{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), figures: figures(), scheduler: New(Config{}), classes: classes,
		engines: map[gypsumshelf.ServerID]*simEngine{}, jobs: map[JobID]*simulated{},
	}
	var states []EngineState
	for i := range engines {
		id := gypsumshelf.ServerID(fmt.Sprintf("e%02d", i))
		s.engines[id] = &simEngine{id: id}
		states = append(states, EngineState{ID: id, Service: "llm", DataCentre: "a"})
	}
	s.scheduler.Update(s.time(), map[string]*costs.Engine{"llm": s.figures}, states)
	return s
}

// run plays a load; factor returns the multiple of a class's rate at a time.
func (s *simulation) run(length time.Duration, factor func(c *class, at time.Duration) float64) {
	for i := range s.classes {
		s.arrivals(&s.classes[i], length, factor)
	}
	s.tick(length + 20*time.Second)
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
}

func (s *simulation) tick(until time.Duration) {
	if s.now < until {
		s.take(s.scheduler.Tick(s.time()))
		s.after(25*time.Millisecond, func() { s.tick(until) })
	}
}

// mostFactor bounds the factors of a load.
const mostFactor = 3.0

func (s *simulation) arrivals(c *class, length time.Duration, factor func(*class, time.Duration) float64) {
	for at := time.Duration(0); at < length; {
		at += time.Duration(s.rand.ExpFloat64() / (c.perSecond * mostFactor) * float64(time.Second))
		if s.rand.Float64() > factor(c, at)/mostFactor {
			continue
		}
		prompt := s.lognormal(c.prompt, c.spread, c.most)
		events := int(max(1, s.lognormal(c.events, 0.6, c.events*2.5)))
		s.after(at-s.now, func() { s.arrive(c, int(prompt), events) })
	}
}

func (s *simulation) lognormal(mean, sigma, most float64) float64 {
	return min(most, mean*math.Exp(sigma*s.rand.NormFloat64()-sigma*sigma/2))
}

func (s *simulation) arrive(c *class, prompt, events int) {
	j := &simulated{class: c, arrived: s.now, events: events}
	j.job = Job{
		ID: JobID(fmt.Sprintf("%s-%d", c.name, len(s.all))), Service: "llm", DataCentre: "a", Prompt: prompt,
		Answer: events * 46, Expected: events * 46, Target: c.target, Deadline: c.deadline, Gap: c.gap,
		Patience: max(2*time.Second, 4*c.target, 8*c.gap),
	}
	s.all = append(s.all, j)
	s.jobs[j.job.ID] = j
	s.take(s.scheduler.Submit(s.time(), j.job))
}

// take carries decisions out.
func (s *simulation) take(decisions []Decision) {
	for _, d := range decisions {
		j := s.jobs[d.Job]
		if d.Placement == nil {
			j.refused = true
			continue
		}
		ids := append([]gypsumshelf.ServerID{d.Placement.Server}, d.Placement.Helpers...)
		j.parts = len(ids)
		j.placement, j.placedAt = d.Placement, s.now
		ms := float64(s.figures.Read(j.job.Prompt)) / 1e6 / float64(len(ids))
		for i, id := range ids {
			e := s.engines[id]
			r := &simRead{job: j, left: ms, tokens: float64(j.job.Prompt) / float64(len(ids)), helper: i > 0}
			if r.helper { // the newest part for another engine is read first
				e.reads = append([]*simRead{r}, e.reads...)
			} else {
				e.reads = append(e.reads, r)
			}
			s.pass(e)
		}
	}
}

// pass runs one pass of an engine and schedules the next.
func (s *simulation) pass(e *simEngine) {
	if e.busy || len(e.reads) == 0 && len(e.writers) == 0 {
		return
	}
	e.busy = true
	context := 0
	for _, w := range e.writers {
		context += w.job.Prompt
	}
	steps := 1
	took := 0.0
	if len(e.writers) > 0 {
		steps = s.figures.Stride
		took = float64(s.figures.Pass(len(e.writers), context)) / 1e6
	}
	var finished []*simRead
	for range steps {
		if len(e.reads) == 0 {
			break
		}
		r := e.reads[0]
		part := min(r.left, r.left*float64(s.figures.Chunk)/max(1, r.tokens))
		r.left -= part
		r.tokens -= float64(s.figures.Chunk)
		took += part
		if len(e.writers) == 0 {
			took += float64(s.figures.Step) / 1e6
		}
		if r.tokens <= 0 {
			finished = append(finished, r)
			e.reads = e.reads[1:]
		}
	}
	writers := append([]*simulated(nil), e.writers...)
	s.after(time.Duration(took*1e6), func() {
		e.busy = false
		for _, w := range writers {
			s.event(e, w)
		}
		for _, r := range finished {
			s.finishRead(r)
			if run := r.job; steps > 1 && !r.helper && run.parts == 0 {
				s.event(e, run) // its first token was written in this pass
			}
		}
		s.pass(e)
	})
}

func (s *simulation) finishRead(r *simRead) {
	r.job.parts--
	if r.job.parts > 0 {
		return
	}
	run := s.scheduler.runs[r.job.job.ID]
	if run == nil {
		return
	}
	e := s.engines[run.placement.Server]
	e.writers = append(e.writers, r.job)
	s.pass(e)
}

// mostDelay bounds what links and daemons add to the time of a first event: nine
// of ten requests of trouble-3 of Schriftgilde were less late than predicted by it.
const mostDelay = 60 * time.Millisecond

func (s *simulation) event(e *simEngine, w *simulated) {
	if w.last == 0 {
		w.first = s.now - w.arrived + time.Duration(s.rand.Float64()*float64(mostDelay))
		s.take(s.scheduler.Started(s.time(), w.job.ID))
	} else {
		w.gap = max(w.gap, s.now-w.last)
	}
	w.last = s.now
	w.events--
	if w.events > 0 {
		return
	}
	w.done = true
	for i, o := range e.writers {
		if o == w {
			e.writers = append(e.writers[:i], e.writers[i+1:]...)
			break
		}
	}
	s.take(s.scheduler.End(s.time(), w.job.ID, Completed, ""))
}

// result is what a class got.
type result struct {
	asked, onTime, lateFirst, lateGap, refused, lost int
	worth, owed                                      float64
}

func (s *simulation) results() map[string]*result {
	out := map[string]*result{}
	for i := range s.classes {
		out[s.classes[i].name] = &result{}
	}
	for _, j := range s.all {
		r := out[j.class.name]
		r.asked++
		size := min(4, 0.3+0.7*float64(j.job.Prompt)/j.class.prompt)
		r.owed += j.class.worth * size
		switch {
		case j.refused:
			r.refused++
		case !j.done:
			r.lost++
		case j.first > j.class.target:
			r.lateFirst++
			r.worth += j.class.late * size
		case j.gap > j.class.gap:
			r.lateGap++
			r.worth += j.class.late * size
		default:
			r.onTime++
			r.worth += j.class.worth * size
		}
	}
	return out
}

func report(t testing.TB, name string, s *simulation) (share float64) {
	worth, owed := 0.0, 0.0
	for i := range s.classes {
		r := s.results()[s.classes[i].name]
		worth += r.worth
		owed += r.owed
		t.Logf("%s %-7s asked %4d on time %4d late first %3d late gap %3d refused %3d lost %d worth %.3f",
			name, s.classes[i].name, r.asked, r.onTime, r.lateFirst, r.lateGap, r.refused, r.lost, r.worth/r.owed)
	}
	t.Logf("%s all %.3f", name, worth/owed)
	return worth / owed
}

// phases are the load of a standard day: heavy, light and heavy again.
func phases(c *class, at time.Duration) float64 {
	heavy := at%(20*time.Second) < 10*time.Second
	switch {
	case c.name == "draft" && heavy:
		return 0.37
	case c.name == "draft":
		return 2.4
	case c.name == "check" && heavy:
		return 1.3
	case c.name == "check":
		return 0.5
	case heavy:
		return 2.7
	}
	return 0.05
}

func usual(*class, time.Duration) float64 { return 1 }

func scaled(by float64) func(*class, time.Duration) float64 {
	return func(c *class, at time.Duration) float64 { return by * phases(c, at) }
}
