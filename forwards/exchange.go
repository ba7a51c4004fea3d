package forwards

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// connectTimeout is far above the round trip between data centres, a few ms,
	// and below the 1 s after which TCP resends a lost first packet.
	connectTimeout  = 350 * time.Millisecond
	readBufferBytes = 8 << 10
)

// Errors that decide the outcome of an attempt. After errConnect the request has
// not run.
var (
	errConnect    = errors.New("no connection to the backend server")
	errNoProgress = errors.New("the backend server sent nothing in time")
)

// outgoingRequest is a request to a backend server.
type outgoingRequest struct {
	method string
	uri    string // path and query exactly as the caller sent them
	host   string
	header http.Header
	body   []byte
}

// encode returns the request in HTTP/1.1 wire format.
func (o *outgoingRequest) encode() ([]byte, error) {
	var b bytes.Buffer
	b.Grow(512 + len(o.body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", o.method, o.uri, o.host)
	if len(o.body) > 0 || o.method == http.MethodPost || o.method == http.MethodPut || o.method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(o.body)) + "\r\n")
	}
	if err := o.header.Write(&b); err != nil {
		return nil, err
	}
	b.WriteString("\r\n")
	b.Write(o.body)
	return b.Bytes(), nil
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
	conn             net.Conn
	reader           *bufio.Reader
	response         *http.Response
	writeResult      chan error
	stopContextWatch func() bool // stops closing conn when the context ends
}

// dial opens the connection of an exchange, which is closed when ctx ends. If dial
// fails, the request has not run.
func dial(ctx context.Context, address string) (*exchange, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errConnect, err)
	}
	x := &exchange{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), writeResult: make(chan error, 1)}
	x.stopContextWatch = context.AfterFunc(ctx, func() { conn.Close() })
	return x, nil
}

// close closes the connection, which makes the backend server cancel its work.
func (x *exchange) close() {
	x.stopContextWatch()
	x.conn.Close()
}

// send writes the request in the background, since a backend server may respond
// before it has read a long body.
func (x *exchange) send(data []byte) { go x.write(data) }

func (x *exchange) write(data []byte) {
	_, err := x.conn.Write(data)
	x.writeResult <- err
}

// readHeader reads the status line and header of the response.
func (x *exchange) readHeader(o *outgoingRequest, timeout time.Duration) (*http.Response, error) {
	if err := x.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(x.reader, &http.Request{Method: o.method})
	if err != nil {
		return nil, x.mapTimeout(err)
	}
	x.response = response
	return response, nil
}

// mapTimeout replaces a network timeout by errNoProgress.
func (x *exchange) mapTimeout(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return errNoProgress
	}
	return err
}

// maxResponseBytes limits responses that are buffered in memory.
const maxResponseBytes = 32 << 20

// readBody reads the complete response body.
func (x *exchange) readBody(timeout time.Duration) ([]byte, error) {
	if err := x.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(x.response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, x.mapTimeout(err)
	}
	if len(data) > maxResponseBytes {
		return nil, fmt.Errorf("the response body is larger than %d bytes", maxResponseBytes)
	}
	return data, nil
}

// maxEventBytes limits the size of one stream event.
const maxEventBytes = 1 << 20

// readEvent returns the next complete event including the blank line that ends
// it. It returns io.EOF at the end of the stream, and io.ErrUnexpectedEOF when the
// stream ends within an event.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadBytes('\n')
		event = append(event, line...)
		if err != nil {
			if errors.Is(err, io.EOF) && len(event) > 0 {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
		if len(event) > maxEventBytes {
			return nil, fmt.Errorf("a stream event is larger than %d bytes", maxEventBytes)
		}
	}
}
