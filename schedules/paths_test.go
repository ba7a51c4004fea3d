package schedules

import (
	"fmt"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/costs"
	"gypsumshelf.example/gypsumshelf/paths"
)

// simNetwork delays events over the links of one data centre while these lose packets.
type simNetwork struct {
	bad        string // data centre
	loss       float64
	begin, end time.Duration
	streams    map[JobID]*simStream
}

// simStream is the connection of one job.
type simStream struct {
	blockedUntil time.Duration // for a retransmission
	meter        *paths.Stream
}

// retransmission is the time after which TCP sends a lost packet again.
const retransmission = 200 * time.Millisecond

func (n *simNetwork) isCrossed(from, to string) bool {
	return from != to && (from == n.bad || to == n.bad)
}

// deliver returns when an event arrives, and tells the scheduler what it shows of the path.
func (n *simNetwork) deliver(s *simulation, j *simJob) time.Duration {
	from, to := j.job.DataCentre, dataCentreOf(j.placement.Server)
	stream := n.streams[j.job.ID]
	if stream == nil {
		stream = &simStream{meter: paths.NewStream(simStart.Add(j.placedAt + j.placement.First))}
		n.streams[j.job.ID] = stream
	}
	if n.isCrossed(from, to) && s.now >= n.begin && s.now < n.end {
		for wait := retransmission; s.rand.Float64() < n.loss; wait *= 2 {
			stream.blockedUntil = max(stream.blockedUntil, s.now+wait)
		}
	}
	arrived := max(s.now, stream.blockedUntil)
	if from != to {
		waitedFrom := simStart.Add(j.lastEventAt)
		s.after(arrived-s.now, func() {
			sample := paths.Sample{From: from, To: to, Events: 1}
			if stream.meter.Arrived(waitedFrom, s.time()) {
				sample.Stalls = 1
			}
			if err := s.scheduler.RecordPath(s.time(), sample); err != nil {
				s.t.Error(err)
			}
		})
	}
	return arrived
}

// dataCentreOf returns the data centre of an engine named by newSpreadSimulation.
func dataCentreOf(id gypsumshelf.ServerID) string { return string(id[len(id)-1:]) }

// spreadStates returns engines in three data centres, whose names end their IDs.
func spreadStates(engines int) []EngineState {
	var states []EngineState
	for i := range engines {
		dataCentre := string("abc"[i%3])
		states = append(states, EngineState{ID: gypsumshelf.ServerID(fmt.Sprintf("e%02d-%s", i, dataCentre)), Service: "llm", DataCentre: dataCentre})
	}
	return states
}

// newSpreadSimulation returns a simulation with engines and callers in three data centres.
func newSpreadSimulation(t *testing.T, engines int, policy Policy) *simulation {
	s := newSimulation(t, 0, 11)
	s.scheduler = New(Config{Policy: policy, DataCentre: "a"})
	for _, state := range spreadStates(engines) {
		s.engines[state.ID] = &simEngine{id: state.ID}
	}
	s.scheduler.UpdateEngines(s.time(), map[string]*costs.Profile{"llm": s.profile}, spreadStates(engines))
	s.spread = true
	return s
}

// Guards against streams over links that lose packets while engines behind sound links are
// free: a burst of short prompts, and 4% of the packets between one data centre and the
// others lost for 5 s.
func TestBurstWhileLinksLosePackets(t *testing.T) {
	const begin, end = 6 * time.Second, 11 * time.Second
	burst := func(c *class, at time.Duration) float64 {
		if c.name == "draft" && at > begin && at < begin+4*time.Second {
			return 1.8
		}
		return 1
	}
	for _, engines := range []int{30, 45} {
		lateShare := func(policy Policy) float64 {
			s := newSpreadSimulation(t, engines, policy)
			s.network = &simNetwork{bad: "c", loss: 0.04, begin: begin, end: end, streams: map[JobID]*simStream{}}
			s.run(16*time.Second, burst)
			offered, late := 0, 0
			for _, j := range s.submitted {
				if j.class.name == "draft" && j.arrived > begin+time.Second && j.arrived < end {
					offered++
					if j.timeToFirstEvent > j.class.target || j.maxGap > j.class.gap {
						late++
					}
				}
			}
			return float64(late) / float64(offered)
		}
		t.Run(fmt.Sprintf("%d engines", engines), func(t *testing.T) {
			without, with := lateShare(Policy{}), lateShare(Policy{AvoidBadPaths: true})
			t.Logf("late short prompts: %.3f without and %.3f with judged paths", without, with)
			if with > without/3 {
				t.Errorf("%.3f of the short prompts are late, want at most a third of %.3f", with, without)
			}
		})
	}
}

