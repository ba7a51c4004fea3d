package forwards

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gypsumshelf.example/gypsumshelf/answers"
	"gypsumshelf.example/gypsumshelf/buffers"
	"gypsumshelf.example/gypsumshelf/relays"
)

const (
	// connectTimeout bounds the time for a connection, which a relays.Dialer tries to
	// make in several ways.
	connectTimeout  = 700 * time.Millisecond
	readBufferBytes = 8 << 10
	// maxResponseHeaderBytes limits the status line and the header of a response. It
	// is several times the limit that is usual for requests, 16 KB.
	maxResponseHeaderBytes = 64 << 10
	// maxResponseBytes limits responses that are buffered in memory.
	maxResponseBytes = 32 << 20
	// maxEventBytes limits the size of one stream event, which holds the text of
	// some hundred tokens at most.
	maxEventBytes = 256 << 10
	// maxReadAhead bounds the memory that an event gets for its further lines before they
	// are read. The event of one token has about 200 bytes.
	maxReadAhead = 256
	// maxInterimResponses limits the interim responses before an answer. A backend server has
	// at most a few things to say about a request before it answers.
	maxInterimResponses = 16
)

// Errors that decide the outcome of an attempt. After errConnect the request has
// not run.
var (
	errConnect    = errors.New("no connection to the backend server")
	errNoProgress = errors.New("the backend server sent nothing in time")
	errTooLong    = errors.New("the response of the backend server is longer than the limit")
)

// outgoingRequest is a request to a backend server.
type outgoingRequest struct {
	method string
	uri    string // path and query exactly as the caller sent them
	host   string
	header http.Header
	body   []byte
}

// maxJoinedBytes is the size up to which a body is copied behind its header, so
// that one write sends both. A longer body is not copied.
const maxJoinedBytes = 16 << 10

// encode returns the request in HTTP/1.1 wire format, in one or two parts.
func (o *outgoingRequest) encode() (buffers.Chunks, error) {
	var b bytes.Buffer
	b.Grow(512 + min(len(o.body), maxJoinedBytes))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", o.method, o.uri, o.host)
	if len(o.body) > 0 || o.method == http.MethodPost || o.method == http.MethodPut || o.method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(o.body)) + "\r\n")
	}
	if err := o.header.Write(&b); err != nil {
		return nil, err
	}
	b.WriteString("\r\n")
	if len(o.body) > maxJoinedBytes {
		return buffers.Chunks{b.Bytes(), o.body}, nil
	}
	b.Write(o.body)
	return buffers.Chunks{b.Bytes()}, nil
}

// hopByHopHeaders apply to one connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns a copy of h without hop-by-hop headers.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// exchange is one request on its own connection. Connections are not reused: a
// reused one could carry the late response to an earlier request or be closed
// while idle.
type exchange struct {
	conn             *answers.Conn
	header           *io.LimitedReader // limits what is read from conn while the header is read
	reader           *bufio.Reader
	response         *http.Response
	stopContextWatch func() bool // stops closing conn when the context ends
}

// dial opens the connection of an exchange, which is closed when ctx ends. If dial
// fails, the request has not run.
func (f *Forwarder) dial(ctx context.Context, t relays.Target) (*exchange, error) {
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	t.Sized = true
	conn, err := f.cfg.Dialer.Dial(dialCtx, t)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errConnect, err)
	}
	x := &exchange{conn: answers.NewConn(answers.Config{Conn: conn, CheckHeads: true})}
	x.header = &io.LimitedReader{R: x.conn, N: maxResponseHeaderBytes}
	x.reader = bufio.NewReaderSize(x.header, readBufferBytes)
	x.stopContextWatch = context.AfterFunc(ctx, func() { x.conn.Close() })
	return x, nil
}

// close closes the connection, which makes the backend server cancel its work.
func (x *exchange) close() {
	x.stopContextWatch()
	x.conn.Close()
}

