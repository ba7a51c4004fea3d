package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	program = "target/gypsumshelf"
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// memoryCheckPeriod is the period at which the platform looks at the memory of processes.
	memoryCheckPeriod = 50 * time.Millisecond
	grace             = 8 * time.Second
)

// ports are the same on all machines.
type ports struct{ front, ready, control, internal int }

// machine is a machine of the system with its process.
type machine struct {
	platform *platform
	name     string
	role     string // entry or control
	ip       string
	zone     string
	memoryMB int
	folder   string

	mu        sync.Mutex
	cmd       *exec.Cmd
	starts    int
	overLimit int // ends for memory over the limit
	peakMB    int
	stopped   bool
	wg        sync.WaitGroup
}

// platform starts the processes, writes their settings and keeps their limits of memory.
type platform struct {
	record   *record
	folder   string
	ports    ports
	machines []*machine
	network  string // the first three bytes of all addresses
	stop     chan struct{}
}

var zones = []string{"dakar-a", "thies-b", "mbour-c"}

// newPlatform returns a platform with machines that are not started yet.
func newPlatform(r *record, controls, entries, controlMB, entryMB int) (*platform, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	p := &platform{record: r, folder: folder, network: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250)), stop: make(chan struct{})}
	if p.ports, err = freePorts(p.network + "1"); err != nil {
		return nil, err
	}
	for i := range controls + entries {
		m := &machine{platform: p, ip: p.network + strconv.Itoa(i+1), zone: zones[i%len(zones)], role: "control", memoryMB: controlMB}
		if i >= controls {
			m.role, m.memoryMB = "entry", entryMB
		}
		m.name = fmt.Sprintf("%s-%d", m.role, i+1)
		m.folder = filepath.Join(folder, m.name)
		if err := os.MkdirAll(m.folder, 0o700); err != nil {
			return nil, err
		}
		p.machines = append(p.machines, m)
	}
	return p, nil
}

// freePorts returns ports that nobody listens on.
func freePorts(ip string) (ports, error) {
	for range 50 {
		base := 20000 + 10*rand.IntN(2000)
		free := true
		for i := range 5 {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(base+i)))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return ports{front: base, ready: base + 1, control: base + 2, internal: base + 3}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports at %s", ip)
}

// ofRole returns the machines of a role.
func (p *platform) ofRole(role string) []*machine {
	var machines []*machine
	for _, m := range p.machines {
		if m.role == role {
			machines = append(machines, m)
		}
	}
	return machines
}

// start starts all machines.
func (p *platform) start() error {
	for _, m := range p.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes their files.
func (p *platform) close() {
	close(p.stop)
	for _, m := range p.machines {
		m.mu.Lock()
		m.stopped = true
		m.mu.Unlock()
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
		m.wg.Wait()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(p.folder)
	}
}

// settings returns the settings of a machine, as the template of the deploy file gives them.
func (m *machine) settings() map[string]any {
	p := m.platform
	var seeds []string
	for _, s := range p.ofRole("control") {
		if len(seeds) < 3 {
			seeds = append(seeds, net.JoinHostPort(s.ip, strconv.Itoa(p.ports.control)))
		}
	}
	listen := map[string]string{"callers": "", "readiness": "", "control": ""}
	if m.role == "entry" {
		listen["callers"] = net.JoinHostPort(m.ip, strconv.Itoa(p.ports.front))
		listen["readiness"] = net.JoinHostPort(m.ip, strconv.Itoa(p.ports.ready))
	} else {
		listen["control"] = net.JoinHostPort(m.ip, strconv.Itoa(p.ports.control))
	}
	return map[string]any{
		"daemon": m.name, "role": m.role, "address": m.ip, "data-centre": m.zone, "region": "senegal-west",
		"data-folder": filepath.Join(m.folder, "data"), "first-start": m.starts == 0, "seeds": seeds, "memory-mb": m.memoryMB,
		"ports": map[string]int{"internal": p.ports.internal, "metrics": 0}, "listen": listen,
		"placement": map[string]bool{"avoid-bad-paths": true, "check-neighbours": true, "share-busy-engines": true, "protect-first-events": true, "forecast-demand": true},
		"bounds":    map[string]any{"grace": "8s", "heartbeat": "1200ms", "retry-ratio": 0.2, "retry-slack": 100, "retry-window": "10s", "free-memory": "4000ms"},
	}
}

// start starts the process of the machine.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return nil
	}
	path := filepath.Join(m.folder, "settings.json")
	data, err := json.Marshal(m.settings())
	if err == nil {
		err = os.WriteFile(path, data, 0o600)
	}
	if err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "host")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GYPSUMSHELF_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd = cmd
	m.starts++
	m.platform.record.printf("%s: process started (start %d)", m.name, m.starts)
	m.wg.Add(2)
	go m.wait(cmd, logFile)
	go m.watchMemory(cmd)
	return nil
}

// wait waits for the end of a process and starts it again.
func (m *machine) wait(cmd *exec.Cmd, logFile *os.File) {
	defer m.wg.Done()
	err := cmd.Wait()
	logFile.Close()
	m.platform.record.printf("%s: process ended: %v", m.name, err)
	m.mu.Lock()
	m.cmd = nil
	m.mu.Unlock()
	select {
	case <-m.platform.stop:
		return
	case <-time.After(restartDelay):
	}
	if err := m.start(); err != nil {
		m.platform.record.printf("%s: the process cannot be started again: %v", m.name, err)
	}
}

// watchMemory kills a process that uses more memory than it may.
func (m *machine) watchMemory(cmd *exec.Cmd) {
	defer m.wg.Done()
	for {
		select {
		case <-m.platform.stop:
			return
		case <-time.After(memoryCheckPeriod):
		}
		mb, err := residentMB(cmd.Process.Pid)
		m.mu.Lock()
		running := m.cmd == cmd
		if running && err == nil {
			m.peakMB = max(m.peakMB, mb)
			if mb > m.memoryMB {
				m.overLimit++
			}
		}
		m.mu.Unlock()
		if !running || err != nil {
			return
		}
		if mb > m.memoryMB {
			m.platform.record.printf("%s: the process uses %d MB, its limit is %d MB; the platform kills it", m.name, mb, m.memoryMB)
			m.signal(syscall.SIGKILL)
			return
		}
	}
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, fmt.Errorf("unreadable memory of process %d", pid)
	}
	pages, err := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20, err
}

// signal sends a signal to the process, if one runs.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s) // an error means that it has ended
	}
}
