package daemons

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/configs"
	"gypsumshelf.example/gypsumshelf/servers"
)

// maxRetryDelay is the upper bound of the jittered delay before a retry.
const maxRetryDelay = time.Second

// newSingleLeader returns a reducer that is the only member and leader of its
// group, with engines in two data centres and a lease renewed at testStart.
func newSingleLeader(t *testing.T) *testReducer {
	t.Helper()
	m := newTestReducer(&fakeGroup{leader: "entry-1", term: 1}, "entry-1")
	for _, s := range []struct{ id, centre string }{{"fk-1", "wien-nord"}, {"fk-2", "linz-hafen"}} {
		m.Step(testStart, servers.Announced{Announcement: gypsumshelf.Announcement{
			Server: gypsumshelf.ServerID(s.id), Incarnation: "1", Address: "127.0.0.1:1", DataCentre: s.centre,
			Service: "federkiel", Kind: gypsumshelf.KindEngine, Models: []string{"quill"}, State: gypsumshelf.ServerReady,
		}})
	}
	m.renewLease(testStart)
	return m
}

func (m *testReducer) applyChange(t *testing.T, id string, change configs.Change) {
	t.Helper()
	m.Step(testStart, proposedEvent(1, id, "ada", m.configuration.state.Revision(), change))
	m.log.group.commit()
	d := effectsOf[configs.CommandDecided](m.applyNext(testStart))
	if len(d) != 1 || !d[0].Result.Accepted() {
		t.Fatalf("change %s: decided %+v, want one accepted command", change, d)
	}
}

func (m *testReducer) arrive(now time.Time, id string) []gypsumshelf.Effect {
	return m.Step(now, attempts.Arrived{Request: gypsumshelf.Request{
		ID: gypsumshelf.RequestID(id), Model: "quill", PromptTokens: 1, MaxTokens: 1, Idempotent: true, Arrived: now,
		Class: gypsumshelf.Class{Target: gypsumshelf.Target{FirstToken: time.Second, Finish: time.Minute}},
	}})
}

func assertStarted(t *testing.T, effects []gypsumshelf.Effect, server gypsumshelf.ServerID) attempts.Start {
	t.Helper()
	s := effectsOf[attempts.Start](effects)
	if len(s) != 1 || s[0].Server != server {
		t.Fatalf("effects are %+v, want one attempt started on %s", effects, server)
	}
	return s[0]
}

func assertRefused(t *testing.T, effects []gypsumshelf.Effect, code gypsumshelf.Code) {
	t.Helper()
	r := effectsOf[attempts.Refuse](effects)
	if len(r) != 1 || r[0].Err.Code != code || r[0].Err.Verdict != gypsumshelf.NotRun {
		t.Fatalf("effects are %+v, want one refusal with %s and not-run", effects, code)
	}
}

// Guards against new work, retries and resumes in a data centre taken out of service.
func TestTakenOutDataCentreGetsNoAttempt(t *testing.T) {
	takeOut := func(name string) configs.Change { return configs.Change{Action: configs.ActionTakeOut, Name: name} }
	t.Run("new requests", func(t *testing.T) {
		m := newSingleLeader(t)
		m.applyChange(t, "a", takeOut("wien-nord"))
		for _, id := range []string{"r1", "r2", "r3"} {
			// A new server has a limit of one attempt, so each ends before the next.
			start := assertStarted(t, m.arrive(testStart, id), "fk-2")
			m.Step(testStart, attempts.Ended{Attempt: start.Attempt, Position: 1})
		}
	})
	t.Run("retry and resume", func(t *testing.T) {
		m := newSingleLeader(t)
		start := assertStarted(t, m.arrive(testStart, "r1"), "fk-1")
		m.applyChange(t, "a", takeOut("linz-hafen"))
		m.Step(testStart, attempts.Sent{Attempt: start.Attempt})
		failure := gypsumshelf.Errorf(gypsumshelf.MayHaveRun, gypsumshelf.CodeBackendFailed, "reset")
		effects := m.Step(testStart, attempts.Failed{Attempt: start.Attempt, Position: 1, Failure: failure})
		if s := effectsOf[attempts.Start](effects); len(s) > 0 {
			t.Fatalf("resumed on %s, whose data centre is taken out", s[0].Server)
		}
		m.applyChange(t, "b", configs.Change{Action: configs.ActionBringBack, Name: "linz-hafen"})
		assertStarted(t, m.Step(testStart.Add(maxRetryDelay), Tick{}), "fk-2")
	})
	t.Run("work in progress finishes", func(t *testing.T) {
		m := newSingleLeader(t)
		start := assertStarted(t, m.arrive(testStart, "r1"), "fk-1")
		m.applyChange(t, "a", takeOut("wien-nord"))
		m.Step(testStart, Tick{})
		if f := effectsOf[attempts.Finish](m.Step(testStart, attempts.Ended{Attempt: start.Attempt, Position: 1})); len(f) != 1 {
			t.Fatal("the request in progress did not finish")
		}
	})
}

