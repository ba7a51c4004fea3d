package crashes

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// crashLog drives a Detector with a clock of its own.
type crashLog struct {
	t   *testing.T
	d   *Detector
	now time.Time
	n   int
}

func newCrashLog(t *testing.T) *crashLog {
	return &crashLog{t: t, d: NewDetector(QuarantineTime), now: time.Unix(1_000_000, 0)}
}

// crash ends a backend server that runs requests with the given causes, and returns the
// quarantines that follow.
func (l *crashLog) crash(requests ...[]Cause) []Quarantine {
	l.now = l.now.Add(300 * time.Millisecond)
	l.lose(0, requests...)
	return l.settle()
}

// lose reports the end of another backend server, which happened some time ago.
func (l *crashLog) lose(age time.Duration, requests ...[]Cause) {
	l.n++
	r := Report{Server: gypsumshelf.ServerID(fmt.Sprint("e", l.n)), Age: age}
	for _, causes := range requests {
		r.Runs = append(r.Runs, Run{Causes: causes, Duration: runTime})
	}
	l.d.RecordCrash(l.now, r)
}

func (l *crashLog) settle() []Quarantine {
	l.now = l.now.Add(settleTime)
	return l.d.Settle(l.now)
}

func (l *crashLog) assertQuarantined(got []Quarantine, want ...Cause) {
	l.t.Helper()
	var causes []Cause
	for _, q := range got {
		causes = append(causes, q.Cause)
	}
	if slices.Sort(causes); !slices.Equal(causes, want) {
		l.t.Fatalf("quarantined are %v after %d crashes, want %v", causes, l.n, want)
	}
}

// runTime is the time from the start of a request to the end of its backend server.
const runTime = 200 * time.Millisecond

func prompt(causes ...Cause) []Cause { return causes }

// Guards against a part that keeps crashing engines, and against sound parts that are
// refused with it.
func TestCrashingPartIsQuarantined(t *testing.T) {
	own := func(n int) Cause { return Cause(fmt.Sprint("own", n)) }
	t.Run("third crash", func(t *testing.T) {
		l := newCrashLog(t)
		l.d.RecordCompleted(l.now, prompt("shared", "caller", "own"))
		l.assertQuarantined(l.crash(prompt("shared", "caller", "bad", own(1)), prompt("shared", "caller", own(91))))
		l.assertQuarantined(l.crash(prompt("shared", "caller", "bad", own(2)), prompt("shared", "caller", own(92))))
		l.assertQuarantined(l.crash(prompt("shared", "caller", "bad", own(3)), prompt("shared", "caller", own(93))), "bad")
		if !l.d.IsQuarantined(l.now, prompt("shared", "bad", own(4))) || l.d.IsQuarantined(l.now, prompt("shared", "caller", own(5))) {
			t.Error("another part than the crashing one is refused")
		}
		if l.d.IsQuarantined(l.now.Add(QuarantineTime), prompt("bad")) {
			t.Error("the quarantine does not end")
		}
	})
	t.Run("resent request", func(t *testing.T) {
		l := newCrashLog(t)
		l.d.RecordCompleted(l.now, prompt("shared"))
		l.crash(prompt("shared", "own"))
		l.crash(prompt("shared", "own"))
		l.assertQuarantined(l.crash(prompt("shared", "own")), "own")
	})
	t.Run("sound request retried into the same crashes", func(t *testing.T) {
		l := newCrashLog(t)
		l.crash(prompt("bad", own(1)), prompt("sound"))
		l.crash(prompt("bad", own(2)), prompt("sound"))
		l.assertQuarantined(l.crash(prompt("bad", own(3)), prompt("sound")))
		l.assertQuarantined(l.crash(prompt("bad", own(4))), "bad")
		if len(l.d.strikes["sound"]) > 0 {
			t.Error("explained crashes count against a sound part")
		}
	})
	t.Run("copies of a request whose parts no sound request has", func(t *testing.T) {
		l := newCrashLog(t)
		l.crash(prompt("rare", "own", "request:r"))
		l.crash(prompt("rare", "own", "request:r"))
		l.assertQuarantined(l.crash(prompt("rare", "own", "request:r")), "request:r")
		if l.d.IsQuarantined(l.now, prompt("rare", "own", "request:s")) {
			t.Error("a part of the crashing request is refused")
		}
	})
	t.Run("sound requests with a part of a crashing request in the same crashes", func(t *testing.T) {
		l := newCrashLog(t)
		for n := range quarantineStrikes - 1 {
			sound := prompt("rare", RequestCause(fmt.Sprint("sound", n)))
			l.assertQuarantined(l.crash(prompt("rare", "request:r"), sound))
		}
		l.assertQuarantined(l.crash(prompt("rare", "request:r"), prompt("rare", "request:sound")), "request:r")
	})
	t.Run("crashing part in copies of a request and then in others", func(t *testing.T) {
		l := newCrashLog(t)
		for range quarantineStrikes {
			l.crash(prompt("bad", "request:r"))
		}
		l.assertQuarantined(l.crash(prompt("bad", "request:s")))
		l.assertQuarantined(l.crash(prompt("bad", "request:t")), "bad")
	})
	t.Run("two requests in the same crashes", func(t *testing.T) {
		l := newCrashLog(t)
		for range quarantineStrikes {
			l.assertQuarantined(l.crash(prompt("request:bad"), prompt("request:sound")))
		}
		l.assertQuarantined(l.crash(prompt("request:bad")), "request:bad")
		if l.d.IsQuarantined(l.now, prompt("request:sound")) {
			t.Error("the sound request is refused")
		}
	})
	t.Run("retries that follow each other at once", func(t *testing.T) {
		l := newCrashLog(t)
		for n := range quarantineStrikes {
			l.n++
			r := Report{Server: gypsumshelf.ServerID(fmt.Sprint("e", l.n)), Age: time.Duration(quarantineStrikes-n) * 31 * time.Millisecond}
			r.Runs = []Run{{Causes: prompt("request:bad"), Duration: 30 * time.Millisecond}}
			l.d.RecordCrash(l.now, r)
		}
		l.assertQuarantined(l.settle(), "request:bad")
	})
	t.Run("parts that always come together", func(t *testing.T) {
		l := newCrashLog(t)
		for range ambiguousStrikes - 1 {
			l.assertQuarantined(l.crash(prompt("bad", "twin", own(l.n))))
		}
		l.assertQuarantined(l.crash(prompt("bad", "twin", own(l.n))), "bad", "twin")
	})
	t.Run("two crashing parts", func(t *testing.T) {
		l := newCrashLog(t)
		for range quarantineStrikes - 1 {
			l.assertQuarantined(l.crash(prompt("bad1", own(l.n))))
			l.assertQuarantined(l.crash(prompt("bad2", own(l.n))))
		}
		l.assertQuarantined(l.crash(prompt("bad1", own(l.n))), "bad1")
		l.assertQuarantined(l.crash(prompt("bad2", own(l.n))), "bad2")
	})
}

