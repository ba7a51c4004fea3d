package forwards

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/schedules"
)

// answerAfter returns a handler that sends text and then a complete answer: events to a
// stream, otherwise "done".
func answerAfter(text string) func(*http.Request, string, net.Conn) {
	return func(r *http.Request, body string, conn net.Conn) {
		fmt.Fprint(conn, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			resumeAfterLastEvent(3)(r, body, conn)
			return
		}
		respondWith(http.StatusOK, "done")(r, body, conn)
	}
}

// Guards against an interim response that is taken for the answer: callers got 200 with
// an empty body, or 502, and the work of the backend server was cancelled.
func TestInterimResponsesAreSkipped(t *testing.T) {
	for name, text := range map[string]string{
		"with a seal":        "HTTP/1.1 102 Processing\r\nId: ID\r\nSeal: s\r\n\r\n",
		"without a seal":     "HTTP/1.1 102 Processing\r\n\r\n",
		"of another request": "HTTP/1.1 103 Early Hints\r\nId: other\r\nSeal: s\r\nLink: </a>\r\n\r\n",
		"with a length":      "HTTP/1.1 102 Processing\r\nContent-Length: 4\r\n\r\n",
		"go on":              "HTTP/1.1 100 Continue\r\n\r\n",
		"several":            strings.Repeat("HTTP/1.1 102 Processing\r\nId: ID\r\nSeal: s\r\n\r\n", maxInterimResponses),
	} {
		for path, body := range map[string]string{"/unsafe/": "done", "/safe/": "done", "/stream/": eventText(1, 3)} {
			t.Run(name+path, func(t *testing.T) {
				service := "plain"
				if path == "/stream/" {
					service = "engines"
				}
				b := newFakeBackend(t, "b1", service, answerAfter(text))
				f := newStartedFixture(t, b)
				assertAnswer(t, f.send("POST", path, "x"), http.StatusOK, body)
				assertCount(t, b, 1)
			})
		}
	}
}

// Guards against interim responses without an end, and against a change of the protocol
// that nobody asked for.
func TestInterimResponsesAreBounded(t *testing.T) {
	processing := "HTTP/1.1 102 Processing\r\n\r\n"
	for name, text := range map[string]string{
		"too many":           strings.Repeat(processing, maxInterimResponses+1),
		"too long":           "HTTP/1.1 102 Processing\r\nX: " + strings.Repeat("x", maxResponseHeaderBytes) + "\r\n\r\n",
		"too long together":  strings.Repeat("HTTP/1.1 102 Processing\r\nX: "+strings.Repeat("x", 8<<10)+"\r\n\r\n", 9),
		"another protocol":   "HTTP/1.1 101 Switching Protocols\r\nId: ID\r\nSeal: s\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
		"followed by a body": processing + "text",
	} {
		t.Run(name, func(t *testing.T) {
			f := newStartedFixture(t, newFakeBackend(t, "p1", "plain", answerAfter(text)))
			assertAnswer(t, f.send("POST", "/unsafe/", "x"), http.StatusBadGateway, "")
		})
		t.Run(name+", stream", func(t *testing.T) {
			f := newStartedFixture(t, newFakeBackend(t, "e1", "engines", answerAfter(text)), newFakeBackend(t, "e2", "engines", resumeAfterLastEvent(3)))
			assertAnswer(t, f.send("POST", "/stream/", "x"), http.StatusOK, eventText(1, 3))
			f.assertOutcomes(schedules.Broken, schedules.Completed)
		})
	}
	t.Run("nothing follows", func(t *testing.T) {
		f := newStartedFixture(t, newFakeBackend(t, "p1", "plain", func(_ *http.Request, _ string, conn net.Conn) { fmt.Fprint(conn, processing) }))
		began := time.Now()
		if g := f.send("POST", "/unsafe/", "x", "Wait", "300"); g.status != http.StatusGatewayTimeout || time.Since(began) > 2*time.Second {
			t.Errorf("status %d after %v, want %d after 300 ms", g.status, time.Since(began), http.StatusGatewayTimeout)
		}
	})
}
