package streams

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// MaxLineBytes bounds one line of a stream, so that an endless line cannot
// exhaust the daemon's memory.
const MaxLineBytes = 1 << 20

// Errors of a stream that did not deliver a whole answer of its own.
var (
	ErrNoEnd        = errors.New("stream ended without its end marker")
	ErrForeignChunk = errors.New("chunk belongs to another attempt")
	ErrGap          = errors.New("chunk does not continue at the expected position")
	ErrNoPosition   = errors.New("chunk has no position where one is needed")
)

// Reader reads the chunks of one attempt from an event stream.
type Reader struct {
	scanner      *bufio.Scanner
	attemptID    string
	nextPosition int  // position expected next, in tokens
	finished     bool // the generation's finish reason was seen
	// placed is set once a token without a position could be taken for another:
	// after a resume, which engines may ignore, and after a positioned chunk.
	needsPosition bool
}

// ReaderConfig configures a Reader.
type ReaderConfig struct {
	Source  io.Reader
	Attempt string
	Start   int // position of the first expected token
	// Finished says that an earlier attempt has delivered the finish reason, so
	// that only the end marker is missing.
	Finished bool
}

// NewReader returns a Reader for one attempt.
func NewReader(cfg ReaderConfig) *Reader {
	s := bufio.NewScanner(cfg.Source)
	s.Buffer(make([]byte, 0, 4096), MaxLineBytes)
	return &Reader{scanner: s, attemptID: cfg.Attempt, nextPosition: cfg.Start, needsPosition: cfg.Start > 0, finished: cfg.Finished}
}

// Position returns the position after the last delivered token.
func (r *Reader) Position() int { return r.nextPosition }

// Next returns the next chunk that belongs to the attempt. A repeated chunk is
// passed over. It returns io.EOF after the end marker, ErrNoEnd when the
// stream stops before it, and ErrForeignChunk, ErrGap or ErrNoPosition for a
// chunk that must not reach the caller. An engine that ignores the resume
// position repeats the tokens before it, which are passed over by position.
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
	r.nextPosition += c.Count()
	r.finished = r.finished || c.Finished()
	return c, false, nil
}

// place checks that the chunk continues the stream and reports whether it only
// repeats what was delivered before.
func (r *Reader) checkPosition(c Chunk) (repeated bool, err error) {
	n := c.Count()
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
