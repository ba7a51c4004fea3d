package dispatchers

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/costs"
	"gypsumshelf.example/gypsumshelf/schedules"
	"gypsumshelf.example/gypsumshelf/timers"
)

// fakeReporter counts polls and the engines that were polled.
type fakeReporter struct {
	delay    time.Duration
	inFlight atomic.Int64

	mu      sync.Mutex
	polls   int
	peak    int64 // polls in flight at once
	engines map[string]bool
}

// Report implements Reporter.
func (r *fakeReporter) Report(_ context.Context, address string) (schedules.Load, error) {
	n := r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	r.mu.Lock()
	r.polls++
	r.peak = max(r.peak, n)
	r.engines[address] = true
	r.mu.Unlock()
	time.Sleep(r.delay)
	return schedules.Load{Slowdown: 1}, nil
}

func (r *fakeReporter) counts() (polls, engines int, peak int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.polls, len(r.engines), r.peak
}

func testEngines(n int) []Engine {
	engines := make([]Engine, 0, n)
	for i := range n {
		id := gypsumshelf.ServerID(fmt.Sprintf("e-%04d", i))
		engines = append(engines, Engine{Address: string(id), State: schedules.EngineState{ID: id, Service: "llm"}})
	}
	return engines
}

func newPollingDispatcher(t *testing.T, cfg Config, engines int) (*Dispatcher, *fakeReporter) {
	t.Helper()
	return newSlowPollingDispatcher(t, cfg, engines, 5*time.Millisecond)
}

// newSlowPollingDispatcher is newPollingDispatcher with the time that an engine takes to
// answer.
func newSlowPollingDispatcher(t *testing.T, cfg Config, engines int, delay time.Duration) (*Dispatcher, *fakeReporter) {
	t.Helper()
	service := timers.New(timers.Config{})
	t.Cleanup(service.Close)
	reporter := &fakeReporter{delay: delay, engines: map[string]bool{}}
	cfg.Log, cfg.Timers, cfg.Reporter = discardLog(), service, reporter
	d := New(cfg)
	d.UpdateEngines(map[string]*costs.Profile{"llm": {Slots: 10, MemoryTokens: 450_000, StepTime: time.Millisecond, PrefillRate: 256_000, StepsPerPass: 46}}, testEngines(engines))
	d.SetActive(true)
	return d, reporter
}

// Guards against entry daemons that each poll every engine four times a second while
// no leader answers. At 100 hosts and 1,003 engines one of them had 1,168 connections
// and 58 MB, and at 300 hosts they took 110 to 160 MB each.
func TestLocalSchedulerPollsASample(t *testing.T) {
	for _, engines := range []int{20, 300, 3000} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			d, reporter := newPollingDispatcher(t, Config{Local: true, Daemon: "d1"}, engines)
			for i := range 5 {
				if _, err := d.Place(job(fmt.Sprint("j", i))); err != nil {
					t.Fatal(err)
				}
				time.Sleep(localReportPeriod)
			}
			if _, polled, _ := reporter.counts(); polled > maxSampledEngines || engines < maxSampledEngines && polled != engines {
				t.Errorf("%d of %d engines were polled, want all of up to %d", polled, engines, maxSampledEngines)
			}
		})
	}
}

// Guards against polls of all engines at the same moment: at 1,003 engines the leader
// had a connection to each of them, and 91 MB.
func TestLeaderSpreadsItsPolls(t *testing.T) {
	for _, engines := range []int{100, 3000} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				t.Cleanup(awaitPolls)
				_, reporter := newPollingDispatcher(t, Config{}, engines)
				assertSpreadPolls(t, reporter)
				if want, polled := min(engines, int(maxReportsPerSecond)), reporter.polledEngines(); polled < want {
					t.Errorf("%d engines were polled, want at least %d", polled, want)
				}
			})
		})
	}
}

// Guards against polls that pile up while answers are late.
func TestPollsOfSlowEnginesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(awaitPolls)
		_, reporter := newSlowPollingDispatcher(t, Config{}, 3000, reportTimeout*9/10)
		assertSpreadPolls(t, reporter)
	})
}

// assertSpreadPolls watches the polls of a leader on the exact clock of a synctest bubble.
func assertSpreadPolls(t *testing.T, reporter *fakeReporter) {
	t.Helper()
	const watched = 2 * time.Second
	time.Sleep(watched)
	polls, _, peak := reporter.counts()
	if most := maxReportsInFlight + int(maxReportsPerSecond*watched.Seconds()); polls > most {
		t.Errorf("%d polls in %v, want at most %d", polls, watched, most)
	}
	if peak > maxReportsInFlight {
		t.Errorf("%d polls were in flight at once, want at most %d", peak, maxReportsInFlight)
	}
}

// awaitPolls waits in a synctest bubble until the polls in flight have ended.
func awaitPolls() { time.Sleep(reportTimeout) }

func (r *fakeReporter) polledEngines() int {
	_, engines, _ := r.counts()
	return engines
}

// Guards against samples that leave engines unused or that change as a whole when one
// engine comes or goes.
func TestSamples(t *testing.T) {
	engines := testEngines(200)
	used := map[gypsumshelf.ServerID]int{}
	const daemons = 100
	for i := range daemons {
		for _, e := range sampleEngines(gypsumshelf.DaemonID(fmt.Sprintf("10.0.0.%d:7340", i)), engines) {
			used[e.State.ID]++
		}
	}
	t.Run("all engines are used", func(t *testing.T) {
		mean := daemons * maxSampledEngines / len(engines)
		for _, e := range engines {
			if n := used[e.State.ID]; n == 0 || n > 3*mean {
				t.Errorf("engine %s is in %d samples, want 1 to %d", e.State.ID, n, 3*mean)
			}
		}
	})
	t.Run("a lost engine is replaced by one", func(t *testing.T) {
		before := map[gypsumshelf.ServerID]bool{}
		for _, e := range sampleEngines("d", engines) {
			before[e.State.ID] = true
		}
		added := 0
		for _, e := range sampleEngines("d", engines[1:]) {
			if !before[e.State.ID] {
				added++
			}
		}
		if added > 1 {
			t.Errorf("%d engines are new in the sample, want at most 1", added)
		}
	})
}
