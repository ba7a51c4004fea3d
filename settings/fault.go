package settings

import (
	"fmt"
	"strings"
)

// ValidationError is one error in a settings file.
type ValidationError struct {
	Line int    // counted from 1
	Key  string // path of the key, such as listen.callers
	Text string
}

// String returns the fault in the form "12: listen.callers: ...".
func (f ValidationError) String() string { return fmt.Sprintf("%d: %s: %s", f.Line, f.Key, f.Text) }

// ValidationErrors are all errors in a settings file, sorted by line.
type ValidationErrors []ValidationError

// Error implements error.
func (fs ValidationErrors) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return "settings are invalid:\n" + strings.Join(lines, "\n")
}
