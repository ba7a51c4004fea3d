package crashes

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// assertRefuted checks the causes whose quarantines turned out to be wrong, in any order.
func (l *crashLog) assertRefuted(want ...Cause) {
	l.t.Helper()
	var got []Cause
	for _, r := range l.d.TakeRefuted() {
		got = append(got, r.Cause)
		if l.d.IsQuarantined(l.now, prompt(r.Cause)) {
			l.t.Errorf("%s is refuted and still quarantined", r.Cause)
		}
	}
	if slices.Sort(got); !slices.Equal(got, want) {
		l.t.Errorf("refuted are %v, want %v", got, want)
	}
}

// Guards against a part of the prompts of sound requests that is refused for an hour, since
// three backend servers ended by themselves while different requests with it ran.
func TestSharedPartOfSoundRequestsIsNotRefused(t *testing.T) {
	own := func(n int) []Cause { return prompt("shared", Cause(fmt.Sprint("own", n)), RequestCause(fmt.Sprint(n))) }
	// lose ends the next server under a request that has run for a time, while others run.
	lose := func(l *crashLog, n int, ran time.Duration, others ...Running) []Quarantine {
		l.n++
		server := gypsumshelf.ServerID(fmt.Sprint("e", l.n))
		l.d.RecordCrash(l.now, Report{Server: server, Runs: []Run{{Causes: own(n), Duration: ran}}})
		l.now = l.now.Add(settleTime)
		if !l.d.NeedsRunning(l.now) {
			t.Error("the requests in progress are not asked for")
		}
		l.d.RecordRunning(l.now, others)
		return l.d.Settle(l.now)
	}
	running := func(n int, d time.Duration) Running { return Running{Server: "sound", Causes: own(n), Duration: d} }
	t.Run("requests that were lost run on elsewhere", func(t *testing.T) {
		l := newCrashLog(t)
		// Three requests begin together and each loses its server once, 3 s apart.
		l.assertQuarantined(lose(l, 1, 2*time.Second, running(2, 2*time.Second), running(3, 2*time.Second)))
		l.now = l.now.Add(3 * time.Second)
		l.assertQuarantined(lose(l, 2, 5*time.Second, running(1, 3*time.Second), running(3, 5*time.Second)))
		l.now = l.now.Add(3 * time.Second)
		l.assertQuarantined(lose(l, 3, 8*time.Second, running(1, 6*time.Second), running(2, 3*time.Second)))
		l.assertSound(own(4))
	})
	t.Run("others run for longer", func(t *testing.T) {
		l := newCrashLog(t)
		for n := range 2 * ambiguousStrikes {
			l.now = l.now.Add(300 * time.Millisecond)
			l.assertQuarantined(lose(l, n, time.Second, running(99, 3*time.Second)))
		}
	})
	quarantined := func(t *testing.T) *crashLog {
		l := newCrashLog(t)
		var found []Quarantine
		for n := range quarantineStrikes {
			l.now = l.now.Add(500 * time.Millisecond)
			found = append(found, lose(l, n, time.Second)...)
		}
		l.assertQuarantined(found, "shared")
		return l
	}
	t.Run("lost requests run on after the quarantine", func(t *testing.T) {
		l := quarantined(t)
		for _, survived := range []time.Duration{100 * time.Millisecond, time.Second, time.Second + survivalMargin} {
			l.now = l.now.Add(survivalPeriod)
			l.d.RecordRunning(l.now, []Running{running(1, survived)})
			l.assertRefuted()
		}
		l.now = l.now.Add(survivalPeriod)
		l.d.RecordRunning(l.now, []Running{running(1, time.Second+survivalMargin+time.Millisecond)})
		l.assertRefuted("shared")
		l.assertSound(own(4))
		l.assertRefuted()
	})
	t.Run("a lost request is answered after the quarantine", func(t *testing.T) {
		l := quarantined(t)
		l.d.RecordCompleted(l.now, own(1))
		l.assertRefuted("shared")
		l.assertSound(own(4))
	})
	t.Run("no comparison after the end of the quarantine", func(t *testing.T) {
		l := quarantined(t)
		l.now = l.now.Add(survivalPeriod)
		if !l.d.NeedsRunning(l.now) {
			t.Error("the requests in progress are not asked for")
		}
		for _, d := range []time.Duration{Retention + time.Second, QuarantineTime} {
			l.now = l.now.Add(d)
			l.settle()
		}
		if l.d.NeedsRunning(l.now) {
			t.Error("the requests in progress are still asked for")
		}
		l.assertRefuted()
	})
	t.Run("a quarantine that another leader has found", func(t *testing.T) {
		l := newCrashLog(t)
		l.d.SetQuarantines([]Quarantine{{Cause: "shared", Until: l.now.Add(time.Hour)}}, nil)
		l.d.RecordCompleted(l.now, own(1))
		l.assertRefuted("shared")
	})
	t.Run("crashes after the refutation", func(t *testing.T) {
		l := quarantined(t)
		l.d.RecordCompleted(l.now, own(1))
		l.now = l.now.Add(2*successRetention + time.Second)
		var found []Quarantine
		for n := range quarantineStrikes {
			l.now = l.now.Add(500 * time.Millisecond)
			found = append(found, lose(l, 10+n, time.Second)...)
		}
		l.assertQuarantined(found, "shared")
	})
}

// Guards against a crashing part that is taken for a sound one, since requests with it seem to
// run on servers that have ended, or have not run for long enough to end theirs.
func TestRunningRequestsThatProveNothing(t *testing.T) {
	for _, c := range []struct {
		name    string
		running func(n int) Running
	}{
		{"at the server that has ended", func(n int) Running {
			return Running{Server: gypsumshelf.ServerID(fmt.Sprint("e", n)), Causes: prompt("bad"), Duration: time.Minute}
		}},
		{"for no longer than the lost ones", func(int) Running {
			return Running{Server: "sound", Causes: prompt("bad"), Duration: runTime + survivalMargin}
		}},
		{"without the part", func(int) Running {
			return Running{Server: "sound", Causes: prompt("shared"), Duration: time.Minute}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newCrashLog(t)
			var found []Quarantine
			for n := range quarantineStrikes {
				l.now = l.now.Add(300 * time.Millisecond)
				l.lose(0, prompt("shared", "bad", Cause(fmt.Sprint("own", n))))
				l.d.RecordCompleted(l.now, prompt("shared"))
				l.now = l.now.Add(settleTime)
				l.d.RecordRunning(l.now, []Running{c.running(l.n)})
				found = append(found, l.d.Settle(l.now)...)
			}
			l.assertQuarantined(found, "bad")
			l.assertRefuted()
		})
	}
}
