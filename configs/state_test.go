package configs

import (
	"bytes"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/uuid"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/settings"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// testState applies commands to a State with increasing indexes.
type testState struct {
	t     *testing.T
	state *State
	now   time.Time
}

func newTestState(t *testing.T) *testState { return &testState{t: t, state: New(), now: start} }

func (m *testState) apply(c Command) Result {
	return m.state.Apply(m.state.Index()+1, m.now, c)
}

// operate applies a change that is based on the current revision.
func (m *testState) operate(id string, change Change) Result {
	return m.apply(OperatorCommand{CommandID: id, Operator: "ada", Revision: m.state.Revision(), Change: change})
}

func (m *testState) accepted(r Result) Result {
	m.t.Helper()
	if !r.Accepted() {
		m.t.Fatalf("refused: %s: %s", r.Code, r.Text)
	}
	return r
}

func (m *testState) refused(r Result, code Code) Result {
	m.t.Helper()
	if r.Code != code {
		m.t.Fatalf("code is %q (%s), want %q", r.Code, r.Text, code)
	}
	return r
}

func takeOut(name string) Change { return Change{Action: ActionTakeOut, Name: name} }

func addName(kind gypsumshelf.NameKind, canonical, scheme, alias string) Change {
	return Change{Action: ActionNameAdd, Kind: kind, Canonical: canonical, Scheme: scheme, Alias: alias}
}

// commandIDAt returns a command id as generated at a time.
func commandIDAt(at time.Time) string {
	u := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	return u.String()
}

// Guards against two operators whose changes to the same revision are both
// accepted.
func TestOneWinnerPerRevision(t *testing.T) {
	m := newTestState(t)
	first := OperatorCommand{CommandID: "a", Operator: "ada", Change: takeOut("wien-nord")}
	second := OperatorCommand{CommandID: "b", Operator: "bob", Change: takeOut("linz-hafen")}
	m.accepted(m.apply(first))
	lost := m.refused(m.apply(second), CodeConflict)
	if lost.Winner == nil || lost.Winner.Operator != "ada" || lost.Winner.Change != takeOut("wien-nord") {
		t.Errorf("winner is %+v, want the change of ada", lost.Winner)
	}
	m.refused(m.apply(OperatorCommand{CommandID: "c", Operator: "bob", Revision: 7, Change: takeOut("x")}), CodeConflict)
	for i := range HistoryLimit + 5 {
		m.accepted(m.operate(fmt.Sprint("fill-", i), takeOut("graz-sued")))
	}
	old := m.refused(m.apply(OperatorCommand{CommandID: "d", Operator: "bob", Revision: 1, Change: takeOut("x")}), CodeConflict)
	if old.Winner.Revision != m.state.History()[0].Revision || len(m.state.History()) != HistoryLimit {
		t.Errorf("winner is revision %d, history has %d entries; want revision %d and %d entries",
			old.Winner.Revision, len(m.state.History()), m.state.History()[0].Revision, HistoryLimit)
	}
}

// Guards against a command that is applied twice because its result was lost
// and the operator sent it again.
func TestCommandIDs(t *testing.T) {
	t.Run("resent command gets the first answer", func(t *testing.T) {
		m := newTestState(t)
		first := m.accepted(m.operate("a", takeOut("wien-nord")))
		m.accepted(m.operate("b", Change{Action: ActionBringBack, Name: "wien-nord"}))
		again := m.accepted(m.operate("a", takeOut("wien-nord")))
		if again.Revision != first.Revision || !m.state.InService("wien-nord") {
			t.Errorf("answer has revision %d, want %d; in service: %t", again.Revision, first.Revision, m.state.InService("wien-nord"))
		}
		m.refused(m.apply(OperatorCommand{CommandID: "c", Operator: "bob", Change: takeOut("x")}), CodeConflict)
		m.refused(m.operate("c", takeOut("x")), CodeConflict) // the recorded refusal, although the revision is now current
	})
	t.Run("reused id is refused", func(t *testing.T) {
		m := newTestState(t)
		m.accepted(m.operate("a", takeOut("wien-nord")))
		m.refused(m.operate("a", takeOut("linz-hafen")), CodeCommandIDReused)
	})
	for name, id := range map[string]string{"generated": commandIDAt(start.Add(time.Minute)), "chosen": "my-command"} {
		t.Run("expired id is refused: "+name, func(t *testing.T) {
			m := newTestState(t)
			m.accepted(m.operate(id, takeOut("wien-nord")))
			m.accepted(m.operate("back", Change{Action: ActionBringBack, Name: "wien-nord"}))
			for _, after := range []time.Duration{CommandRetention + 2*time.Minute, sweepInterval / 2, sweepInterval, time.Hour} {
				m.now = m.now.Add(after)
				m.refused(m.operate(id, takeOut("wien-nord")), CodeCommandIDExpired)
			}
			if len(m.state.d.Commands) != 0 {
				t.Errorf("%d answers are kept after their expiry", len(m.state.d.Commands))
			}
		})
	}
	t.Run("id from the future is refused", func(t *testing.T) {
		m := newTestState(t)
		m.refused(m.operate(commandIDAt(start.Add(2*maxClockLead)), takeOut("wien-nord")), CodeInvalid)
	})
}

// Guards against invalid changes that are accepted.
func TestChanges(t *testing.T) {
	class := func(name string, first, finish time.Duration) Change {
		return Change{Action: ActionClassSet, Name: name, FirstToken: settings.Duration(first), Finish: settings.Duration(finish)}
	}
	for _, tc := range []struct {
		name   string
		change Change
		code   Code
	}{
		{"class", class("short", time.Second, time.Minute), ""},
		{"class without finish", class("short", time.Second, 0), CodeInvalid},
		{"class whose first token is after its end", class("short", time.Minute, time.Second), CodeInvalid},
		{"class without a name", class("", time.Second, time.Minute), CodeInvalid},
		{"removal of a class that is not set", Change{Action: ActionClassRemove, Name: "short"}, CodeNotFound},
		{"name with a space", takeOut("wien nord"), CodeInvalid},
		{"unknown kind", addName("host", "a", "b", "c"), CodeInvalid},
		{"unknown action", Change{Action: "reboot"}, CodeInvalid},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := newTestState(t)
			m.refused(m.operate("a", tc.change), tc.code)
			if want := gypsumshelf.Revision(0); tc.code != "" && m.state.Revision() != want {
				t.Errorf("revision is %d after a refusal, want %d", m.state.Revision(), want)
			}
		})
	}
	t.Run("class default is built in", func(t *testing.T) {
		m := newTestState(t)
		m.accepted(m.operate("a", class(gypsumshelf.DefaultClassName, time.Second, 2*time.Second)))
		m.accepted(m.operate("b", Change{Action: ActionClassRemove, Name: gypsumshelf.DefaultClassName}))
		if c, ok := m.state.Class(gypsumshelf.DefaultClassName); !ok || c.Target != builtInDefaultTarget {
			t.Errorf("class default is %+v, %t", c, ok)
		}
	})
}

