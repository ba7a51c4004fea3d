package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/loadtests"
	"gypsumshelf.example/gypsumshelf/standins"
)

// binary is the path of the program under test, built once by TestMain.
var binary string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "gypsumshelf-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "gypsumshelf")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a running process of the program, killed at the end of its test.
type process struct {
	cmd *exec.Cmd
	log lockedBuffer
}

// lockedBuffer holds the log of a process. It may be read while the process
// writes.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func startProcess(t testing.TB, args ...string) *process {
	t.Helper()
	cmd := exec.Command(binary, args...)
	p := &process{cmd: cmd}
	cmd.Stderr = io.MultiWriter(os.Stderr, &p.log)
	if err := cmd.Start(); err != nil {
		t.Fatalf("start %v: %v", args, err)
	}
	t.Cleanup(p.kill)
	return p
}

// startDaemon starts the process of a daemon, whose log then tells of its pauses.
func startDaemon(t testing.TB, td *testDaemon) *process {
	t.Helper()
	td.process = startProcess(t, "serve", "--config", td.settingsFile)
	return td.process
}

func (p *process) kill() {
	if p.cmd.ProcessState == nil {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
	}
}

// testDaemon is one daemon of a test deployment.
type testDaemon struct {
	name         string
	addresses    map[string]string // by listener
	settingsFile string
	process      *process
	deployment   []*testDaemon // all daemons

	dataCentre string
	dataFolder string // data folder, empty for a daemon without durable storage
	peers      []map[string]string
}

// writeSettings writes the daemon's settings file.
func (td *testDaemon) writeSettings(t testing.TB, peers []map[string]string) {
	t.Helper()
	td.peers = peers
	data, err := json.Marshal(map[string]any{
		"deployment": "ostalpen", "daemon": td.name, "data-centre": td.dataCentre, "region": "ostalpen",
		"data-folder": td.dataFolder, "listen": td.addresses, "peers": peers,
		"voters": []string{"entry-1", "entry-2", "entry-3"},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(td.settingsFile, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func freeAddress(t testing.TB) string {
	t.Helper()
	address, err := standins.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// newTestDaemons writes the settings files of n daemons.
func newTestDaemons(t testing.TB, n int) []*testDaemon {
	t.Helper()
	dir := t.TempDir()
	dataCentres := []string{"wien-nord", "linz-hafen", "graz-sued"}
	daemons := make([]*testDaemon, n)
	var peers []map[string]string
	for i := range daemons {
		td := &testDaemon{name: fmt.Sprintf("entry-%d", i+1), addresses: map[string]string{}}
		for _, l := range []string{"callers", "backend-servers", "peers", "operators", "metrics"} {
			td.addresses[l] = freeAddress(t)
		}
		daemons[i] = td
		peers = append(peers, map[string]string{"daemon": td.name, "address": td.addresses["peers"], "data-centre": dataCentres[i%3]})
	}
	for i, td := range daemons {
		td.deployment = daemons
		td.dataCentre, td.dataFolder = dataCentres[i%3], filepath.Join(dir, td.name)
		td.settingsFile = filepath.Join(dir, td.name+".json")
		td.writeSettings(t, peers)
	}
	return daemons
}

// waitFor polls until a condition holds, and fails the test after a minute.
func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	if !poll(20*time.Millisecond, ok) {
		t.Fatalf("timed out waiting for: %s", what)
	}
}

// poll checks a condition until it holds, and reports false after a minute.
func poll(period time.Duration, ok func() bool) bool {
	deadline := time.Now().Add(60 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(period)
	}
	return true
}

func assertServed(t testing.TB, td *testDaemon, lengths ...int) {
	t.Helper()
	caller := loadtests.NewCaller()
	for i, length := range lengths {
		request := loadtests.Request{
			Address: td.addresses["callers"], Model: "quill", PromptTokens: length, MaxTokens: 16, Seed: uint64(length + i),
		}
		out := caller.Do(context.Background(), request)
		if td.lostLeaseInPause(out) {
			t.Logf("%s, prompt of %d tokens: %v, after a pause", td.name, length, out.Err)
			td.waitReady(t)
			out = caller.Do(context.Background(), request)
		}
		if out.Err != nil {
			t.Errorf("%s, prompt of %d tokens: %v", td.name, length, out.Err)
		}
	}
}

// lostLeaseInPause reports whether a daemon has refused a request, as it must, because
// its freshness lease expired while a daemon of the deployment was paused for half of
// that lease or longer, by its own log.
func (td *testDaemon) lostLeaseInPause(out loadtests.Outcome) bool {
	if out.Code != gypsumshelf.CodeNotReady || out.Verdict != gypsumshelf.NotRun {
		return false
	}
	since := time.Now().Add(-leaseExpiry)
	time.Sleep(pauseLogDelay)
	for _, td := range td.deployment {
		if td.process != nil && td.process.pausedAfter(since) >= freshnessLease/2 {
			return true
		}
	}
	return false
}

const (
	freshnessLease = 3 * time.Second
	// pauseLogDelay is the time within which a daemon logs that it was paused.
	pauseLogDelay = 500 * time.Millisecond
)

// pausedAfter returns for how long a daemon was paused, by what it has logged since a time.
func (p *process) pausedAfter(since time.Time) (total time.Duration) {
	for line := range strings.Lines(p.log.String()) {
		var entry struct {
			Time     time.Time `json:"time"`
			PausedMs int       `json:"paused-ms"`
		}
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Time.After(since) {
			total += time.Duration(entry.PausedMs) * time.Millisecond
		}
	}
	return total
}

func (td *testDaemon) waitReady(t testing.TB) {
	t.Helper()
	waitFor(t, td.name+" ready", func() bool { return td.readyz() == http.StatusOK })
}

func waitForServers(t testing.TB, td *testDaemon, servers int) {
	t.Helper()
	waitFor(t, fmt.Sprintf("%s ready with %d backend servers", td.name, servers), func() bool {
		ready, err := http.Get("http://" + td.addresses["callers"] + "/readyz")
		if err != nil {
			return false
		}
		ready.Body.Close()
		resp, err := http.Get("http://" + td.addresses["operators"] + "/status")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		var status struct {
			Servers []any `json:"backend-servers"`
		}
		return json.NewDecoder(resp.Body).Decode(&status) == nil &&
			ready.StatusCode == http.StatusOK && len(status.Servers) >= servers
	})
}

// Guards against requests that are served only when daemons and engines share a
// process, and against daemons that cannot serve after another one is killed.
func TestServesThroughProcesses(t *testing.T) {
	daemons := newTestDaemons(t, 3)
	var processes []*process
	args := []string{"stand-ins", "--engines", "6"}
	for _, td := range daemons {
		processes = append(processes, startDaemon(t, td))
		args = append(args, "--daemon", td.addresses["backend-servers"])
	}
	startProcess(t, args...)
	for _, td := range daemons {
		waitForServers(t, td, 6)
	}
	t.Run("every daemon serves every length", func(t *testing.T) {
		for _, td := range daemons {
			assertServed(t, td, 1_000, 30_000, 1_000_000)
		}
	})
	t.Run("the others serve after one is killed", func(t *testing.T) {
		processes[0].kill()
		for _, td := range daemons[1:] {
			assertServed(t, td, 1_000, 30_000, 1_000_000)
		}
	})
}
