package configs

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/settings"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", seed()); err != nil {
		panic(err)
	}
	fmt.Println("GYPSUMSHELF_SEED", seed())
	os.Exit(m.Run())
}

// oracle records the results that callers of a random run received and checks
// later results against them.
type oracle struct {
	answers    map[string]Result               // first answer by command id
	changes    map[string]Change               // first change by command id
	answeredAt map[string]time.Time            // time of the first answer
	accepted   map[gypsumshelf.Revision]string // accepted command id by revision
	runs       map[RunKey]string               // accepted run by key
	revision   gypsumshelf.Revision
}

func (o *oracle) checkOperate(t *rapid.T, now time.Time, c OperatorCommand, r Result) {
	first, known := o.answers[c.CommandID]
	age := now.Sub(o.answeredAt[c.CommandID])
	switch {
	case !known && r.Code != CodeCommandIDExpired:
		o.answers[c.CommandID], o.changes[c.CommandID], o.answeredAt[c.CommandID] = r, c.Change, now
		if !r.Accepted() {
			return
		}
		if c.Revision != r.Revision-1 || o.accepted[r.Revision] != "" {
			t.Fatalf("revision %d of command %s already belongs to command %s", r.Revision, c.CommandID, o.accepted[r.Revision])
		}
		o.accepted[r.Revision] = c.CommandID
	case known && age < CommandRetention && c.Change == o.changes[c.CommandID]:
		if r.Text != first.Text || r.Code != first.Code || r.Revision != first.Revision {
			t.Fatalf("resent command %s got %+v, want the first result %+v", c.CommandID, r, first)
		}
	case known && r.Accepted():
		t.Fatalf("command %s was accepted again, %s after its first result", c.CommandID, age)
	}
}

func (o *oracle) checkBeginRun(t *rapid.T, c BeginRun, r Result) {
	if !r.Accepted() {
		return
	}
	if run := o.runs[c.RunKey]; run != "" && run != c.Run {
		t.Fatalf("key %v was accepted for run %s and for run %s", c.RunKey, run, c.Run)
	}
	o.runs[c.RunKey] = c.Run
}

func drawChange(t *rapid.T) Change {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	action := rapid.SampledFrom([]Action{ActionClassSet, ActionClassRemove, ActionTakeOut, ActionBringBack, ActionNameAdd}).Draw(t, "action")
	switch action {
	case ActionClassSet:
		return Change{Action: action, Name: name, FirstToken: settings.Duration(time.Second), Finish: settings.Duration(time.Minute)}
	case ActionNameAdd:
		return addName(gypsumshelf.NameDataCentre, name, rapid.SampledFrom([]string{"s", "t", "u", "v"}).Draw(t, "scheme"),
			rapid.SampledFrom([]string{"a", "x", "y"}).Draw(t, "alias"))
	}
	return Change{Action: action, Name: name}
}

func drawCommand(t *rapid.T, s *State, now time.Time, ids []string) Command {
	key := RunKey{Workspace: "w", Key: rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")}
	run := rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "run")
	switch rapid.IntRange(0, 9).Draw(t, "command") {
	case 0:
		return FinishRun{RunKey: key, Run: run, Outcome: Outcome{Status: 200}}
	case 1, 2:
		return BeginRun{RunKey: key, Run: run, BodyHash: 1, Owner: "o", Retention: settings.Duration(time.Hour)}
	case 3:
		return AdvanceEpoch{Name: "n", From: rapid.Uint64Range(0, 4).Draw(t, "from"), Owner: "o"}
	}
	behind := rapid.Uint64Range(0, min(2, uint64(s.Revision()))).Draw(t, "behind")
	id := commandIDAt(now)
	if len(ids) > 0 && rapid.Bool().Draw(t, "resend") {
		id = rapid.SampledFrom(ids).Draw(t, "id")
	} else if rapid.Bool().Draw(t, "chosen") {
		id = fmt.Sprint("chosen-", len(ids))
	}
	return OperatorCommand{CommandID: id, Operator: "ada", Revision: s.Revision() - gypsumshelf.Revision(behind), Change: drawChange(t)}
}

// Guards against replicas that diverge, a snapshot that loses state, two
// accepted changes to one revision, two runs of a key and a resent command whose
// result changes. Commands, resends and clock steps are random.
func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{
			answers: map[string]Result{}, changes: map[string]Change{}, answeredAt: map[string]time.Time{},
			accepted: map[gypsumshelf.Revision]string{}, runs: map[RunKey]string{},
		}
		first, second := New(), New()
		now, latest := start, start
		var ids []string
		for i := range rapid.IntRange(1, 150).Draw(t, "entries") {
			step := rapid.SampledFrom([]time.Duration{-time.Hour, time.Second, time.Second, time.Minute, 7 * time.Hour}).Draw(t, "step")
			now = now.Add(step)
			if now.After(latest) {
				latest = now
			}
			c := drawCommand(t, first, latest, ids)
			r := first.Apply(uint64(i+1), now, c)
			second.Apply(uint64(i+1), now, c)
			switch c := c.(type) {
			case OperatorCommand:
				ids = append(ids, c.CommandID)
				o.checkOperate(t, latest, c, r)
			case BeginRun:
				o.checkBeginRun(t, c, r)
			}
			if first.Revision() < o.revision {
				t.Fatalf("revision went back from %d to %d", o.revision, first.Revision())
			}
			o.revision = first.Revision()
			if rapid.IntRange(0, 19).Draw(t, "restore") == 0 {
				second = restored(t, second)
			}
		}
		if a, b := snapshot(t, first), snapshot(t, second); !bytes.Equal(a, b) {
			t.Fatalf("replicas differ:\n%s\n%s", a, b)
		}
		if first.Revision() != gypsumshelf.Revision(len(o.accepted)) {
			t.Fatalf("revision %d after %d accepted changes", first.Revision(), len(o.accepted))
		}
	})
}

func snapshot(t *rapid.T, s *State) []byte {
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func restored(t *rapid.T, s *State) *State {
	out, err := Restore(snapshot(t, s))
	if err != nil {
		t.Fatal(err)
	}
	return out
}
