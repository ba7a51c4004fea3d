package catalogs

import (
	"fmt"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/crashes"
)

func spec() Spec {
	return Spec{
		Version:  3,
		Services: []Service{{Name: "a"}, {Name: "b"}},
		Routes: []Route{
			{Name: "r1", Host: "x.example", Prefix: "/", Timeout: time.Second, Split: []WeightedService{{"a", 1}}},
			{Name: "r2", Host: "x.example", Prefix: "/deep/", Timeout: time.Second, Split: []WeightedService{{"a", 9}, {"b", 1}}},
		},
		Workspaces: []Workspace{{Name: "w1", Keys: []string{"k1"}}, {Name: "w2", Keys: []string{"k2"}}},
	}
}

// Guards against accepting a catalog that refers to an unknown service or that
// does not determine the service or workspace of a request.
func TestInvalidCatalogsAreRefused(t *testing.T) {
	if _, err := New(spec()); err != nil {
		t.Fatalf("valid catalog: %v", err)
	}
	for name, change := range map[string]func(*Spec){
		"unknown service":      func(s *Spec) { s.Routes[0].Split[0].Service = "c" },
		"same host and prefix": func(s *Spec) { s.Routes[1].Prefix = "/" },
		"no weight":            func(s *Spec) { s.Routes[0].Split[0].Weight = 0 },
		"no timeout":           func(s *Spec) { s.Routes[0].Timeout = 0 },
		"shared key":           func(s *Spec) { s.Workspaces[1].Keys = []string{"k1"} },
		"prefix without slash": func(s *Spec) { s.Routes[1].Prefix = "/deep" },
	} {
		t.Run(name, func(t *testing.T) {
			s := spec()
			change(&s)
			if _, err := New(s); err == nil {
				t.Error("catalog is accepted")
			}
		})
	}
}

// Guards against a request that is routed by a shorter prefix, or that finds no
// route because its host has a port or upper-case letters.
func TestRouteTakesTheLongestPrefix(t *testing.T) {
	c, err := New(spec())
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ host, path, want string }{
		{"x.example", "/deep/a", "r2"},
		{"X.example:80", "/deep/", "r2"},
		{"x.example", "/deep", "r1"},
		{"y.example", "/deep/", ""},
	} {
		got := ""
		if r := c.Route(test.host, test.path); r != nil {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("%s%s goes to %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

// Guards against a state that is changed by an older catalog or a repeated
// command.
func TestStateOnlyMovesForward(t *testing.T) {
	var s State
	apply := func(c Command) bool {
		t.Helper()
		_, changed, err := s.Apply(s.Index+1, c.Encode())
		if err != nil {
			t.Fatal(err)
		}
		return changed
	}
	if !apply(Command{Action: Put, Version: 7, Document: []byte("seven")}) {
		t.Error("the first catalog is ignored")
	}
	for _, version := range []uint64{6, 7} {
		if apply(Command{Action: Put, Version: version, Document: []byte("other")}) || string(s.Document) != "seven" {
			t.Errorf("version %d replaced version 7: %q", version, s.Document)
		}
	}
	if !apply(Command{Action: TakeOut, DataCentre: "z"}) || apply(Command{Action: TakeOut, DataCentre: "z"}) {
		t.Error("taking out is not idempotent")
	}
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored State
	if err := restored.Restore(data); err != nil || restored.Version != 7 || len(restored.OutOfService) != 1 {
		t.Errorf("restored %+v: %v", restored, err)
	}
	if !apply(Command{Action: BringBack, DataCentre: "z"}) || len(s.OutOfService) != 0 {
		t.Error("bringing back does not undo taking out")
	}
}

// Guards against quarantines that get lost with a restart, are listed twice, or grow
// without bound.
func TestQuarantinesAreKept(t *testing.T) {
	var s State
	begin := time.Unix(1_000_000, 0).UTC()
	quarantine := func(part string, until time.Time) {
		t.Helper()
		c := Command{Action: QuarantineCause, Quarantine: crashes.Quarantine{Cause: crashes.Cause(part), Until: until}}
		if _, changed, err := s.Apply(s.Index+1, c.Encode()); err != nil || !changed {
			t.Fatalf("changed %v, error %v", changed, err)
		}
	}
	quarantine("first", begin)
	for i := range maxQuarantines {
		quarantine(fmt.Sprint("part", i), begin.Add(time.Minute))
	}
	quarantine("part0", begin.Add(time.Hour))
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored State
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	last := restored.Quarantines[len(restored.Quarantines)-1]
	if n := len(restored.Quarantines); n != maxQuarantines || last.Cause != "part0" || !last.Until.Equal(begin.Add(time.Hour)) {
		t.Errorf("%d quarantines, the last is %+v", n, last)
	}
	if restored.Quarantines[0].Cause == "first" {
		t.Error("the quarantine that ends first made no room")
	}
}

// Guards against lifted quarantines that stay in force, or whose lift is lost with a
// restart.
func TestLiftedQuarantineIsRemoved(t *testing.T) {
	var s State
	until := time.Unix(1_000_000, 0).UTC()
	for _, c := range []Command{
		{Action: QuarantineCause, Quarantine: crashes.Quarantine{Cause: "aa", Until: until}},
		{Action: QuarantineCause, Quarantine: crashes.Quarantine{Cause: "request:bb", Until: until}},
		{Action: LiftQuarantine, Lift: crashes.Lift{Cause: "request:bb", At: until.Add(-time.Minute)}},
	} {
		if _, changed, err := s.Apply(s.Index+1, c.Encode()); err != nil || !changed {
			t.Fatalf("%s: changed %v, error %v", c.Action, changed, err)
		}
	}
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored State
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if len(restored.Quarantines) != 1 || restored.Quarantines[0].Cause != "aa" {
		t.Errorf("quarantines are %+v, want that of aa", restored.Quarantines)
	}
	if len(restored.Lifts) != 1 || restored.Lifts[0].Cause != "request:bb" {
		t.Errorf("lifts are %+v, want that of request:bb", restored.Lifts)
	}
}
