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

// Guards against a part of prompts that is refused although engines run requests with it for
// longer than those that were lost, and against a quarantine that their answers do not end.
func TestSoundJobsClearTheirParts(t *testing.T) {
	part := []crashes.Cause{"shared"}
	crash := func(s *Scheduler, now time.Time, server gypsumshelf.ServerID) {
		s.RecordCrash(now, crashes.Report{Server: server, Runs: []crashes.Run{{Causes: part, Duration: time.Second}}})
	}
	for _, c := range []struct {
		name        string
		started     bool
		quarantined int
	}{
		{name: "a job that runs", started: true},
		{name: "a job without an event", quarantined: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			s := New(Config{})
			s.jobs["j"] = &jobState{
				request: Job{ID: "j", Service: "x", Causes: part, Deadline: time.Hour}, arrived: now, placement: &Placement{Server: "sound"}, placedAt: now, started: c.started,
			}
			s.pools["x"] = &pool{engines: map[gypsumshelf.ServerID]*engine{}}
			for _, server := range []gypsumshelf.ServerID{"e1", "e2", "e3"} {
				now = now.Add(4 * time.Second)
				crash(s, now, server)
				now = now.Add(200 * time.Millisecond)
				s.judgeCrashes(now)
			}
			if found := s.TakeQuarantines(); len(found) != c.quarantined {
				t.Errorf("quarantines are %+v, want %d", found, c.quarantined)
			}
			s.RecordCompleted(now, part)
			if refuted := s.TakeRefutedQuarantines(); len(refuted) != c.quarantined {
				t.Errorf("refuted are %+v, want %d", refuted, c.quarantined)
			}
		})
	}
}
