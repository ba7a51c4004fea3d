package paces

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

var origin = time.Unix(100_000, 0)

const (
	testAnswer = 1500 * time.Millisecond // duration of an answer
	testFirst  = 100 * time.Millisecond  // time to the first event of a warm server
	testStep   = 10 * time.Millisecond
)

// trial is a server under constant demand: it gets a request whenever its pace allows one.
type trial struct {
	slots    int
	warmFor  func(since time.Duration) int // requests that it answers on time at once
	pace     *Pace
	table    *Table
	begins   []time.Duration // of the requests in progress
	pending  []pendingFirst
	onTime   int
	late     int
	peak     int // requests at once
	steadyAt time.Duration
}

type pendingFirst struct {
	sent, due time.Duration
	late      bool
	active    int
}

func (s *trial) config() Config { return Config{Slots: s.slots, AnswerTime: testAnswer} }

func (s *trial) run(length time.Duration) {
	s.table = NewTable()
	s.pace = s.table.Update(origin, "s", origin.UnixMilli(), false, s.config())
	for at := time.Duration(0); at < length; at += testStep {
		s.step(at)
	}
}

func (s *trial) step(at time.Duration) {
	s.begins = slices.DeleteFunc(s.begins, func(begin time.Duration) bool { return at-begin >= testAnswer })
	s.pending = slices.DeleteFunc(s.pending, func(f pendingFirst) bool {
		if at < f.due {
			return false
		}
		sign := Sign{SentAt: origin.Add(f.sent), Active: f.active, Reason: ReasonOnTime}
		if f.late {
			sign.Reason = ReasonLate
			s.late++
		} else {
			s.onTime++
		}
		s.pace.Record(origin.Add(at), sign)
		return true
	})
	for len(s.begins) < s.slots && s.pace.Allows(len(s.begins)) {
		s.begins = append(s.begins, at)
		s.peak = max(s.peak, len(s.begins))
		first := pendingFirst{sent: at, due: at + testFirst, active: len(s.begins)}
		if len(s.begins) > s.warmFor(at) {
			first.late, first.due = true, at+4*testFirst
		}
		s.pending = append(s.pending, first)
	}
	if s.steadyAt == 0 && s.pace.Phase() == Steady {
		s.steadyAt = at
	}
}

// warmAfter returns a server that answers coldRequests at once until it is warm.
func warmAfter(slots int, warm time.Duration, coldRequests int) *trial {
	return &trial{slots: slots, warmFor: func(since time.Duration) int {
		if since < warm {
			return coldRequests
		}
		return slots
	}}
}

// Guards against servers that stay idle although they are warm, and against cold ones that
// get full load: most answers of a server are to be on time however long it takes to warm.
func TestServersThatWarm(t *testing.T) {
	for _, slots := range []int{6, 12, 40} {
		for _, c := range []struct {
			warm     time.Duration
			length   time.Duration
			steadyBy time.Duration
			minShare float64 // of the answers that are on time
		}{
			{warm: 0, length: 10 * time.Second, steadyBy: time.Second, minShare: 1},
			{warm: 3 * time.Second, length: 20 * time.Second, steadyBy: 18 * time.Second, minShare: 0.9},
			{warm: 30 * time.Second, length: 60 * time.Second, steadyBy: 50 * time.Second, minShare: 0.7},
			{warm: time.Hour, length: 60 * time.Second, minShare: 0.5},
		} {
			t.Run(fmt.Sprintf("%d slots, warm after %s", slots, c.warm), func(t *testing.T) {
				s := warmAfter(slots, c.warm, 2)
				s.run(c.length)
				share := float64(s.onTime) / float64(s.onTime+s.late)
				t.Logf("%d answers, on time %.2f, steady after %s, peak %d", s.onTime+s.late, share, s.steadyAt, s.peak)
				if share < c.minShare {
					t.Errorf("%.2f of the answers are on time, want at least %.2f", share, c.minShare)
				}
				if c.steadyBy > 0 && (s.steadyAt == 0 || s.steadyAt > c.steadyBy) {
					t.Errorf("steady after %s, want at most %s", s.steadyAt, c.steadyBy)
				}
				if c.steadyBy == 0 && s.steadyAt > 0 {
					t.Errorf("steady after %s although it never turns warm", s.steadyAt)
				}
			})
		}
	}
}

