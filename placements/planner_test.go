package placements

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumshelf.example/gypsumshelf"
)

func TestMain(m *testing.M) {
	seed := os.Getenv("GYPSUMSHELF_SEED")
	if seed == "" {
		seed = "1"
	}
	flag.Parse()
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	fmt.Println("rapid seed", seed)
	os.Exit(m.Run())
}

const testRate = 1000 // prompt tokens per second of one engine

var start = time.Unix(1_000, 0)

func testConfig() Config {
	return Config{
		MinCopies: 2, Headroom: 1.2, ShrinkDelay: time.Minute,
		OrderTimeout: 30 * time.Second, MaxOrderTransit: 5 * time.Second, ModelsPerEngine: 1,
	}
}

func newEngines(models ...string) []Engine {
	centres := []string{"wien-nord", "linz-hafen", "graz-sued"}
	engines := make([]Engine, len(models))
	for i, model := range models {
		engines[i] = Engine{
			Server: gypsumshelf.ServerID(fmt.Sprintf("fk-%02d", i)), Incarnation: "a",
			DataCentre: centres[i%3], Service: "federkiel", InService: true,
		}
		if model != "" {
			engines[i].Models = []string{model}
		}
	}
	return engines
}

func demandOf(model string, tokens float64) Demand {
	return Demand{Model: model, Service: "federkiel", Tokens: tokens}
}

// Guards against copies in the same data centre while another one has none.
func TestPlanSpreadsCopies(t *testing.T) {
	p := New(testConfig())
	p.StartEpoch(start)
	now := start.Add(5 * time.Second)
	v := View{EngineRate: testRate, Engines: newEngines("", "", "", "", "", ""), Demand: []Demand{demandOf("quill", 2000)}}
	used := map[string]int{}
	for range 3 {
		for _, o := range p.Plan(now, v) {
			i := slices.IndexFunc(v.Engines, func(e Engine) bool { return e.Server == o.Server })
			used[v.Engines[i].DataCentre]++
			v.Engines[i].Models = []string{o.Load}
		}
		now = now.Add(time.Second)
	}
	for _, centre := range []string{"wien-nord", "linz-hafen", "graz-sued"} {
		if used[centre] != 1 {
			t.Errorf("data centre %s holds %d copies, want 1 of 3", centre, used[centre])
		}
	}
	if more := p.Plan(now, v); len(more) != 0 {
		t.Errorf("planned %v although the demand is met", more)
	}
}

// Guards against orders of a new leader that overtake those of the earlier one
// at an engine that ignores fencing numbers.
func TestNewLeaderWaitsOutOrdersInFlight(t *testing.T) {
	p := New(testConfig())
	v := View{EngineRate: testRate, Engines: newEngines(""), Demand: []Demand{demandOf("quill", 1)}}
	for _, c := range []struct {
		name string
		lead bool
		wait time.Duration
		want int
	}{
		{"not leading", false, time.Hour, 0},
		{"just leading", true, 0, 0},
		{"before the longest flight", true, 5*time.Second - 1, 0},
		{"after the longest flight", true, 5 * time.Second, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			p.StepDown()
			if c.lead {
				p.StartEpoch(start)
			}
			if got := len(p.Plan(start.Add(c.wait), v)); got != c.want {
				t.Errorf("planned %d orders, want %d", got, c.want)
			}
		})
	}
}

// Guards against an unanswered order that leaves its model missing until an
// operator intervenes.
func TestUnansweredOrderIsReplaced(t *testing.T) {
	p := New(testConfig())
	p.StartEpoch(start)
	now := start.Add(time.Minute)
	v := View{EngineRate: testRate, Engines: newEngines("", "", "", ""), Demand: []Demand{demandOf("quill", 1)}}
	first := p.Plan(now, v)
	if len(first) != 1 {
		t.Fatalf("planned %v, want 1 order", first)
	}
	p.Plan(now.Add(time.Second), v) // second copy
	for _, o := range p.Plan(now.Add(31*time.Second), v) {
		if o.Server == first[0].Server {
			t.Errorf("a new order goes to %s, which did not carry out the first one", o.Server)
		}
	}
	if len(p.pending) == 0 {
		t.Error("no order replaces the one that timed out")
	}
}

