package settings

import (
	"fmt"
	"strings"
)

// Fault is one error in a settings file.
type Fault struct {
	Line int    // first line is 1
	Key  string // path of the key, such as listen.callers
	Text string
}

// String returns the fault as it is printed, for example "12: listen.callers: ...".
func (f Fault) String() string { return fmt.Sprintf("%d: %s: %s", f.Line, f.Key, f.Text) }

// Faults is a list of faults in the order of their lines.
type Faults []Fault

// Error implements error.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return "settings have faults:\n" + strings.Join(lines, "\n")
}