// steadyPace returns a table with one server that has run for long.
func steadyPace(slots int) (*Table, *Pace) {
	table := NewTable()
	return table, table.Update(origin, "s", origin.Add(-SettledAge).UnixMilli(), false, Config{Slots: slots, AnswerTime: testAnswer})
}

func assertPace(t *testing.T, p *Pace, phase Phase, limit float64) {
	t.Helper()
	if p.Phase() != phase || p.Limit() != limit {
		t.Errorf("the pace is %s with a limit of %v, want %s with %v", p.Phase(), p.Limit(), phase, limit)
	}
}

func sign(at time.Time, reason string, active int) Sign {
	return Sign{SentAt: at, Active: active, Reason: reason}
}

// Guards against a pace that holds back a server that has run for long because its load
// delays events.
func TestLateEventsDoNotSlowSteadyServers(t *testing.T) {
	_, p := steadyPace(12)
	for i := range 100 {
		at := origin.Add(time.Duration(i) * 100 * time.Millisecond)
		p.Record(at, sign(at.Add(-testFirst), ReasonLate, 12))
	}
	assertPace(t, p, Steady, math.Inf(1))
}

// Guards against one event that is counted several times, and against requests that were
// sent before a reduction and are taken as evidence about the reduced pace.
func TestSignsOfOneEventCountOnce(t *testing.T) {
	_, p := steadyPace(12)
	for i := range 12 {
		p.Record(origin.Add(time.Duration(i)*time.Millisecond), sign(origin, ReasonFailure, 12))
	}
	assertPace(t, p, BackingOff, 6)
	p.Record(origin.Add(2*testAnswer), sign(origin.Add(-time.Millisecond), ReasonFailure, 12))
	assertPace(t, p, BackingOff, 6)
	p.Record(origin.Add(2*testAnswer), sign(origin.Add(testAnswer), ReasonFailure, 6))
	assertPace(t, p, BackingOff, 3)
}

// Guards against a server that recovers from one failure and is left idle.
func TestGrowthAfterAFailure(t *testing.T) {
	_, p := steadyPace(12)
	p.Record(origin, sign(origin, ReasonFailure, 12))
	at := origin.Add(time.Second)
	for range 3 {
		p.Record(at.Add(testFirst), sign(at, ReasonOnTime, 6))
	}
	assertPace(t, p, Steady, math.Inf(1))
}

// Guards against growth that no load has tested: answers of an almost idle server.
func TestUnusedPaceDoesNotGrow(t *testing.T) {
	table := NewTable()
	p := table.Update(origin, "s", origin.UnixMilli(), false, Config{Slots: 40, AnswerTime: testAnswer})
	for i := range 100 {
		at := origin.Add(time.Duration(i) * time.Second)
		p.Record(at.Add(testFirst), sign(at, ReasonOnTime, 1))
	}
	assertPace(t, p, Growing, 4)
	if table.Refused()[ReasonUnused] == 0 {
		t.Error("no refused growth is counted")
	}
}

// Guards against evidence that outlives its time: a server that was under stress once grows
// by doubling again after EvidenceTTL.
func TestOldStressDoesNotCount(t *testing.T) {
	growth := func(after time.Duration) float64 {
		p := NewTable().Update(origin, "s", origin.UnixMilli(), false, Config{Slots: 40, AnswerTime: testAnswer, First: 16})
		p.Record(origin.Add(time.Second), sign(origin.Add(testFirst), ReasonLate, 16))
		at := origin.Add(time.Second + after)
		for range 8 {
			p.Record(at.Add(testFirst), sign(at, ReasonOnTime, 8))
		}
		return p.Limit()
	}
	if got := growth(2 * testAnswer); got != 9 {
		t.Errorf("the limit is %v soon after stress, want 9", got)
	}
	if got := growth(EvidenceTTL); got != 16 {
		t.Errorf("the limit is %v long after stress, want 16", got)
	}
}

