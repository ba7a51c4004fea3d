package engines

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/streams"
)

// rawServer passes each request, before its body is read, and its connection to handle. It
// answers health probes.
type rawServer struct {
	listener net.Listener
	handle   func(r *http.Request, conn net.Conn)
	probe    string // answer to health probes
	probes   atomic.Int64
}

const soundProbe = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

func newRawServer(t *testing.T, handle func(r *http.Request, conn net.Conn)) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &rawServer{listener: l, handle: handle, probe: soundProbe}
	go s.run()
	return s
}

func (s *rawServer) address() string { return s.listener.Addr().String() }

func (s *rawServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *rawServer) serve(conn net.Conn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	switch {
	case err != nil:
	case r.URL.Path == "/healthz":
		s.probes.Add(1)
		_, _ = io.WriteString(conn, s.probe)
	default:
		s.handle(r, conn)
	}
}

// recordingSink records what of an answer is passed on.
type recordingSink struct {
	discardSink
	body bytes.Buffer
	text string
}

func (s *recordingSink) Body(p []byte) error { s.body.Write(p); return nil }

func (s *recordingSink) Chunk(c streams.Chunk) error { s.text += c.Text(); return nil }

// respondRaw returns a handler that sends text, reads the body and closes the connection.
func respondRaw(text string) func(*http.Request, net.Conn) {
	return func(r *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, text)
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

const (
	okHead      = "HTTP/1.1 200 OK\r\n"
	endOfHead   = "Content-Length: 4\r\n\r\ntext"
	soundChunk  = `data: {"id":"a.1","position":0,"choices":[{"text":"x","finish_reason":"stop"}]}` + "\n\n"
	endOfStream = "data: [DONE]\n\n"
	malformed   = "malformed"
	zeroStatus  = "HTTP/1.1 000 X\r\n"
)

// assertMalformed checks that no call takes an answer, and that each error names the cause.
func assertMalformed(t *testing.T, text string) {
	t.Helper()
	s := newRawServer(t, respondRaw(text))
	c := newTestClient(t, ClientConfig{})
	check := func(call string, err error) {
		t.Helper()
		if err == nil || !strings.Contains(err.Error(), malformed) {
			t.Errorf("%s ends with %v, want an error with %q", call, err, malformed)
		}
	}
	ctx := context.Background()
	plain := keyedCall("a.1")
	plain.Address = s.address()
	sink := &recordingSink{}
	err := c.Forward(ctx, plain, sink)
	assertCallError(t, err, gypsumshelf.MayHaveRun, gypsumshelf.CodeBackendFailed)
	check("a call of a plain service", err)
	err = c.Complete(ctx, Call{Attempt: "a.1", Address: s.address(), Path: "/"}, sink)
	assertCallError(t, err, gypsumshelf.MayHaveRun, gypsumshelf.CodeBackendFailed)
	check("a completion", err)
	if sink.status != 0 || sink.body.Len() > 0 || sink.text != "" {
		t.Errorf("the caller gets status %d, body %q and text %q, want nothing", sink.status, sink.body.String(), sink.text)
	}
	check("a cancellation", c.Cancel(ctx, s.address(), "a.1"))
	check("an order", c.Order(ctx, s.address(), Order{ID: "o", Kind: OrderLoadModel}))
	s.probe = text
	if c.probe(ctx, s.address()) || s.probes.Load() == 0 {
		t.Error("a probe takes the answer for a sign of life")
	}
}

// Guards against a status that is none, for which the caller's connection was closed without
// an answer.
func TestStatusBelowTheLowestIsNoAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"zero":             zeroStatus + endOfHead,
		"not run":          zeroStatus + HeaderNotRun + ": true\r\n" + endOfHead,
		"of an interim":    zeroStatus + "\r\n" + okHead + endOfHead,
		"after an interim": "HTTP/1.1 102 Processing\r\n\r\n" + zeroStatus + endOfHead,
	} {
		t.Run(name, func(t *testing.T) { assertMalformed(t, text) })
	}
}

