package rosters

import (
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Guards against late records that make an ended start usable again, undo a
// leave, or give an address back to its previous start.
func TestMergeAcceptsOnlyNewerRecords(t *testing.T) {
	now := time.Unix(100, 0)
	ready := Record{ID: "s1", Born: 10, Sequence: 5, Address: "a:1", Service: "x"}
	with := func(change func(*Record)) Record {
		r := ready
		change(&r)
		return r
	}
	for _, test := range []struct {
		name   string
		next   Record
		merged bool
	}{
		{"the same record", ready, false},
		{"an older sequence", with(func(r *Record) { r.Sequence = 4; r.Leaving = true }), false},
		{"a later leave", with(func(r *Record) { r.Sequence = 6; r.Leaving = true }), true},
		{"an earlier start", with(func(r *Record) { r.Born = 9; r.Sequence = 50 }), false},
		{"a later start", with(func(r *Record) { r.Born = 11; r.Sequence = 1 }), true},
		{"an earlier start at the address", with(func(r *Record) { r.ID = "s0"; r.Born = 9 }), false},
		{"a later start at the address", with(func(r *Record) { r.ID = "s2"; r.Born = 12 }), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := New()
			o.Merge(now, ready)
			if got := o.Merge(now, test.next); got != test.merged {
				t.Errorf("merged: %v, want %v", got, test.merged)
			}
		})
	}
	t.Run("an ended start stays ended", func(t *testing.T) {
		o := New()
		o.Merge(now, with(func(r *Record) { r.Gone = true }))
		if o.Merge(now, with(func(r *Record) { r.Sequence = 99 })) {
			t.Error("a late record makes the backend server usable again")
		}
	})
	t.Run("a new start at an address ends the old one", func(t *testing.T) {
		o := New()
		o.Merge(now, ready)
		o.Merge(now, Record{ID: "s2", Born: 12, Address: "a:1", Service: "y"})
		if e, _ := o.Get("s1"); e.Usable() {
			t.Error("the old start is still usable")
		}
	})
}

// Guards against an address that stays taken by a backend server which has restarted
// elsewhere: the next one there was rejected, or the first one marked as gone.
func TestAddressIsFreeAfterAMove(t *testing.T) {
	now := time.Now()
	record := func(id string, born int64, address string) Record {
		return Record{ID: gypsumshelf.ServerID(id), Born: born, Sequence: 1, Address: address, Service: "x"}
	}
	for name, born := range map[string]int64{"an earlier start takes the address": 2, "a later start takes the address": 9} {
		t.Run(name, func(t *testing.T) {
			o := New()
			o.Merge(now, record("a", 1, "10.0.0.1:1"))
			o.Merge(now, record("a", 5, "10.0.0.2:1"))
			if !o.Merge(now, record("b", born, "10.0.0.1:1")) {
				t.Error("the server at the free address is rejected")
			}
			if a, _ := o.Get("a"); !a.Usable() {
				t.Error("the server that has moved counts as gone")
			}
		})
	}
}

// Guards against a late announcement that makes a backend server usable again which has
// said in an answer that it leaves, and against a leave that outlives its start.
func TestLeaveSaidInAnAnswerBelongsToOneStart(t *testing.T) {
	now := time.Unix(100, 0)
	ready := Record{ID: "s1", Born: 10, Sequence: 5, Address: "a:1", Service: "x"}
	o := New()
	assertUsable := func(step string, want bool) {
		t.Helper()
		if entry, _ := o.Get("s1"); entry.Usable() != want {
			t.Errorf("%s: usable is %v, want %v", step, entry.Usable(), want)
		}
	}
	o.Merge(now, ready)
	left := ready
	left.SaidLeaving = true
	if !o.Merge(now, left) {
		t.Error("the leave is not merged")
	}
	assertUsable("left", false)
	later := ready
	later.Sequence = 9
	o.Merge(now, later)
	assertUsable("a later announcement", false)
	restarted := Record{ID: "s1", Born: 11, Sequence: 1, Address: "a:1", Service: "x"}
	o.Merge(now, restarted)
	assertUsable("a later start", true)
	o.Merge(now, left)
	assertUsable("a late report of the earlier leave", true)
}

// Guards against the load of warm servers for servers that became cold while their data
// centre was out of service: what they have announced may be older than that.
func TestServersOfAReturnedDataCentreCountAsCold(t *testing.T) {
	const warmUp = 3 * time.Second
	start := time.Unix(100, 0)
	record := func(id, dataCentre, service string) Record {
		return Record{ID: gypsumshelf.ServerID(id), Born: 1, Sequence: 1, Address: id + ":1", Service: service, DataCentre: dataCentre}
	}
	newRoster := func() *Roster {
		o := New()
		for _, r := range []Record{record("returned", "a", "warming"), record("stayed", "b", "warming"), record("steady", "a", "always-warm")} {
			o.Merge(start, r)
		}
		out := o.SetOutOfService(start, map[string]bool{}, []string{"a"}, warmUpTime)
		o.SetOutOfService(start, out, nil, warmUpTime)
		return o
	}
	assertCold := func(t *testing.T, o *Roster, id gypsumshelf.ServerID, want time.Time) {
		t.Helper()
		if entry, _ := o.Get(id); !entry.ColdUntil.Equal(want) {
			t.Errorf("%s is cold until %v, want %v", id, entry.ColdUntil, want)
		}
	}
	t.Run("when it returns", func(t *testing.T) {
		o := newRoster()
		assertCold(t, o, "returned", start.Add(warmUp))
		assertCold(t, o, "stayed", time.Time{})
		assertCold(t, o, "steady", time.Time{})
	})
	t.Run("a late announcement that says warm", func(t *testing.T) {
		o, r := newRoster(), record("returned", "a", "warming")
		r.Sequence = 2
		o.Merge(start.Add(time.Second), r)
		assertCold(t, o, "returned", start.Add(warmUp))
	})
	t.Run("an announcement that says cold for longer", func(t *testing.T) {
		o, r := newRoster(), record("returned", "a", "warming")
		r.Sequence, r.Cold = 2, 4*time.Second
		o.Merge(start.Add(time.Second), r)
		assertCold(t, o, "returned", start.Add(5*time.Second))
	})
	t.Run("a later start", func(t *testing.T) {
		o, r := newRoster(), record("returned", "a", "warming")
		r.Born = 2
		o.Merge(start.Add(time.Second), r)
		assertCold(t, o, "returned", time.Time{})
	})
	t.Run("taken out again and back", func(t *testing.T) {
		o, again := newRoster(), start.Add(time.Minute)
		out := o.SetOutOfService(again, map[string]bool{}, []string{"a"}, warmUpTime)
		o.SetOutOfService(again, out, nil, warmUpTime)
		assertCold(t, o, "returned", again.Add(warmUp))
	})
}

func warmUpTime(service string) time.Duration {
	return map[string]time.Duration{"warming": 3 * time.Second}[service]
}
