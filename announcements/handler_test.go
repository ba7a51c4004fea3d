package announcements

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/servers"
)

const validBody = `{"backend-server": "fk-01", "incarnation": "i1", "address": "127.0.0.1:9001",
	"data-centre": "wien-nord", "service": "federkiel", "kind": "engine", "models": ["quill"],
	"memory-tokens": 400000, "state": "ready", "load": {"running": 2}, "future-field": 1}`

func post(body string) (status int, text string, events []gypsumshelf.Event) {
	h := New(Config{
		Submit:          func(ev gypsumshelf.Event) { events = append(events, ev) },
		AllowedNetworks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
	})
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/announce", strings.NewReader(body)))
	return w.Code, w.Body.String(), events
}

// Guards against an invalid announcement that reaches the table of backend servers,
// and against rejection of fields that a later version adds.
func TestAnnounce(t *testing.T) {
	for _, c := range []struct {
		name, old, replacement string
		status                 int
		text                   string
	}{
		{"valid with an unknown field", "", "", http.StatusNoContent, ""},
		{"outside the allowed networks", "127.0.0.1:9001", "10.1.1.1:9001", http.StatusBadRequest, "outside the allowed networks"},
		{"host name", "127.0.0.1:9001", "localhost:9001", http.StatusBadRequest, "want IP:PORT"},
		{"no incarnation", `"i1"`, `""`, http.StatusBadRequest, `"incarnation" is missing`},
		{"unknown state", `"ready"`, `"well"`, http.StatusBadRequest, `unknown value "well"`},
		{"unknown kind", `"engine"`, `"motor"`, http.StatusBadRequest, `"kind" is "motor"`},
		{"negative load", `"running": 2`, `"running": -2`, http.StatusBadRequest, "negative"},
		{"malformed", "{", "{{", http.StatusBadRequest, "not valid JSON"},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, text, events := post(strings.Replace(validBody, c.old, c.replacement, 1))
			if status != c.status || !strings.Contains(text, c.text) {
				t.Errorf("got %d %q, want %d with %q", status, text, c.status, c.text)
			}
			if accepted := len(events) == 1; accepted != (c.status == http.StatusNoContent) {
				t.Errorf("got %d events at status %d", len(events), status)
			}
		})
	}
}

// Guards against input that makes the handler panic, or that passes its checks
// without a field that the reducer requires.
func FuzzAnnounce(f *testing.F) {
	f.Add([]byte(validBody))
	f.Add([]byte(`{"load": null, "models": [null], "address": "[::1]:1"}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		_, _, events := post(string(body))
		for _, ev := range events {
			a := ev.(servers.Announced).Announcement
			if a.Server == "" || a.Incarnation == "" || a.DataCentre == "" {
				t.Errorf("accepted %+v", a)
			}
			if _, err := json.Marshal(a); err != nil {
				t.Errorf("accepted announcement cannot be forwarded: %v", err)
			}
			if !bytes.Contains(body, []byte("{")) {
				t.Errorf("accepted a body without an object: %q", body)
			}
		}
	})
}
