package daemons

import (
	"fmt"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/configs"
	"gypsumshelf.example/gypsumshelf/servers"
)

func notRunFailure() *gypsumshelf.Error {
	return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBackendFailed, "the engine is full")
}

func assertNoRefusal(t *testing.T, effects []gypsumshelf.Effect) {
	t.Helper()
	if r := effectsOf[attempts.Refuse](effects); len(r) > 0 {
		t.Fatalf("refused %+v, want no refusal", r)
	}
}

// Guards against requests that have not run, and that a stop leaves waiting until their
// deadlines, when another daemon has less time for them.
func TestStopRefusesRequestsThatWait(t *testing.T) {
	t.Run("for room", func(t *testing.T) {
		m := newSingleLeader(t)
		const enough = 1000 // more than two engines take
		waiting := ""
		for i := 0; waiting == "" && i < enough; i++ {
			id := fmt.Sprint("r", i)
			if len(effectsOf[attempts.Start](m.arrive(testStart, id))) == 0 {
				waiting = id
			}
		}
		effects := m.Step(testStart, attempts.Stop{})
		assertRefused(t, effects, gypsumshelf.CodeStopping)
		if r := effectsOf[attempts.Refuse](effects)[0]; string(r.Request) != waiting {
			t.Errorf("refused %s, want %s, which waits", r.Request, waiting)
		}
	})
	t.Run("for another attempt", func(t *testing.T) {
		m := newSingleLeader(t)
		a := assertStarted(t, m.arrive(testStart, "r1"), "fk-1")
		assertNoRefusal(t, m.Step(testStart, attempts.Failed{Attempt: a.Attempt, Failure: notRunFailure()}))
		assertRefused(t, m.Step(testStart, attempts.Stop{}), gypsumshelf.CodeStopping)
	})
	t.Run("for another attempt after the begin of the stop", func(t *testing.T) {
		m := newSingleLeader(t)
		a := assertStarted(t, m.arrive(testStart, "r1"), "fk-1")
		assertNoRefusal(t, m.Step(testStart, attempts.Stop{}))
		assertRefused(t, m.Step(testStart, attempts.Failed{Attempt: a.Attempt, Failure: notRunFailure()}), gypsumshelf.CodeStopping)
	})
	t.Run("for the record of its key", func(t *testing.T) {
		m := newSingleLeader(t)
		m.Step(testStart, servers.Announced{Announcement: gypsumshelf.Announcement{
			Server: "book-1", Incarnation: "1", Address: "127.0.0.1:2", DataCentre: "wien-nord", Service: "book", Kind: gypsumshelf.KindPlain, State: gypsumshelf.ServerReady,
		}})
		m.Step(testStart, attempts.Arrived{Request: gypsumshelf.Request{
			ID: "r1", Service: "book", Key: "k", Arrived: testStart, Class: gypsumshelf.Class{Target: gypsumshelf.Target{FirstToken: time.Second, Finish: time.Minute}},
		}})
		assertNoRefusal(t, m.Step(testStart, attempts.Stop{})) // the verdict is not known yet
		m.log.group.commit()
		assertRefused(t, m.applyNext(testStart), gypsumshelf.CodeStopping)
		m.log.group.commit()
		m.applyNext(testStart)
		if run := m.configuration.state.Run(configs.RunKey{Key: "k"}); run == nil || run.Outcome == nil || run.Outcome.Verdict != gypsumshelf.NotRun {
			t.Errorf("the key is recorded as %+v, want the outcome not-run", run)
		}
	})
}

// Guards against a stop that ends requests at work, or those that may have run and that
// another attempt can still complete.
func TestStopLeavesRequestsAtWork(t *testing.T) {
	m := newSingleLeader(t)
	first := assertStarted(t, m.arrive(testStart, "r1"), "fk-1")
	second := assertStarted(t, m.arrive(testStart, "r2"), "fk-2")
	broken := gypsumshelf.Errorf(gypsumshelf.MayHaveRun, gypsumshelf.CodeBackendFailed, "connection closed")
	assertNoRefusal(t, m.Step(testStart, attempts.Failed{Attempt: second.Attempt, Failure: broken}))
	assertNoRefusal(t, m.Step(testStart, attempts.Stop{}))
	if finished := effectsOf[attempts.Finish](m.Step(testStart, attempts.Ended{Attempt: first.Attempt})); len(finished) != 1 {
		t.Errorf("finished %+v, want r1", finished)
	}
	now := testStart.Add(maxRetryDelay)
	m.renewLease(now)
	again := effectsOf[attempts.Start](m.Step(now, Tick{}))
	if len(again) != 1 || again[0].Request != "r2" {
		t.Errorf("started %+v, want another attempt of r2", again)
	}
}
