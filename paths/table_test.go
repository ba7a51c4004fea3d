package paths

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func assertState(t *testing.T, table *Table, now time.Time, want State) {
	t.Helper()
	if got := table.State(now, "a", "b"); got != want {
		t.Errorf("after %v the path is %v, want %v", now.Sub(start), got, want)
	}
}

// load is the traffic over one path.
type load struct {
	eventsPerSecond int
	stallRate       float64
	rand            *rand.Rand
}

// run records the samples of a time, one each 50 ms.
func (l load) run(t *testing.T, table *Table, from time.Time, length time.Duration) time.Time {
	t.Helper()
	const step = 50 * time.Millisecond
	for at := from; at.Before(from.Add(length)); at = at.Add(step) {
		s := Sample{From: "a", To: "b", Events: max(1, int(float64(l.eventsPerSecond)*step.Seconds()))}
		for range s.Events {
			if l.rand.Float64() < l.stallRate {
				s.Stalls++
			}
		}
		if err := table.Record(at, s); err != nil {
			t.Fatal(err)
		}
	}
	return from.Add(length)
}

// firstTime returns when the path first has a state, while a load runs.
func (l load) firstTime(t *testing.T, table *Table, from time.Time, want State) time.Duration {
	t.Helper()
	for at := from; at.Before(from.Add(20 * time.Second)); {
		at = l.run(t, table, at, 50*time.Millisecond)
		if table.State(at, "a", "b") == want {
			return at.Sub(from)
		}
	}
	t.Fatalf("the path is never %v", want)
	return 0
}

// Guards against streams that go on over a link which loses packets, and against a path
// that is given up for the few stalls of a sound one. Stalls per event are a little below
// the lost packets, since one stall covers several events.
func TestPathFollowsItsLosses(t *testing.T) {
	for _, c := range []struct {
		name            string
		eventsPerSecond int
		stallRate       float64
		maxDelay        time.Duration // until it is lossy, 0 for never
	}{
		{"1% lost, busy", 900, 0.0105, 3 * time.Second},
		{"4% lost, busy", 900, 0.035, time.Second},
		{"4% lost, quiet", 150, 0.035, 2 * time.Second},
		{"sound, busy", 900, 0.0005, 0},
		{"sound, quiet", 30, 0.0005, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			r := rand.New(rand.NewPCG(7, 7))
			now := load{c.eventsPerSecond, 0.0003, r}.run(t, table, start, 5*time.Second)
			assertState(t, table, now, Sound)
			l := load{c.eventsPerSecond, c.stallRate, r}
			if c.maxDelay == 0 {
				now = l.run(t, table, now, 10*time.Second)
				assertState(t, table, now, Sound)
				return
			}
			if took := l.firstTime(t, table, now, Lossy); took > c.maxDelay {
				t.Errorf("lossy after %v, want at most %v", took, c.maxDelay)
			}
		})
	}
}

// Guards against a path that stays avoided after its link has recovered.
func TestPathRecovers(t *testing.T) {
	t.Run("with trials", func(t *testing.T) {
		table := NewTable()
		r := rand.New(rand.NewPCG(3, 3))
		now := load{600, 0.035, r}.run(t, table, start, 3*time.Second)
		assertState(t, table, now, Lossy)
		trials := load{40, 0, r}
		if took := trials.firstTime(t, table, now, Sound); took > 5*time.Second {
			t.Errorf("sound again after %v, want at most 5s", took)
		}
	})
	t.Run("connections are made again", func(t *testing.T) {
		table := NewTable()
		for range 4 {
			record(t, table, start, Sample{From: "a", To: "b", Events: 1, Stalls: 1, Unreached: 1})
		}
		assertState(t, table, start, Lost)
		assertState(t, table, start.Add(5*time.Second), Lost)
		now := start.Add(6 * time.Second)
		for range 4 {
			now = now.Add(500 * time.Millisecond)
			record(t, table, now, Sample{From: "b", To: "a", Events: 8})
		}
		assertState(t, table, now, Sound)
	})
	t.Run("nobody uses it", func(t *testing.T) {
		table := NewTable()
		for range 4 {
			record(t, table, start, Sample{From: "a", To: "b", Unreached: 1})
		}
		assertState(t, table, start.Add(lostRetention+time.Second), Sound)
	})
}

