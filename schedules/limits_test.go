package schedules

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/costs"
)

// named returns a limit that a server names now.
func named(server gypsumshelf.ServerID, born int64, perSecond float64) ServerLimit {
	return ServerLimit{Server: server, Born: born, Named: true, PerSecond: perSecond}
}

// taken returns the number of requests that a server is allowed in a time, asked for
// every 10 ms.
func taken(l *limits, server gypsumshelf.ServerID, from time.Time, span time.Duration) int {
	n := 0
	for at := from; at.Before(from.Add(span)); at = at.Add(10 * time.Millisecond) {
		if l.allows(at, server) {
			l.take(at, server)
			n++
		}
	}
	return n
}

func assertTaken(t *testing.T, l *limits, from time.Time, span time.Duration, low, high int) {
	t.Helper()
	if n := taken(l, "s", from, span); n < low || n > high {
		t.Errorf("%d requests in %s, want %d to %d", n, span, low, high)
	}
}

// Guards against limits that are exceeded, outlive what named them, or do not end.
func TestLimits(t *testing.T) {
	const unlimited = 1000 // requests that taken asks for in 10 s
	for _, c := range []struct {
		name      string
		share     float64
		limits    []ServerLimit
		low, high int // requests in the 10 s from then on
	}{
		{name: "fraction", limits: []ServerLimit{named("s", 1, 2.5)}, low: 24, high: 26},
		{name: "high rate with a burst", limits: []ServerLimit{named("s", 1, 40)}, low: 390, high: 421},
		{name: "zero leaves trials", limits: []ServerLimit{named("s", 1, 0)}, low: 1, high: 2},
		{name: "share of a daemon without a leader", share: 0.1, limits: []ServerLimit{named("s", 1, 10)}, low: 9, high: 11},
		{name: "lower than before", limits: []ServerLimit{named("s", 1, 40), named("s", 1, 2)}, low: 19, high: 22},
		{name: "malformed", limits: []ServerLimit{named("s", 1, 2), named("s", 1, math.NaN()), named("s", 1, math.Inf(1))}, low: 19, high: 21},
		{name: "another server", limits: []ServerLimit{named("other", 1, 1)}, low: unlimited, high: unlimited},
		{name: "answer of an earlier start", limits: []ServerLimit{named("s", 2, 2), named("s", 1, 40)}, low: 19, high: 21},
		{name: "late answer without a limit", limits: []ServerLimit{named("s", 1, 2), {Server: "s", Born: 1, Age: time.Second}}, low: 19, high: 21},
		{name: "ended", limits: []ServerLimit{named("s", 1, 2), {Server: "s", Born: 1}}, low: unlimited, high: unlimited},
		{name: "ended, and reported by a daemon that has not heard of it", limits: []ServerLimit{
			named("s", 1, 2), {Server: "s", Born: 1}, {Server: "s", Born: 1, Named: true, PerSecond: 2, Age: 5 * time.Second},
		}, low: unlimited, high: unlimited},
		{name: "named again after its end", limits: []ServerLimit{named("s", 1, 2), {Server: "s", Born: 1}, named("s", 1, 1)}, low: 9, high: 11},
		{name: "ended with a new start", limits: []ServerLimit{named("s", 1, 2), {Server: "s", Born: 2}}, low: unlimited, high: unlimited},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, now := newLimits(c.share), origin
			for _, limit := range c.limits {
				now = now.Add(100 * time.Millisecond)
				l.record(now, limit)
			}
			assertTaken(t, l, now, 10*time.Second, c.low, c.high)
		})
	}
	t.Run("restarted server", func(t *testing.T) {
		l := newLimits(0)
		l.record(origin, named("s", 1, 1))
		l.restarted("s", 1)
		assertTaken(t, l, origin, 10*time.Second, 9, 11)
		l.restarted("s", 2)
		assertTaken(t, l, origin, 10*time.Second, unlimited, unlimited)
	})
	t.Run("never confirmed again", func(t *testing.T) {
		l := newLimits(0)
		l.record(origin, named("s", 1, 1))
		assertTaken(t, l, origin.Add(limitTTL+time.Second), 10*time.Second, unlimited, unlimited)
	})
}

