package soaks

import (
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// ProcessConfig configures a Process.
type ProcessConfig struct {
	// Command returns the command to start. first is true for the first start.
	Command      func(first bool) (*exec.Cmd, error)
	RestartDelay time.Duration // time after which an ended process is started again
	Failed       func(error)   // called when the process cannot be started again
	Log          *logrus.Entry
}

// Process is a daemon process that is started again whenever it ends, and that faults
// are injected into by signals.
type Process struct {
	cfg ProcessConfig

	mu         sync.Mutex
	cmd        *exec.Cmd // nil while no process runs
	starts     int
	noRestart  bool
	diskLostAt time.Time
	downAt     time.Time
	limits     map[Limit]unix.Rlimit // limits of cmd before Limit lowered them
	limitedAt  time.Time             // start or end of the last Limit
}

// NewProcess returns a Process that is not started yet.
func NewProcess(cfg ProcessConfig) *Process { return &Process{cfg: cfg} }

// Start starts the process, unless it is running or must not be restarted.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil || p.noRestart {
		return nil
	}
	cmd, err := p.cfg.Command(p.starts == 0)
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	p.limits = map[Limit]unix.Rlimit{}
	p.starts++
	s := &supervisor{process: p, cmd: cmd}
	go s.run()
	return nil
}

// supervisor waits until a process ends and restarts it.
type supervisor struct {
	process *Process
	cmd     *exec.Cmd
}

func (s *supervisor) run() {
	err := s.cmd.Wait()
	if output, ok := s.cmd.Stdout.(io.Closer); ok {
		output.Close()
	}
	p := s.process
	p.mu.Lock()
	if p.cmd == s.cmd {
		p.cmd = nil
	}
	p.downAt = time.Now()
	p.mu.Unlock()
	p.cfg.Log.WithError(err).Debug("daemon process exited")
	time.Sleep(p.cfg.RestartDelay)
	p.Restart()
}

// Restart starts the process if it is down.
func (p *Process) Restart() {
	if err := p.Start(); err != nil {
		p.cfg.Failed(err)
	}
}

func (p *Process) signal(sig os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		// An error means that the process has already exited.
		_ = p.cmd.Process.Signal(sig)
	}
}

// Kill ends the process at once.
func (p *Process) Kill() { p.signal(syscall.SIGKILL) }

// Pause suspends the process.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume ends a pause.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate asks the process to stop.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Stop asks the process to stop, and kills it after the grace period.
func (p *Process) Stop(grace time.Duration) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	// Errors mean that the process has already exited.
	_ = cmd.Process.Signal(syscall.SIGTERM)
	time.AfterFunc(grace, func() { _ = cmd.Process.Kill() })
}

// IsDown reports whether no process runs.
func (p *Process) IsDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd == nil
}

// Starts returns how often the process has been started.
func (p *Process) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// RecordDiskLoss records that the disk of the process was lost now.
func (p *Process) RecordDiskLoss() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.diskLostAt = time.Now()
}

// RecentlyUnavailable reports whether the process is down, or went down or lost its
// disk within the given time.
func (p *Process) RecentlyUnavailable(within time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd == nil || time.Since(p.diskLostAt) < within || time.Since(p.downAt) < within
}

// LostDiskRecently reports whether the process lost its disk within the given time.
func (p *Process) LostDiskRecently(within time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.diskLostAt) < within
}

// StopForGood kills the process and prevents its restart.
func (p *Process) StopForGood() {
	p.mu.Lock()
	p.noRestart = true
	p.mu.Unlock()
	p.Resume()
	p.Kill()
}
