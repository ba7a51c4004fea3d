package logs

import (
	"bytes"
	"errors"
	"testing"
	"time"
)

// failingWriter fails while err is set.
type failingWriter struct {
	bytes.Buffer
	err error
}

func (w *failingWriter) Write(p []byte) (int, error) {
	if w.err != nil {
		return 0, w.err
	}
	return w.Buffer.Write(p)
}

// Guards against lines that are lost and not counted.
func TestLinesThatCannotBeWrittenAreCounted(t *testing.T) {
	out := &failingWriter{err: errors.New("no space left on device")}
	w := NewAsyncWriter(out)
	for range 3 {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Error(err)
		}
	}
	w.Close()
	if n := w.Dropped(); n != 3 {
		t.Errorf("%d lines are counted as lost, want 3", n)
	}
}

// stuckWriter takes nothing.
type stuckWriter struct{}

func (stuckWriter) Write([]byte) (int, error) { select {} }

// Guards against a stop that waits for ever for a log that nobody reads.
func TestCloseOfAStuckWriter(t *testing.T) {
	w := NewAsyncWriter(stuckWriter{})
	if _, err := w.Write([]byte("line\n")); err != nil {
		t.Error(err)
	}
	closed := make(chan struct{})
	go func() { w.Close(); close(closed) }()
	select {
	case <-closed:
	case <-time.After(20 * time.Second):
		t.Fatal("Close does not return")
	}
}

// Guards against a stop that ends with a panic because something logs after the end.
func TestWriteAfterClose(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	if _, err := w.Write([]byte("before\n")); err != nil {
		t.Error(err)
	}
	w.Close()
	if _, err := w.Write([]byte("after\n")); err != nil {
		t.Error(err)
	}
	if got := out.String(); got != "before\n" {
		t.Errorf("the log is %q, want the line before the end", got)
	}
}
