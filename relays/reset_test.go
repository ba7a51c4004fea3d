package relays

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/answers"
)

// Guards against a part of an answer that looks whole to the other daemon, since the relay's
// write of the request got the report of the reset.
func TestResetWhileARequestIsRelayed(t *testing.T) {
	const pause = 50 * time.Millisecond
	reset := func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	for name, end := range map[string]func(net.Conn){
		"at once":                 reset,
		"after a pause":           func(conn net.Conn) { time.Sleep(pause); reset(conn) },
		"closed, unread bytes":    func(conn net.Conn) { conn.Close() },
		"after its side is ended": func(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite(); time.Sleep(pause); reset(conn) },
	} {
		for size, n := range map[string]int{"short request": 1 << 17, "long request": longRequest} {
			if n != longRequest && name == "after its side is ended" {
				continue // the request is written, and the end of the answer is regular
			}
			t.Run(name+", "+size, func(t *testing.T) {
				b := newBackend(t, func(conn net.Conn) {
					_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
					if _, err := io.ReadFull(conn, make([]byte, 1<<10)); err != nil {
						return
					}
					_, _ = io.WriteString(conn, "early")
					end(conn)
				})
				p := newPair(t, b.address())
				p.setCut(syscall.ECONNREFUSED)
				for range 5 {
					conn := answers.NewConn(answers.Config{Conn: p.connectSized(t, b)})
					w := newBodyWriter(conn, n)
					go w.run()
					got, err := io.ReadAll(conn)
					conn.Close()
					if string(got) != "early" || !errors.Is(err, syscall.ECONNRESET) {
						t.Fatalf("got %q and error %v, want early and %v", got, err, syscall.ECONNRESET)
					}
				}
			})
		}
	}
}

// Guards against a sound server that loses its answer, or the rest of its request, by closing
// its side of the connection early.
func TestAnswerOfAServerThatReadsOnIsComplete(t *testing.T) {
	read := make(chan int64, 1)
	b := newBackend(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, "early")
		_ = conn.(*net.TCPConn).CloseWrite()
		time.Sleep(100 * time.Millisecond)
		n, _ := io.CopyN(io.Discard, conn, longRequest)
		conn.Close()
		read <- n
	})
	p := newPair(t, b.address())
	p.setCut(syscall.ECONNREFUSED)
	conn := answers.NewConn(answers.Config{Conn: p.connectSized(t, b)})
	defer conn.Close()
	w := newBodyWriter(conn, longRequest)
	go w.run()
	if got, err := io.ReadAll(conn); string(got) != "early" || err != nil {
		t.Errorf("got %q and error %v, want early", got, err)
	}
	if n := <-read; n != longRequest {
		t.Errorf("the server read %d bytes, want %d", n, longRequest)
	}
}

// longRequest is a number of bytes that sockets do not buffer in front of a server that does
// not read.
const longRequest = 8 << 20

func (p *pair) connectSized(t *testing.T, b *backend) net.Conn {
	return p.connectTo(t, Target{Address: b.address(), Service: "s", NewWork: true, Sized: true, Lifetime: 10 * time.Second})
}

// bodyWriter writes a request.
type bodyWriter struct {
	conn *answers.Conn
	data []byte
	end  func()
}

func newBodyWriter(conn *answers.Conn, size int) *bodyWriter {
	return &bodyWriter{conn: conn, data: append(RequestPrefix(conn.NetConn(), size), make([]byte, size)...), end: conn.BeginRequest()}
}

func (w *bodyWriter) run() {
	defer w.end()
	_, _ = w.conn.Write(w.data)
}

// Guards against a size that is sent to a relay which takes it for a part of the request.
func TestSizeIsSentOnlyToRelaysThatExpectIt(t *testing.T) {
	request := []byte("request")
	received := make(chan []byte, 1)
	earlier := newBackend(t, func(conn net.Conn) { // a relay of an earlier build
		reader := bufio.NewReader(conn)
		var o opening
		if err := readLine(reader, &o); err != nil {
			return
		}
		if err := writeLine(conn, map[string]string{"verdict": string(connected)}); err != nil {
			return
		}
		data := make([]byte, len(request))
		_, _ = io.ReadFull(reader, data)
		received <- data
	})
	b := newBackend(t, func(conn net.Conn) { conn.Close() })
	p := newPair(t, b.address())
	p.setCut(syscall.ECONNREFUSED)
	p.dialer.SetPeers("control", []Peer{{Daemon: gypsumshelf.DaemonID(earlier.address()), DataCentre: "a"}})
	conn := p.connectSized(t, b)
	if _, err := conn.Write(append(RequestPrefix(conn, len(request)), request...)); err != nil {
		t.Fatal(err)
	}
	if got := <-received; !bytes.Equal(got, request) {
		t.Errorf("the relay got %q, want %q", got, request)
	}
}
