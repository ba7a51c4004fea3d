package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against commands that give up at a control daemon which cannot serve them, and
// that hide a refusal.
func TestQuarantineCommands(t *testing.T) {
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "no leader", http.StatusServiceUnavailable)
	}))
	defer busy.Close()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /quarantines", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`[{"cause":"request:aa","until":"2026-01-02T03:04:05Z"}]`))
	})
	mux.HandleFunc("DELETE /quarantines/request:aa", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	control := httptest.NewServer(mux)
	defer control.Close()
	for _, c := range []struct {
		name, args, want string
		fails            bool
	}{
		{name: "list", args: "list", want: "request:aa  until 2026-01-02T03:04:05Z\n"},
		{name: "lift", args: "lift request:aa"},
		{name: "lift what is not there", args: "lift request:bb", fails: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			cmd := newQuarantines()
			var out bytes.Buffer
			cmd.SetOut(&out)
			cmd.SetErr(&bytes.Buffer{})
			cmd.SilenceUsage = true // as the root command has it
			addresses := strings.TrimPrefix(busy.URL, "http://") + "," + strings.TrimPrefix(control.URL, "http://")
			cmd.SetArgs(append(strings.Fields(c.args), "--control", addresses))
			if err := cmd.Execute(); (err != nil) != c.fails || out.String() != c.want {
				t.Errorf("output %q with error %v, want %q", out.String(), err, c.want)
			}
		})
	}
}
