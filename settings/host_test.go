package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// templateFields returns the values that the platform fills into the settings
// template.
func templateFields(role string, more map[string]any) map[string]any {
	f := map[string]any{
		"node": role + "-1", "ip": "10.1.0.40", "zone": "wien-nord", "region": "ostalpen",
		"internalPorts": []any{7340, 7355}, "seeds": []any{"10.1.0.42:8229", "10.2.0.30:8229", "10.3.0.20:8229"},
		"limits":    map[string]any{"memoryMb": 544, "diskMb": 128},
		"bootstrap": true, "heartbeatMs": 1200,
		"bounds": map[string]any{"graceS": 8, "retryBudgetRatio": 0.2, "budgetSlack": 106, "budgetWindowS": 10, "freeMs": 4000},
	}
	for k, v := range more {
		f[k] = v
	}
	return f
}

func lookUp(f map[string]any, path string) any {
	var v any = f
	for name := range strings.SplitSeq(path, ".") {
		switch x := v.(type) {
		case map[string]any:
			v = x[name]
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i >= len(x) {
				return nil
			}
			v = x[i]
		default:
			return nil
		}
	}
	return v
}

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{([#^])([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render implements the part of the platform's template language that the settings
// template uses.
func render(t *testing.T, text string, f map[string]any) []byte {
	t.Helper()
	text = sectionPattern.ReplaceAllStringFunc(text, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		if (lookUp(f, m[2]) != nil) == (m[1] == "#") {
			return m[3]
		}
		return ""
	})
	return []byte(placeholderPattern.ReplaceAllStringFunc(text, func(s string) string {
		m := placeholderPattern.FindStringSubmatch(s)
		v := lookUp(f, m[1])
		if m[2] == "" {
			if v == nil {
				return ""
			}
			return fmt.Sprint(v)
		}
		data, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	}))
}

// Guards against a settings template that renders to invalid settings.
func TestTemplateYieldsHostSettings(t *testing.T) {
	template, err := os.ReadFile("../deploy/settings.hujson.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	entry := templateFields("front", map[string]any{"listen": map[string]any{"front": "10.1.0.40:8227", "ready": "10.1.0.40:8220"}})
	control := templateFields("core", map[string]any{"listen": map[string]any{"control": "10.1.0.42:8229"}, "dataDir": "/data/control"})
	for _, test := range []struct {
		role   string
		fields map[string]any
	}{{RoleEntry, entry}, {RoleControl, control}} {
		t.Run(test.role, func(t *testing.T) {
			h, err := ParseHost(render(t, string(template), test.fields))
			if err != nil {
				t.Fatal(err)
			}
			if h.Bounds.FreeMemory != Duration(4*time.Second) {
				t.Errorf("memory must be free after %v, want 4s", time.Duration(h.Bounds.FreeMemory))
			}
			if h.MemoryBytes() != 544<<20 {
				t.Errorf("memory is %d bytes, want 544 MB", h.MemoryBytes())
			}
			if h.DiskMB != 0 {
				t.Error("the template has disk-mb, a key that the build before refuses while both run")
			}
			if len(h.DataCentres) != 0 {
				t.Error("the template has data-centres, a key that the build before refuses while both run")
			}
			if h.Role != test.role || h.Bounds.Grace != Duration(8*time.Second) || !h.FirstStart || h.Bounds.Heartbeat != Duration(1200*time.Millisecond) {
				t.Errorf("settings are %+v", h)
			}
			if got := h.SeedDirectories(); len(got) != 3 || got[0] != "10.1.0.42:7341" {
				t.Errorf("directories are %v, want 3 starting with 10.1.0.42:7341", got)
			}
		})
	}
}

// Guards against invalid settings that are accepted, or reported at a wrong key.
func TestHostFaultsNameTheirKeys(t *testing.T) {
	const good = `{"daemon":"c1","role":"control","address":"10.0.0.1","data-centre":"a","data-folder":"/d","seeds":["10.0.0.1:1"],
"ports":{"internal":7340},"listen":{"control":"10.0.0.1:2"},"bounds":{"grace":"8s","heartbeat":"1s","retry-window":"10s"}}`
	if _, err := ParseHost([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ key, old, replacement string }{
		{"role", `"control","address"`, `"other","address"`},
		{"data-folder", `"/d"`, `""`},
		{"seeds", `["10.0.0.1:1"]`, `[]`},
		{"listen.control", `"10.0.0.1:2"`, `"host:2"`},
		{"memory-mb", `"data-folder"`, `"memory-mb":-1,"data-folder"`},
		{"disk-mb", `"data-folder"`, `"disk-mb":-1,"data-folder"`},
		{"bounds.grace", `"8s"`, `"0s"`},
		{"daemonn", `"daemon"`, `"daemonn"`},
		{"data-centres", `"data-folder"`, `"data-centres":["a"],"data-folder"`},
		{"data-centres", `"data-folder"`, `"data-centres":{},"data-folder"`},
		{"data-centres", `"data-folder"`, `"data-centres":null,"data-folder"`},
		{"memory-mb", `"data-folder"`, `"memory-mb":null,"data-folder"`},
	} {
		_, err := ParseHost([]byte(strings.Replace(good, c.old, c.replacement, 1)))
		var invalid ValidationErrors
		if !errors.As(err, &invalid) || invalid[0].Key != c.key {
			t.Errorf("got error %v, want an error of key %s after the change to %s", err, c.key, c.replacement)
		}
	}
}

// Guards against changes of the settings file that are not detected without a
// signal.
func TestWatchNoticesChanges(t *testing.T) {
	path := t.TempDir() + "/settings"
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("one")
	w := NewWatcher(path)
	if w.Changed() {
		t.Error("Changed returned true for an unchanged file")
	}
	write("three")
	if !w.Changed() || w.Changed() {
		t.Error("Changed did not report a change exactly once")
	}
	w.Retry()
	if !w.Changed() || w.Changed() {
		t.Error("Changed did not report a change that could not be loaded exactly once again")
	}
}

// Guards against a size of the disk that is read and not used.
func TestSizeOfTheDisk(t *testing.T) {
	if got := (Host{DiskMB: 128}).DiskBytes(); got != 128<<20 {
		t.Errorf("the disk has %d bytes, want 128 MB", got)
	}
}