// Guards against work that a daemon starts with an outdated configuration.
func TestNoNewWorkAfterLease(t *testing.T) {
	late := testStart.Add(testLease)
	t.Run("new request is refused", func(t *testing.T) {
		m := newSingleLeader(t)
		assertStarted(t, m.arrive(late.Add(-time.Millisecond), "r1"), "fk-1")
		assertRefused(t, m.arrive(late, "r2"), gypsumshelf.CodeNotReady)
	})
	t.Run("waiting request is refused unless it was sent", func(t *testing.T) {
		m := newSingleLeader(t)
		start := assertStarted(t, m.arrive(testStart, "sent"), "fk-1")
		assertStarted(t, m.arrive(testStart, "other"), "fk-2")
		m.arrive(testStart, "unsent") // waits, as both new servers have a limit of one attempt
		m.applyChange(t, "a", configs.Change{Action: configs.ActionTakeOut, Name: "wien-nord"})
		m.applyChange(t, "b", configs.Change{Action: configs.ActionTakeOut, Name: "linz-hafen"})
		m.Step(testStart, attempts.Sent{Attempt: start.Attempt})
		m.Step(testStart, attempts.Failed{Attempt: start.Attempt, Failure: gypsumshelf.Errorf(gypsumshelf.MayHaveRun, gypsumshelf.CodeBackendFailed, "reset")})
		effects := m.Step(late, Tick{})
		assertRefused(t, effects, gypsumshelf.CodeNotReady)
		if id := effectsOf[attempts.Refuse](effects)[0].Request; id != "unsent" {
			t.Errorf("refused %s, want the request that was never sent", id)
		}
	})
	t.Run("retry waits for the lease", func(t *testing.T) {
		m := newSingleLeader(t)
		start := assertStarted(t, m.arrive(testStart, "r1"), "fk-1")
		m.Step(testStart, attempts.Sent{Attempt: start.Attempt})
		failed := attempts.Failed{Attempt: start.Attempt, Failure: gypsumshelf.Errorf(gypsumshelf.MayHaveRun, gypsumshelf.CodeBackendFailed, "reset")}
		if s := effectsOf[attempts.Start](m.Step(late, failed)); len(s) > 0 {
			t.Fatalf("retried on %s after the lease has expired", s[0].Server)
		}
		if s := effectsOf[attempts.Start](m.Step(late.Add(maxRetryDelay), Tick{})); len(s) > 0 {
			t.Fatalf("retried on %s after the lease has expired", s[0].Server)
		}
		m.renewLease(late.Add(maxRetryDelay))
		assertStarted(t, m.Step(late.Add(maxRetryDelay), Tick{}), "fk-2")
	})
	t.Run("contact without the newest entries does not renew", func(t *testing.T) {
		m := newSingleLeader(t)
		m.Step(testStart, proposedEvent(1, "a", "ada", 0, configs.Change{Action: configs.ActionTakeOut, Name: "wien-nord"}))
		m.log.group.commit()
		m.renewLease(late)
		assertRefused(t, m.arrive(late, "r1"), gypsumshelf.CodeNotReady)
		m.applyNext(late)
		m.renewLease(late)
		assertStarted(t, m.arrive(late, "r2"), "fk-2")
	})
}

