package buffers

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func assertChunks(t *testing.T, c Chunks, want string) {
	t.Helper()
	var got bytes.Buffer
	if _, err := c.WriteTo(&got); err != nil || got.String() != want || c.Len() != len(want) {
		t.Errorf("chunks hold %d bytes and write %d with error %v, want %d", c.Len(), got.Len(), err, len(want))
	}
}

func TestReadChunks(t *testing.T) {
	for _, n := range []int{0, 1, minChunkBytes, minChunkBytes + 1, 5*maxChunkBytes + 3} {
		text := strings.Repeat("abc", n)[:n]
		c, err := ReadChunks(iotest.HalfReader(strings.NewReader(text)))
		if err != nil {
			t.Fatal(err)
		}
		assertChunks(t, c, text)
		assertChunks(t, c, text) // chunks can be written again
	}
}

// Guards against a response that looks complete although it ended early.
func TestReadChunksKeepsErrors(t *testing.T) {
	for _, want := range []error{io.ErrUnexpectedEOF, ErrBudgetExceeded} {
		_, err := ReadChunks(io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(want)))
		if !errors.Is(err, want) {
			t.Errorf("error is %v, want %v", err, want)
		}
	}
}
