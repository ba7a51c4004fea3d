package forwards

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/schedules"
)

// brokenAnswer is what a backend server sends in place of a valid and complete answer.
type brokenAnswer struct {
	answer  func(r *http.Request, conn net.Conn) // before the body of the request is read
	upload  string                               // body of the request
	cause   string                               // that a log line names
	outcome schedules.Outcome                    // of the attempt
	relayed bool                                 // through another daemon
}

func (a brokenAnswer) newServer(t *testing.T, service string) *fakeBackend {
	b := newFakeBackend(t, "b1", service, nil)
	b.earlyHandler = a.answer
	return b
}

func (a brokenAnswer) newFixture(t *testing.T, backends ...*fakeBackend) *fixture {
	f := newStartedFixture(t, backends...)
	f.forwarder.cfg.Dialer = unbufferedDialer{}
	if a.relayed {
		f.relayThrough(t, backends...)
	}
	return f
}

// assertReplaced checks what callers get in place of the answer: a failure where the request
// must not run twice, otherwise the answer of another server.
func (a brokenAnswer) assertReplaced(t *testing.T) {
	t.Helper()
	t.Run("unsafe", func(t *testing.T) {
		first := a.newServer(t, "plain")
		f := a.newFixture(t, first)
		assertAnswer(t, f.send("POST", "/unsafe/", a.upload), http.StatusBadGateway, "")
		assertCount(t, first, 1)
		f.assertJudged(first)
		f.assertCauseLogged(a.cause)
	})
	t.Run("safe", func(t *testing.T) {
		first, second := a.newServer(t, "plain"), newFakeBackend(t, "b2", "plain", respondWith(http.StatusOK, "fine"))
		second.record.DataCentre = "b" // chosen after the first
		f := a.newFixture(t, first, second)
		assertAnswer(t, f.send("POST", "/safe/", a.upload), http.StatusOK, "fine")
		assertCount(t, first, 1)
		assertCount(t, second, 1)
		f.assertJudged(first)
		f.assertCauseLogged(a.cause)
	})
	t.Run("stream", func(t *testing.T) {
		first := a.newServer(t, "engines")
		f := a.newFixture(t, first, newFakeBackend(t, "b2", "engines", resumeAfterLastEvent(3)))
		assertAnswer(t, f.send("POST", "/stream/", a.upload), http.StatusOK, eventText(1, 3))
		f.assertOutcomes(a.outcome, schedules.Completed)
		f.assertJudged(first)
		f.assertCauseLogged(a.cause)
	})
}

// assertJudged checks that a backend server counts as failed.
func (f *fixture) assertJudged(b *fakeBackend) {
	f.t.Helper()
	fleet := f.forwarder.cfg.Fleet
	entry, _ := fleet.Get(b.record.ID)
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if fleet.healthOf(entry).consecutiveFailures == 0 {
		f.t.Errorf("%s does not count as failed", b.record.ID)
	}
}

// assertCauseLogged checks that the log line of an attempt names its cause. The caller can
// send nothing more.
func (f *fixture) assertCauseLogged(cause string) {
	f.t.Helper()
	f.server.Close() // ends the writes to the log
	for line := range strings.Lines(f.log.String()) {
		var entry struct{ Msg, Error string }
		if err := json.Unmarshal([]byte(line), &entry); err == nil && entry.Msg == "attempt failed" && strings.Contains(entry.Error, cause) {
			return
		}
	}
	f.t.Errorf("no log line of an attempt names the cause %q", cause)
}

const (
	sealedHead = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n"
	endOfHead  = "Content-Length: 4\r\n\r\ntext"
)

