package schedules

import (
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/crashes"
)

// Guards against jobs with a quarantined part that are placed from the queue or after
// another scheduler has found the part.
func TestQuarantinedJobsAreRefused(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := New(Config{})
	s.SetQuarantines([]crashes.Quarantine{{Cause: "bad", Until: now.Add(time.Hour)}}, nil)
	s.pools["x"] = &pool{engines: map[gypsumshelf.ServerID]*engine{}}
	decisions := s.Submit(now, Job{ID: "j", Service: "x", Causes: []crashes.Cause{"shared", "bad"}})
	if len(decisions) != 1 || decisions[0].Placement != nil || decisions[0].Reason != crashes.QuarantineReason {
		t.Fatalf("decisions are %+v, want a refusal", decisions)
	}
}
