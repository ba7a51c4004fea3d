package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validSettings = `{
  "deployment": "ostalpen",
  "daemon": "wien-1",
  "data-centre": "wien-nord",
  "region": "ostalpen",
  "data-folder": "/tmp/x",
  "listen": {
    "callers": "127.0.0.1:1",
    "backend-servers": "127.0.0.1:2",
    "peers": "127.0.0.1:3",
    "operators": "127.0.0.1:4",
    "metrics": "127.0.0.1:5"
  },
  "peers": [{"daemon": "wien-1", "address": "127.0.0.1:3", "data-centre": "wien-nord"}],
  "voters": ["wien-1"],
  "limits": {"freshness-lease": "3s"}
}`

func assertInvalid(t *testing.T, data, want string) {
	t.Helper()
	_, err := Parse([]byte(data))
	var invalid ValidationErrors
	if !errors.As(err, &invalid) {
		t.Fatalf("got error %v, want ValidationErrors", err)
	}
	for _, f := range invalid {
		if strings.HasPrefix(f.String(), want) {
			return
		}
	}
	t.Errorf("got %v, want an error that starts with %q", invalid, want)
}

// Guards against errors that are not reported, or reported at a wrong line or key.
func TestParseReportsErrors(t *testing.T) {
	if _, err := Parse([]byte(validSettings)); err != nil {
		t.Fatalf("valid settings: %v", err)
	}
	for _, c := range []struct{ name, old, replacement, want string }{
		{"unknown key", `"region"`, `"regoin": "x", "region"`, "5: regoin: unknown key"},
		{"nested unknown key", `"callers"`, `"caller": "127.0.0.1:9", "callers"`, "8: listen.caller: unknown key"},
		{"repeated key", `"region"`, `"region": "x", "region"`, "5: region: key is given twice"},
		{"host name", `"127.0.0.1:4"`, `"localhost:4"`, `11: listen.operators: "localhost:4" is not an IP address`},
		{"duplicate address", `"127.0.0.1:4"`, `"127.0.0.1:1"`, "11: listen.operators: address 127.0.0.1:1 is already used by listen.callers"},
		{"zero duration", `"3s"`, `"0s"`, "16: limits.freshness-lease: must be greater than zero"},
		{"malformed duration", `"3s"`, `"3"`, `16: limits.freshness-lease: duration "3"`},
		{"no workspace", `"voters"`, `"workspaces": [], "voters"`, "15: workspaces: is empty"},
		{"null list", `"voters"`, `"workspaces": null, "voters"`, "15: workspaces: must be an array"},
		{"null limit", `"3s"`, `null`, "16: limits.freshness-lease: is null"},
		{"wrong type", `["wien-1"]`, `"wien-1"`, "15: voters: must be an array"},
		{"unknown voter", `["wien-1"]`, `["wien-9"]`, `15: voters[0]: daemon "wien-9" is not listed in peers`},
		{"voter without a disk", `"/tmp/x"`, `""`, `15: voters[0]: daemon "wien-1" has no data-folder`},
		{"even number of voters", `["wien-1"]`, `[]`, "15: voters: has 0 daemons"},
		{"missing name", `"wien-1",`, `"",`, "3: daemon: is missing or empty"},
		{"peer address differs", `"address": "127.0.0.1:3"`, `"address": "127.0.0.1:6"`, "14: peers[0].address: is 127.0.0.1:6"},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertInvalid(t, strings.Replace(validSettings, c.old, c.replacement, 1), c.want)
		})
	}
}

// Guards against example settings files that do not pass the check.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*/*.json")
	if err != nil || len(files) != 8 {
		t.Fatalf("got %d example files and error %v, want 8: 4 hosts in each of 2 deployments", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s, err := Parse(data)
			if err != nil {
				t.Fatal(err)
			}
			if string(s.Daemon)+".json" != filepath.Base(file) || s.Deployment != filepath.Base(filepath.Dir(file)) {
				t.Errorf("file %s has daemon %s in deployment %s, want those of its path", file, s.Daemon, s.Deployment)
			}
		})
	}
}
