package streams

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
)

func tokenLine(position int) string {
	return fmt.Sprintf(`data: {"id":"a.1","position":%d,"choices":[{"text":"%d "}]}`, position, position)
}

const (
	finishLine = `data: {"id":"a.1","choices":[{"finish_reason":"stop"}]}`
	doneLine   = `data: [DONE]`
)

// readAll returns the text of all chunks and the error that ended the stream.
func readAll(cfg ReaderConfig) (string, error) {
	r := NewReader(cfg)
	var text strings.Builder
	for {
		c, err := r.Next()
		if err != nil {
			return text.String(), err
		}
		text.WriteString(c.Text())
	}
}

// Guards against relaying late, duplicate or missing chunks or chunks of another
// attempt, and against treating a stream without its end as complete.
func TestReader(t *testing.T) {
	for _, tt := range []struct {
		name  string
		lines []string
		start int
		text  string
		err   error
	}{
		{"complete", []string{tokenLine(0), tokenLine(1), finishLine, doneLine}, 0, "0 1 ", io.EOF},
		{"no end marker", []string{tokenLine(0), finishLine}, 0, "0 ", ErrNoEnd},
		{"no finish reason", []string{tokenLine(0), doneLine}, 0, "0 ", ErrNoEnd},
		{"repeated chunk", []string{tokenLine(0), tokenLine(0), tokenLine(1), finishLine, finishLine, doneLine}, 0, "0 1 ", io.EOF},
		{"missing chunk", []string{tokenLine(0), tokenLine(2), finishLine, doneLine}, 0, "0 ", ErrGap},
		{"chunk of another attempt", []string{tokenLine(0), strings.Replace(tokenLine(1), "a.1", "b.1", 1)}, 0, "0 ", ErrForeignChunk},
		{"late chunk of an earlier attempt", []string{strings.Replace(tokenLine(0), "a.1", "a.0", 1)}, 0, "", ErrForeignChunk},
		{"chunk without id", []string{`data: {"choices":[{"text":"x"}]}`}, 0, "", ErrForeignChunk},
		{"token after the finish reason", []string{tokenLine(0), finishLine, tokenLine(1), doneLine}, 0, "0 ", ErrGap},
		{"chunk without a position after one with it", []string{tokenLine(0), `data: {"id":"a.1","choices":[{"text":"x"}]}`}, 0, "0 ", ErrNoPosition},
		{"resumed", []string{tokenLine(2), finishLine, doneLine}, 2, "2 ", io.EOF},
		{"resume ignored, positions known", []string{tokenLine(0), tokenLine(1), tokenLine(2), finishLine, doneLine}, 2, "2 ", io.EOF},
		{"resume ignored, no positions", []string{`data: {"id":"a.1","choices":[{"text":"x"}]}`, finishLine, doneLine}, 2, "", ErrNoPosition},
		{"chunk straddles the resume position", []string{`data: {"id":"a.1","position":1,"tokens":2,"choices":[{"text":"1 2 "}]}`}, 2, "", ErrGap},
		{"resumed generation is shorter", []string{`data: {"id":"a.1","position":0,"choices":[{"text":"0","finish_reason":"stop"}]}`, doneLine}, 2, "", ErrGap},
	} {
		t.Run(tt.name, func(t *testing.T) {
			source := strings.NewReader(strings.Join(tt.lines, "\n\n") + "\n\n")
			text, err := readAll(ReaderConfig{Source: source, AttemptID: "a.1", StartPosition: tt.start})
			if text != tt.text || !errors.Is(err, tt.err) {
				t.Errorf("got %q and %v, want %q and %v", text, err, tt.text, tt.err)
			}
		})
	}
}

// Guards against an error for the caller when only the end marker of a stream was
// lost.
func TestResumeAfterFinishReason(t *testing.T) {
	for _, lines := range []string{doneLine, finishLine + "\n\n" + doneLine} {
		text, err := readAll(ReaderConfig{Source: strings.NewReader(lines + "\n\n"), AttemptID: "a.1", StartPosition: 3, Finished: true})
		if text != "" || !errors.Is(err, io.EOF) {
			t.Errorf("got %q and %v, want the end of the stream", text, err)
		}
	}
}

// Guards against dropping chunk fields that the daemon does not know.
func TestWithIDKeepsFields(t *testing.T) {
	c, err := ParseChunk([]byte(`{"id":"a.1","position":4,"model":"quill","choices":[{"delta":{"tool_calls":[1]}}]}`))
	if err != nil {
		t.Fatal(err)
	}
	data, err := c.WithID("a")
	if want := `{"choices":[{"delta":{"tool_calls":[1]}}],"id":"a","model":"quill"}`; err != nil || string(data) != want {
		t.Errorf("got %s, %v, want %s", data, err, want)
	}
}

// FuzzReader guards against panics and endless loops on any input, and against
// positions that differ from the number of delivered tokens.
func FuzzReader(f *testing.F) {
	f.Add([]byte(strings.Join([]string{tokenLine(0), tokenLine(1), finishLine, doneLine}, "\n\n")), 0)
	f.Add([]byte(tokenLine(0)+"\r\n\r\n: comment\r\ndata: {\"id\":\"a.1\",\"tokens\":1073741824,\"choices\":[{}]}\n\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, start int) {
		start = max(0, start%maxTokens)
		r := NewReader(ReaderConfig{Source: strings.NewReader(string(data)), AttemptID: "a.1", StartPosition: start})
		for n := 0; ; n++ {
			before := r.Position()
			c, err := r.Next()
			if err != nil {
				return
			}
			if r.Position() != before+c.TokenCount() || n > len(data) {
				t.Fatalf("position went from %d to %d over %d tokens, %d chunks", before, r.Position(), c.TokenCount(), n)
			}
			if _, err := c.WithID("r"); err != nil {
				t.Fatalf("delivered chunk cannot be renamed: %v", err)
			}
		}
	})
}