// Guards against a lifted quarantine that the evidence from before brings back, and
// against one that cannot be found again.
func TestLiftedQuarantine(t *testing.T) {
	l := newCrashLog(t)
	for range quarantineStrikes {
		l.crash(prompt("request:r"))
	}
	reported := l.now.Add(-settleTime)
	lifts := []Lift{{Cause: "request:r", At: l.now}}
	l.d.SetQuarantines(nil, lifts)
	if l.d.IsQuarantined(l.now, prompt("request:r")) {
		t.Fatal("the lifted request is refused")
	}
	next := newCrashLog(t) // the detector of the next leader, to which the crashes are handed over
	next.now = l.now
	next.d.SetQuarantines(nil, lifts)
	for range quarantineStrikes {
		next.lose(next.now.Sub(reported)+time.Duration(next.n)*300*time.Millisecond, prompt("request:r"))
	}
	next.assertQuarantined(next.settle())
	for _, c := range []*crashLog{l, next} {
		for range quarantineStrikes - 1 {
			c.assertQuarantined(c.crash(prompt("request:r")))
		}
		c.assertQuarantined(c.crash(prompt("request:r")), "request:r")
	}
}

// Guards against a lifted request that is refused again for a part of its prompt, to which
// the next leader attributes the crashes from before the lift.
func TestLiftedRequestIsNotAccusedByItsParts(t *testing.T) {
	l := newCrashLog(t)
	l.d.SetQuarantines(nil, []Lift{{Cause: "request:r", At: l.now}})
	for n := range 2 * ambiguousStrikes {
		l.lose(time.Duration(n+1)*300*time.Millisecond, prompt("rare", "own", "request:r"))
	}
	l.assertQuarantined(l.settle())
	if n := len(l.d.strikes); n > 0 {
		t.Errorf("crashes from before the lift strike %d causes", n)
	}
}

