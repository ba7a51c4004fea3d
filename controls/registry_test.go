package controls

import (
	"testing"
	"time"

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
