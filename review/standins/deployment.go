package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"gypsumshelf.example/gypsumshelf/soaks"
)

// Ports, the same on all machines, since each has its own loopback address.
const (
	internalPort  = 17340
	metricsPort   = 19464
	controlPort   = 18229
	callerPort    = 18227
	readinessPort = 18220
	runnerPort    = 18120
)

// Bounds of the deployment, those of the site schriftgilde-plattform.
const (
	graceTime     = 8 * time.Second
	heartbeatTime = 1200 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
)

// zones are the zones of the machines and runners.
var zones = []string{"wien-nord", "linz-hafen", "graz-sued"}

// settingsText is the settings file, with the keys of deploy/settings.hujson.tmpl.
const settingsText = `{
	"daemon": %q, "role": %q, "address": %q, "data-centre": %q, "region": "ostalpen", "data-folder": %q, "first-start": %v,
	"seeds": [%s], "memory-mb": 544, "ports": {"internal": %d, "metrics": %d},
	"listen": {"callers": %q, "readiness": %q, "control": %q},
	"bounds": {"grace": "8s", "heartbeat": "1200ms", "retry-ratio": 0.2, "retry-slack": 106, "retry-window": "10s", "free-memory": "4000ms"},
}
`

// machine is a machine whose daemon runs in its own process.
type machine struct {
	deployment *deployment
	name       string
	role       string
	zone       string
	ip         string
	folder     string

	mu     sync.Mutex
	cmd    *exec.Cmd // nil while no process runs
	ended  chan struct{}
	starts int
	closed bool
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec         *record
	program     string
	folder      string
	block       *soaks.Block
	next        int // number of the next address
	controls    []*machine
	entries     []*machine
	runners     []*runner
	operator    *http.Client
	closed      bool // no runner starts again; guarded by crashMu
	crashMu     sync.Mutex
	crashes     []run     // of runners by the deadly request
	lifetimes   int       // of runners that have crashed
	reborn      []*runner // that were started after a crash
	config      string    // the config with a verb for its version, empty for configText
	interim     bool      // runners send an interim response before the final one
	idsFromZero bool      // the ids of events count from 0
}

func newDeployment(program string, rec *record) (*deployment, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	block, err := soaks.ReserveBlock(uint64(os.Getpid()))
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(folder))
	}
	// The operator moves on to another daemon after a second without an answer.
	operator := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	return &deployment{rec: rec, program: program, folder: folder, block: block, operator: operator}, nil
}

// close ends all processes that the case started.
func (d *deployment) close() {
	d.crashMu.Lock()
	d.closed = true
	for _, r := range append(d.runners, d.reborn...) {
		r.close()
	}
	d.crashMu.Unlock()
	for _, m := range append(d.controls, d.entries...) {
		m.close()
	}
	d.block.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

func (d *deployment) address() string {
	d.next++
	return d.block.IP(d.next - 1)
}

// start starts control and entry machines at the same time.
func (d *deployment) start(controls, entries int) error {
	for i := range controls {
		d.controls = append(d.controls, d.newMachine("control", i))
	}
	for i := range entries {
		d.entries = append(d.entries, d.newMachine("entry", i))
	}
	for _, m := range append(append([]*machine{}, d.controls...), d.entries...) {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) newMachine(role string, n int) *machine {
	m := &machine{deployment: d, name: fmt.Sprintf("%s-%d", role, n+1), role: role, zone: zones[n%len(zones)], ip: d.address()}
	m.folder = filepath.Join(d.folder, m.name)
	return m
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o700); err != nil {
		return err
	}
	path := filepath.Join(m.folder, "settings")
	if err := os.WriteFile(path, []byte(m.settings(m.starts == 0)), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	cmd := exec.Command(m.deployment.program, "host")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GYPSUMSHELF_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.ended = cmd, make(chan struct{})
	m.starts++
	m.deployment.rec.printf("%s starts at %s in %s (start %d)", m.name, m.ip, m.zone, m.starts)
	go (&supervisor{machine: m, cmd: cmd, ended: m.ended}).run()
	return nil
}

// supervisor starts the process of a machine again when it has ended, as the platform
// does.
type supervisor struct {
	machine *machine
	cmd     *exec.Cmd
	ended   chan struct{}
}

func (s *supervisor) run() {
	err := s.cmd.Wait()
	m := s.machine
	m.mu.Lock()
	m.cmd = nil
	closed := m.closed
	m.mu.Unlock()
	close(s.ended)
	if closed {
		return
	}
	m.deployment.rec.printf("the process of %s has ended: %v", m.name, err)
	time.Sleep(restartDelay)
	if err := m.start(); err != nil {
		m.deployment.rec.printf("%s could not be started: %v", m.name, err)
	}
}

func (m *machine) settings(first bool) string {
	var seeds []string
	for _, c := range m.deployment.controls[:min(3, len(m.deployment.controls))] {
		seeds = append(seeds, fmt.Sprintf(`"%s:%d"`, c.ip, controlPort))
	}
	callers, readiness, control := fmt.Sprintf("%s:%d", m.ip, callerPort), fmt.Sprintf("%s:%d", m.ip, readinessPort), ""
	folder := ""
	if m.role == "control" {
		callers, readiness, control, folder = "", "", fmt.Sprintf("%s:%d", m.ip, controlPort), filepath.Join(m.folder, "data")
	}
	return fmt.Sprintf(settingsText, m.name, m.role, m.ip, m.zone, folder, first, strings.Join(seeds, ","), internalPort, metricsPort, callers, readiness, control)
}

// signal sends a signal to the process, if it runs.
func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		m.deployment.rec.printf("%s gets the signal %q", m.name, sig)
		_ = m.cmd.Process.Signal(sig) // it may have ended
	}
}

func (m *machine) close() {
	m.mu.Lock()
	m.closed = true
	cmd, ended := m.cmd, m.ended
	if cmd != nil {
		_ = cmd.Process.Kill()
	}
	m.mu.Unlock()
	if cmd != nil {
		<-ended
	}
}

// metric returns the value of one of the machine's own metrics, as text.
func (m *machine) metric(name string) string {
	resp, err := (&http.Client{Timeout: time.Second}).Get(fmt.Sprintf("http://%s:%d/metrics", m.ip, metricsPort))
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// leader returns the control machine that leads, nil without one.
func (d *deployment) leader() *machine {
	for _, m := range d.controls {
		if m.metric("gypsumshelf_leader") == "1" {
			return m
		}
	}
	return nil
}

// ready waits until the readiness of all entry machines is 200.
func (d *deployment) ready(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for _, m := range d.entries {
		for end := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/readiness", m.ip, readinessPort))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", m.name, limit)
			}
		}
	}
	return nil
}
