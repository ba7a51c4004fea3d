// Package relays connects entry daemons to backend servers, directly or through another
// entry daemon when this one has lost its own path to them.
//
// A relay copies bytes only: the daemon that holds the request still makes every
// decision about it, so attempts, budgets and limits are counted once. A connection
// passes one relay at most, since a relay itself connects directly.
package relays

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// Dial opens a connection, like the method DialContext of a net.Dialer.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Target is what a connection is wanted for.
type Target struct {
	Address string // of the backend server
	Service string
	// NewWork is set for a connection that carries a request. Others release memory
	// or ask for the state of a backend server that may be leaving.
	NewWork bool
	// Sized is set if RequestPrefix is sent before the one request on the connection. A
	// relay then does not report the end of an answer before it has passed the request on:
	// a backend server that is reset meanwhile has not answered completely.
	Sized bool
	// Lifetime is the time after which a relay ends the connection, 0 for
	// defaultLifetime.
	Lifetime time.Duration
}

// ErrNoPath means that this daemon has no path to the backend server and that no other
// daemon could be asked for one. It says nothing about the backend server.
var ErrNoPath = errors.New("no path to the backend server, neither directly nor through another daemon")

// errRefused and errUnreachable are what a relay says of a backend server. They look
// like the errors of a direct connection.
var (
	errRefused     = fmt.Errorf("another daemon got no connection either: %w", syscall.ECONNREFUSED)
	errUnreachable = fmt.Errorf("another daemon got no connection either: %w", context.DeadlineExceeded)
	errRelayLost   = errors.New("the connection to the relaying daemon was lost")
)

// opening is the first message on a connection to a relay, one line of JSON.
type opening struct {
	Address    string `json:"address"` // of the backend server
	NewWork    bool   `json:"new-work"`
	LifetimeMs int64  `json:"lifetime-ms"`     // time after which the relay closes the connection
	Sized      bool   `json:"sized,omitempty"` // the size of the request can be sent before it
}

// verdict is the relay's answer to an opening.
type verdict string

const (
	connected   verdict = "connected"
	refused     verdict = "refused"     // the backend server refuses connections
	unreachable verdict = "unreachable" // the backend server does not answer
	pathLost    verdict = "path-lost"   // the relay has no path to the service either
	rejected    verdict = "rejected"    // the relay does not serve this connection
)

// answer is the message that carries a verdict, one line of JSON. After connected the
// frames of the backend server follow. Sized is set only if the opening had it.
type answer struct {
	Verdict verdict `json:"verdict"`
	Reason  string  `json:"reason,omitempty"` // of a rejection
	Sized   bool    `json:"sized,omitempty"`  // the size of the request must be sent before it
}

// maxLineBytes limits an opening and an answer.
const maxLineBytes = 1 << 10

// writeLine writes a message as one line of JSON.
func writeLine(w io.Writer, message any) error {
	data, err := json.Marshal(message)
	if err != nil {
		return err
	}
	_, err = w.Write(append(data, '\n'))
	return err
}

// lineReader reads single bytes, so that nothing behind the line is consumed.
type lineReader interface{ ReadByte() (byte, error) }

// readLine reads a message of one line of JSON.
func readLine(r lineReader, message any) error {
	var line []byte
	for {
		b, err := r.ReadByte()
		if err != nil {
			return err
		}
		if b == '\n' {
			return json.Unmarshal(line, message)
		}
		if line = append(line, b); len(line) > maxLineBytes {
			return errors.New("the first line is too long")
		}
	}
}

// frameKind is the first byte of a frame from a relay. A frame of data has its length in
// the next two bytes, big-endian; the others have length 0.
type frameKind byte

const (
	frameData  frameKind = 1
	frameEnd   frameKind = 2 // the backend server closed its side of the connection
	frameReset frameKind = 3 // the connection to the backend server was lost
)

const (
	// requestSizeBytes is the length of the size of a request, a big-endian number.
	requestSizeBytes = 8
	frameHeaderBytes = 3
	// maxFrameBytes is the size of a copy buffer; a frame holds what one read returns.
	maxFrameBytes = 16 << 10
)

// defaultLifetime is above the timeouts of all calls that are not requests.
const defaultLifetime = 5 * time.Second