func record(t *testing.T, table *Table, now time.Time, s Sample) {
	t.Helper()
	if err := table.Record(now, s); err != nil {
		t.Fatal(err)
	}
}

// Guards against a single lost packet, or a single server that is hard to reach, that
// counts as a bad path.
func TestSingleStallIsNoBadPath(t *testing.T) {
	table := NewTable()
	record(t, table, start, Sample{From: "a", To: "b", Events: 20, Stalls: 1, Unreached: 1})
	assertState(t, table, start, Sound)
}

// Guards against a flood of callers over a path that is still bad.
func TestTrialsAreLimited(t *testing.T) {
	table := NewTable()
	if table.AllowTrial(start, "a", "b") {
		t.Error("a sound path needs no trial")
	}
	now := load{600, 0.035, rand.New(rand.NewPCG(5, 5))}.run(t, table, start, 2*time.Second)
	trials := 0
	for at := now; at.Before(now.Add(time.Second)); at = at.Add(10 * time.Millisecond) {
		if table.AllowTrial(at, "b", "a") {
			trials++
		}
	}
	if trials < 1 || trials > trialsPerSecond+1 {
		t.Errorf("got %d trials in a second, want 1 to %d", trials, trialsPerSecond+1)
	}
}

// Guards against a sample of a faulty daemon that changes the table.
func TestInvalidSamplesAreRefused(t *testing.T) {
	table := NewTable()
	for _, c := range []struct {
		name   string
		sample Sample
	}{
		{"no data centre", Sample{From: "a", Events: 1}},
		{"one data centre", Sample{From: "a", To: "a", Events: 1}},
		{"negative events", Sample{From: "a", To: "b", Events: -1}},
		{"negative stalls", Sample{From: "a", To: "b", Events: 1, Stalls: -1}},
		{"negative connections", Sample{From: "a", To: "b", Unreached: -5}},
		{"more stalls than events", Sample{From: "a", To: "b", Events: 3, Stalls: 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := table.Record(start, c.sample); !errors.Is(err, ErrInvalidSample) {
				t.Errorf("got error %v, want %v", err, ErrInvalidSample)
			}
			assertState(t, table, start, Sound)
		})
	}
}

// Guards against a daemon that does not hear of a bad path, or that avoids it for ever.
func TestReportsOfOtherDaemons(t *testing.T) {
	table := NewTable()
	table.Merge(start, "a", []Report{{From: "a", To: "b", State: Lossy}, {From: "c", To: "b", State: Lost}, {From: "a", To: "a", State: Lost}})
	assertState(t, table, start, Lossy)
	if got := table.State(start, "c", "b"); got != Sound {
		t.Errorf("a report about another data centre was used: %v", got)
	}
	t.Run("they end with the next ones", func(t *testing.T) {
		table.Merge(start, "a", nil)
		assertState(t, table, start, Sound)
	})
	t.Run("they end by themselves", func(t *testing.T) {
		table.Merge(start, "a", []Report{{From: "a", To: "b", State: Lossy}})
		assertState(t, table, start.Add(reportTTL+time.Second), Sound)
	})
}

// Guards against a new leader that has to find out again which paths are bad.
func TestEvidenceIsHandedOver(t *testing.T) {
	old, next := NewTable(), NewTable()
	now := load{600, 0.035, rand.New(rand.NewPCG(9, 9))}.run(t, old, start, 2*time.Second)
	for _, s := range old.Samples(now) {
		record(t, next, now, s)
	}
	assertState(t, next, now, Lossy)
	if reports := next.States(now, "b"); len(reports) != 1 || reports[0] != (Report{From: "b", To: "a", State: Lossy}) {
		t.Errorf("got reports %v, want one of a lossy path from b to a", reports)
	}
}