// rawAnswer returns the handler of an early answer: it sends text with the ID of the request
// in place of ID.
func rawAnswer(text string) func(*http.Request, net.Conn) {
	return func(r *http.Request, conn net.Conn) {
		fmt.Fprint(conn, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// Guards against a status that is none: the caller's connection was closed without an
// answer.
func TestStatusBelowTheLowestIsNoAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"zero":                "HTTP/1.1 000 X\r\nId: ID\r\nSeal: s\r\n" + endOfHead,
		"below 100":           "HTTP/1.1 099 X\r\nId: ID\r\nSeal: s\r\n" + endOfHead,
		"with a sign":         "HTTP/1.1 +20 X\r\nId: ID\r\nSeal: s\r\n" + endOfHead,
		"not run":             "HTTP/1.1 000 X\r\nId: ID\r\nSeal: s\r\nNot-Run: 1\r\n" + endOfHead,
		"of an interim":       "HTTP/1.1 000 X\r\n\r\n" + sealedHead + endOfHead,
		"after an interim":    "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 X\r\nId: ID\r\nSeal: s\r\n" + endOfHead,
		"without a length":    "HTTP/1.1 000 X\r\nId: ID\r\nSeal: s\r\n\r\ntext",
		"without line breaks": "HTTP/1.1 000 X\nId: ID\nSeal: s\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			brokenAnswer{answer: rawAnswer(text), upload: "x", cause: "status", outcome: schedules.Broken}.assertReplaced(t)
		})
	}
}

// Guards against names of fields that hide the length of the body, or that are passed on.
func TestMalformedFieldNameIsNoAnswer(t *testing.T) {
	for name, field := range map[string]string{
		"blank within the name":      "Other Name: x",
		"blank before the colon":     "Other : x",
		"hidden length":              "Content-Length : 2",
		"hidden chunks":              "Transfer-Encoding : chunked",
		"blank before the name":      " Other: x",
		"tab before the name":        "\tTransfer-Encoding: chunked",
		"folded line":                " more",
		"tab within the name":        "Other\tName: x",
		"control byte in the name":   "Ot\x01her: x",
		"zero byte in the name":      "Ot\x00her: x",
		"carriage return in a name":  "Ot\rher: x",
		"delete character in a name": "Other\x7f: x",
		"no name":                    ": x",
		"only a blank":               " : x",
		"no colon":                   "Other",
	} {
		for place, text := range map[string]string{
			"":                    sealedHead + field + "\r\n" + endOfHead,
			", last":              sealedHead + "Content-Length: 4\r\n" + field + "\r\n\r\ntext",
			", of a stream":       sealedHead + field + "\r\n\r\n" + eventText(1, 3),
			", of an interim":     "HTTP/1.1 102 Processing\r\nX: y\r\n" + field + "\r\n\r\n" + sealedHead + endOfHead,
			", after an interim":  "HTTP/1.1 102 Processing\r\n\r\n" + sealedHead + field + "\r\n" + endOfHead,
			", without CR":        strings.ReplaceAll(sealedHead+field+"\r\n"+endOfHead, "\r\n", "\n"),
			", of a status 500":   strings.Replace(sealedHead, "200 OK", "500 X", 1) + field + "\r\n" + endOfHead,
			", of a not run head": "HTTP/1.1 503 X\r\nNot-Run: 1\r\n" + field + "\r\n" + endOfHead,
		} {
			t.Run(name+place, func(t *testing.T) {
				brokenAnswer{answer: rawAnswer(text), upload: "x", cause: "malformed", outcome: schedules.Broken}.assertReplaced(t)
			})
		}
	}
}

// uploads are bodies of requests that a write to the kernel takes at once, partly, or not
// before the backend server reads.
var uploads = map[string]string{
	"short upload": "x", "upload of 64 KB": strings.Repeat("x", 64<<10), longUploadSize: strings.Repeat("x", defaultBodyLimit-1),
}

const longUploadSize = "long upload"

