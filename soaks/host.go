package soaks

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Ports, the same on all hosts, since each host has its own loopback address.
const (
	internalPort  = 17340
	metricsPort   = 17342
	apiPort       = 18229
	readinessPort = 18220
)

const (
	// seedCount is the number of control daemons whose addresses a daemon is told.
	seedCount = 3
	// restartDelay is the time after which the platform restarts a process that exited.
	restartDelay = 300 * time.Millisecond
	// Grace is the time from the stop signal until a process is killed.
	Grace = 6 * time.Second
)

const settingsTemplate = `{
	"daemon": %q, "role": %q, "address": %q, "data-centre": "a", "region": "r", "data-folder": %q, "first-start": %v,
	"seeds": [%s], "ports": {"internal": %d, "metrics": %d},
	"listen": {"callers": %q, "readiness": %q, "control": %q},
	"bounds": {"grace": %q, "heartbeat": "1s", "retry-ratio": 0.2, "retry-slack": 100, "retry-window": "10s"},
}`

// Host is a host of a Deployment, whose daemon runs in its own process.
type Host struct {
	*Process
	deployment *Deployment
	n          int
	name       string
	ip         string
	control    bool
	folder     string
	log        *logrus.Entry

	programMu sync.Mutex
	program   string // path of the program to start
	running   string // path of the program that was started last
}

func (d *Deployment) newHost(n int) (*Host, error) {
	h := &Host{deployment: d, n: n, control: n < d.cfg.Controls, ip: d.block.IP(n), name: fmt.Sprintf("entry-%d", n), program: d.cfg.Program}
	if h.control {
		h.name = fmt.Sprintf("control-%d", n)
	}
	h.folder = filepath.Join(d.cfg.Folder, h.name)
	h.log = d.cfg.Log.WithField("host", h.name)
	h.Process = NewProcess(ProcessConfig{
		Command: h.command, RestartDelay: restartDelay, Log: h.log,
		Failed: func(err error) { d.cfg.Checker.Violationf("daemon %s cannot be started: %v", h.name, err) },
	})
	return h, os.MkdirAll(h.dataFolder(), 0o700)
}

// Name returns the name of the host.
func (h *Host) Name() string { return h.name }

// Number returns the number of the host in its deployment.
func (h *Host) Number() int { return h.n }

// IsControl reports whether the host runs a control daemon.
func (h *Host) IsControl() bool { return h.control }

// Address returns the address of the daemon for callers or operators.
func (h *Host) Address() string { return fmt.Sprintf("%s:%d", h.ip, apiPort) }

// LogFile returns the path of the file with the output of the daemon.
func (h *Host) LogFile() string { return filepath.Join(h.folder, "log") }

func (h *Host) dataFolder() string { return filepath.Join(h.folder, "data") }

// SetProgram sets the program that the next start of the daemon runs.
func (h *Host) SetProgram(path string) {
	h.programMu.Lock()
	defer h.programMu.Unlock()
	h.program = path
}

// Runs reports whether the daemon runs the program.
func (h *Host) Runs(program string) bool {
	if h.IsDown() { // before programMu, which command locks within Start
		return false
	}
	h.programMu.Lock()
	defer h.programMu.Unlock()
	return h.running == program
}

// command writes the settings file and returns the command that starts the daemon.
func (h *Host) command(first bool) (*exec.Cmd, error) {
	role := "entry"
	if h.control {
		role = "control"
	}
	var seeds []string
	for i := range min(seedCount, h.deployment.cfg.Controls) {
		seeds = append(seeds, fmt.Sprintf(`"%s:%d"`, h.deployment.block.IP(i), apiPort))
	}
	text := fmt.Sprintf(settingsTemplate, h.name, role, h.ip, h.dataFolder(), first, strings.Join(seeds, ","), internalPort, metricsPort,
		h.Address(), fmt.Sprintf("%s:%d", h.ip, readinessPort), h.Address(), Grace)
	path := filepath.Join(h.folder, "settings")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	out, err := os.OpenFile(h.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	h.programMu.Lock()
	defer h.programMu.Unlock()
	h.running = h.program
	cmd := exec.Command(h.program, "host", "--config", path)
	log := &logFile{file: out}
	cmd.Stdout, cmd.Stderr = log, log
	return cmd, nil
}

// EraseDisk simulates the loss of a killed host's disk.
func (h *Host) EraseDisk() {
	h.RecordDiskLoss()
	if err := os.RemoveAll(h.dataFolder()); err != nil {
		h.log.WithError(err).Warn("cannot remove the whole data folder of a host")
	}
	if err := os.MkdirAll(h.dataFolder(), 0o700); err != nil {
		h.deployment.cfg.Checker.Violationf("soak test cannot create a data folder: %v", err)
	}
}

// logFile takes the output of a daemon over a pipe, so that a daemon that may not write
// to files can still log.
type logFile struct {
	file *os.File
}

// Write implements io.Writer.
func (f *logFile) Write(p []byte) (int, error) { return f.file.Write(p) }

// Close implements io.Closer.
func (f *logFile) Close() error { return f.file.Close() }