// Guards against models that move back and forth during a short dip in demand.
func TestShortDemandDipMovesNoModel(t *testing.T) {
	p := New(testConfig())
	p.StartEpoch(start)
	now := start.Add(time.Minute)
	engines := newEngines("quill", "quill", "quill", "brush", "brush", "brush")
	plan := func(quill, brush float64) []Order {
		now = now.Add(time.Second)
		return p.Plan(now, View{EngineRate: testRate, Engines: engines, Demand: []Demand{demandOf("quill", quill), demandOf("brush", brush)}})
	}
	for range 30 {
		if orders := plan(3000, 100); len(orders) != 0 {
			t.Fatalf("planned %v within the shrink delay, want no orders", orders)
		}
	}
	for range 10 {
		if orders := plan(2400, 2400); len(orders) != 0 {
			t.Fatalf("planned %v although the demand is met", orders)
		}
	}
	moved := map[int]int{}
	for second := range 80 {
		for _, o := range plan(3000, 100) {
			moved[second]++
			i := slices.IndexFunc(engines, func(e Engine) bool { return e.Server == o.Server })
			engines[i].Models = []string{o.Load}
		}
	}
	if len(moved) != 1 || moved[60] != 1 {
		t.Errorf("moves by second after a lasting shift are %v, want 1 move after 60 s", moved)
	}
}

// Guards against plans that remove the last wanted copies of a model, send an
// order to an engine that is leaving, or send two orders to one engine. Demand,
// restarts, lost orders and changes of leader are random.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(testConfig())
		p.StartEpoch(start)
		now := start.Add(time.Minute)
		models := []string{"quill", "brush", "reed"}
		engines := newEngines(rapid.SliceOfN(rapid.SampledFrom(append(models, "")), 6, 12).Draw(t, "models")...)
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
			e := &engines[rapid.IntRange(0, len(engines)-1).Draw(t, "engine")]
			switch rapid.SampledFrom([]string{"none", "restart", "leave", "return", "leader"}).Draw(t, "fault") {
			case "restart":
				e.Incarnation += "x"
				e.Models = nil
			case "leave":
				e.InService = false
			case "return":
				e.InService = true
			case "leader":
				p.StartEpoch(now)
			}
			var demand []Demand
			for _, m := range models {
				demand = append(demand, demandOf(m, float64(rapid.IntRange(0, 5000).Draw(t, m))))
			}
			applyPlan(t, p, now, engines, demand)
		}
	})
}

func applyPlan(t *rapid.T, p *Planner, now time.Time, engines []Engine, demand []Demand) {
	ordered := map[gypsumshelf.ServerID]bool{}
	for _, o := range p.Plan(now, View{EngineRate: testRate, Engines: engines, Demand: demand}) {
		i := slices.IndexFunc(engines, func(e Engine) bool { return e.Server == o.Server })
		e := &engines[i]
		if !e.InService || e.Incarnation != o.Incarnation || ordered[o.Server] {
			t.Fatalf("planned invalid order %+v for engine %+v", o, *e)
		}
		ordered[o.Server] = true
		if o.Replace != "" {
			assertSurplus(t, p, engines, demand, o.Replace)
		}
		if rapid.Bool().Draw(t, "lost") {
			continue
		}
		e.Models = append(slices.DeleteFunc(slices.Clone(e.Models), func(m string) bool { return m == o.Replace }), o.Load)
	}
}

func assertSurplus(t *rapid.T, p *Planner, engines []Engine, demand []Demand, model string) {
	copies := 0
	for _, e := range engines {
		if e.InService && slices.Contains(e.Models, model) {
			copies++
		}
	}
	for _, d := range demand {
		if d.Model == model && copies <= p.CopiesForDemand(d, testRate) {
			t.Fatalf("model %s loses one of its %d wanted copies", model, copies)
		}
	}
}
