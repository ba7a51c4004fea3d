package dispatchers

import (
	"slices"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/crashes"
)

// Guards against a report that changes while it is sent to a new leader, since one of its
// requests is answered meanwhile.
func TestAnswersDoNotChangeReportsThatAreSent(t *testing.T) {
	var e evidence
	now := time.Now()
	want := []crashes.Cause{"a", "b"}
	e.keep(now, crashes.Report{Server: "s1", Runs: []crashes.Run{{Causes: slices.Clone(want)}}})
	sent := e.updates(now)
	e.addCompleted(now, want[:1])
	if got := sent[0].Crash.Runs[0].Causes; !slices.Equal(got, want) {
		t.Errorf("the report that is sent has the causes %v, want %v", got, want)
	}
	if got := e.updates(now)[0].Crash.Runs[0].Causes; !slices.Equal(got, want[1:]) {
		t.Errorf("the next report has the causes %v, want %v", got, want[1:])
	}
}