// Guards against names of fields that hide the length of the body, or that are passed on.
func TestMalformedFieldNameIsNoAnswer(t *testing.T) {
	for name, field := range map[string]string{
		"blank within the name": "Other Name: x", "hidden length": "Content-Length : 2", "hidden chunks": "Transfer-Encoding : chunked",
		"blank before the name": " Other: x", "tab before the name": "\tTransfer-Encoding: chunked", "control byte": "Ot\x01her: x",
	} {
		for place, text := range map[string]string{
			"":                  okHead + "X: y\r\n" + field + "\r\n" + endOfHead,
			", of a stream":     okHead + "X: y\r\n" + field + "\r\n\r\n" + soundChunk + endOfStream,
			", of an interim":   "HTTP/1.1 102 Processing\r\nX: y\r\n" + field + "\r\n\r\n" + okHead + endOfHead,
			", of a status 204": "HTTP/1.1 204 X\r\nX: y\r\n" + field + "\r\n\r\n",
			", not run":         "HTTP/1.1 503 X\r\n" + HeaderNotRun + ": true\r\n" + field + "\r\n" + endOfHead,
		} {
			t.Run(name+place, func(t *testing.T) { assertMalformed(t, text) })
		}
	}
}

const longUploadBytes = 8 << 20

// Guards against a part of an answer that is taken for the whole one, since the write of the
// request gets the report of the reset and the end of the connection looks regular.
func TestResetAnswerIsIncomplete(t *testing.T) {
	const pause = 20 * time.Millisecond
	reset := func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	halfClose := func(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() }
	for end, lost := range map[string]struct {
		end      func(net.Conn)
		longOnly bool // the end is regular for a request that is written by then
	}{
		"reset":                    {reset, false},
		"reset after a pause":      {func(conn net.Conn) { time.Sleep(pause); reset(conn) }, false},
		"closed with unread bytes": {func(net.Conn) {}, true},
		"reset after a half-close": {func(conn net.Conn) { halfClose(conn); time.Sleep(pause); reset(conn) }, true},
	} {
		for size, n := range map[string]int{"short upload": 1, "upload of 64 KB": 64 << 10, "long upload": longUploadBytes} {
			if lost.longOnly && n < longUploadBytes {
				continue
			}
			t.Run(end+", "+size, func(t *testing.T) {
				s := newRawServer(t, func(_ *http.Request, conn net.Conn) {
					_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
					_, _ = io.WriteString(conn, okHead+"\r\npart")
					lost.end(conn)
				})
				c := newTestClient(t, ClientConfig{})
				for range 5 {
					call := keyedCall("a.1")
					call.Address, call.Body = s.address(), make([]byte, n)
					err := c.Forward(context.Background(), call, &discardSink{})
					if f := AsCallError(err); err == nil || f.Err.Verdict != gypsumshelf.MayHaveRun || !f.ConnectionBroken || f.ServerUnreachable || !strings.Contains(err.Error(), "reset") {
						t.Fatalf("got %v, want a connection that was reset at a server that lives", err)
					}
				}
			})
		}
	}
}

// Guards against a sound answer that is lost because it comes before the upload has been read.
func TestEarlyAnswerIsKept(t *testing.T) {
	for framing, text := range map[string]string{
		"no length": okHead + "\r\ntext", "length": okHead + endOfHead, "chunked": okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n",
	} {
		for _, n := range []int{1, 64 << 10, longUploadBytes} {
			for end, closeWrite := range map[string]bool{"closes after the upload": false, "closes its side before": true} {
				t.Run(fmt.Sprintf("%s, %d bytes, %s", framing, n, end), func(t *testing.T) {
					s := newRawServer(t, func(r *http.Request, conn net.Conn) {
						_, _ = io.WriteString(conn, text)
						if closeWrite {
							_ = conn.(*net.TCPConn).CloseWrite()
						}
						time.Sleep(20 * time.Millisecond)
						_, _ = io.Copy(io.Discard, r.Body)
					})
					call, sink := keyedCall("a.1"), &recordingSink{}
					call.Address, call.Body = s.address(), make([]byte, n)
					err := newTestClient(t, ClientConfig{}).Forward(context.Background(), call, sink)
					if err != nil || sink.body.String() != "text" {
						t.Errorf("got %q and error %v, want the whole answer", sink.body.String(), err)
					}
				})
			}
		}
	}
}
