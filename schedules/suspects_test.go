package schedules

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// crashLog drives suspects with a clock of its own.
type crashLog struct {
	t   *testing.T
	s   *suspects
	now time.Time
	n   int
	// alive are engines that still run other jobs after they lost one.
	alive map[gypsumshelf.ServerID]bool
}

func newCrashLog(t *testing.T) *crashLog {
	return &crashLog{t: t, s: newSuspects(), now: time.Unix(1_000_000, 0), alive: map[gypsumshelf.ServerID]bool{}}
}

// crash ends an engine that runs prompts with the given parts, which were placed just
// before, and returns the quarantines that follow.
func (l *crashLog) crash(prompts ...[]PromptPart) []Quarantine {
	l.now = l.now.Add(300 * time.Millisecond)
	l.lose(l.now.Add(-200*time.Millisecond), prompts...)
	return l.settle()
}

// lose ends the connections to one engine.
func (l *crashLog) lose(placedAt time.Time, prompts ...[]PromptPart) gypsumshelf.ServerID {
	l.n++
	server := gypsumshelf.ServerID(fmt.Sprint("e", l.n))
	for _, parts := range prompts {
		l.s.recordLost(l.now, server, lostJob{parts: parts, placedAt: placedAt})
	}
	return server
}

func (l *crashLog) settle() []Quarantine {
	l.now = l.now.Add(crashSettleTime)
	return l.s.settle(l.now, func(server gypsumshelf.ServerID, _ time.Time) bool { return l.alive[server] })
}

func (l *crashLog) assertQuarantined(got []Quarantine, want ...PromptPart) {
	l.t.Helper()
	var parts []PromptPart
	for _, q := range got {
		parts = append(parts, q.Part)
	}
	if slices.Sort(parts); !slices.Equal(parts, want) {
		l.t.Fatalf("quarantined are %v after %d crashes, want %v", parts, l.n, want)
	}
}

func prompt(parts ...PromptPart) []PromptPart { return parts }

// Guards against a part that keeps crashing engines, and against sound parts that are
// refused with it.
func TestCrashingPartIsQuarantined(t *testing.T) {
	own := func(n int) PromptPart { return PromptPart(fmt.Sprint("own", n)) }
	t.Run("third crash", func(t *testing.T) {
		l := newCrashLog(t)
		l.s.recordCompleted(l.now, prompt("shared", "caller", "own"))
		l.assertQuarantined(l.crash(prompt("shared", "caller", "bad", own(1)), prompt("shared", "caller", own(91))))
		l.assertQuarantined(l.crash(prompt("shared", "caller", "bad", own(2)), prompt("shared", "caller", own(92))))
		l.assertQuarantined(l.crash(prompt("shared", "caller", "bad", own(3)), prompt("shared", "caller", own(93))), "bad")
		if !l.s.isQuarantined(l.now, prompt("shared", "bad", own(4))) || l.s.isQuarantined(l.now, prompt("shared", "caller", own(5))) {
			t.Error("another part than the crashing one is refused")
		}
		if l.s.isQuarantined(l.now.Add(quarantineTime), prompt("bad")) {
			t.Error("the quarantine does not end")
		}
	})
	t.Run("resent request", func(t *testing.T) {
		l := newCrashLog(t)
		l.s.recordCompleted(l.now, prompt("shared"))
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
		if len(l.s.strikes["sound"]) > 0 {
			t.Error("explained crashes count against a sound part")
		}
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

// Guards against parts that are refused although something else ended the engines.
func TestOtherFaultsCountAgainstNoPart(t *testing.T) {
	t.Run("engines that fail together", func(t *testing.T) {
		l := newCrashLog(t)
		for range 6 {
			l.lose(l.now.Add(-time.Second), prompt("rare"))
		}
		l.assertQuarantined(l.settle())
		if n := len(l.s.strikes["rare"]); n != 1 {
			t.Errorf("%d strikes, want 1", n)
		}
	})
	t.Run("answers broken off by engines that live", func(t *testing.T) {
		l := newCrashLog(t)
		for range 2 * ambiguousStrikes {
			l.alive[l.lose(l.now.Add(-time.Second), prompt("rare"))] = true
			l.assertQuarantined(l.settle())
			l.now = l.now.Add(2 * time.Second)
		}
	})
	t.Run("a completed job in between", func(t *testing.T) {
		l := newCrashLog(t)
		l.crash(prompt("rare"))
		l.crash(prompt("rare"))
		l.s.recordCompleted(l.now, prompt("rare"))
		l.assertQuarantined(l.crash(prompt("rare")))
	})
	t.Run("crashes far apart", func(t *testing.T) {
		l := newCrashLog(t)
		for range 2 * ambiguousStrikes {
			l.assertQuarantined(l.crash(prompt("rare")))
			l.now = l.now.Add(strikeRetention + time.Second)
		}
	})
}

// Guards against memory that grows with the number of prompts.
func TestRememberedPartsAreBounded(t *testing.T) {
	l := newCrashLog(t)
	for n := range 3 * maxRecentParts {
		l.s.recordCompleted(l.now, prompt(PromptPart(fmt.Sprint(n))))
	}
	if n := len(l.s.recent) + len(l.s.older); n > 2*maxRecentParts {
		t.Errorf("%d parts are remembered, want at most %d", n, 2*maxRecentParts)
	}
}

// Guards against jobs with a quarantined part that are placed from the queue or after
// another scheduler has found the part.
func TestQuarantinedJobsAreRefused(t *testing.T) {
	l := newCrashLog(t)
	s := New(Config{})
	s.SetQuarantines([]Quarantine{{Part: "bad", Until: l.now.Add(time.Hour)}})
	s.pools["x"] = &pool{engines: map[gypsumshelf.ServerID]*engine{}}
	decisions := s.Submit(l.now, Job{ID: "j", Service: "x", Parts: prompt("shared", "bad")})
	if len(decisions) != 1 || decisions[0].Placement != nil || decisions[0].Reason != QuarantineReason {
		t.Fatalf("decisions are %+v, want a refusal", decisions)
	}
}
