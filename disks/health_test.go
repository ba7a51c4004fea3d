package disks

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"
)

// Guards against a full disk that looks like any other fault of a disk.
func TestFailuresAreToldApart(t *testing.T) {
	for _, test := range []struct {
		err       error
		cause     Cause
		operation string
	}{
		{&fs.PathError{Op: "write", Path: "log-1", Err: syscall.ENOSPC}, CauseFull, "write"},
		{fmt.Errorf("write to data folder: %w", &fs.PathError{Op: "write", Err: syscall.EDQUOT}), CauseFull, "write"},
		{errors.Join(&fs.PathError{Op: "write", Err: syscall.EFBIG}, errors.New("close")), CauseFull, "write"},
		{&fs.PathError{Op: "open", Err: syscall.EMFILE}, CauseDescriptors, "open"},
		{&fs.PathError{Op: "sync", Err: syscall.EIO}, CauseOther, "sync"},
		{&os.LinkError{Op: "rename", Err: syscall.ENOSPC}, CauseFull, "rename"},
		{errors.New("unknown"), CauseOther, ""},
	} {
		if c, op := CauseOf(test.err), operation(test.err); c != test.cause || op != test.operation {
			t.Errorf("%v: cause %s, operation %q, want %s and %q", test.err, c, op, test.cause, test.operation)
		}
	}
}

// Guards against a failed folder that leaves no trace of its cause and duration.
func TestFailureAndReturnAreLogged(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	h := NewHealth(logrus.NewEntry(log))
	h.RecordService()
	if !h.Serves() || out.Len() > 0 {
		t.Fatalf("a folder that was just opened: serves %t, log %s", h.Serves(), &out)
	}
	h.RecordFailure(&fs.PathError{Op: "write", Path: "log-1", Err: syscall.ENOSPC})
	h.RecordFailure(&fs.PathError{Op: "open", Path: "log-1", Err: syscall.ENOSPC})
	if h.Serves() || h.Failures(CauseFull) != 2 || h.Failures(CauseOther) != 0 {
		t.Errorf("serves %t, %d failures of a full disk, %d others; want false, 2 and 0", h.Serves(), h.Failures(CauseFull), h.Failures(CauseOther))
	}
	h.RecordFailure(&fs.PathError{Op: "sync", Path: "log-1", Err: syscall.EIO})
	h.RecordService()
	var lines []map[string]any
	for d := json.NewDecoder(&out); d.More(); {
		var line map[string]any
		if err := d.Decode(&line); err != nil {
			t.Fatal(err)
		}
		lines = append(lines, line)
	}
	if len(lines) != 3 || lines[0]["cause"] != "full" || lines[0]["operation"] != "write" || lines[0]["level"] != "error" ||
		lines[1]["cause"] != "other" || lines[2]["out-ms"] == nil {
		t.Errorf("lines %v, want one of the failure, one of another cause and one of the return with the duration", lines)
	}
	if !h.Serves() {
		t.Error("the folder does not serve after its return")
	}
}
