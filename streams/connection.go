package streams

import (
	"errors"
	"io"
	"syscall"
)

// IsConnectionLost reports whether err means that the other side closed or reset the
// connection.
func IsConnectionLost(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
