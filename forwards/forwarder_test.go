package forwards

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf/catalogs"
)

// Guards against changes to a relayed request or response, and against forwarding
// the caller's key to a backend server.
func TestRequestAndResponseUnchanged(t *testing.T) {
	var line, body string
	var header http.Header
	b := newFakeBackend(t, "s1", "plain", func(r *http.Request, text string, conn net.Conn) {
		line, body, header = r.Method+" "+r.RequestURI, text, r.Header
		respondWith(http.StatusCreated, "made")(r, text, conn)
	})
	f := newStartedFixture(t, b)
	g := f.send("POST", "/unsafe/a%2Fb?x=1&y", "the body", "Other", "kept", "Connection", "X-Hop", "X-Hop", "1", "Workspace", "forged")
	assertAnswer(t, g, http.StatusCreated, "made")
	if line != "POST /unsafe/a%2Fb?x=1&y" || body != "the body" {
		t.Errorf("backend server got %q with body %q", line, body)
	}
	for name, want := range map[string]string{"Other": "kept", "X-Hop": "", "Key": "", "Workspace": "w", "Id": "r1", "Server": "s1"} {
		if got := header.Get(name); got != want {
			t.Errorf("header %s is %q, want %q", name, got, want)
		}
	}
	if g.header.Get("Seal") != "s" {
		t.Error("the response has no Seal header")
	}
}

// Guards against repeating a request that may have run and must not run twice, and
// against a status that does not say whether the request may have run.
func TestPlainAttempts(t *testing.T) {
	broken := func(text string) func(*http.Request, string, net.Conn) {
		return func(r *http.Request, _ string, conn net.Conn) {
			fmt.Fprint(conn, strings.ReplaceAll(text, "HEAD", responseHeader(r, http.StatusOK, "")))
			resetConnection(conn)
		}
	}
	refusing := func(_ *http.Request, _ string, conn net.Conn) {
		fmt.Fprint(conn, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	}
	unframed := func(r *http.Request, _ string, conn net.Conn) {
		fmt.Fprint(conn, responseHeader(r, http.StatusOK, "")+"text")
		conn.Close()
	}
	foreign := func(r *http.Request, text string, conn net.Conn) {
		r.Header.Set("Id", "other")
		respondWith(http.StatusOK, "secret")(r, text, conn)
	}
	succeeding := func(r *http.Request, text string, conn net.Conn) { respondWith(http.StatusOK, "fine")(r, text, conn) }
	for _, test := range []struct {
		name, path string
		first      func(*http.Request, string, net.Conn)
		status     int
		body       string
		second     int // number of requests that reach the other backend server
	}{
		{"complete response", "/unsafe/", succeeding, 200, "fine", 0},
		{"response that ends with its connection", "/unsafe/", unframed, 200, "text", 0},
		{"reset, must not run twice", "/unsafe/", broken(""), 502, "", 0},
		{"reset, may run twice", "/safe/", broken(""), 200, "fine", 1},
		{"response without a length, reset", "/unsafe/", broken("HEADte"), 502, "", 0},
		{"malformed response", "/unsafe/", broken("garbage\r\n\r\n"), 502, "", 0},
		{"refused without running, one attempt", "/unsafe/", refusing, 503, "", 0},
		{"refused without running, two attempts", "/safe/", refusing, 200, "fine", 1},
		{"response to another request", "/unsafe/", foreign, 502, "", 0},
		{"5xx status of the backend server", "/unsafe/", respondWith(500, "failed"), 500, "failed", 0},
		{"5xx status, may run twice", "/safe/", respondWith(500, "failed"), 200, "fine", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			first := newFakeBackend(t, "s1", "plain", test.first)
			second := newFakeBackend(t, "s2", "plain", succeeding)
			second.record.DataCentre = "b" // chosen after the first
			f := newStartedFixture(t, first, second)
			g := f.send("POST", test.path, "x")
			assertAnswer(t, g, test.status, test.body)
			assertCount(t, first, 1)
			assertCount(t, second, test.second)
			if test.status == http.StatusServiceUnavailable && g.header.Get("Retry-After") == "" {
				t.Error("a refusal has no Retry-After header")
			}
		})
	}
}

// Guards against backend servers that continue to work after the caller has
// disconnected.
func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	b := newFakeBackend(t, "s1", "plain", func(*http.Request, string, net.Conn) {})
	f := newStartedFixture(t, b)
	client := &http.Client{Timeout: 200 * time.Millisecond}
	r, err := http.NewRequest("GET", f.server.URL+"/safe/", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "k")
	if _, err := client.Do(r); err == nil {
		t.Fatal("the backend server responded, want a timeout")
	}
	select {
	case <-b.disconnected:
	case <-time.After(10 * time.Second):
		t.Error("the connection to the backend server is still open after the caller disconnected")
	}
}

