package dispatchers

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/costs"
	"gypsumshelf.example/gypsumshelf/schedules"
	"gypsumshelf.example/gypsumshelf/timers"
)

// crashedReporter answers for engines that have not crashed.
type crashedReporter struct {
	mu      sync.Mutex
	crashed map[string]bool // by address
	polls   int
}

func (r *crashedReporter) Report(_ context.Context, address string) (schedules.Load, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.polls++
	if r.crashed[address] {
		return schedules.Load{}, errors.New("connection refused")
	}
	return schedules.Load{Slowdown: 1}, nil
}

func (r *crashedReporter) crash(addresses ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range addresses {
		r.crashed[a] = true
	}
}

func (r *crashedReporter) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.polls
}

// newNeighbourhood returns an active dispatcher of engines a0, a1, ... and b0, b1, ... in
// two data centres, whose addresses are their IDs.
func newNeighbourhood(t *testing.T, policy schedules.Policy, engines int) (*Dispatcher, *crashedReporter) {
	t.Helper()
	service := timers.New(timers.Config{})
	t.Cleanup(service.Close)
	r := &crashedReporter{crashed: map[string]bool{}}
	d := New(Config{Log: discardLog(), Timers: service, Reporter: r, Policy: policy})
	profile := &costs.Profile{
		Slots: 4, MemoryTokens: 450_000, StepTime: time.Millisecond, PrefillRate: 256_000, PrefillChunk: 2048, StepsPerPass: 46, MeanPromptTokens: 5000, MeanAnswerTokens: 500,
	}
	var states []Engine
	for i := range engines {
		for _, dataCentre := range []string{"a", "b"} {
			id := fmt.Sprintf("%s%d", dataCentre, i)
			states = append(states, Engine{Address: id, State: schedules.EngineState{ID: gypsumshelf.ServerID(id), Service: "llm", DataCentre: dataCentre}})
		}
	}
	d.UpdateEngines(map[string]*costs.Profile{"llm": profile}, states)
	d.SetActive(true)
	waitFor(t, func() bool { return r.count() >= len(states) })
	return d, r
}

func longJob(id string) schedules.Job {
	j := job(id)
	j.Prompt, j.Target, j.Patience = 200_000, 4*time.Second, 15*time.Second
	return j
}

// Guards against long prompts that fail again and again on engines of a data centre which
// has crashed as a whole, until each one has been tried or polled in its turn.
func TestCrashOfADataCentreIsFoundAtOnce(t *testing.T) {
	for _, engines := range []int{6, 15} {
		t.Run(fmt.Sprintf("%d engines", engines), func(t *testing.T) {
			d, r := newNeighbourhood(t, schedules.Policy{CheckNeighbours: true}, engines)
			first := requireDecision(t, d, "first")
			gone := string(first.Placement.Server)[:1]
			for i := range engines {
				r.crash(fmt.Sprintf("%s%d", gone, i))
			}
			polls := r.count()
			d.End("first", schedules.Lost, "")
			waitFor(t, func() bool { return r.count() >= polls+engines })
			waitFor(t, func() bool {
				d.mu.Lock()
				defer d.mu.Unlock()
				return len(d.reportsInFlight) == 0
			})
			decision, err := d.Place(longJob("next"))
			if err != nil || decision == nil || decision.Placement == nil {
				t.Fatalf("got %+v and error %v, want a placement", decision, err)
			}
			for _, id := range append(decision.Placement.Helpers, decision.Placement.Server) {
				if string(id)[:1] == gone {
					t.Errorf("engine %s of the crashed data centre is used", id)
				}
			}
		})
	}
}

// Guards against a poll of a whole data centre for each failed request.
func TestNeighboursAreCheckedRarely(t *testing.T) {
	d, r := newNeighbourhood(t, schedules.Policy{CheckNeighbours: true}, 8)
	polls := r.count()
	for i := range 20 {
		id := fmt.Sprintf("j%d", i)
		if _, err := d.Place(job(id)); err != nil {
			t.Fatal(err)
		}
		d.End(schedules.JobID(id), schedules.Lost, "")
	}
	if extra := r.count() - polls; extra > 2*8+16 {
		t.Errorf("%d polls after 20 failures, want one round of each data centre", extra)
	}
}