func newSpreadScheduler(engines int) *Scheduler {
	s := New(Config{Policy: Policy{AvoidBadPaths: true}, DataCentre: "a"})
	s.UpdateEngines(origin, map[string]*costs.Profile{"llm": testProfile()}, spreadStates(engines))
	return s
}

func jobIn(dataCentre, id string) Job {
	j := shortJob(id)
	j.DataCentre = dataCentre
	return j
}

// makeBad records evidence that makes a path lossy or lost.
func makeBad(t *testing.T, s *Scheduler, now time.Time, from, to string, state paths.State) {
	t.Helper()
	sample := paths.Sample{From: from, To: to, Events: 100, Stalls: 10}
	if state == paths.Lost {
		sample = paths.Sample{From: from, To: to, Events: 10, Stalls: 10, Unreached: 10}
	}
	if err := s.RecordPath(now, sample); err != nil {
		t.Fatal(err)
	}
	if got := s.paths.State(now, from, to); got != state {
		t.Fatalf("the path is %v, want %v", got, state)
	}
}

// Guards against short prompts over a bad path while a sound one would do, and against
// callers that are not served when all sound engines are busy.
func TestShortPromptsAvoidBadPaths(t *testing.T) {
	s := newSpreadScheduler(12)
	makeBad(t, s, origin, "a", "c", paths.Lossy)
	overBad, overSound := 0, 0
	for i := range 12 {
		p := requirePlacement(t, s.Submit(origin, jobIn("a", fmt.Sprintf("j%d", i))))
		if dataCentreOf(p.Server) == "c" {
			overBad++
		} else {
			overSound++
		}
	}
	if overBad > 1 {
		t.Errorf("%d of 12 short prompts use the bad path, want one trial at most", overBad)
	}
	t.Run("no sound engine is left", func(t *testing.T) {
		s.UpdateEngines(origin, map[string]*costs.Profile{"llm": testProfile()}, spreadStates(12)[2:3]) // in c
		requirePlacement(t, s.Submit(origin, jobIn("a", "only")))
	})
}

// Guards against a prompt that is shared by engines which do not reach each other: the
// engine that generates the answer stalls.
func TestHelpersAreWithinReach(t *testing.T) {
	s := newSpreadScheduler(15)
	makeBad(t, s, origin, "a", "b", paths.Lost)
	for _, from := range []string{"a", "b", "c"} {
		t.Run(from, func(t *testing.T) {
			j := newJob("review-"+from, 210_000, 3*time.Second)
			j.DataCentre = from
			p := requirePlacement(t, s.Submit(origin, j))
			seen := map[string]bool{from: true}
			for _, id := range p.engines() {
				seen[dataCentreOf(id)] = true
			}
			if seen["a"] && seen["b"] {
				t.Errorf("a prompt from %s is on %v, want no engines on both sides of the lost path", from, p.engines())
			}
			s.End(origin, j.ID, Completed, "")
		})
	}
}

// Guards against an engine that is avoided by all callers because the scheduler's own path
// to it loses packets.
func TestBadPathIsNotTheEnginesFault(t *testing.T) {
	s := newSpreadScheduler(6)
	makeBad(t, s, origin, "a", "c", paths.Lossy)
	behind := spreadStates(6)[2].ID
	s.MarkUnresponsive(origin, behind)
	requirePlacement(t, s.Submit(origin, jobIn("a", "a")))
	s.End(origin, "a", Lost, behind)
	if e := s.pools["llm"].engines[behind]; !e.usable(origin) {
		t.Error("an engine behind a bad path gets no work from callers with a sound one")
	}
}

// Guards against evidence about paths where the deployment does not ask for it.
func TestPathsAreJudgedOnRequestOnly(t *testing.T) {
	s := newTestScheduler(3)
	if err := s.RecordPath(origin, paths.Sample{From: "a", To: "b", Events: 10, Stalls: 10}); err != nil {
		t.Error(err)
	}
	if reports := s.PathReports(origin, "a"); len(reports) != 0 {
		t.Errorf("got reports %v, want none", reports)
	}
}
