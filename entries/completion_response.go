package entries

import (
	"encoding/json"
	"net/http"
	"strings"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/streams"
)

// completionResponse writes the response of a completion request to its caller.
type completionResponse struct {
	callerWriter
	path         string
	id           gypsumshelf.RequestID
	stream       bool
	started      bool // the status and headers have been written
	position     int  // tokens delivered so far
	text         strings.Builder
	finishReason string
	finished     bool // the finish reason has been delivered
}

// writeChunk sends a chunk to the caller, or buffers its text when the caller
// does not stream.
func (a *completionResponse) writeChunk(c streams.Chunk) error {
	if c.Finished() {
		a.finishReason = *c.Choices[0].FinishReason
	}
	if a.stream {
		data, err := c.WithID(string(a.id))
		if err != nil {
			return err
		}
		if err := a.writeEvent(data); err != nil {
			return err
		}
	} else {
		a.text.WriteString(c.Text())
	}
	a.position += c.TokenCount()
	a.finished = a.finished || c.Finished()
	return nil
}

// writeEvent sends a server-sent event, preceded by the headers if it is the
// first one.
func (a *completionResponse) writeEvent(data []byte) error {
	if !a.started {
		a.started = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set(HeaderRequestID, string(a.id))
		a.w.WriteHeader(http.StatusOK)
	}
	return a.writeAndFlush([]byte("data: " + string(data) + "\n\n"))
}

// finish ends a complete response.
func (a *completionResponse) finish() {
	if a.stream {
		_ = a.writeEvent([]byte("[DONE]"))
		return
	}
	a.extendDeadline()
	a.w.Header().Set(HeaderVerdict, gypsumshelf.Ran.String())
	a.w.Header().Set(HeaderRequestID, string(a.id))
	writeJSON(a.w, http.StatusOK, a.body())
}

// body returns the response body for a caller that does not stream.
func (a *completionResponse) body() any {
	choice := streams.Choice{Text: a.text.String(), FinishReason: &a.finishReason}
	object := "text_completion"
	if strings.HasSuffix(a.path, "/chat/completions") {
		object = "chat.completion"
		return chatCompletion{ID: a.id, Object: object, Choices: []chatChoice{{
			Message:      streams.Delta{Role: "assistant", Content: a.text.String()},
			FinishReason: a.finishReason,
		}}, Usage: usage{CompletionTokens: a.position}}
	}
	return textCompletion{ID: a.id, Object: object, Choices: []streams.Choice{choice}, Usage: usage{CompletionTokens: a.position}}
}

// fail ends the response with an error. Once the stream has started, the error
// is its last event and the [DONE] marker is omitted.
func (a *completionResponse) fail(err *gypsumshelf.Error) {
	if !a.started {
		a.extendDeadline()
		writeError(a.w, a.id, err)
		return
	}
	data, _ := json.Marshal(map[string]errorBody{"error": newErrorBody(a.id, err)})
	_ = a.writeEvent(data)
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type textCompletion struct {
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