// Guards against a command that is applied to another data centre, service or
// model than the operator named.
func TestNames(t *testing.T) {
	m := newTestState(t)
	dc := gypsumshelf.NameDataCentre
	m.accepted(m.operate("1", addName(dc, "wien-nord", "airport", "VIE")))
	m.accepted(m.operate("2", addName(dc, "linz-hafen", "airport", "LNZ")))
	m.accepted(m.operate("3", addName(dc, "VIE", "number", "1"))) // canonical name given by its alias
	m.accepted(m.operate("4", addName(dc, "linz-hafen", "plan", "1")))
	t.Run("any scheme", func(t *testing.T) {
		r := m.accepted(m.operate("5", takeOut("VIE")))
		if r.Recorded.Change.Name != "wien-nord" || m.state.InService("wien-nord") || m.state.InService("VIE") || !m.state.InService("LNZ") {
			t.Errorf("take-out of VIE gave %+v, out: %v", r.Recorded, m.state.TakenOut())
		}
	})
	t.Run("ambiguous name lists both candidates", func(t *testing.T) {
		r := m.refused(m.operate("6", takeOut("1")), CodeAmbiguousName)
		for _, want := range []string{"wien-nord", "linz-hafen"} {
			if !bytes.Contains([]byte(r.Text), []byte(want)) {
				t.Errorf("text %q does not name %s", r.Text, want)
			}
		}
		if m.state.InService("1") {
			t.Error("ambiguous name is in service while one of its candidates is out of service")
		}
	})
	t.Run("refused aliases", func(*testing.T) {
		m.refused(m.operate("7", addName(dc, "graz-sued", "fourth", "G")), CodeInvalid)
		m.refused(m.operate("8", addName(dc, "graz-sued", "airport", "VIE")), CodeAmbiguousName)
		m.refused(m.operate("9", addName(dc, "graz-sued", "airport", "linz-hafen")), CodeAmbiguousName)
		m.accepted(m.operate("10", addName(gypsumshelf.NameModel, "quill", "airport", "VIE"))) // other kind
	})
}