// Guards against requests that continue past their deadline or end before it.
func TestDeadlineEndsRequest(t *testing.T) {
	b := newFakeBackend(t, "s1", "plain", func(*http.Request, string, net.Conn) {})
	f := newStartedFixture(t, b)
	begin := time.Now()
	assertAnswer(t, f.send("POST", "/unsafe/", "x", "Wait", "300"), http.StatusGatewayTimeout, "")
	if took := time.Since(begin); took < 300*time.Millisecond {
		t.Errorf("the request ended after %v, want at least its deadline of 300ms", took)
	}
}

// Guards against refusing requests during the first second after a daemon's start,
// when it has no catalog yet, and against wrong statuses of refusals.
func TestAdmission(t *testing.T) {
	b := newFakeBackend(t, "s1", "plain", respondWith(http.StatusOK, "fine"))
	t.Run("waits for the first catalog", func(t *testing.T) {
		f := newFixture(t, b)
		time.AfterFunc(100*time.Millisecond, func() { f.forwarder.SetCatalog(newCatalog(t)) })
		assertAnswer(t, f.send("GET", "/safe/", ""), http.StatusOK, "fine")
	})
	t.Run("refuses when none comes", func(t *testing.T) {
		f := newFixture(t, b)
		assertAnswer(t, f.send("GET", "/safe/", ""), http.StatusServiceUnavailable, "")
	})
	f := newStartedFixture(t, b)
	assertAnswer(t, f.send("GET", "/none/", ""), http.StatusNotFound, "")
	assertAnswer(t, f.send("GET", "/safe/", "", "Key", "wrong"), http.StatusUnauthorized, "")
	f.forwarder.Drain(DrainPlan{AcceptUntil: time.Now(), BreakOff: time.Now().Add(2 * time.Second)})
	assertAnswer(t, f.send("GET", "/safe/", ""), http.StatusServiceUnavailable, "")
	assertAnswer(t, f.send("GET", "/safe/", "", "Wait", "1000"), http.StatusOK, "fine")
}

// Guards against requests with any key that run since the last workspace was taken away.
func TestNoWorkspaceLeft(t *testing.T) {
	var keys []string
	b := newFakeBackend(t, "s1", "plain", func(r *http.Request, body string, conn net.Conn) {
		keys = append(keys, r.Header["Key"]...)
		respondWith(http.StatusOK, "fine")(r, body, conn)
	})
	f := newFixture(t, b)
	route := catalogs.Route{Name: "closed", Host: "127.0.0.1", Prefix: "/closed/", Timeout: 5 * time.Second, MaxAttempts: 1, Split: []catalogs.WeightedService{{Service: "plain", Weight: 1}}}
	anonymous := route
	anonymous.Name, anonymous.Prefix, anonymous.Anonymous = "anonymous", "/anonymous/", true
	c, err := catalogs.New(catalogs.Spec{Version: 1, Routes: []catalogs.Route{route, anonymous}, Services: []catalogs.Service{{Name: "plain"}}, RequiresKeys: true})
	if err != nil {
		t.Fatal(err)
	}
	f.forwarder.SetCatalog(c)
	for _, key := range []string{"k", "other", ""} {
		t.Run(fmt.Sprintf("key %q", key), func(t *testing.T) {
			assertAnswer(t, f.send("GET", "/closed/", "", "Key", key), http.StatusUnauthorized, "")
			assertAnswer(t, f.send("GET", "/anonymous/", "", "Key", key), http.StatusOK, "fine")
		})
	}
	assertCount(t, b, 3)
	if len(keys) > 0 {
		t.Errorf("the keys %q are passed on", keys)
	}
}

// Guards against sending requests to backend servers whose callers disconnected
// while the process was paused. An entry daemon of Schriftgilde sent 128 such
// requests to engines after a pause of its host of 4 s.
func TestCallersThatLeftWhileStopped(t *testing.T) {
	b := newFakeBackend(t, "s1", "plain", respondWith(http.StatusOK, "fine"))
	f := newStartedFixture(t, b)
	f.forwarder.CheckPause(time.Now().Add(-4 * time.Second))
	for i := range 20 {
		conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "GET /safe/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: left-%d\r\nKey: k\r\n\r\n", i)
		conn.Close()
	}
	time.Sleep(10 * callerCloseWait)
	assertCount(t, b, 0)
	assertAnswer(t, f.send("GET", "/safe/", ""), http.StatusOK, "fine")
}
