package attempts

import (
	"fmt"
	"testing"
	"time"
)

// Guards against quarantine of a common body because a rack failed during several
// of its runs, and against a poison body that reaches a third server.
func TestStrikesLeadToQuarantine(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	type crash struct{ now, started int }
	for _, tt := range []struct {
		name    string
		crashes []crash
		cleared bool // a run finishes after the first crash
		reached bool
	}{
		{"one crash", []crash{{10, 0}}, false, false},
		{"rack fails under three runs", []crash{{10, 0}, {10, 1}, {11, 2}}, false, false},
		{"crash, then its retry", []crash{{10, 0}, {12, 10}}, false, true},
		{"rack fails, then the retry crashes", []crash{{10, 0}, {10, 1}, {12, 11}}, false, true},
		{"cleared in between", []crash{{10, 0}, {30, 20}}, true, false},
	} {
		for _, quick := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, quick restart %v", tt.name, quick), func(t *testing.T) {
				s := NewSuspects(SuspectsConfig{})
				for i, c := range tt.crashes {
					crash := Crash{Server: "s", Incarnation: fmt.Sprint(i)}
					if quick {
						s.RecordBrokenConnection(at(c.now), at(c.started), 1, crash)
						for hash, crash := range s.ConfirmedCrashes(at(c.now+1), "s", fmt.Sprint(i+1)) {
							s.RecordCrash(at(c.now+1), at(c.now+1), hash, crash)
						}
					} else {
						s.RecordCrash(at(c.now), at(c.started), 1, crash)
					}
					if tt.cleared && i == 0 && !s.Clear(1) {
						t.Error("Clear found no evidence against the body")
					}
				}
				if s.ReachedCrashLimit(1) != tt.reached || s.MustWait(at(40), 1) != tt.reached {
					t.Errorf("reached the crash limit %v, must wait %v, want %v", s.ReachedCrashLimit(1), s.MustWait(at(40), 1), tt.reached)
				}
			})
		}
	}
}

// Guards against a daemon that ignores crashes reported by others, and so allows a
// poison body two crashes of its own.
func TestSuspicionOfAnotherDaemon(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a, b := NewSuspects(SuspectsConfig{}), NewSuspects(SuspectsConfig{})
	b.ApplySuspicion(now, *a.RecordCrash(now, now.Add(-time.Second), 1, Crash{Server: "s-1"}))
	if !b.IsSuspect(1) || b.ReachedCrashLimit(1) {
		t.Errorf("after one crash elsewhere: suspect %v, reached the crash limit %v", b.IsSuspect(1), b.ReachedCrashLimit(1))
	}
	b.RecordCrash(now.Add(time.Minute), now.Add(time.Second), 1, Crash{Server: "s-2"})
	if !b.ReachedCrashLimit(1) {
		t.Error("crash limit not reached by a crash elsewhere and one here")
	}
}
