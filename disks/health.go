package disks

import (
	"errors"
	"io/fs"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// Cause is the kind of an error of a data folder.
type Cause string

// Causes of errors.
const (
	CauseFull        Cause = "full"        // the disk, a quota or a file size limit is exhausted
	CauseDescriptors Cause = "descriptors" // the process or the host has no file descriptor left
	CauseOther       Cause = "other"
)

// Causes returns all causes.
func Causes() []Cause { return []Cause{CauseFull, CauseDescriptors, CauseOther} }

// CauseOf returns the cause of an error.
func CauseOf(err error) Cause {
	switch {
	case isAny(err, syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG):
		return CauseFull
	case isAny(err, syscall.EMFILE, syscall.ENFILE):
		return CauseDescriptors
	}
	return CauseOther
}

func isAny(err error, targets ...syscall.Errno) bool {
	for _, target := range targets {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// operation returns the file operation that failed, such as "write" or "sync", or
// "" if the error has none.
func operation(err error) string {
	var pathError *fs.PathError
	var linkError *os.LinkError
	switch {
	case errors.As(err, &pathError):
		return pathError.Op
	case errors.As(err, &linkError):
		return linkError.Op
	}
	return ""
}

// Health tracks whether the data folder of a daemon serves. It logs each change and
// counts the failures.
type Health struct {
	log *logrus.Entry

	mu        sync.Mutex
	failedAt  time.Time // zero while the folder serves
	lastCause Cause     // of the last failure
	failures  map[Cause]int
}

// NewHealth returns the Health of a folder that serves.
func NewHealth(log *logrus.Entry) *Health {
	return &Health{log: log, failures: map[Cause]int{}}
}

// RecordFailure records an error that ended the service of the folder, or that kept it
// from serving again.
func (h *Health) RecordFailure(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	cause := CauseOf(err)
	h.failures[cause]++
	log := h.log.WithError(err).WithFields(logrus.Fields{"cause": cause, "operation": operation(err)})
	switch {
	case h.failedAt.IsZero():
		h.failedAt = time.Now()
		log.Error("the data folder accepts no writes; the daemon takes no part in the replicated log")
	case cause != h.lastCause:
		log.Warn("the data folder still accepts no writes, for another cause")
	default:
		log.Debug("the data folder still accepts no writes")
	}
	h.lastCause = cause
}

// RecordService records that the folder was opened and accepts writes.
func (h *Health) RecordService() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failedAt.IsZero() {
		return
	}
	h.log.WithField("out-ms", time.Since(h.failedAt).Milliseconds()).Warn("the data folder serves again")
	h.failedAt = time.Time{}
}

// Serves reports whether the folder accepts writes, as far as is known.
func (h *Health) Serves() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failedAt.IsZero()
}

// Failures returns the number of recorded failures of a cause.
func (h *Health) Failures(c Cause) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures[c]
}
