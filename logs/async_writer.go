package logs

import (
	"io"
	"sync"
	"sync/atomic"
)

// bufferedLines is the maximum number of lines that wait for the writer.
const bufferedLines = 4096

// AsyncWriter is an asynchronous, buffered io.Writer that never blocks: when
// its buffer is full because the underlying writer is slow, it drops and counts
// lines.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    sync.WaitGroup
	once    sync.Once
}

// NewAsyncWriter returns a running AsyncWriter that writes to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, bufferedLines)}
	w.done.Add(1)
	go w.loop()
	return w
}

// Write implements io.Writer; it always succeeds.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Close writes the buffered lines. Write must not be called afterwards.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { close(w.lines) })
	w.done.Wait()
}

func (w *AsyncWriter) loop() {
	defer w.done.Done()
	for line := range w.lines {
		// A failure to write the log cannot be reported anywhere else.
		_, _ = w.out.Write(line)
	}
}
