package controls

import (
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/directories"
	"gypsumshelf.example/gypsumshelf/rosters"
)

// Guards against a change that is not published: a backend server whose cold
// phase was extended would get the load of a warm one too early.
func TestIsRedundant(t *testing.T) {
	now := time.Unix(100, 0)
	record := rosters.Record{ID: "s1", Born: 1, Sequence: 4, Service: "x", Address: "a:1", Cold: time.Second}
	old := rosters.Entry{Record: record, UpdatedAt: now, ColdUntil: now.Add(time.Second)}
	for _, test := range []struct {
		name      string
		change    func(*rosters.Record)
		redundant bool
	}{
		{"a later sequence", func(r *rosters.Record) { r.Sequence = 9 }, true},
		{"less time left", func(r *rosters.Record) { r.Cold = 200 * time.Millisecond }, true},
		{"warm", func(r *rosters.Record) { r.Cold = 0 }, true},
		{"cold for longer", func(r *rosters.Record) { r.Cold = 3 * time.Second }, false},
		{"leaving", func(r *rosters.Record) { r.Leaving = true }, false},
		{"another address", func(r *rosters.Record) { r.Address = "b:1" }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := record
			test.change(&r)
			if got := isRedundant(now, old, r); got != test.redundant {
				t.Errorf("redundant: %v, want %v", got, test.redundant)
			}
		})
	}
}

// Guards against a leave that only the daemon knows which saw the answer, and against
// announcements that publish the server as usable again.
func TestReportedLeaveReachesAllDaemons(t *testing.T) {
	g := newTestRegistry(t)
	g.announce(time.Now(), engineRecord(1))
	g.recordLeave("e-00001", 0) // an earlier start
	assertPublished(t, g, true)
	g.recordLeave("e-00001", 1)
	assertPublished(t, g, false)
	if g.outdated {
		t.Error("the dispatcher does not know that the engine leaves")
	}
	r := engineRecord(1)
	r.Sequence, r.Slots = 2, 20 // not redundant
	g.announce(time.Now(), r)
	assertPublished(t, g, false)
}

// assertPublished checks whether a daemon that polls for the first time gets the only
// engine as usable.
func assertPublished(t *testing.T, g *registry, usable bool) {
	t.Helper()
	var v directories.View
	if err := g.publisher.Poll(directories.PollRequest{Daemon: "d"}, &v); err != nil {
		t.Fatal(err)
	}
	if len(v.Records) != 1 || v.Records[0].Usable() != usable {
		t.Errorf("published are %+v, want one record with usable %v", v.Records, usable)
	}
}
