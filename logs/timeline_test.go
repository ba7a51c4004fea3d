package logs

import (
	"strings"
	"testing"
	"time"
)

// Guards against a timeline without the lines of another host, and against a file
// with truncated or foreign lines that prevents the reading of the others.
func TestTimelineFromSeveralFiles(t *testing.T) {
	entry := `{"daemon":"entry-1","msg":"request placed","request-id":"r1","backend-server":"s1","time":"2026-03-01T17:20:25.2Z"}
panic: not a log line
{"daemon":"entry-1","msg":"request ended","request-id":"r2","time":"2026-03-01T17:20:25.3Z"}
{"daemon":"entry-1","msg":"attempt failed","request-id":"r1","backend-server":"s1","time":"2026-03-01T17:20:25.4Z"}
{"daemon":"entry-1","msg":"requ`
	control := `host-7 {"daemon":"control-1","msg":"a backend server changed its state","backend-server":"s1","gone":true,"time":"2026-03-01T17:20:25.39Z"}
{"daemon":"control-1","msg":"a backend server changed its state","backend-server":"s2","time":"2026-03-01T17:20:25.39Z"}
{"daemon":"control-1","msg":"a backend server changed its state","backend-server":"s1","time":"2026-03-01T17:19:25.39Z"}`
	timeline, err := ReadTimeline("r1", strings.NewReader(entry), strings.NewReader(control))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, e := range timeline.Entries {
		got = append(got, e.Daemon+" "+e.Text)
	}
	want := "entry-1 request placed, control-1 a backend server changed its state, entry-1 attempt failed"
	if strings.Join(got, ", ") != want || timeline.Skipped != 2 {
		t.Errorf("timeline is %v with %d lines skipped, want %s with 2", got, timeline.Skipped, want)
	}
	if line := timeline.Entries[1].String(); !strings.Contains(line, "gone=true") {
		t.Errorf("entry is printed as %q, want gone=true in it", line)
	}
}

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against requests that block because the log output is not read, and
// against dropped lines that are not counted.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	b := blockedWriter{release: make(chan struct{})}
	w := NewAsyncWriter(b)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range bufferedLines + 100 {
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("writes to the AsyncWriter did not finish within 30 s")
	}
	if n := w.Dropped(); n < 99 || n > 100 {
		t.Errorf("%d lines dropped, want the 99 or 100 beyond the capacity", n)
	}
	close(b.release)
	w.Close()
}
