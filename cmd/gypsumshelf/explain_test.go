package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against an explain command that needs a running daemon: after an
// outage, the engineer on call may have only the log files.
func TestExplainFromLogFiles(t *testing.T) {
	name := filepath.Join(t.TempDir(), "entry.log")
	log := `{"daemon":"entry-1","msg":"request placed","request-id":"r1","backend-server":"s1","time":"2026-03-01T08:00:00Z"}
{"daemon":"entry-1","msg":"request ended","request-id":"r1","outcome":"answered","time":"2026-03-01T08:00:01Z"}
`
	if err := os.WriteFile(name, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name string
		args []string
		want string // in the output, or in the error
		fail bool
	}{
		{"log file only", []string{"--log", name, "r1"}, "request ended", false},
		{"neither log nor server", []string{"r1"}, "[server log]", true},
		{"both", []string{"--log", name, "--server", "127.0.0.1:1", "r1"}, "[server log]", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			cmd := newRoot()
			cmd.SetOut(&out)
			cmd.SetErr(&out)
			cmd.SetArgs(append([]string{"explain"}, test.args...))
			err := cmd.Execute()
			if (err != nil) != test.fail {
				t.Fatalf("error is %v: %s", err, out.String())
			}
			text := out.String()
			if err != nil {
				text += err.Error()
			}
			if !strings.Contains(text, test.want) {
				t.Errorf("output %q does not have %q", text, test.want)
			}
		})
	}
}