// Guards against a part that keeps strikes of a lifted request on the daemon that found it.
func TestLiftRemovesStrikesOfParts(t *testing.T) {
	l := newCrashLog(t)
	for range quarantineStrikes {
		l.crash(prompt("rare", "request:r"))
	}
	l.d.SetQuarantines(nil, []Lift{{Cause: "request:r", At: l.now}})
	for range quarantineStrikes - 1 {
		l.assertQuarantined(l.crash(prompt("rare", "request:r")))
	}
	l.assertQuarantined(l.crash(prompt("rare", "request:r")), "request:r")
}

// Guards against parts that are refused although something else ended the engines.
func TestOtherFaultsCountAgainstNoPart(t *testing.T) {
	t.Run("engines that fail together", func(t *testing.T) {
		l := newCrashLog(t)
		for range 6 {
			l.lose(0, prompt("rare"))
		}
		l.assertQuarantined(l.settle())
		if n := len(l.d.strikes["rare"]); n != 1 {
			t.Errorf("%d strikes, want 1", n)
		}
	})
	t.Run("a crash that is reported twice", func(t *testing.T) {
		l := newCrashLog(t)
		for range 2 * ambiguousStrikes {
			l.n = 0 // the same backend server
			l.assertQuarantined(l.crash(prompt("rare")))
		}
	})
	t.Run("a crash that several daemons report", func(t *testing.T) {
		l := newCrashLog(t)
		for range 6 {
			l.n = 0
			l.lose(0, prompt("lookup"))
		}
		l.assertQuarantined(l.settle())
		if n := len(l.d.strikes["lookup"]); n != 1 {
			t.Errorf("%d strikes, want 1", n)
		}
	})
	t.Run("requests that are all alike and answered elsewhere", func(t *testing.T) {
		l := newCrashLog(t)
		for range 2 * ambiguousStrikes {
			l.d.RecordCompleted(l.now, prompt("request:lookup"))
			l.assertQuarantined(l.crash(prompt("request:lookup")))
		}
	})
	t.Run("a completed job in between", func(t *testing.T) {
		l := newCrashLog(t)
		l.crash(prompt("rare"))
		l.crash(prompt("rare"))
		l.d.RecordCompleted(l.now, prompt("rare"))
		l.assertQuarantined(l.crash(prompt("rare")))
	})
	t.Run("crashes far apart", func(t *testing.T) {
		l := newCrashLog(t)
		for range 2 * ambiguousStrikes {
			l.assertQuarantined(l.crash(prompt("rare")))
			l.now = l.now.Add(Retention + time.Second)
		}
	})
}

// copyOf returns the causes of a copy of a request in a session, whose prompt has shared
// parts before the last one.
func copyOf(request, session string, shared ...Cause) []Cause {
	causes := append(slices.Clone(shared), Cause(session))
	return append(causes,
		RequestCause(request+session), AnySessionCause(fmt.Sprint(request, shared)), AnyPromptCause(request))
}

// Guards against a crashing request that evades its quarantine since each copy comes in
// another session, with other prompt parts, or with another method, host or query.
func TestCopiesOfCrashingRequestAreQuarantined(t *testing.T) {
	session := func(n int) string { return fmt.Sprint("session", n) }
	for _, c := range []struct {
		name   string
		copyOf func(n int) []Cause
		want   Cause
	}{
		{"in other sessions", func(n int) []Cause { return copyOf("r", session(n), "aa") }, AnySessionCause("r[aa]")},
		{"with other prompts", func(n int) []Cause { return copyOf("r", session(n), "aa", Cause(fmt.Sprint("b", n))) }, AnyPromptCause("r")},
		{"without a prompt", func(n int) []Cause { return prompt(RequestCause(session(n)), AnyPromptCause("r")) }, AnyPromptCause("r")},
		{"all alike", func(int) []Cause { return copyOf("r", session(0), "aa") }, RequestCause("r" + session(0))},
		{"two in one session, then another", func(n int) []Cause { return copyOf("r", session(n/2), "aa") }, AnySessionCause("r[aa]")},
	} {
		t.Run(c.name, func(t *testing.T) {
			for name, answered := range map[string]bool{"beside sound requests with a shared part": true, "alone": false} {
				t.Run(name, func(t *testing.T) {
					l := newCrashLog(t)
					for n := range quarantineStrikes {
						lost := [][]Cause{c.copyOf(n)}
						if answered {
							l.d.RecordCompleted(l.now, copyOf("sound", session(10+n), "aa"))
							lost = append(lost, copyOf(fmt.Sprint("sound", n), session(20+n), "aa"))
						}
						if got := l.crash(lost...); n < quarantineStrikes-1 {
							l.assertQuarantined(got)
						} else {
							l.assertQuarantined(got, c.want)
						}
					}
					l.assertSound(copyOf("sound", session(30), "aa"))
				})
			}
		})
	}
	t.Run("in another session after the quarantine of the first", func(t *testing.T) {
		l := newCrashLog(t)
		for range quarantineStrikes {
			l.crash(copyOf("r", "first", "aa"))
		}
		l.assertQuarantined(l.crash(copyOf("r", "second", "aa")))
		l.assertQuarantined(l.crash(copyOf("r", "second", "aa")), AnySessionCause("r[aa]"))
	})
}