// Guards against a flapping server that gets its full load as soon as one that starts once.
func TestFlappingServersGrowSlowly(t *testing.T) {
	answersUntilSteady := func(starts int) int {
		table := NewTable()
		var p *Pace
		now := origin
		for i := range starts {
			now = origin.Add(time.Duration(i) * 5 * time.Second)
			p = table.Update(now, "s", now.UnixMilli(), false, Config{Slots: 12, AnswerTime: testAnswer})
			assertPace(t, p, Starting, 1)
		}
		n := 0
		for ; p.Phase() != Steady && n < 1000; n++ {
			now = now.Add(testStep)
			p.Record(now, sign(now, ReasonOnTime, 12))
		}
		return n
	}
	if once, often := answersUntilSteady(1), answersUntilSteady(3); often != 2*once {
		t.Errorf("steady after %d answers when it flaps and %d otherwise, want twice as many", often, once)
	}
}

// Guards against a server that misreports its state: an earlier start that is announced
// late, one that turns cold again, and one that says it is warm.
func TestStarts(t *testing.T) {
	cfg := Config{Slots: 12, AnswerTime: testAnswer, First: 3}
	born := origin.Add(-time.Minute).UnixMilli()
	t.Run("earlier start", func(t *testing.T) {
		table, p := steadyPace(12)
		table.Update(origin, "s", born-1, false, cfg)
		assertPace(t, p, Steady, math.Inf(1))
	})
	t.Run("later start", func(t *testing.T) {
		table, p := steadyPace(12)
		table.Update(origin, "s", origin.UnixMilli(), false, cfg)
		assertPace(t, p, Starting, 3)
		p.Record(origin.Add(time.Second), sign(origin.Add(-time.Second), ReasonFailure, 3)) // of the earlier start
		assertPace(t, p, Starting, 3)
	})
	t.Run("turns cold", func(t *testing.T) {
		table, p := steadyPace(12)
		table.Update(origin, "s", origin.Add(-SettledAge).UnixMilli(), true, cfg)
		assertPace(t, p, Starting, 3)
		table.Settle("s")
		assertPace(t, p, Starting, 3)
	})
	t.Run("away for a short time", func(t *testing.T) {
		table, p := steadyPace(12)
		table.Prune(origin.Add(time.Minute), func(gypsumshelf.ServerID) bool { return true })
		gone := func(gypsumshelf.ServerID) bool { return false }
		table.Prune(origin.Add(65*time.Second), gone)
		if table.Get("s") != p {
			t.Error("the pace is forgotten within the time in which flapping is judged")
		}
		table.Prune(origin.Add(2*time.Minute), gone)
		if table.Get("s") != nil {
			t.Error("the pace of a server that is gone is kept")
		}
	})
}

// Guards against a server with little load that is held back by a burst long after its
// start, and against one under stress that gets full load because it has run for long.
func TestServersSettleByAge(t *testing.T) {
	long := origin.Add(SettledAge)
	for _, c := range []struct {
		name     string
		reason   string        // of evidence, empty for none
		at       time.Duration // of the evidence, after the start
		cold     bool
		unjudged bool
		want     Phase
	}{
		{name: "on time", reason: ReasonOnTime, at: time.Second, want: Steady},
		{name: "recent stress", reason: ReasonLate, at: 20 * time.Second, want: BackingOff},
		{name: "stress that a scheduler with few answers has seen", reason: ReasonLate, at: SettledAge - EvidenceTTL, unjudged: true, want: Steady},
		{name: "cold", reason: ReasonOnTime, at: time.Second, cold: true, want: Growing},
		{name: "no answer", want: Starting},
		{name: "no answer that this scheduler could see", unjudged: true, want: Steady},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			p := table.Update(origin, "s", origin.UnixMilli(), c.cold, Config{Slots: 40, AnswerTime: testAnswer})
			if c.reason != "" {
				p.Record(origin.Add(c.at), sign(origin.Add(c.at), c.reason, 1))
			}
			table.SettleByAge(long.Add(-time.Millisecond), c.unjudged)
			if p.Phase() == Steady {
				t.Error("the server is steady too early")
			}
			table.SettleByAge(long, c.unjudged)
			if p.Phase() != c.want {
				t.Errorf("the pace is %s, want %s", p.Phase(), c.want)
			}
		})
	}
}
