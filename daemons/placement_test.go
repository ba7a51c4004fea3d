package daemons

import (
	"fmt"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/leases"
	"gypsumshelf.example/gypsumshelf/placements"
	"gypsumshelf.example/gypsumshelf/routes"
	"gypsumshelf.example/gypsumshelf/servers"
)

// placementReducer is a reducer that leads a fake log. The test decides when its
// engines carry out orders.
type placementReducer struct {
	*testReducer
	t       *testing.T
	now     time.Time
	engines map[gypsumshelf.ServerID]*gypsumshelf.Announcement
	orders  []placements.SendOrder
	starts  []attempts.Start
	request int
}

func newPlacementReducer(t *testing.T, g *fakeGroup, id gypsumshelf.DaemonID, models ...string) *placementReducer {
	t.Helper()
	policy, err := routes.New("round-robin")
	if err != nil {
		t.Fatal(err)
	}
	log := &fakeLog{group: g, id: id}
	p := &placementReducer{t: t, now: testStart, engines: map[gypsumshelf.ServerID]*gypsumshelf.Announcement{}}
	p.testReducer = &testReducer{log: log, Reducer: NewReducer(ReducerConfig{
		Daemon: id, Policy: policy, Log: log, Session: string(id), Lease: leases.Config{Duration: testLease},
		Servers:        servers.Config{Expiry: time.Hour},
		Attempts:       attempts.Config{MaxAttempts: 3, RecordTTL: time.Hour},
		LoadsPerMinute: 2,
	})}
	for i, model := range models {
		server := gypsumshelf.ServerID(fmt.Sprintf("fk-%d", i+1))
		p.engines[server] = &gypsumshelf.Announcement{
			Server: server, Incarnation: "1", Address: "127.0.0.1:1", DataCentre: fmt.Sprintf("centre-%d", i%3),
			Service: "federkiel", Kind: gypsumshelf.KindEngine, Models: []string{model}, State: gypsumshelf.ServerReady,
		}
	}
	return p
}

// advance simulates a number of seconds. In each, a request with the given tokens
// arrives for a model and is answered at once.
func (p *placementReducer) advance(seconds int, model string, tokens int) {
	p.t.Helper()
	for range seconds {
		p.now = p.now.Add(time.Second)
		for _, a := range p.engines {
			p.apply(servers.Announced{Announcement: *a})
		}
		for p.log.applied < p.log.group.committed || p.log.group.committed < len(p.log.group.entries) {
			p.log.group.commit()
			p.collect(p.applyNext(p.now))
		}
		p.renewLease(p.now)
		p.apply(Tick{})
		if tokens > 0 {
			p.request++
			p.apply(attempts.Arrived{Request: gypsumshelf.Request{
				ID: gypsumshelf.RequestID(fmt.Sprint(p.request)), Model: model, PromptTokens: tokens, Idempotent: true, Arrived: p.now,
				Class: gypsumshelf.Class{Target: gypsumshelf.Target{FirstToken: time.Second, Finish: time.Minute}},
			}})
			for _, s := range p.starts {
				p.apply(attempts.Ended{Attempt: s.Attempt})
			}
			p.starts = nil
		}
	}
}

func (p *placementReducer) apply(ev gypsumshelf.Event) { p.collect(p.Step(p.now, ev)) }

func (p *placementReducer) collect(effects []gypsumshelf.Effect) {
	p.orders = append(p.orders, effectsOf[placements.SendOrder](effects)...)
	p.starts = append(p.starts, effectsOf[attempts.Start](effects)...)
}

// Guards against a model that stays short of engines although others have a
// lasting surplus, against orders sent too early or to a busy engine, and against
// orders without a fencing number.
func TestLeaderMovesModels(t *testing.T) {
	p := newPlacementReducer(t, &fakeGroup{leader: "entry-1", term: 1}, "entry-1", "brush", "brush", "brush", "quill")
	p.advance(int(shrinkDelay.Seconds()), "quill", 50_000)
	if len(p.orders) != 0 {
		t.Fatalf("sent %+v within the shrink delay, want no order", p.orders)
	}
	for _, a := range p.engines {
		a.Load.Running = 1
	}
	p.advance(20, "quill", 50_000)
	if len(p.orders) != 0 {
		t.Fatalf("sent %+v to an engine with work in progress, want no order", p.orders)
	}
	for _, a := range p.engines {
		a.Load.Running = 0
	}
	p.advance(2, "quill", 50_000)
	if len(p.orders) != 1 || p.orders[0].Order.Load != "quill" || p.orders[0].Order.Replace != "brush" || p.orders[0].Fencing != 1 {
		t.Fatalf("sent %+v, want one order to load quill in place of brush with fencing number 1", p.orders)
	}
	order := p.orders[0].Order
	t.Run("the engine gets no work for the model that it drops", func(t *testing.T) {
		for range 6 {
			p.apply(attempts.Arrived{Request: gypsumshelf.Request{
				ID: gypsumshelf.RequestID(fmt.Sprint("brush-", p.request)), Model: "brush", Idempotent: true, Arrived: p.now,
				Class: gypsumshelf.Class{Target: gypsumshelf.Target{FirstToken: time.Second, Finish: time.Minute}},
			}})
			p.request++
		}
		for _, s := range p.starts {
			if s.Server == order.Server {
				t.Errorf("attempt on %s, which drops its model", s.Server)
			}
		}
	})
	t.Run("the order ends once the engine announces the model", func(t *testing.T) {
		p.engines[order.Server].Models = []string{"quill"}
		p.advance(3, "quill", 50_000)
		if left := p.configuration.state.Orders(); left[order.Server].Order == order {
			t.Errorf("orders in progress are %+v, want order %+v to have ended", left, order)
		}
	})
}

// Guards against a rate limit of model loads that is reset with each new leader.
func TestLoadRateSurvivesLeaders(t *testing.T) {
	g := &fakeGroup{leader: "entry-1", term: 1}
	models := []string{"brush", "brush", "brush", "brush", "brush", "brush", "brush", "quill"}
	first := newPlacementReducer(t, g, "entry-1", models...)
	first.advance(int(shrinkDelay.Seconds())+30, "quill", 400_000)
	issued := len(first.configuration.state.Orders())
	if issued != loadBurst {
		t.Fatalf("%d orders issued at once, want the burst of %d", issued, loadBurst)
	}
	g.lead("entry-2", 0)
	snapshot, err := first.configuration.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	second := newPlacementReducer(t, g, "entry-2", models...)
	second.now = first.now
	if err := second.configuration.installSnapshot(first.configuration.state.Index(), snapshot); err != nil {
		t.Fatal(err)
	}
	second.log.applied = first.log.applied
	second.advance(5, "quill", 400_000)
	if n := len(second.configuration.state.Orders()); n > issued+1 {
		t.Errorf("%d orders in progress 5 s after the change of leader, want at most %d", n, issued+1)
	}
}
