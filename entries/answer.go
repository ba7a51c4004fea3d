package entries

import (
	"encoding/json"
	"net/http"
	"strings"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/streams"
)

// answer writes one request's answer to its caller.
type answer struct {
	w        http.ResponseWriter
	path     string
	id       gypsumshelf.RequestID
	stream   bool
	begun    bool // a byte of the answer has been written
	position int  // tokens passed on
	text     strings.Builder
	reason   string
}

func newAnswer(w http.ResponseWriter, path string, id gypsumshelf.RequestID, stream bool) *answer {
	return &answer{w: w, path: path, id: id, stream: stream}
}

// chunk passes a chunk on, or keeps its text when the caller does not stream.
func (a *answer) chunk(c streams.Chunk) error {
	a.position += c.Count()
	if len(c.Choices) > 0 && c.Choices[0].FinishReason != nil {
		a.reason = *c.Choices[0].FinishReason
	}
	if !a.stream {
		a.text.WriteString(c.Text())
		return nil
	}
	c.ID = string(a.id)
	c.Position = nil
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return a.event(data)
}

func (a *answer) event(data []byte) error {
	if !a.begun {
		a.begun = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set(HeaderRequestID, string(a.id))
		a.w.WriteHeader(http.StatusOK)
	}
	if _, err := a.w.Write([]byte("data: " + string(data) + "\n\n")); err != nil {
		return err
	}
	if f, ok := a.w.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}

// finish ends a whole answer.
func (a *answer) finish() {
	if a.stream {
		_ = a.event([]byte("[DONE]"))
		return
	}
	a.w.Header().Set(HeaderVerdict, gypsumshelf.Ran.String())
	a.w.Header().Set(HeaderRequestID, string(a.id))
	writeJSON(a.w, http.StatusOK, a.whole())
}

func (a *answer) whole() any {
	choice := streams.Choice{Text: a.text.String(), FinishReason: &a.reason}
	object := "text_completion"
	if strings.HasSuffix(a.path, "/chat/completions") {
		object = "chat.completion"
		return chatCompletion{ID: a.id, Object: object, Choices: []chatChoice{{
			Message:      streams.Delta{Role: "assistant", Content: a.text.String()},
			FinishReason: a.reason,
		}}, Usage: usage{CompletionTokens: a.position}}
	}
	return completion{ID: a.id, Object: object, Choices: []streams.Choice{choice}, Usage: usage{CompletionTokens: a.position}}
}

// fail ends a request with an error; after the first chunk it is the last
// event of the stream, which then has no end marker.
func (a *answer) fail(err *gypsumshelf.Error) {
	if !a.begun {
		writeError(a.w, a.id, err)
		return
	}
	data, _ := json.Marshal(map[string]errorBody{"error": newErrorBody(a.id, err)})
	_ = a.event(data)
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type completion struct {
	ID      gypsumshelf.RequestID `json:"id"`
	Object  string                `json:"object"`
	Choices []streams.Choice      `json:"choices"`
	Usage   usage                 `json:"usage"`
}

type chatChoice struct {
	Index        int           `json:"index"`
	Message      streams.Delta `json:"message"`
	FinishReason string        `json:"finish_reason"`
}

type chatCompletion struct {
	ID      gypsumshelf.RequestID `json:"id"`
	Object  string                `json:"object"`
	Choices []chatChoice          `json:"choices"`
	Usage   usage                 `json:"usage"`
}

// sink passes the chunks of one attempt to the answer and reports its marks.
type sink struct {
	handler *Handler
	attempt gypsumshelf.AttemptID
	answer  *answer
	first   bool
}

// Sent implements engines.Sink.
func (s *sink) Sent() { s.handler.cfg.Submit(attempts.Sent{Attempt: s.attempt}) }

// Chunk implements engines.Sink.
func (s *sink) Chunk(c streams.Chunk) error {
	if !s.first && c.Count() > 0 {
		s.first = true
		s.handler.cfg.Submit(attempts.FirstToken{Attempt: s.attempt})
	}
	return s.answer.chunk(c)
}