// Guards against servers that are chosen although another has room first, and against
// waits that are longer than callers accept.
func TestAdmission(t *testing.T) {
	l := newLimits(0)
	servers := []ServerLimit{named("slow", 1, 0.5), named("fast", 1, 2)}
	l.admit(origin, AdmissionRequest{Servers: servers})
	for i, c := range []struct {
		after, maxWait time.Duration
		want           Admission
	}{
		{after: 0, want: Admission{Wait: 500 * time.Millisecond}},
		{after: 0, maxWait: time.Second, want: Admission{Server: "fast", Wait: 500 * time.Millisecond}},
		{after: 0, maxWait: time.Second, want: Admission{Server: "fast", Wait: time.Second}},
		{after: 0, maxWait: time.Second, want: Admission{Wait: 1500 * time.Millisecond}},
		{after: 2 * time.Second, want: Admission{Server: "slow"}},
	} {
		if got := l.admit(origin.Add(c.after), AdmissionRequest{Servers: servers, MaxWait: c.maxWait}); got != c.want {
			t.Errorf("request %d: %+v, want %+v", i, got, c.want)
		}
	}
}

// Guards against engines that get more than they name, jobs that wait for room that
// comes too late, and cold engines of which only one bound is kept.
func TestLimitedEngines(t *testing.T) {
	run := func(perSecond float64, cold bool) (placed, refused int) {
		s := New(Config{})
		state := EngineState{ID: "e", Service: "llm", Born: 1}
		if cold {
			state.ColdUntil, state.ColdRequestsPerSecond = origin.Add(time.Minute), 2
		}
		s.UpdateEngines(origin, map[string]*costs.Profile{"llm": testProfile()}, []EngineState{state})
		s.RecordLimit(origin, named("e", 1, perSecond))
		count := func(now time.Time, decisions []Decision) {
			for _, d := range decisions {
				if d.Placement == nil {
					refused++
					continue
				}
				placed++
				if !d.Placement.Limited {
					t.Error("the placement does not say that the engine has named a limit")
				}
				s.End(now, d.Job, Completed, "")
			}
		}
		for i := range 200 {
			now := origin.Add(time.Duration(i) * 50 * time.Millisecond)
			count(now, s.Submit(now, newJob(fmt.Sprint(i), 1000, 500*time.Millisecond)))
			count(now, s.Tick(now))
		}
		return placed, refused
	}
	if placed, refused := run(4, false); placed < 36 || placed > 42 || placed+refused < 190 {
		t.Errorf("%d placed, %d refused in 10 s at a limit of 4 a second and 20 offered", placed, refused)
	}
	if placed, _ := run(4, true); placed > 16 {
		t.Errorf("%d placed in 10 s on a cold engine that takes 2 a second, of which 0.7 are used", placed)
	}
	if placed, _ := run(0.5, true); placed > 6 {
		t.Errorf("%d placed in 10 s on a cold engine with a limit of 0.5 a second", placed)
	}
}

// Guards against jobs whose target has passed, such as resumed streams, that are refused
// for a limit that nobody has named, or that is not used up.
func TestLateJobsAreNotRefusedForLimits(t *testing.T) {
	for _, limited := range []bool{false, true} {
		s := New(Config{})
		s.UpdateEngines(origin, map[string]*costs.Profile{"llm": testProfile()}, []EngineState{{ID: "e", Service: "llm", Born: 1}})
		now := origin
		if limited {
			s.RecordLimit(now, named("e", 1, 1))
			now = now.Add(1500 * time.Millisecond) // there is room for one request
		}
		j := newJob("late", 1000, -time.Second)
		j.Patience = 2 * time.Second
		if p := requirePlacement(t, s.Submit(now, j)); p.Limited != limited {
			t.Errorf("the placement says that the engine is limited: %v, want %v", p.Limited, limited)
		}
	}
}
