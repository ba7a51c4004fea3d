package crashes

import (
	"fmt"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Guards against evidence that is lost with a daemon that stops, and against requests that are
// accused of the end of a server long after their attempts.
func TestRequestsOfAStoppedDaemonCount(t *testing.T) {
	abandon := func(l *crashLog, server int) {
		l.d.RecordAbandoned(l.now, Report{Server: gypsumshelf.ServerID(fmt.Sprint("e", server)), Runs: []Run{{Causes: prompt("request:r"), Duration: runTime}}})
	}
	play := func(l *crashLog, between time.Duration) (found []Quarantine) {
		for range quarantineStrikes {
			abandon(l, l.n+1) // the server that ends next
			l.now = l.now.Add(between)
			found = append(found, l.crash(prompt(Cause(fmt.Sprint("own", l.n))))...)
		}
		return found
	}
	t.Run("servers end at once", func(t *testing.T) {
		l := newCrashLog(t)
		l.assertQuarantined(play(l, 0), "request:r")
	})
	t.Run("servers end later", func(t *testing.T) {
		l := newCrashLog(t)
		l.assertQuarantined(play(l, AbandonedTime))
	})
	t.Run("end already reported", func(t *testing.T) {
		l := newCrashLog(t)
		var found []Quarantine
		for range quarantineStrikes {
			l.crash(prompt(Cause(fmt.Sprint("own", l.n))))
			abandon(l, l.n)
			found = append(found, l.settle()...)
		}
		l.assertQuarantined(found, "request:r")
	})
	t.Run("bounded", func(t *testing.T) {
		l := newCrashLog(t)
		for n := range 2 * maxAbandonedRuns {
			abandon(l, n)
		}
		if l.d.abandonedRuns > maxAbandonedRuns {
			t.Errorf("%d requests are remembered, want at most %d", l.d.abandonedRuns, maxAbandonedRuns)
		}
		l.now = l.now.Add(3 * AbandonedTime)
		if l.settle(); l.d.abandonedRuns != 0 || len(l.d.abandoned) != 0 {
			t.Errorf("%d requests are left", l.d.abandonedRuns)
		}
	})
}

// Guards against a request that is accused again of crashes from before its answer, since
// their reports were repeated.
func TestRepeatedReportsAccuseNobodyAgain(t *testing.T) {
	l := newCrashLog(t)
	report := func(n int) {
		l.d.RecordCrash(l.now, Report{Server: gypsumshelf.ServerID(fmt.Sprint("reported", n)), Age: time.Duration(quarantineStrikes-n) * time.Second, Runs: []Run{{Causes: prompt("request:r"), Duration: runTime}}})
	}
	for n := range quarantineStrikes - 1 {
		report(n)
	}
	l.assertQuarantined(l.settle())
	l.d.RecordCompleted(l.now, prompt("request:r"))
	l.now = l.now.Add(3 * successRetention)
	for n := range quarantineStrikes - 1 {
		report(n)
	}
	l.assertQuarantined(l.settle())
	l.assertQuarantined(l.crash(prompt("request:r")))
}
