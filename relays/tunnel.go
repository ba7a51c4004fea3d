package relays

import (
	"bufio"
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
)

// tunnel is a connection to a backend server through a relay. Its end is clean only if
// the relay says so: a relay that is killed closes the connection like a backend server
// that has sent everything.
type tunnel struct {
	net.Conn
	reader *bufio.Reader
	left   int   // bytes of the current frame
	sized  bool  // the relay expects the size of the request before it
	ended  error // set after the last frame
}

// IsRelayed reports whether a connection goes through a relay.
func IsRelayed(conn net.Conn) bool {
	_, relayed := conn.(*tunnel)
	return relayed
}

// IsRelayLost reports whether err comes from the loss of a relay, which says nothing
// about the backend server.
func IsRelayLost(err error) bool { return errors.Is(err, errRelayLost) }

// RequestPrefix returns what is to be sent on a connection before a request of a size in
// bytes. It is empty on direct connections. The Target of conn must be Sized.
func RequestPrefix(conn net.Conn, size int) []byte {
	if n, relayed := conn.(*tunnel); relayed && n.sized {
		return binary.BigEndian.AppendUint64(nil, uint64(size))
	}
	return nil
}

// openTunnel asks a relay for a connection. The error is errRefused or errUnreachable if
// the relay could not connect either.
func openTunnel(ctx context.Context, dial Dial, relay string, t Target) (*tunnel, verdict, error) {
	conn, err := dial(ctx, "tcp", relay)
	if err != nil {
		return nil, "", err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	n := &tunnel{Conn: conn, reader: bufio.NewReaderSize(conn, maxFrameBytes)}
	a, err := n.open(t)
	if !stop() {
		err = ctx.Err() // also why the connection was closed
	}
	if err == nil && a.Verdict == connected {
		return n, connected, nil
	}
	conn.Close()
	switch {
	case err != nil:
	case a.Verdict == refused:
		err = errRefused
	case a.Verdict == unreachable:
		err = errUnreachable
	default:
		err = fmt.Errorf("daemon %s does not relay: %s %s", relay, a.Verdict, a.Reason)
	}
	return nil, a.Verdict, err
}

func (n *tunnel) open(t Target) (answer, error) {
	var a answer
	lifetime := cmp.Or(t.Lifetime, defaultLifetime)
	if err := writeLine(n.Conn, opening{Address: t.Address, NewWork: t.NewWork, LifetimeMs: lifetime.Milliseconds(), Sized: t.Sized}); err != nil {
		return a, err
	}
	err := readLine(n.reader, &a)
	n.sized = a.Sized
	return a, err
}

// Read implements net.Conn.
func (n *tunnel) Read(b []byte) (int, error) {
	for n.left == 0 {
		if n.ended == nil {
			n.readFrameHeader()
		}
		if n.ended != nil {
			return 0, n.ended
		}
	}
	got, err := n.reader.Read(b[:min(len(b), n.left)])
	n.left -= got
	if err != nil {
		n.ended = lost(err)
		return got, n.ended
	}
	return got, nil
}

// Write implements net.Conn.
func (n *tunnel) Write(b []byte) (int, error) {
	written, err := n.Conn.Write(b)
	if err != nil {
		err = lost(err)
	}
	return written, err
}

func (n *tunnel) readFrameHeader() {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(n.reader, header[:]); err != nil {
		n.ended = lost(err)
		return
	}
	switch frameKind(header[0]) {
	case frameData:
		n.left = int(binary.BigEndian.Uint16(header[1:]))
	case frameEnd:
		n.ended = io.EOF
	case frameReset:
		n.ended = fmt.Errorf("seen by the relaying daemon: %w", syscall.ECONNRESET)
	default:
		n.ended = fmt.Errorf("%w: unknown frame %d", errRelayLost, header[0])
	}
}

// lost returns the error of a read that failed. A timeout stays one: the reader has set
// it. It does not wrap io.EOF, which readers of streams take for a regular end.
func lost(err error) error {
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return err
	}
	return fmt.Errorf("%w: %v", errRelayLost, err)
}
