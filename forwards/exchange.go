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
	// connectTimeout is the time to open a connection. Data centres are at most
	// some ms apart; the first packet that is lost is sent again after a second.
	connectTimeout  = 350 * time.Millisecond
	readBufferBytes = 8 << 10
)

// Attempt errors. All others mean that the request may have run.
var (
	errConnect    = errors.New("no connection to the backend server")
	errNoProgress = errors.New("the backend server went silent")
)

// outgoing is a request to a backend server.
type outgoingRequest struct {
	method string
	uri    string // path and query as the caller sent them
	host   string
	header http.Header
	body   []byte
}

// encode returns the bytes of the request.
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

// hopByHop are headers that concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns a copy of headers without those that concern one connection.
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

// exchange is one request on a connection of its own. A connection that is not
// shared cannot carry the late answer to an earlier request, and it has not
// died while it was idle.
type exchange struct {
	conn             net.Conn
	reader           *bufio.Reader
	response         *http.Response
	writeResult      chan error
	stopContextWatch func() bool // ends the watch over the caller's context
}

// dial opens the connection of an exchange. The request has not run when it fails.
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

// close ends the connection, and with it the work of the backend server.
func (x *exchange) close() {
	x.stopContextWatch()
	x.conn.Close()
}

// send writes the request while the answer is read, since a backend server may
// answer before it has read a long body.
func (x *exchange) send(data []byte) { go x.write(data) }

func (x *exchange) write(data []byte) {
	_, err := x.conn.Write(data)
	x.writeResult <- err
}

// head reads the head of the answer; limit is the longest wait.
func (x *exchange) readHeader(o *outgoingRequest, limit time.Duration) (*http.Response, error) {
	if err := x.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(x.reader, &http.Request{Method: o.method})
	if err != nil {
		return nil, x.mapTimeout(err)
	}
	x.response = response
	return response, nil
}

// cause turns a timeout into errSilent.
func (x *exchange) mapTimeout(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return errNoProgress
	}
	return err
}

// maxAnswer bounds the answer of a plain service, which is kept in memory until
// it is whole.
const maxResponseBytes = 32 << 20

// body reads the whole answer.
func (x *exchange) readBody(limit time.Duration) ([]byte, error) {
	if err := x.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(x.response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, x.mapTimeout(err)
	}
	if len(data) > maxResponseBytes {
		return nil, errors.New("the answer is too large")
	}
	return data, nil
}

// maxEvent bounds one event of a stream.
const maxEventBytes = 1 << 20

// readEvent returns the next whole event with the blank line that ends it, and
// io.EOF at the proper end of the stream.
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
			return nil, errors.New("an event of the stream is too large")
		}
	}
}
