package forwards

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// dialCaller opens a connection as a caller does.
func (f *fixture) dialCaller() net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { conn.Close() })
	return conn
}

// Guards against a caller whose body never arrives, or drips, and that holds a request
// for ever.
func TestBodyThatDripsIsRefused(t *testing.T) {
	b := newFakeBackend(t, "p1", "plain", respondWith(http.StatusOK, "ok"))
	f := newStartedFixture(t, b)
	conn := f.dialCaller()
	const wait = time.Second
	begin := time.Now()
	fmt.Fprintf(conn, "POST /safe/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\nWait: %d\r\nContent-Length: 1000\r\n\r\n", wait.Milliseconds())
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			if _, err := conn.Write([]byte("a")); err != nil {
				return
			}
		}
	}()
	if err := conn.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusRequestTimeout {
		t.Errorf("got %v with error %v, want status %d", response, err, http.StatusRequestTimeout)
	}
	if took := time.Since(begin); took > wait+time.Second {
		t.Errorf("the request was held for %v, want at most %v", took, wait+time.Second)
	}
	assertCount(t, b, 0)
}

// Guards against a caller that never reads its answer and holds the request, with the
// slot and the memory of its engine, for ever.
func TestAnswerThatIsNeverRead(t *testing.T) {
	long := strings.Repeat("data: "+strings.Repeat("x", 100<<10)+"\n", 2)
	f := newStartedFixture(t, newFakeBackend(t, "e1", "engines", func(r *http.Request, _ string, conn net.Conn) {
		fmt.Fprint(conn, responseHeader(r, http.StatusOK, "Transfer-Encoding: chunked\r\n"))
		for i := 1; ; i++ {
			event := fmt.Sprintf("id: %d\n%s\n", i, long)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
		}
	}))
	conn := f.dialCaller()
	const wait = time.Second
	fmt.Fprintf(conn, "POST /stream/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\nWait: %d\r\nContent-Length: 1\r\n\r\nx", wait.Milliseconds())
	time.Sleep(wait + deliveryTime + time.Second)
	if n := f.forwarder.ActiveRequests(); n != 0 {
		t.Errorf("%d requests are in progress, want none", n)
	}
}

// Guards against a deadline of one request that ends a later one on the same
// connection.
func TestLimitsOfOneRequestDoNotCutTheNext(t *testing.T) {
	f := newStartedFixture(t, newFakeBackend(t, "e1", "engines", resumeAfterLastEvent(2)), newFakeBackend(t, "e2", "engines", func(r *http.Request, _ string, conn net.Conn) {
		time.Sleep(deliveryTime)
		writeEvents(r, conn, 1, 2)
		endChunkedBody(conn)
	}))
	conn := f.dialCaller()
	reader := bufio.NewReader(conn)
	for i, wait := range []int{300, 4500} {
		time.Sleep(time.Duration(i) * time.Second)
		fmt.Fprintf(conn, "POST /stream/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r%d\r\nKey: k\r\nWait: %d\r\nContent-Length: 1\r\n\r\nx", i, wait)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || string(body) != eventText(1, 2) {
			t.Errorf("request %d got %q with error %v", i, body, err)
		}
	}
}

// Guards against a refusal that is cut off because the time of an earlier request on
// the same connection is over.
func TestRefusalAfterTheDeadlineOfAnEarlierRequest(t *testing.T) {
	f := newStartedFixture(t, newFakeBackend(t, "p1", "plain", respondWith(http.StatusOK, "ok")))
	conn := f.dialCaller()
	reader := bufio.NewReader(conn)
	for _, test := range []struct {
		path   string
		status int
	}{{"/safe/", http.StatusOK}, {"/none/", http.StatusNotFound}} {
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\nWait: 300\r\n\r\n", test.path)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("%s: %v", test.path, err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != test.status {
			t.Errorf("%s: status %d with error %v, want %d", test.path, response.StatusCode, err, test.status)
		}
		time.Sleep(deliveryTime + 500*time.Millisecond)
	}
}

// Guards against an answer on a kept connection that is lost to the write limit of an
// earlier request on it.
func TestAnswerAfterTheWriteLimitOfAnEarlierRequest(t *testing.T) {
	f := newStartedFixture(t, newFakeBackend(t, "p1", "plain", respondWith(http.StatusOK, "ok")))
	conn := f.dialCaller()
	reader := bufio.NewReader(conn)
	assertStatus := func(path string, want int) {
		t.Helper()
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\nWait: 100\r\nContent-Length: 1\r\n\r\nx", path)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("%s got no answer: %v", path, err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != want {
			t.Errorf("%s got status %d with error %v, want %d", path, response.StatusCode, err, want)
		}
	}
	assertStatus("/safe/", http.StatusOK)
	time.Sleep(deliveryTime + 500*time.Millisecond)
	assertStatus("/none/", http.StatusNotFound)
	time.Sleep(100 * time.Millisecond)
	assertStatus("/safe/", http.StatusOK)
}
