package schedules

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/costs"
)

// demandEngines are the deployment sizes of the replays, in engines of 12 slots.
var demandEngines = []int{30, 45, 60}

// newDemandSimulation returns a simulation of engines with 12 slots in three data centres.
// The load per engine is that of the grown deployments.
func newDemandSimulation(t testing.TB, engines int, seed uint64, policy Policy) *simulation {
	s := newSimulation(t, 0, seed)
	s.profile.Slots = 12
	s.scheduler = New(Config{Policy: policy, DataCentre: "a"})
	for _, state := range spreadStates(engines) {
		s.engines[state.ID] = &simEngine{id: state.ID}
	}
	s.scheduler.UpdateEngines(s.time(), map[string]*costs.Profile{"llm": s.profile}, spreadStates(engines))
	s.spread = true
	s.classes = append([]class(nil), largeDeploymentClasses...)
	for i := range s.classes {
		s.classes[i].ratePerSecond *= float64(engines) / 45
	}
	return s
}

// demandLoad is a load whose rates change within seconds.
type demandLoad struct {
	name   string
	factor func(c *class, at time.Duration) float64
	bursts []window // in which short prompts rise
}

type window struct{ begin, end time.Duration }

func (w window) contains(at time.Duration) bool { return at >= w.begin && at < w.end }

func doubledShortPrompts() demandLoad {
	w := []window{{4 * time.Second, 9 * time.Second}, {13 * time.Second, 18 * time.Second}}
	return demandLoad{name: "short prompts double", bursts: w, factor: func(c *class, at time.Duration) float64 {
		if c.name != "draft" {
			return 1
		}
		for _, b := range w {
			if b.contains(at) {
				return 1 + min(1, (at-b.begin).Seconds())
			}
		}
		return 1
	}}
}

func waves(period time.Duration, amplitude float64) demandLoad {
	l := demandLoad{name: fmt.Sprintf("waves of %v and %.0f%%", period, 100*amplitude)}
	l.factor = func(_ *class, at time.Duration) float64 {
		return 1 + amplitude*math.Sin(2*math.Pi*at.Seconds()/period.Seconds())
	}
	for begin := time.Duration(0); begin < demandLength; begin += period {
		l.bursts = append(l.bursts, window{begin, begin + period/2})
	}
	return l
}

// shiftedLoad raises one class while the others fall, and then the reverse.
func shiftedLoad(name string, up string) demandLoad {
	rise, fall := window{4 * time.Second, 10 * time.Second}, window{12 * time.Second, 18 * time.Second}
	l := demandLoad{name: name, factor: func(c *class, at time.Duration) float64 {
		switch {
		case rise.contains(at) == fall.contains(at):
			return 1
		case rise.contains(at) == (c.name == up):
			return 2.5
		}
		return 0.3
	}}
	if up == "draft" {
		l.bursts = []window{rise}
	} else {
		l.bursts = []window{fall}
	}
	return l
}

const demandLength = 22 * time.Second

// outcome counts requests that were offered, and those that were refused, lost or late.
type outcome struct{ offered, late int }

func (o outcome) share() float64 { return float64(o.late) / float64(max(1, o.offered)) }

// outcomes are counts by class, and under "burst" those of the short prompts in bursts.
type outcomes map[string]outcome

// replay runs the load with several seeds, each time after some preparations.
func (l demandLoad) replay(t testing.TB, engines int, policy Policy, seeds int, prepare ...func(*simulation)) outcomes {
	out := outcomes{}
	for seed := range seeds {
		s := newDemandSimulation(t, engines, uint64(seed+21), policy)
		for _, f := range prepare {
			f(s)
		}
		s.run(demandLength, l.factor)
		for _, j := range s.submitted {
			keys := []string{j.class.name}
			for _, b := range l.bursts {
				if j.class.name == "draft" && b.contains(j.arrived) {
					keys = append(keys, "burst")
				}
			}
			for _, k := range keys {
				c := outcome{offered: 1}
				if j.refused || !j.completed || j.timeToFirstEvent > j.class.target || j.maxGap > j.class.gap {
					c.late = 1
				}
				out.add(outcomes{k: c})
			}
		}
	}
	return out
}

func demandLoads() []demandLoad {
	return []demandLoad{
		doubledShortPrompts(), waves(11*time.Second, 0.2), waves(11*time.Second, 0.55), waves(15*time.Second, 0.2), waves(15*time.Second, 0.55),
		shiftedLoad("short prompts rise and fall", "draft"), shiftedLoad("longest prompts rise and fall", "review"),
	}
}

// add adds the counts of another replay.
func (o outcomes) add(other outcomes) {
	for k, c := range other {
		o[k] = outcome{offered: o[k].offered + c.offered, late: o[k].late + c.late}
	}
}

func logShares(t *testing.T, without, with outcomes) {
	t.Helper()
	for _, k := range []string{"burst", "draft", "check", "review"} {
		if with[k].offered > 0 {
			t.Logf("%-6s late %.4f without and %.4f with the policy (%d offered)", k, without[k].share(), with[k].share(), with[k].offered)
		}
	}
}

// assertFewerLate fails the test if the late share of a class is above a multiple of the
// one without the policy.
func assertFewerLate(t *testing.T, class string, without, with outcomes, most float64) {
	t.Helper()
	if a, b := without[class].share(), with[class].share(); b > most*a {
		t.Errorf("%.4f of class %s are late, want at most %.2f of %.4f", b, class, most, a)
	}
}

// maxLongLoss is the additional share of a class of long prompts that may be late. Long
// prompts that wait for a burst have slack, so only chance remains: the largest number of
// the longest prompts in one comparison is about 400, of which some 5% are late, with a
// standard deviation of 1.1%.
const maxLongLoss = 0.022

func assertLongClassesKeep(t *testing.T, without, with outcomes) {
	t.Helper()
	for _, class := range []string{"check", "review"} {
		if a, b := without[class].share(), with[class].share(); b > a+maxLongLoss {
			t.Errorf("%.4f of class %s are late, want at most %.3f more than %.4f", b, class, maxLongLoss, a)
		}
	}
}

// Guards against late short prompts in bursts, when engines prefill long prompts that the
// burst needs, and against a forecast that takes engines from long prompts for nothing.
func TestDemandForecastInBursts(t *testing.T) {
	const seeds = 3
	byEngines := map[int][2]outcomes{}
	for _, n := range demandEngines {
		byEngines[n] = [2]outcomes{{}, {}}
	}
	for _, l := range demandLoads() {
		t.Run(l.name, func(t *testing.T) {
			without, with := outcomes{}, outcomes{}
			for _, n := range demandEngines {
				a, b := l.replay(t, n, Policy{}, seeds), l.replay(t, n, Policy{ForecastDemand: true}, seeds)
				t.Log(n, "engines")
				logShares(t, a, b)
				without.add(a)
				with.add(b)
				byEngines[n][0].add(a)
				byEngines[n][1].add(b)
			}
			assertFewerLate(t, "burst", without, with, 0.9)
			assertLongClassesKeep(t, without, with)
		})
	}
	for _, n := range demandEngines {
		t.Run(fmt.Sprintf("%d engines, all loads", n), func(t *testing.T) {
			without, with := byEngines[n][0], byEngines[n][1]
			logShares(t, without, with)
			assertFewerLate(t, "burst", without, with, 0.8)
			assertLongClassesKeep(t, without, with)
		})
	}
}
