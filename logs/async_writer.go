package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// bufferedLines is the maximum number of lines that wait for the writer.
const bufferedLines = 4096

// closeTimeout bounds the wait for a reader of the last lines. It is a part of the time
// that a planned stop leaves of its grace period.
const closeTimeout = 500 * time.Millisecond

// AsyncWriter is an asynchronous, buffered io.Writer that never blocks: when
// its buffer is full because the underlying writer is slow, it drops and counts
// lines, as it does when a line cannot be written.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	closed  chan struct{} // closed by Close
	done    chan struct{} // closed when all lines are written
	once    sync.Once
}

// NewAsyncWriter returns a running AsyncWriter that writes to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, bufferedLines), closed: make(chan struct{}), done: make(chan struct{})}
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

// Dropped returns the number of lines that were dropped or could not be written.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Close writes the buffered lines, as far as they are taken within closeTimeout. Lines
// that are written afterwards are lost.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { close(w.closed) })
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

func (w *AsyncWriter) loop() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
			continue
		case <-w.closed:
		}
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

func (w *AsyncWriter) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1) // cannot be reported anywhere else
	}
}
