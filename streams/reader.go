package streams

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// MaxLineBytes limits the length of one line of a stream, so that an endless line
// cannot exhaust the daemon's memory.
const MaxLineBytes = 1 << 20

// Errors of a stream that is incomplete or contains chunks of another attempt.
var (
	ErrNoEnd        = errors.New("stream ended without its end marker")
	ErrForeignChunk = errors.New("chunk belongs to another attempt")
	ErrGap          = errors.New("chunk does not continue at the expected position")
	ErrNoPosition   = errors.New("chunk has no position after a resume or a chunk with a position")
)

// Reader reads the chunks of one attempt from an event stream.
type Reader struct {
	scanner      *bufio.Scanner
	attemptID    string
	nextPosition int  // position expected next, in tokens
	finished     bool // the generation's finish reason was seen
	// needsPosition is set when a token without a position would be ambiguous:
	// after a resume, which engines may ignore, and after a chunk with a position.
	needsPosition bool
}

// ReaderConfig configures a Reader.
type ReaderConfig struct {
	Source        io.Reader
	AttemptID     string
	StartPosition int // position of the first expected token
	// Finished is set when an earlier attempt delivered the finish reason, so that
	// only the end marker is missing.
	Finished bool
}

// NewReader returns a Reader for one attempt.
func NewReader(cfg ReaderConfig) *Reader {
	s := bufio.NewScanner(cfg.Source)
	s.Buffer(make([]byte, 0, 4096), MaxLineBytes)
	return &Reader{scanner: s, attemptID: cfg.AttemptID, nextPosition: cfg.StartPosition, needsPosition: cfg.StartPosition > 0, finished: cfg.Finished}
}

// Position returns the position after the last delivered token.
func (r *Reader) Position() int { return r.nextPosition }

// Next returns the next chunk of the attempt and skips repeated chunks, including
// those of an engine that ignores the resume position. It returns io.EOF after the
// end marker, ErrNoEnd when the stream ends without a finish reason or end marker,
// and ErrForeignChunk, ErrGap or ErrNoPosition for a chunk that must not reach the
// caller.
func (r *Reader) Next() (Chunk, error) {
	for r.scanner.Scan() {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(r.scanner.Bytes()), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, []byte("[DONE]")) {
			if !r.finished {
				return Chunk{}, ErrNoEnd
			}
			return Chunk{}, io.EOF
		}
		c, repeated, err := r.accept(data)
		if err != nil {
			return Chunk{}, err
		}
		if !repeated {
			return c, nil
		}
	}
	if err := r.scanner.Err(); err != nil {
		return Chunk{}, err
	}
	return Chunk{}, ErrNoEnd
}

func (r *Reader) accept(data []byte) (c Chunk, repeated bool, err error) {
	c, err = ParseChunk(data)
	if err != nil {
		return Chunk{}, false, err
	}
	if c.ID != r.attemptID {
		return Chunk{}, false, fmt.Errorf("%w: got id %q, want %q", ErrForeignChunk, c.ID, r.attemptID)
	}
	if c.Error != nil {
		return Chunk{}, false, fmt.Errorf("engine reported %s: %s", c.Error.Code, c.Error.Message)
	}
	repeated, err = r.checkPosition(c)
	if err != nil || repeated {
		return Chunk{}, repeated, err
	}
	r.nextPosition += c.TokenCount()
	r.finished = r.finished || c.Finished()
	return c, false, nil
}

// checkPosition checks that the chunk continues the stream and reports whether it
// repeats tokens that were delivered before.
func (r *Reader) checkPosition(c Chunk) (repeated bool, err error) {
	n := c.TokenCount()
	if r.needsPosition && c.Position == nil && n > 0 {
		return false, fmt.Errorf("%w: expected %d", ErrNoPosition, r.nextPosition)
	}
	if c.Position != nil {
		r.needsPosition = true
		if n > 0 && *c.Position+n <= r.nextPosition {
			if c.Finished() && !r.finished {
				return false, fmt.Errorf("%w: generation ended at %d, %d tokens were delivered", ErrGap, *c.Position+n, r.nextPosition)
			}
			return true, nil
		}
		if *c.Position != r.nextPosition {
			return false, fmt.Errorf("%w: got %d, want %d", ErrGap, *c.Position, r.nextPosition)
		}
	}
	if !r.finished {
		return false, nil
	}
	if n > 0 {
		return false, fmt.Errorf("%w: token after the finish reason", ErrGap)
	}
	return c.Finished(), nil
}
