package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against an account command that ends without an error although it has nothing to
// report, that does not count what it skips, or that replaces a log.
func TestAccount(t *testing.T) {
	const line = `{"msg":"request ended","outcome":"answered","route":"short","time":"2026-03-01T08:00:01Z","took-ms":5}` + "\n"
	folder := t.TempDir()
	day, empty, output := filepath.Join(folder, "day.log"), filepath.Join(folder, "empty.log"), filepath.Join(folder, "day.svg")
	for name, text := range map[string]string{day: line + "{\n", empty: "starting\n"} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		name, args, want string // in the output, on standard error or in the error
		code             int
	}{
		{"table", "--log " + day, "1 requests, the first at 2026-03-01T08:00:00.995Z", 0},
		{"skipped lines", "--log " + day, "day.log: 1 requests; skipped lines: 1 unreadable", 0},
		{"standard input", "--log - --format json", `"requests": 1`, 0},
		{"several files", "--log " + day + " --log - --log " + empty, "2 requests, the first", 0},
		{"file as output", "--log " + day + " --format svg --output " + output, "", 0},
		{"no requests", "--log " + empty, "no request lines", exitFailed},
		{"no file", "--log " + day + " --log " + day + "x", "no such file", exitFailed},
		{"folder", "--log " + folder, "directory", exitFailed},
		{"unknown format", "--log " + day + " --format xml", `"xml"`, exitFailed},
		{"no window", "--log " + day + " --window 0s", "window", exitFailed},
		{"negative window", "--log " + day + " --window -2s", "window", exitFailed},
		{"output in no folder", "--log " + day + " --output " + filepath.Join(day, "x"), "not a directory", exitFailed},
		{"log as output", "--log " + day + " --output " + day, "both as --log and as --output", exitFailed},
		{"no log", "", `"log" not set`, exitUsage},
	} {
		t.Run(c.name, func(t *testing.T) {
			text, code := runAccount(c.args, line)
			if code != c.code || !strings.Contains(text, c.want) {
				t.Errorf("exit code %d and output %q, want %d and %q", code, text, c.code, c.want)
			}
		})
	}
	if chart, err := os.ReadFile(output); err != nil || !bytes.Contains(chart, []byte("</svg>")) {
		t.Errorf("the chart is %q with error %v", chart, err)
	}
}

// runAccount returns all outputs of the command, and its exit code.
func runAccount(args, input string) (string, int) {
	var out bytes.Buffer
	cmd := newRoot()
	cmd.SetIn(strings.NewReader(input))
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(append([]string{"account"}, strings.Fields(args)...))
	if err := cmd.Execute(); err != nil {
		return out.String() + err.Error(), exitCode(err)
	}
	return out.String(), 0
}
