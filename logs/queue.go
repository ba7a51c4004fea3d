package logs

import (
	"io"
	"sync"
	"sync/atomic"
)

// queueCapacity is the maximum number of lines that wait for the writer.
const queueCapacity = 4096

// Queue is an asynchronous, buffered io.Writer that never blocks: when its buffer
// is full because the underlying writer is slow, it drops and counts lines.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    sync.WaitGroup
	once    sync.Once
}

// NewQueue returns a running Queue that writes to out.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, queueCapacity)}
	q.done.Add(1)
	go q.loop()
	return q
}

// Write implements io.Writer; it always succeeds.
func (q *Queue) Write(p []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), p...):
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close writes the buffered lines. Write must not be called afterwards.
func (q *Queue) Close() {
	q.once.Do(func() { close(q.lines) })
	q.done.Wait()
}

func (q *Queue) loop() {
	defer q.done.Done()
	for line := range q.lines {
		// A failure to write the log cannot be reported anywhere else.
		_, _ = q.out.Write(line)
	}
}