// assertSound fails if a request with the causes is refused.
func (l *crashLog) assertSound(causes []Cause) {
	l.t.Helper()
	if l.d.IsQuarantined(l.now, causes) {
		l.t.Errorf("a sound request with %v is refused", causes)
	}
}

// Guards against sound requests that are refused since they share caller, path and body, or
// a session, with a crashing one.
func TestSoundRequestsLikeCrashingOneAreNotQuarantined(t *testing.T) {
	t.Run("answered between the crashes", func(t *testing.T) {
		l := newCrashLog(t)
		for n := range 2 * ambiguousStrikes {
			l.d.RecordCompleted(l.now, copyOf("r", fmt.Sprint("sound", n), "aa"))
			l.assertQuarantined(l.crash(copyOf("r", fmt.Sprint("session", n), "aa")))
		}
	})
	t.Run("answered some time before", func(t *testing.T) {
		l := newCrashLog(t)
		l.d.RecordCompleted(l.now, copyOf("r", "sound", "aa"))
		for n := range quarantineStrikes + 1 {
			l.now = l.now.Add(3 * successRetention)
			l.d.RecordCompleted(l.now, copyOf("other", fmt.Sprint("sound", n)))
			for _, q := range l.crash(copyOf("r", fmt.Sprint("session", n), Cause(fmt.Sprint("b", n)))) {
				t.Errorf("%s is quarantined", q.Cause)
			}
		}
	})
	t.Run("with another prompt", func(t *testing.T) {
		l := newCrashLog(t)
		for range quarantineStrikes {
			l.crash(copyOf("r", "session", "aa"))
		}
		l.assertSound(copyOf("r", "another", "aa"))
		l.assertSound(copyOf("r", "another"))
	})
	t.Run("in the session", func(t *testing.T) {
		l := newCrashLog(t)
		for range quarantineStrikes {
			l.crash(copyOf("r", "session", "aa"))
		}
		l.assertSound(copyOf("another", "session", "aa"))
	})
	t.Run("without the crashing part", func(t *testing.T) {
		l := newCrashLog(t)
		for n := range quarantineStrikes {
			l.crash(copyOf("r", fmt.Sprint("session", n), "aa", "bad"))
		}
		l.assertSound(copyOf("r", "another", "aa"))
	})
	t.Run("with a part of the crashing request", func(t *testing.T) {
		l := newCrashLog(t)
		for n := range quarantineStrikes {
			l.crash(copyOf("r", fmt.Sprint("session", n), "aa"))
		}
		l.assertSound(copyOf("another", "session", "aa"))
	})
	t.Run("of another caller, retried into the same crashes", func(t *testing.T) {
		l := newCrashLog(t)
		for n := range quarantineStrikes {
			l.assertQuarantined(l.crash(copyOf("r", fmt.Sprint("session", n), "aa"), copyOf("sound", "sound", "aa")))
		}
		l.assertQuarantined(l.crash(copyOf("r", "last", "aa")), AnySessionCause("r[aa]"))
		l.assertSound(copyOf("sound", "sound", "aa"))
	})
}

// Guards against sound requests that the next leader refuses since they were lost in crashes
// that are handed over to it, while it knows nothing of the answers in between.
func TestHandedOverCrashesStrikeNoWideIdentity(t *testing.T) {
	l := newCrashLog(t)
	for n := range 2 * ambiguousStrikes {
		l.lose(time.Duration(n+1)*300*time.Millisecond, copyOf("r", fmt.Sprint("session", n), Cause(fmt.Sprint("b", n))))
	}
	l.assertQuarantined(l.settle())
	for n := range quarantineStrikes - 1 {
		l.assertQuarantined(l.crash(copyOf("r", fmt.Sprint("next", n))))
	}
	l.assertQuarantined(l.crash(copyOf("r", "last")), AnySessionCause("r[]"))
}