// Guards against a non-idempotent request that runs twice.
func TestRuns(t *testing.T) {
	key := RunKey{Workspace: "w", Key: "order-1"}
	begin := func(run string, hash uint64) BeginRun {
		return BeginRun{RunKey: key, Run: run, BodyHash: hash, Owner: "entry-1", Retention: settings.Duration(time.Hour)}
	}
	m := newTestState(t)
	m.accepted(m.apply(begin("r1", 5)))
	m.accepted(m.apply(begin("r1", 5))) // proposed again after a lost answer
	m.refused(m.apply(begin("r2", 5)), CodeKeyTaken)
	m.refused(m.apply(begin("r2", 6)), CodeKeyReused)
	m.refused(m.apply(FinishRun{RunKey: key, Run: "r2"}), CodeNotFound)
	m.accepted(m.apply(FinishRun{RunKey: key, Run: "r1", Outcome: Outcome{Verdict: gypsumshelf.Ran, Status: 201, Body: make([]byte, MaxOutcomeBytes+1)}}))
	m.accepted(m.apply(FinishRun{RunKey: key, Run: "r1", Outcome: Outcome{Status: 500}}))
	r := m.refused(m.apply(begin("r3", 5)), CodeKeyTaken)
	if o := r.Run.Outcome; o == nil || o.Status != 201 || !o.BodyOmitted || len(o.Body) > 0 {
		t.Errorf("outcome is %+v, want the first without its long body", o)
	}
	for _, after := range []time.Duration{time.Hour, sweepInterval, 24 * time.Hour} {
		m.now = m.now.Add(after)
		m.refused(m.apply(begin("r4", 5)), CodeKeyExpired)
	}
	if m.state.Run(key) != nil {
		t.Error("record is kept after its expiry")
	}
}

// Guards against two owners of one epoch and a quarantine that does not expire.
func TestFencingAndQuarantine(t *testing.T) {
	m := newTestState(t)
	m.accepted(m.apply(AdvanceEpoch{Name: "orders", Owner: "a"}))
	m.accepted(m.apply(AdvanceEpoch{Name: "orders", Owner: "a"}))
	r := m.refused(m.apply(AdvanceEpoch{Name: "orders", Owner: "b"}), CodeStaleEpoch)
	if r.Epoch != 1 {
		t.Errorf("epoch is %d, want 1", r.Epoch)
	}
	m.refused(m.apply(Quarantine{BodyHash: 9}), CodeInvalid)
	m.accepted(m.apply(Quarantine{BodyHash: 9, Duration: settings.Duration(time.Hour)}))
	if _, ok := m.state.Quarantined(m.now, 9); !ok {
		t.Error("body hash is not in quarantine")
	}
	if _, ok := m.state.Quarantined(m.now.Add(time.Hour), 9); ok {
		t.Error("quarantine outlives its expiry")
	}
	m.accepted(m.apply(LiftQuarantine{BodyHash: 9}))
	if _, ok := m.state.Quarantined(m.now, 9); ok {
		t.Error("lifted quarantine is in force")
	}
}

// Guards against expired records that become valid again under a new leader
// whose clock is behind.
func TestStateTimeIsMonotonic(t *testing.T) {
	m := newTestState(t)
	m.accepted(m.operate("a", takeOut("wien-nord")))
	m.now = m.now.Add(CommandRetention + sweepInterval)
	m.accepted(m.operate("b", Change{Action: ActionBringBack, Name: "wien-nord"}))
	m.now = start
	m.refused(m.operate("a", takeOut("wien-nord")), CodeCommandIDExpired)
}

// Guards against an entry that changes when it is encoded and decoded.
func TestEntryEncoding(t *testing.T) {
	for _, c := range []Command{
		OperatorCommand{CommandID: "a", Operator: "ada", Revision: 3, Change: Change{Action: ActionClassSet, Name: "short", FirstToken: settings.Duration(time.Second), Finish: settings.Duration(time.Minute)}},
		BeginRun{RunKey: RunKey{Workspace: "w", Key: "k"}, Run: "r", BodyHash: 1<<64 - 1, Owner: "o", Retention: settings.Duration(time.Hour)},
		LiftQuarantine{BodyHash: 3}, AdvanceEpoch{Name: "n", From: 2, Owner: "o"}, Quarantine{BodyHash: 1, Reason: "crash", Duration: 5},
	} {
		want := Entry{Origin: "entry-1", Token: "t", Command: c}
		data, err := want.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodeEntry(data); err != nil || got != want {
			t.Errorf("read back %+v, %v; want %+v", got, err, want)
		}
	}
	if _, err := DecodeEntry([]byte(`{"type":"reboot"}`)); err == nil {
		t.Error("unknown command type was read")
	}
}

func seed() string {
	if s := os.Getenv("GYPSUMSHELF_SEED"); s != "" {
		return s
	}
	return "1"
}
