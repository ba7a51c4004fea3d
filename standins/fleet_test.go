package standins

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// board accepts announcements in place of a daemon and records the last one of
// each server.
type board struct {
	mu   sync.Mutex
	last map[gypsumshelf.ServerID]gypsumshelf.Announcement
}

func (b *board) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var a gypsumshelf.Announcement
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last[a.Server] = a
	w.WriteHeader(http.StatusNoContent)
}

func (b *board) get(id gypsumshelf.ServerID) gypsumshelf.Announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last[id]
}

func (b *board) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.last)
}

func startFleet(t *testing.T) (*Fleet, *board, string) {
	t.Helper()
	b := &board{last: map[gypsumshelf.ServerID]gypsumshelf.Announcement{}}
	daemon := httptest.NewServer(b)
	t.Cleanup(daemon.Close)
	f, err := NewFleet(FleetConfig{
		Service: "llm", Engines: 2, Engine: EngineConfig{PrefillRate: 1e9, CrashMark: "CRASH", WarmupLimit: 4, WarmupWork: 9}, StartWarm: true,
		PlainService: "plain", Plains: 2, DataCentres: []string{"a", "b"},
		Daemons: []string{daemon.Listener.Addr().String()}, Period: time.Millisecond, RestartAfter: time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	control := httptest.NewServer(NewControl(f))
	t.Cleanup(control.Close)
	until(t, "all announced", func() bool { return b.len() == 4 })
	return f, b, control.URL
}

// Guards against control requests that change no server or the wrong ones.
func TestControl(t *testing.T) {
	f, b, control := startFleet(t)
	for _, tc := range []struct {
		path  string
		state gypsumshelf.ServerState // of llm-01 afterwards
	}{
		{"/data-centres/a/leaving", gypsumshelf.ServerLeaving},
		{"/servers/llm-01/ready", gypsumshelf.ServerReady},
		{"/servers/llm-01/cold", gypsumshelf.ServerReady},
		{"/servers/llm-01/dead", ""},
		{"/servers/llm-01/ready", gypsumshelf.ServerReady},
	} {
		incarnation := b.get("llm-01").Incarnation
		assertStatus(t, control, tc.path, nil, http.StatusNoContent)
		if got := f.Status()[0].State; got != tc.state {
			t.Errorf("%s: state %q, want %q", tc.path, got, tc.state)
		}
		if tc.state != "" {
			until(t, "announced", func() bool { return b.get("llm-01").State == tc.state })
		}
		if again := b.get("llm-01").Incarnation; tc.state == "" && again != incarnation {
			t.Errorf("stopped server announces itself")
		}
	}
	if f.Status()[1].State != gypsumshelf.ServerReady {
		t.Error("server of another data centre changed")
	}
	assertStatus(t, control, "/servers/none/dead", nil, http.StatusBadRequest)
	if left := f.Leave(time.Minute); left != 0 || b.get("llm-02").State != gypsumshelf.ServerLeaving {
		t.Errorf("leave: %d requests left, state %q", left, b.get("llm-02").State)
	}
}

// Guards against an engine that is warm after a restart, or cold at its first
// start although StartWarm is set.
func TestRestartIsCold(t *testing.T) {
	f, _, control := startFleet(t)
	for _, tc := range []struct {
		action string
		warm   bool
	}{{ActionReady, true}, {ActionDead, true}, {ActionReady, false}} {
		assertStatus(t, control, "/servers/llm-01/"+tc.action, nil, http.StatusNoContent)
		u := f.units[0]
		u.mu.Lock()
		warm, _ := u.backend.(*Engine).warmth.state()
		u.mu.Unlock()
		if warm != tc.warm {
			t.Errorf("%s: warm is %t, want %t", tc.action, warm, tc.warm)
		}
	}
}

// Guards against a crashed engine that still answers or is not restarted.
func TestCrashRestarts(t *testing.T) {
	_, b, _ := startFleet(t)
	first := b.get("llm-01")
	if _, _, err := complete(t, "http://"+first.Address, "a.1", "a CRASH prompt", 4, 0); err == nil {
		t.Error("crashed engine answered")
	}
	until(t, "new incarnation", func() bool { return b.get("llm-01").Incarnation != first.Incarnation })
	if _, body, err := complete(t, "http://"+b.get("llm-01").Address, "a.2", "prompt", 4, 0); err != nil {
		t.Errorf("restarted engine: %q, %v", body, err)
	}
}

// Guards against a counter that misses a call which ran on two servers, or one
// whose answer was lost.
func TestLedgerCountsRepeatedCalls(t *testing.T) {
	f, b, control := startFleet(t)
	one, two := "http://"+b.get("plain-01").Address, "http://"+b.get("plain-02").Address
	if err := f.SetFaults("plain-02", Faults{DropAfterRead: true}); err != nil {
		t.Fatal(err)
	}
	assertStatus(t, one, "/calls/x", nil, http.StatusOK)
	if _, _, err := call(t, http.MethodPost, two+"/calls/x", nil, nil); err == nil {
		t.Error("dropped call was answered")
	}
	_, _, _ = call(t, http.MethodGet, one+"/calls/x", nil, nil)
	_, body, err := call(t, http.MethodGet, control+"/calls", nil, nil)
	if err != nil || body != "{\"x\":2}\n" {
		t.Errorf("ledger: %q, %v", body, err)
	}
	if i := slices.IndexFunc(f.Status(), func(s UnitStatus) bool { return s.Server == "plain-01" }); f.Status()[i].Arrivals != 2 {
		t.Errorf("arrivals: %+v", f.Status()[i])
	}
}
