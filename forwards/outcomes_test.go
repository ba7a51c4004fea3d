package forwards

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// requestEndedFields are the fields of every "request ended" log line,
// streamEndedFields the additional ones of a placed stream. docs/OPERATIONS.md
// lists them.
var (
	requestEndedFields = []string{
		"request-id", "route", "service", "outcome", "status", "cause", "attempts", "tried", "verdict", "took-ms",
		"catalog-version", "prompt-tokens", "last-event", "level", "time",
	}
	streamEndedFields = []string{
		"waited-ms", "waiting", "predicted-first-ms", "seen-first-ms", "first-ms", "target-ms", "gap-ms", "gap-event", "gap-target-ms",
	}
)

// logLines returns the log lines with the message msg by request ID. The server must
// be closed.
func (f *fixture) logLines(msg string) map[string]map[string]any {
	f.t.Helper()
	found := map[string]map[string]any{}
	for line := range strings.Lines(f.log.String()) {
		fields := map[string]any{}
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			f.t.Fatalf("line %q: %v", line, err)
		}
		if fields["msg"] == msg {
			found[fmt.Sprint(fields["request-id"])] = fields
		}
	}
	return found
}

// counterSamples returns the samples of a counter by their labels.
func (f *fixture) counterSamples(name string) map[string]string {
	f.t.Helper()
	w := httptest.NewRecorder()
	f.metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	samples := map[string]string{}
	for line := range strings.Lines(w.Body.String()) {
		if labels, value, ok := strings.Cut(strings.TrimPrefix(line, name), "} "); ok && strings.HasPrefix(line, name+"{") {
			samples[strings.TrimPrefix(labels, "{")] = strings.TrimSpace(value)
		}
	}
	return samples
}

func assertFields(t *testing.T, line map[string]any, names ...string) {
	t.Helper()
	for _, name := range names {
		if _, ok := line[name]; !ok {
			t.Errorf("log line of request %s has no field %s: %v", line["request-id"], name, line)
		}
	}
}

// Guards against a request whose end is not logged, whose log line lacks a
// documented field, or whose metrics differ from its log line.
func TestEveryOutcomeIsLoggedAndCounted(t *testing.T) {
	broken := func(_ *http.Request, _ string, conn net.Conn) { resetConnection(conn) }
	stream := func(r *http.Request, _ string, conn net.Conn) { writeEvents(r, conn, 1, 3); endChunkedBody(conn) }
	half := func(r *http.Request, _ string, conn net.Conn) { writeEvents(r, conn, 1, 3); resetConnection(conn) }
	endless := func(r *http.Request, _ string, conn net.Conn) { writeEvents(r, conn, 1, 3) }
	for _, test := range []struct {
		name, path string
		handler    func(*http.Request, string, net.Conn)
		header     []string
		outcome    string
		status     int
		stream     bool
	}{
		{"complete response", "/safe/", respondWith(http.StatusOK, "fine"), nil, outcomeAnswered, http.StatusOK, false},
		{"stream", "/stream/", stream, nil, outcomeAnswered, http.StatusOK, true},
		{"no route", "/nowhere/", nil, nil, outcomeRefused, http.StatusNotFound, false},
		{"unknown key", "/safe/", nil, []string{"Key", "other"}, outcomeRefused, http.StatusUnauthorized, false},
		{"no engine free", "/stream/", nil, nil, outcomeRefused, http.StatusServiceUnavailable, false},
		{"reset", "/unsafe/", broken, nil, outcomeFailed, http.StatusBadGateway, false},
		{"deadline exceeded", "/unsafe/", func(*http.Request, string, net.Conn) {}, []string{"Wait", "60"}, outcomeFailed, http.StatusGatewayTimeout, false},
		{"stream broken off", "/stream/", half, nil, outcomeBrokenOff, http.StatusOK, true},
		{"caller gone", "/stream/", endless, nil, outcomeCallerGone, http.StatusOK, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var backends []*fakeBackend
			if test.handler != nil {
				backends = append(backends, newFakeBackend(t, "s1", map[bool]string{true: "engines", false: "plain"}[test.stream], test.handler))
			}
			f := newStartedFixture(t, backends...)
			if test.outcome == outcomeCallerGone {
				f.leaveAfterFirstEvent(test.path)
			} else {
				f.send("POST", test.path, "x", test.header...)
			}
			f.server.Close() // waits for the end of the request
			line := f.logLines("request ended")["r1"]
			if line["outcome"] != test.outcome || line["status"] != float64(test.status) {
				t.Fatalf("outcome %v with status %v, want %s with %d: %v", line["outcome"], line["status"], test.outcome, test.status, line)
			}
			assertFields(t, line, requestEndedFields...)
			if test.stream {
				assertFields(t, line, streamEndedFields...)
				assertFields(t, f.logLines("request placed")["r1"], "backend-server", "helpers", "holds", "avoid", "scheduler", "waited-ms", "waiting", "predicted-first-ms")
			}
			if test.outcome == outcomeFailed || test.outcome == outcomeBrokenOff {
				assertFields(t, f.logLines("attempt failed")["r1"], "backend-server", "outcome", "error", "sent", "last-event", "after-ms")
			}
			samples := f.counterSamples("gypsumshelf_forwarded_requests_total")
			want := fmt.Sprintf(`outcome="%s",service="%s",status="%d"`, test.outcome, line["service"], test.status)
			if len(samples) != 1 || samples[want] != "1" {
				t.Errorf("counter samples are %v, want 1 for %s", samples, want)
			}
		})
	}
}