// send writes the request in the background, since a backend server may respond
// before it has read a long body.
func (x *exchange) send(data buffers.Chunks) {
	if prefix := relays.RequestPrefix(x.conn.NetConn(), data.Len()); len(prefix) > 0 {
		data = append(buffers.Chunks{prefix}, data...)
	}
	w := &requestWriter{conn: x.conn, data: data, end: x.conn.BeginRequest()}
	go w.run()
}

// isRelayed reports whether the connection goes through another daemon.
func (x *exchange) isRelayed() bool { return relays.IsRelayed(x.conn.NetConn()) }

// requestWriter writes a request to a backend server.
type requestWriter struct {
	conn *answers.Conn
	data buffers.Chunks
	end  func() // reports that the request has been written
}

func (w *requestWriter) run() {
	defer w.end()
	_, _ = w.data.WriteTo(w.conn) // reads of the response report the error
}

// readHeader reads the status line and header of the response. Interim responses before
// it are skipped; they share its limits of time and bytes.
func (x *exchange) readHeader(o *outgoingRequest, timeout time.Duration) (*http.Response, error) {
	if err := x.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	for range maxInterimResponses + 1 {
		response, err := x.readOneHeader(o)
		if err != nil {
			return nil, err
		}
		if !isInterim(response.StatusCode) {
			x.header.N = math.MaxInt64 // the body has limits of its own
			x.response = response
			return response, nil
		}
	}
	return nil, fmt.Errorf("%w: more than %d interim responses", errTooLong, maxInterimResponses)
}

// readOneHeader reads a status line and header, which may be those of an interim response.
func (x *exchange) readOneHeader(o *outgoingRequest) (*http.Response, error) {
	response, err := http.ReadResponse(x.reader, &http.Request{Method: o.method})
	switch {
	case err != nil && x.header.N == 0:
		return nil, fmt.Errorf("%w: header of more than %d bytes", errTooLong, maxResponseHeaderBytes)
	case err != nil:
		return nil, x.mapTimeout(err)
	case response.StatusCode == http.StatusSwitchingProtocols:
		return nil, fmt.Errorf("%w: it switches to a protocol that nobody asked for", errInvalidResponse)
	}
	return response, nil
}

// isInterim reports whether another response to the same request follows.
func isInterim(status int) bool { return status/100 == 1 }

// mapTimeout replaces a network timeout by errNoProgress.
func (x *exchange) mapTimeout(err error) error {
	if isTimeout(err) {
		return errNoProgress
	}
	return err
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// readBody reads the complete response body within the memory that a reservation
// can get.
func (x *exchange) readBody(timeout time.Duration, memory *buffers.Reservation) (buffers.Chunks, error) {
	if err := x.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	data, err := buffers.ReadChunks(memory.Reader(io.LimitReader(x.response.Body, maxResponseBytes+1)))
	if err != nil {
		return nil, x.mapTimeout(err)
	}
	if data.Len() > maxResponseBytes {
		return nil, fmt.Errorf("%w: body of more than %d bytes", errTooLong, maxResponseBytes)
	}
	return data, nil
}

// readEvent returns the next complete event including the blank line that ends
// it. It returns io.EOF at the end of the stream, and io.ErrUnexpectedEOF when the
// stream ends within an event.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	lineStart := 0
	for {
		part, err := r.ReadSlice('\n')
		if event == nil {
			// Most events are in the buffer as a whole when their first line is read.
			event = make([]byte, 0, len(part)+min(r.Buffered(), maxReadAhead))
		}
		event = append(event, part...)
		switch {
		case len(event) > maxEventBytes:
			return nil, fmt.Errorf("%w: stream event of more than %d bytes", errTooLong, maxEventBytes)
		case errors.Is(err, bufio.ErrBufferFull):
			continue // the line is longer than the buffer of r
		case errors.Is(err, io.EOF) && len(event) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if isBlank(event[lineStart:]) {
			return event, nil
		}
		lineStart = len(event)
	}
}

// isBlank reports whether a line has nothing but its end.
func isBlank(line []byte) bool {
	for _, b := range line {
		if b != '\r' && b != '\n' {
			return false
		}
	}
	return true
}
