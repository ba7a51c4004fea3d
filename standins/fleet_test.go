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

// announcementRecorder accepts announcements in place of a daemon and records
// the last one of each server.
type announcementRecorder struct {
	mu     sync.Mutex
	latest map[gypsumshelf.ServerID]gypsumshelf.Announcement
}

func (rec *announcementRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var a gypsumshelf.Announcement
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.latest[a.Server] = a
	w.WriteHeader(http.StatusNoContent)
}

func (rec *announcementRecorder) get(id gypsumshelf.ServerID) gypsumshelf.Announcement {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.latest[id]
}

func (rec *announcementRecorder) count() int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return len(rec.latest)
}

func startFleet(t *testing.T) (*Fleet, *announcementRecorder, string) {
	t.Helper()
	rec := &announcementRecorder{latest: map[gypsumshelf.ServerID]gypsumshelf.Announcement{}}
	daemon := httptest.NewServer(rec)
	t.Cleanup(daemon.Close)
	f, err := NewFleet(FleetConfig{
		Service: "llm", Engines: 2, Engine: EngineConfig{PrefillRate: 1e9, CrashMark: "CRASH", ColdMaxRequests: 4, RequestsUntilWarm: 9}, StartWarm: true,
		PlainService: "plain", PlainServers: 2, DataCentres: []string{"a", "b"},
		DaemonAddresses: []string{daemon.Listener.Addr().String()}, AnnouncePeriod: time.Millisecond, RestartAfter: time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	control := httptest.NewServer(NewControl(f))
	t.Cleanup(control.Close)
	waitFor(t, "all announced", func() bool { return rec.count() == 4 })
	return f, rec, control.URL
}

// Guards against control requests that change no server or the wrong ones.
func TestControl(t *testing.T) {
	f, rec, control := startFleet(t)
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
		incarnation := rec.get("llm-01").Incarnation
		assertStatus(t, control, tc.path, nil, http.StatusNoContent)
		if got := f.Status()[0].State; got != tc.state {
			t.Errorf("%s: state %q, want %q", tc.path, got, tc.state)
		}
		if tc.state != "" {
			waitFor(t, "announced", func() bool { return rec.get("llm-01").State == tc.state })
		}
		if again := rec.get("llm-01").Incarnation; tc.state == "" && again != incarnation {
			t.Errorf("stopped server announces itself")
		}
	}
	if f.Status()[1].State != gypsumshelf.ServerReady {
		t.Error("server of another data centre changed")
	}
	assertStatus(t, control, "/servers/none/dead", nil, http.StatusBadRequest)
	if left := f.Leave(time.Minute); left != 0 || rec.get("llm-02").State != gypsumshelf.ServerLeaving {
		t.Errorf("leave: %d requests left, state %q", left, rec.get("llm-02").State)
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
		s := f.standIns[0]
		s.mu.Lock()
		warm, _ := s.backend.(*Engine).warmup.state()
		s.mu.Unlock()
		if warm != tc.warm {
			t.Errorf("%s: warm is %t, want %t", tc.action, warm, tc.warm)
		}
	}
}

// Guards against a crashed engine that still answers or is not restarted.
func TestCrashRestarts(t *testing.T) {
	_, rec, _ := startFleet(t)
	first := rec.get("llm-01")
	if _, _, err := sendCompletion(t, "http://"+first.Address, "a.1", "a CRASH prompt", 4, 0); err == nil {
		t.Error("crashed engine answered")
	}
	waitFor(t, "new incarnation", func() bool { return rec.get("llm-01").Incarnation != first.Incarnation })
	if _, body, err := sendCompletion(t, "http://"+rec.get("llm-01").Address, "a.2", "prompt", 4, 0); err != nil {
		t.Errorf("restarted engine: %q, %v", body, err)
	}
}

// Guards against a counter that misses a call which ran on two servers, or one
// whose answer was lost.
func TestCallCounterCountsRepeatedCalls(t *testing.T) {
	f, rec, control := startFleet(t)
	one, two := "http://"+rec.get("plain-01").Address, "http://"+rec.get("plain-02").Address
	if err := f.SetFaults("plain-02", Faults{DropAfterRead: true}); err != nil {
		t.Fatal(err)
	}
	assertStatus(t, one, "/calls/x", nil, http.StatusOK)
	if _, _, err := sendRequest(t, http.MethodPost, two+"/calls/x", nil, nil); err == nil {
		t.Error("dropped call was answered")
	}
	_, _, _ = sendRequest(t, http.MethodGet, one+"/calls/x", nil, nil)
	_, body, err := sendRequest(t, http.MethodGet, control+"/calls", nil, nil)
	if err != nil || body != "{\"x\":2}\n" {
		t.Errorf("calls: got %q, %v, want 2 runs of call x", body, err)
	}
	if i := slices.IndexFunc(f.Status(), func(s ServerStatus) bool { return s.Server == "plain-01" }); f.Status()[i].Arrivals != 2 {
		t.Errorf("arrivals: %+v", f.Status()[i])
	}
}