// leaveAfterFirstEvent sends a request and closes its connection after the start of
// the response.
func (f *fixture) leaveAfterFirstEvent(path string) {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\nContent-Length: 1\r\n\r\nx", path)
	if _, err := readEvent(bufio.NewReader(conn)); err != nil {
		f.t.Fatal(err)
	}
	conn.Close()
	for deadline := time.Now().Add(10 * time.Second); f.forwarder.ActiveRequests() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatal("the request is still active after its caller disconnected")
		}
	}
}

// Guards against requests that the stop of the daemon ends, and whose log line says that
// their callers have left.
func TestEndsByAStopAreNotTakenForLeavingCallers(t *testing.T) {
	endless := func(r *http.Request, _ string, conn net.Conn) { writeEvents(r, conn, 1, 3) }
	silent := func(*http.Request, string, net.Conn) {}
	for _, test := range []struct {
		name, path, service string
		handler             func(*http.Request, string, net.Conn)
		phase               phase
		outcome             string
	}{
		{"stream", "/stream/", "engines", endless, phaseStreaming, outcomeBrokenOff},
		{"before its first event", "/stream/", "engines", silent, phaseAwaiting, outcomeFailed},
		{"before its answer", "/unsafe/", "plain", silent, phaseAwaiting, outcomeFailed},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newStartedFixture(t, newFakeBackend(t, "s1", test.service, test.handler))
			time.AfterFunc(300*time.Millisecond, f.forwarder.EndRequests)
			f.send("POST", test.path, "x")
			f.server.Close() // waits for the end of the request
			line := f.logLines("request ended")["r1"]
			if line["outcome"] != test.outcome || line["ended-by"] != string(endedByStop) || line["phase"] != string(test.phase) {
				t.Errorf("outcome %v, ended by %v while %v, want %s by the stop while %s", line["outcome"], line["ended-by"], line["phase"], test.outcome, test.phase)
			}
			want := fmt.Sprintf(`outcome="%s",phase="%s",service="%s"`, test.outcome, test.phase, test.service)
			if samples := f.counterSamples("gypsumshelf_forwarded_stopped_requests_total"); samples[want] != "1" {
				t.Errorf("counter samples are %v, want 1 for %s", samples, want)
			}
		})
	}
	t.Run("caller that leaves", func(t *testing.T) {
		f := newStartedFixture(t, newFakeBackend(t, "s1", "engines", endless))
		f.leaveAfterFirstEvent("/stream/")
		f.server.Close()
		if line := f.logLines("request ended")["r1"]; line["ended-by"] != string(endedByCaller) {
			t.Errorf("ended by %v, want the caller", line["ended-by"])
		}
	})
}
