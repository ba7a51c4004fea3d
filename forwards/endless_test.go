package forwards

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// floodLimit ends a handler that sends without end when its client does not close
// the connection; it keeps a failing test within the memory of the machine.
const floodLimit = 64 << 20

// maxFloodBytes is the number of bytes that a daemon may take of one response that
// never ends. The kernel buffers up to 10 MB of a loopback connection.
const maxFloodBytes = 16 << 20

// flood returns a handler that sends prefix and then unit until its client closes
// the connection, and adds the number of bytes sent to taken.
func flood(prefix func(r *http.Request) string, unit string, taken *atomic.Int64) func(*http.Request, string, net.Conn) {
	block := []byte(strings.Repeat(unit, 1+(64<<10)/len(unit)))
	return func(r *http.Request, _ string, conn net.Conn) {
		fmt.Fprint(conn, prefix(r))
		for sent := 0; sent < floodLimit; {
			n, err := conn.Write(block)
			sent += n
			taken.Add(int64(n))
			if err != nil {
				return
			}
		}
	}
}

func constant(text string) func(*http.Request) string {
	return func(*http.Request) string { return text }
}

// okHeader returns a valid response header that ends with more.
func okHeader(more string) func(*http.Request) string {
	return func(r *http.Request) string { return responseHeader(r, http.StatusOK, more) }
}

// openHeader returns a valid response header without its end.
func openHeader(r *http.Request) string {
	return strings.TrimSuffix(responseHeader(r, http.StatusOK, ""), "\r\n")
}

// assertBounded checks the bytes that were taken of a response without end.
func assertBounded(t *testing.T, taken *atomic.Int64) {
	t.Helper()
	if n := taken.Load(); n > maxFloodBytes {
		t.Errorf("%d bytes of a response without end were taken, want at most %d", n, maxFloodBytes)
	}
}

// Guards against a daemon that runs out of memory because a backend server sends a
// header or an event that never ends. The request is served by another server.
func TestResponseWithoutEnd(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n"
	for _, test := range []struct {
		name   string
		prefix func(*http.Request) string
		unit   string
	}{
		{"status line", constant(""), "a"},
		{"reason", constant("HTTP/1.1 200 "), "a"},
		{"header line", openHeader, "a"},
		{"header lines", openHeader, "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"},
		{"interim responses", constant(""), "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"chunk size", okHeader(chunked), "0"},
		{"chunk extension", func(r *http.Request) string { return okHeader(chunked)(r) + "5;" }, "a"},
		{"trailer", func(r *http.Request) string { return okHeader(chunked)(r) + "0\r\n" }, "X-Filler: a\r\n"},
	} {
		for _, route := range []struct{ path, service, answer string }{
			{"/safe/", "plain", "ok"}, {"/stream/", "engines", eventText(1, 3)},
		} {
			t.Run(test.name+" of "+route.service, func(t *testing.T) {
				var taken atomic.Int64
				sound := respondWith(http.StatusOK, "ok")
				if route.service == "engines" {
					sound = resumeAfterLastEvent(3)
				}
				f := newStartedFixture(t, newFakeBackend(t, "s1", route.service, flood(test.prefix, test.unit, &taken)),
					newFakeBackend(t, "s2", route.service, sound))
				assertAnswer(t, f.send("POST", route.path, "x"), http.StatusOK, route.answer)
				assertBounded(t, &taken)
			})
		}
	}
	for _, test := range []struct{ name, unit string }{{"line of an event", "a"}, {"lines of an event", "data: a\n"}} {
		t.Run(test.name, func(t *testing.T) {
			var taken atomic.Int64
			f := newStartedFixture(t, newFakeBackend(t, "s1", "engines", flood(okHeader(""), test.unit, &taken)),
				newFakeBackend(t, "s2", "engines", resumeAfterLastEvent(3)))
			assertAnswer(t, f.send("POST", "/stream/", "x"), http.StatusOK, eventText(1, 3))
			assertBounded(t, &taken)
		})
	}
}

// Guards against bodies of many backend servers that exceed the memory of a host
// together, although each one is within its own limit.
func TestManyResponsesWithoutEnd(t *testing.T) {
	const servers = 50
	// The smallest known hosts have 284 MB; half of that is for everything else.
	const maxHeapBytes = 128 << 20
	var taken atomic.Int64
	backends := make([]*fakeBackend, 0, servers+1)
	for i := range servers {
		backends = append(backends, newFakeBackend(t, fmt.Sprintf("s%02d", i), "plain", flood(okHeader(""), "a", &taken)))
	}
	f := newStartedFixture(t, append(backends, newFakeBackend(t, "e1", "engines", resumeAfterLastEvent(3)))...)
	var peak atomic.Uint64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak.Store(max(peak.Load(), m.HeapInuse))
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	})
	var calls sync.WaitGroup
	for range servers {
		calls.Go(func() {
			if g := f.send("POST", "/unsafe/", "x"); g.err == nil && g.status == http.StatusOK {
				t.Errorf("a response without end was answered with status 200 and %d bytes", len(g.body))
			}
		})
	}
	// On a busy machine the connection to the engine can take longer than
	// connectTimeout; the refusal then says that the request has not run.
	f.placer.engines = slices.Repeat(f.placer.engines, 20)
	g := f.send("POST", "/stream/", "x")
	for range 10 {
		if g.status != http.StatusServiceUnavailable {
			break
		}
		g = f.send("POST", "/stream/", "x")
	}
	assertAnswer(t, g, http.StatusOK, eventText(1, 3))
	calls.Wait()
	close(stop)
	wg.Wait()
	if n := peak.Load(); n > maxHeapBytes {
		t.Errorf("the heap grew to %d bytes, want at most %d", n, maxHeapBytes)
	}
}
