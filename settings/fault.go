package settings

import (
	"fmt"
	"strings"
)

// Fault is one error in a settings file.
type Fault struct {
	Line int    // counted from 1
	Key  string // path of the key, such as listen.callers
	Text string
}

// String returns the fault in the form "12: listen.callers: ...".
func (f Fault) String() string { return fmt.Sprintf("%d: %s: %s", f.Line, f.Key, f.Text) }

// Faults are all errors in a settings file, sorted by line.
type Faults []Fault

// Error implements error.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return "settings are invalid:\n" + strings.Join(lines, "\n")
}
