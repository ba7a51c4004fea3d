package buffers

import (
	"errors"
	"io"
	"sync"
)

const (
	// minChunkBytes fits the body of most calls to plain services.
	minChunkBytes = 1 << 10
	maxChunkBytes = 64 << 10
)

// Chunks is the content of a body in parts. A body of unknown length is read into
// chunks, because one slice would be copied, and need its size twice, whenever it
// grows.
type Chunks [][]byte

// Len returns the number of bytes in all chunks.
func (c Chunks) Len() int {
	n := 0
	for _, chunk := range c {
		n += len(chunk)
	}
	return n
}

// WriteTo implements io.WriterTo. It leaves the chunks unchanged, so that they can
// be written again.
func (c Chunks) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for _, chunk := range c {
		n, err := w.Write(chunk)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// fullChunks holds chunks of maxChunkBytes whose body could not be read to its end.
// Without it, bodies without end leave garbage faster than it is collected.
var fullChunks = sync.Pool{New: func() any { return new([maxChunkBytes]byte) }}

// newChunk returns a chunk of a size up to maxChunkBytes.
func newChunk(size int) []byte {
	if size < maxChunkBytes {
		return make([]byte, size)
	}
	return fullChunks.Get().(*[maxChunkBytes]byte)[:]
}

// recycle makes the full chunks of a body that nobody uses available again.
func (c Chunks) recycle() {
	for _, chunk := range c {
		if cap(chunk) == maxChunkBytes {
			fullChunks.Put((*[maxChunkBytes]byte)(chunk[:maxChunkBytes]))
		}
	}
}

// ReadChunks reads r until io.EOF. Any other error is returned.
func ReadChunks(r io.Reader) (Chunks, error) {
	var chunks Chunks
	for size := minChunkBytes; ; size = min(2*size, maxChunkBytes) {
		chunk := newChunk(size)
		n, err := 0, error(nil)
		for n < size && err == nil {
			var m int
			m, err = r.Read(chunk[n:])
			n += m
		}
		chunks = append(chunks, chunk[:n])
		switch {
		case errors.Is(err, io.EOF):
			return chunks, nil
		case err != nil:
			chunks.recycle()
			return nil, err
		}
	}
}
