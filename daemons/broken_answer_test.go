package daemons

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gypsumshelf.example/gypsumshelf/entries"
)

// rawService sends text in place of an answer, and then resets the connection before it has
// read the request, or closes it after.
type rawService struct {
	text  string
	reset bool
}

func (s rawService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	if !s.reset {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, s.text)
	if s.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// Guards against broken answers of plain services that reach callers as answers, or end their
// connections without one.
func TestBrokenAnswersOfPlainServices(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX: y\r\n"
	for name, text := range map[string]string{
		"status zero":       "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\ntext",
		"blank in a name":   ok + "Other Name: x\r\nContent-Length: 4\r\n\r\ntext",
		"hidden chunks":     ok + "Transfer-Encoding : chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n",
		"tab before a name": ok + "\tContent-Length: 2\r\n\r\ntext",
		"interim":           "HTTP/1.1 102 X\r\nOther : x\r\n\r\n" + ok + "Content-Length: 4\r\n\r\ntext",
	} {
		t.Run(name, func(t *testing.T) {
			url, _ := startDaemon(t, defaultDaemonConfig(), rawService{text: text}, &fakeService{})
			resp, body := sendRequest(t, http.MethodPost, url+"/services/book/orders", "body")
			if resp.StatusCode != http.StatusBadGateway || resp.Header.Get(entries.HeaderVerdict) != "may-have-run" {
				t.Errorf("status %d, verdict %q, answer %q; want %d with verdict may-have-run", resp.StatusCode, resp.Header.Get(entries.HeaderVerdict), body, http.StatusBadGateway)
			}
			url, _ = startDaemon(t, defaultDaemonConfig(), rawService{text: text}, &fakeService{})
			resp, body = sendRequest(t, http.MethodGet, url+"/services/book/orders", "body")
			if want := "GET /orders body"; resp.StatusCode != http.StatusTeapot || body != want {
				t.Errorf("status %d, answer %q; want %q of the other server", resp.StatusCode, body, want)
			}
		})
	}
	t.Run("reset during the upload", func(t *testing.T) {
		url, _ := startDaemon(t, defaultDaemonConfig(), rawService{text: ok + "\r\npart", reset: true})
		for range 5 {
			resp, err := http.Post(url+"/services/book/orders", "text/plain", strings.NewReader(strings.Repeat("x", 4<<20)))
			if err != nil {
				continue // ended before the head was passed on
			}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil && resp.StatusCode < http.StatusInternalServerError {
				t.Errorf("status %d with answer %q is complete", resp.StatusCode, body)
			}
		}
	})
}
