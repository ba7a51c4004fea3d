package forwards

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"gypsumshelf.example/gypsumshelf/schedules"
)

// misdirect returns a handler that refuses requests with a condition, or all requests, as
// if they had reached the wrong server. blamed is the server that it names, none if empty.
func misdirect(all bool, blamed string, sound func(*http.Request, string, net.Conn)) func(*http.Request, string, net.Conn) {
	return func(r *http.Request, body string, conn net.Conn) {
		if !all && r.Header.Get("Condition") == "" {
			sound(r, body, conn)
			return
		}
		fmt.Fprint(conn, responseHeader(r, http.StatusMisdirectedRequest, "Not-Run: 1\r\nBlamed: "+blamed+"\r\nContent-Length: 0\r\n"))
	}
}

func (f *fixture) assertUsable(b *fakeBackend, want bool) {
	f.t.Helper()
	if _, usable := f.forwarder.cfg.Fleet.Usable(b.record.ID); usable != want {
		f.t.Errorf("%s: usable is %v, want %v", b.record.ID, usable, want)
	}
}

// Guards against a condition that a caller sets and that marks a sound backend server as
// gone until it restarts.
func TestUnmetConditionOfACaller(t *testing.T) {
	for _, test := range []struct {
		name, path, service, answer string
		sound                       func(*http.Request, string, net.Conn)
	}{
		{"plain", "/safe/", "plain", "done", respondWith(http.StatusOK, "done")},
		{"stream", "/stream/", "engines", eventText(1, 3), resumeAfterLastEvent(3)},
	} {
		for _, blamed := range []string{"b1", "", "b2"} {
			t.Run(fmt.Sprintf("%s, %q is at fault", test.name, blamed), func(t *testing.T) {
				first, second := newFakeBackend(t, "b1", test.service, misdirect(false, blamed, test.sound)), newFakeBackend(t, "b2", test.service, misdirect(false, "b2", test.sound))
				f := newStartedFixture(t, first, second)
				f.placer.engines = append(f.placer.engines, "b1", "b2")
				g := f.send("POST", test.path, "x", "Condition", "2")
				assertAnswer(t, g, http.StatusServiceUnavailable, "")
				f.assertUsable(first, true)
				f.assertUsable(second, true)
				if test.service == "engines" {
					f.assertOutcomes(schedules.Cancelled, schedules.Cancelled)
				}
				for range 2 {
					assertAnswer(t, f.send("POST", test.path, "x"), http.StatusOK, test.answer)
				}
			})
		}
	}
}

// Guards against a backend server that goes on getting requests after another one has
// answered at its address.
func TestAnotherServerAtTheAddressIsFound(t *testing.T) {
	for _, test := range []struct{ name, condition, blamed string }{
		{"without a condition", "", ""},
		{"without a condition, the server itself is at fault", "", "b1"},
		{"with a condition, an unknown server is at fault", "2", "other"},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newFakeBackend(t, "b1", "plain", misdirect(true, test.blamed, nil))
			f := newStartedFixture(t, b)
			assertAnswer(t, f.send("POST", "/safe/", "x", "Condition", test.condition), http.StatusServiceUnavailable, "")
			f.assertUsable(b, false)
		})
	}
}
