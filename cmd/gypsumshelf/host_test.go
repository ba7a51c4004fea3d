package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"
)

// hostSettings are the settings of an entry daemon that knows one control daemon.
const hostSettings = `{
	"daemon": "entry-1", "role": "entry", "address": "127.0.0.1", "data-centre": "a", "region": "r", "first-start": true,
	"seeds": [%q], "ports": {"internal": %s, "metrics": 0}, "listen": {"callers": %q, "readiness": %q},
	"bounds": {"grace": "2s", "heartbeat": "1s", "retry-ratio": 0.2, "retry-slack": 100, "retry-window": "10s"},
}`

// hostProcess is a running "gypsumshelf host" in the role of an entry daemon.
type hostProcess struct {
	*process
	t        *testing.T
	settings string // path
	ports    []any
}

func startHostProcess(t *testing.T) *hostProcess {
	t.Helper()
	_, internal, _ := strings.Cut(freeAddress(t), ":")
	h := &hostProcess{t: t, settings: filepath.Join(t.TempDir(), "settings"), ports: []any{internal, freeAddress(t), freeAddress(t)}}
	h.write("127.0.0.1:1")
	cmd := exec.Command(binary, "host", "--config", h.settings)
	h.process = &process{cmd: cmd}
	cmd.Stdout, cmd.Stderr = &h.log, &h.log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.kill)
	h.await("started")
	return h
}

// write writes the settings with a control daemon.
func (h *hostProcess) write(seed string) {
	h.t.Helper()
	if err := os.WriteFile(h.settings, fmt.Appendf(nil, hostSettings, append([]any{seed}, h.ports...)...), 0o600); err != nil {
		h.t.Fatal(err)
	}
}

// await waits until a message is logged.
func (h *hostProcess) await(message string) {
	h.t.Helper()
	waitFor(h.t, "the log line "+message, func() bool { return strings.Contains(h.log.String(), message) })
}

// limitDescriptors sets the soft limit of descriptors of the process, 0 for the hard one.
func (h *hostProcess) limitDescriptors(n uint64) {
	h.t.Helper()
	var limit syscall.Rlimit
	h.prlimit(nil, &limit)
	if limit.Cur = n; n == 0 {
		limit.Cur = limit.Max
	}
	h.prlimit(&limit, nil)
}

func (h *hostProcess) prlimit(set, old *syscall.Rlimit) {
	h.t.Helper()
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(h.cmd.Process.Pid), syscall.RLIMIT_NOFILE,
		uintptr(unsafe.Pointer(set)), uintptr(unsafe.Pointer(old)), 0, 0)
	if errno != 0 {
		h.t.Fatalf("prlimit: %v", errno)
	}
}

// Guards against changed settings that are never loaded because no descriptor was free
// when they were written.
func TestChangedSettingsAreLoadedAfterAFailure(t *testing.T) {
	h := startHostProcess(t)
	time.Sleep(100 * time.Millisecond) // the modification time differs
	h.limitDescriptors(3)
	h.write("127.0.0.1:2")
	h.await("changed settings cannot be loaded")
	h.limitDescriptors(0)
	h.await("settings reloaded")
	if !strings.Contains(h.log.String(), `"127.0.0.1:2"`) {
		t.Errorf("the new seeds are not in force:\n%s", h.log.String())
	}
}