// Guards against a command that is lost with its leader, or whose sender never
// gets a result.
func TestProposals(t *testing.T) {
	change := configs.Change{Action: configs.ActionTakeOut, Name: "wien-nord"}
	t.Run("sent again to the next leader", func(t *testing.T) {
		m := newTestReducer(&fakeGroup{leader: "entry-2", term: 1}, "entry-1")
		forwards := effectsOf[configs.ForwardProposal](m.Step(testStart, proposedEvent(1, "a", "ada", 0, change)))
		if len(forwards) != 1 || forwards[0].To != "entry-2" {
			t.Fatalf("forwards are %+v, want one to entry-2", forwards)
		}
		m.log.group.lead("entry-3", 0)
		forwards = effectsOf[configs.ForwardProposal](m.Step(testStart.Add(proposalRetryInterval), Tick{}))
		if len(forwards) != 1 || forwards[0].To != "entry-3" {
			t.Fatalf("forwards are %+v, want one to entry-3", forwards)
		}
	})
	t.Run("in the log once for each term", func(t *testing.T) {
		m := newSingleLeader(t)
		m.Step(testStart, proposedEvent(1, "a", "ada", 0, change))
		m.Step(testStart.Add(proposalRetryInterval), Tick{})
		if n := len(m.log.group.entries); n != 1 {
			t.Errorf("%d log entries for one command, want 1", n)
		}
	})
	t.Run("outcome is unknown after the wait", func(t *testing.T) {
		m := newTestReducer(&fakeGroup{}, "entry-1")
		m.Step(testStart, proposedEvent(1, "a", "ada", 0, change))
		d := effectsOf[configs.CommandDecided](m.Step(testStart.Add(5*time.Second), Tick{}))
		if len(d) != 1 || !errors.Is(d[0].Err, ErrUnknownOutcome) {
			t.Fatalf("decided %+v, want one command with %v", d, ErrUnknownOutcome)
		}
	})
	t.Run("snapshot that is older is refused", func(t *testing.T) {
		m := newSingleLeader(t)
		old, err := m.configuration.state.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		m.applyChange(t, "a", change)
		if err := m.configuration.installSnapshot(1, old); err == nil || m.configuration.state.Revision() != 1 {
			t.Errorf("installing an older snapshot: error %v, revision %d; want an error and revision 1", err, m.configuration.state.Revision())
		}
	})
}

// Guards against requests that miss a backend server because the two use names of
// different schemes, and against an ambiguous name resolved arbitrarily.
func TestNamesOfAllSchemes(t *testing.T) {
	m := newSingleLeader(t)
	add := func(id, canonical, scheme, alias string) {
		m.applyChange(t, id, configs.Change{
			Action: configs.ActionNameAdd, Kind: gypsumshelf.NameModel, Canonical: canonical, Scheme: scheme, Alias: alias,
		})
	}
	add("a", "large-1", "catalogue", "quill")   // the servers of newSingleLeader announce quill
	add("b", "large-1", "billing", "model-7")   // callers of another scheme
	add("c", "large-2", "catalogue", "model-x") // ambiguous: the next line gives it a second canonical name
	add("d", "large-1", "billing", "model-x")
	arrive := func(id, model string) []gypsumshelf.Effect {
		return m.Step(testStart, attempts.Arrived{Request: gypsumshelf.Request{
			ID: gypsumshelf.RequestID(id), Model: model, PromptTokens: 1, Idempotent: true, Arrived: testStart,
			Class: gypsumshelf.Class{Target: gypsumshelf.Target{FirstToken: time.Second, Finish: time.Minute}},
		}})
	}
	for i, model := range []string{"large-1", "quill", "model-7"} {
		t.Run(model, func(t *testing.T) {
			s := effectsOf[attempts.Start](arrive(model, model))
			if len(s) != 1 || s[0].Model != "quill" {
				t.Fatalf("request %d: starts are %+v, want one with the server's own name quill", i, s)
			}
			m.Step(testStart, attempts.Ended{Attempt: s[0].Attempt})
		})
	}
	t.Run("ambiguous", func(t *testing.T) {
		effects := arrive("r", "model-x")
		assertRefused(t, effects, gypsumshelf.CodeBadRequest)
		if text := effectsOf[attempts.Refuse](effects)[0].Err.Text; !strings.Contains(text, "large-1 and large-2") {
			t.Errorf("refusal %q does not name both candidates", text)
		}
	})
	t.Run("unknown", func(t *testing.T) {
		assertRefused(t, arrive("u", "model-y"), gypsumshelf.CodeUnknownModel)
	})
}
