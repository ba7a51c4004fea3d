package dispatchers

import (
	"math"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"gypsumshelf.example/gypsumshelf/schedules"
	"gypsumshelf.example/gypsumshelf/timers"
)

// Guards against invalid load reports that are used, or that are logged with each poll.
func TestInvalidReportsAreLoggedOnce(t *testing.T) {
	log, hook := test.NewNullLogger()
	service := timers.New(timers.Config{})
	t.Cleanup(service.Close)
	d := New(Config{Log: logrus.NewEntry(log), Timers: service})
	record := func(l schedules.Load) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.recordReport(time.Now(), "e1", l)
	}
	invalid := schedules.Load{Slowdown: math.NaN()}
	assertWarnings := func(want int) {
		t.Helper()
		n := 0
		for _, e := range hook.AllEntries() {
			if e.Level == logrus.WarnLevel {
				n++
			}
		}
		if n != want {
			t.Errorf("%d warnings are logged, want %d", n, want)
		}
	}
	for range 5 {
		record(invalid)
	}
	assertWarnings(1)
	record(schedules.Load{Slowdown: 1})
	assertWarnings(1)
	record(invalid)
	assertWarnings(2)
}
