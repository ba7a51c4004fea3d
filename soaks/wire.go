package soaks

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// slowPieces is the number of pieces in which a slow caller sends a body, and in which
	// it reads an answer of SlowAnswerSize.
	slowPieces = 16
	// SlowAnswerSize is the number of bytes of a long answer: more than the buffers between a
	// daemon and a slow caller hold.
	SlowAnswerSize = 8 << 20
	// slowReadBuffer is the size of the receive buffer of a slow caller.
	slowReadBuffer = 32 << 10
)

// States of a connection, from include/net/tcp_states.h of Linux.
const (
	tcpEstablished = 1
	tcpCloseWait   = 8 // the peer has closed its side
)

// Pace has the times that a slow caller takes; zero is as fast as possible.
type Pace struct {
	Write time.Duration // of the body
	Read  time.Duration // of an answer of SlowAnswerSize
}

// Wire is a caller's connection to a daemon. It can tell whether the daemon has read a
// request to which no answer came.
type Wire struct {
	conn   *net.TCPConn
	reader *bufio.Reader
	start  int // number of the start of the daemon's process
}

// Dial connects to a host's daemon.
func Dial(h *Host, limit time.Duration) (*Wire, error) {
	start := h.Starts()
	conn, err := net.DialTimeout("tcp", h.Address(), limit)
	if err != nil {
		return nil, err
	}
	return newWire(conn, start), nil
}

func newWire(conn net.Conn, start int) *Wire {
	return &Wire{conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn), start: start}
}

// Close closes the connection.
func (w *Wire) Close() { w.conn.Close() }

// Answer is the end of a request as its caller saw it.
type Answer struct {
	Response *http.Response // nil if there was none
	Body     []byte
	Err      error // nil if the answer is whole
	// Arrived reports that the daemon had not closed the connection before the last part of
	// the request was sent.
	Arrived bool
	// Read reports that the daemon has read the whole request.
	Read bool
}

// Exchange sends a request and receives the answer, within a limit of time.
func (w *Wire) Exchange(req *http.Request, pace Pace, limit time.Duration) Answer {
	if err := w.conn.SetDeadline(time.Now().Add(limit)); err != nil {
		return Answer{Err: err}
	}
	if pace.Read > 0 {
		if err := w.conn.SetReadBuffer(slowReadBuffer); err != nil {
			return Answer{Err: err}
		}
	}
	s := &sender{wire: w, pace: pace.Write, done: make(chan struct{})}
	if err := s.encode(req); err != nil {
		return Answer{Err: err}
	}
	if pace.Write > 0 { // an answer may come before the end of the body
		go s.run()
	} else {
		s.run()
	}
	resp, err := w.readHeader(req)
	if err != nil {
		<-s.done
		return Answer{Err: err, Arrived: s.arrived, Read: s.written && w.state() == wireState{tcpCloseWait, 0}}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(&slowReader{reader: resp.Body, begin: time.Now(), time: pace.Read})
	return Answer{Response: resp, Body: data, Err: err, Arrived: true, Read: true}
}

// readHeader returns the final response.
func (w *Wire) readHeader(req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(w.reader, req)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// wireState is what the kernel knows of a connection.
type wireState struct {
	state   uint8
	unacked uint32 // segments that the peer has not acknowledged
}

// state returns the state of the connection. A peer that has read all acknowledges all with
// its close. One that has not read all resets the connection, also when data comes later.
func (w *Wire) state() wireState {
	raw, err := w.conn.SyscallConn()
	if err != nil {
		return wireState{}
	}
	var s wireState
	_ = raw.Control(func(fd uintptr) { // an error leaves the state unknown
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			s = wireState{info.State, info.Unacked}
		}
	})
	return s
}

// sender sends one request.
type sender struct {
	wire         *Wire
	pace         time.Duration
	header, body []byte
	done         chan struct{} // closed at the end of run
	written      bool          // all was sent
	arrived      bool          // and the peer had not closed its side before
}

func (s *sender) encode(req *http.Request) error {
	var b bytes.Buffer
	if err := req.Write(&b); err != nil {
		return err
	}
	end := bytes.Index(b.Bytes(), []byte("\r\n\r\n")) + 4
	s.header, s.body = b.Bytes()[:end], b.Bytes()[end:]
	return nil
}

// run sends the request. Errors show in the answer.
func (s *sender) run() {
	defer close(s.done)
	if s.pace > 0 {
		if _, err := s.wire.conn.Write(s.header); err != nil {
			return
		}
		s.header = nil
		for piece := max(1, len(s.body)/slowPieces); len(s.body) > piece; s.body = s.body[piece:] {
			time.Sleep(s.pace / slowPieces)
			if _, err := s.wire.conn.Write(s.body[:piece]); err != nil {
				return
			}
		}
		time.Sleep(s.pace / slowPieces)
	}
	isOpen := s.wire.state().state == tcpEstablished
	if _, err := s.wire.conn.Write(append(s.header, s.body...)); err == nil {
		s.written, s.arrived = true, isOpen
	}
}

// slowReader reads SlowAnswerSize in a time. A caller that is starved does not take longer
// than that for its own slowness.
type slowReader struct {
	reader io.Reader
	begin  time.Time
	time   time.Duration
	read   int
}

// Read implements io.Reader.
func (r *slowReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.read += n
	pieces := r.read / (SlowAnswerSize / slowPieces)
	time.Sleep(time.Until(r.begin.Add(r.time * time.Duration(pieces) / slowPieces)))
	return n, err
}
