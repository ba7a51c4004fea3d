package soaks

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Limit is a resource of which a running process gets no more.
type Limit int

// Limits of a process.
const (
	NoWrites      Limit = iota // each write to a file is refused
	NoDescriptors              // no file or connection can be opened
	limitKinds                 // number of limits
)

// String returns the kebab-case name used in logs.
func (l Limit) String() string { return [...]string{"no-writes", "no-descriptors"}[l] }

func (l Limit) resource() int {
	if l == NoWrites {
		return unix.RLIMIT_FSIZE
	}
	return unix.RLIMIT_NOFILE
}

// Limit lowers the soft limit of a resource of the running process to what it uses,
// until Lift. The hard limit stays as it is.
func (p *Process) Limit(l Limit) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	p.limitedAt = time.Now()
	var lowered unix.Rlimit
	pid := p.cmd.Process.Pid
	if err := unix.Prlimit(pid, l.resource(), nil, &lowered); err != nil {
		return ignoreEnded(err)
	}
	if _, limited := p.limits[l]; !limited {
		p.limits[l] = lowered
	}
	lowered.Cur = 0
	if l == NoDescriptors {
		// New descriptors get the lowest free number.
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if err != nil {
			return ignoreEnded(err)
		}
		lowered.Cur = uint64(len(open))
	}
	return ignoreEnded(unix.Prlimit(pid, l.resource(), &lowered, nil))
}

// Lift ends a Limit. The running process gets back the limit that it had before.
func (p *Process) Lift(l Limit) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	original, limited := p.limits[l]
	if p.cmd == nil || !limited {
		return nil
	}
	p.limitedAt = time.Now()
	delete(p.limits, l)
	return ignoreEnded(unix.Prlimit(p.cmd.Process.Pid, l.resource(), &original, nil))
}

// RecentlyLimited reports whether the process is limited, or was within the given time.
func (p *Process) RecentlyLimited(within time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.limits) > 0 || time.Since(p.limitedAt) < within
}

// ignoreEnded drops the errors that mean that the process has ended.
func ignoreEnded(err error) error {
	if errors.Is(err, unix.ESRCH) || errors.Is(err, fs.ErrNotExist) || errors.Is(err, fs.ErrPermission) {
		return nil
	}
	return err
}
