package logs

import (
	"io"
	"sync"
	"sync/atomic"
)

// queueCapacity is the number of lines that may wait for the writer.
const queueCapacity = 4096

// Queue is a writer that never blocks: lines wait for a slow reader and are
// counted and dropped when too many wait.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    sync.WaitGroup
	once    sync.Once
}

// NewQueue returns a running Queue in front of a writer.
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

// Close writes the lines that wait. Nothing may be written afterwards.
func (q *Queue) Close() {
	q.once.Do(func() { close(q.lines) })
	q.done.Wait()
}

func (q *Queue) loop() {
	defer q.done.Done()
	for line := range q.lines {
		// There is no other place to report that the log cannot be written.
		_, _ = q.out.Write(line)
	}
}
