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

// String returns the error in the form "12: listen.callers: ...".
func (e ValidationError) String() string { return fmt.Sprintf("%d: %s: %s", e.Line, e.Key, e.Text) }

// ValidationErrors are all errors in a settings file, sorted by line.
type ValidationErrors []ValidationError

// Error implements error.
func (es ValidationErrors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.String()
	}
	return "settings are invalid:\n" + strings.Join(lines, "\n")
}