// earlyEnd returns the handler of a backend server that reads none of the body, sends text and
// then ends the connection.
func earlyEnd(text string, end func(net.Conn)) func(*http.Request, net.Conn) {
	return func(r *http.Request, conn net.Conn) {
		_ = conn.(*net.TCPConn).SetReadBuffer(readBufferBytes)
		fmt.Fprint(conn, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		end(conn)
	}
}

// lostEnd is a way in which a backend server gives up a connection.
type lostEnd struct {
	end func(net.Conn)
	// longOnly is set if the end is regular for a request that is written by then.
	longOnly bool
}

var lostEnds = map[string]lostEnd{
	"reset":                         {resetConnection, false},
	"reset after a pause":           {func(conn net.Conn) { time.Sleep(resetPause); resetConnection(conn) }, false},
	"closed with unread bytes":      {func(net.Conn) {}, true},
	"reset after a half-close":      {func(conn net.Conn) { halfClose(conn); resetConnection(conn) }, true},
	"reset long after a half-close": {func(conn net.Conn) { halfClose(conn); time.Sleep(resetPause); resetConnection(conn) }, true},
}

// resetPause is a time in which the write of a long request blocks.
const resetPause = 20 * time.Millisecond

func halfClose(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() }

// Guards against a part of an answer that is taken for the whole one, since the write of the
// request gets the report of the reset and the end of the connection looks regular.
func TestResetAnswerIsIncomplete(t *testing.T) {
	for end, lost := range lostEnds {
		for size, upload := range uploads {
			if lost.longOnly && size != longUploadSize {
				continue
			}
			for moment, text := range map[string]string{
				"after the head": sealedHead + "\r\n", "in the body": sealedHead + "\r\n" + eventText(1, 2),
				"after the body": sealedHead + "\r\n" + eventText(1, 3), "after an interim": "HTTP/1.1 102 Processing\r\n\r\n",
				"in a body with a length": sealedHead + "Content-Length: 1000\r\n\r\n" + eventText(1, 2),
				"in a chunked body":       sealedHead + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(eventText(1, 2)), eventText(1, 2)),
			} {
				for way, relayed := range map[string]bool{"direct": false, "relayed": true} {
					t.Run(fmt.Sprintf("%s %s, %s, %s", end, moment, size, way), func(t *testing.T) {
						brokenAnswer{answer: earlyEnd(text, lost.end), upload: upload, cause: "reset", outcome: schedules.Lost, relayed: relayed}.assertReplaced(t)
					})
				}
			}
		}
	}
}

// Guards against a sound answer that is lost because it comes before the upload has been read.
func TestEarlyAnswerIsKept(t *testing.T) {
	const pause = 20 * time.Millisecond
	events := eventText(1, 3)
	for framing, text := range map[string]string{
		"no length": sealedHead + "\r\n" + events, "length": sealedHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(events)) + events,
		"chunked": sealedHead + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(events), events),
	} {
		for size, upload := range uploads {
			for end, closeWrite := range map[string]bool{"closes after the upload": false, "closes its side before": true} {
				for path, relayed := range map[string]bool{"/unsafe/": false, "/safe/": true, "/stream/": false, "/stream/relayed": true} {
					t.Run(fmt.Sprintf("%s, %s, %s, %s, relayed %v", framing, size, end, path, relayed), func(t *testing.T) {
						service := "plain"
						if strings.HasPrefix(path, "/stream/") {
							service = "engines"
						}
						b := newFakeBackend(t, "b1", service, nil)
						b.earlyHandler = func(r *http.Request, conn net.Conn) {
							fmt.Fprint(conn, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
							if closeWrite {
								halfClose(conn)
							}
							time.Sleep(pause)
							_, _ = io.Copy(io.Discard, r.Body)
						}
						f := newStartedFixture(t, b)
						if relayed {
							f.relayThrough(t, b)
						}
						assertAnswer(t, f.send("POST", path, upload), http.StatusOK, events)
						assertCount(t, b, 1)
					})
				}
			}
		}
	}
}

// Guards against a broken answer to a check that counts as the word of another server, so that
// the request counts as one that crashes servers.
func TestBrokenAnswerToACheckIsNoEvidence(t *testing.T) {
	for name, test := range map[string]struct {
		text    string
		crashed bool
	}{
		"control: another start answers": {"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", true},
		"blank in the name of a field":   {"HTTP/1.1 421 X\r\nOther Name: x\r\nContent-Length: 0\r\n\r\n", false},
		"after an interim":               {"HTTP/1.1 000 X\r\n\r\nHTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", false},
		"status zero":                    {"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int64
			b := newFakeBackend(t, "b1", "plain", nil)
			b.earlyHandler = func(r *http.Request, conn net.Conn) {
				if requests.Add(1) == 1 {
					resetConnection(conn)
					return
				}
				rawAnswer(test.text)(r, conn)
			}
			f := newStartedFixture(t, b)
			recorder := &crashRecorder{}
			f.forwarder.cfg.Crashes = recorder
			assertAnswer(t, f.send("POST", "/unsafe/x", "body"), http.StatusBadGateway, "")
			time.Sleep(probeTimeout + 200*time.Millisecond)
			if reports, _ := recorder.count(); (reports > 0) != test.crashed || requests.Load() < 2 {
				t.Errorf("%d crashes reported after %d requests, want any: %v", reports, requests.Load(), test.crashed)
			}
		})
	}
}
