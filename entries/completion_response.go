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
func (r *completionResponse) writeChunk(c streams.Chunk) error {
	if c.Finished() {
		r.finishReason = *c.Choices[0].FinishReason
	}
	if r.stream {
		data, err := c.WithID(string(r.id))
		if err != nil {
			return err
		}
		if err := r.writeEvent(data); err != nil {
			return err
		}
	} else {
		r.text.WriteString(c.Text())
	}
	r.position += c.TokenCount()
	r.finished = r.finished || c.Finished()
	return nil
}

// writeEvent sends a server-sent event, preceded by the headers if it is the
// first one.
func (r *completionResponse) writeEvent(data []byte) error {
	if !r.started {
		r.started = true
		r.w.Header().Set("Content-Type", "text/event-stream")
		r.w.Header().Set(HeaderRequestID, string(r.id))
		r.w.WriteHeader(http.StatusOK)
	}
	return r.writeAndFlush([]byte("data: " + string(data) + "\n\n"))
}

// finish ends a complete response.
func (r *completionResponse) finish() {
	if r.stream {
		_ = r.writeEvent([]byte("[DONE]"))
		return
	}
	r.extendDeadline()
	r.w.Header().Set(HeaderVerdict, gypsumshelf.Ran.String())
	r.w.Header().Set(HeaderRequestID, string(r.id))
	writeJSON(r.w, http.StatusOK, r.body())
}

// body returns the response body for a caller that does not stream.
func (r *completionResponse) body() any {
	choice := streams.Choice{Text: r.text.String(), FinishReason: &r.finishReason}
	object := "text_completion"
	if strings.HasSuffix(r.path, "/chat/completions") {
		object = "chat.completion"
		return chatCompletion{ID: r.id, Object: object, Choices: []chatChoice{{
			Message:      streams.Delta{Role: "assistant", Content: r.text.String()},
			FinishReason: r.finishReason,
		}}, Usage: usage{CompletionTokens: r.position}}
	}
	return textCompletion{ID: r.id, Object: object, Choices: []streams.Choice{choice}, Usage: usage{CompletionTokens: r.position}}
}

// fail ends the response with an error. Once the stream has started, the error
// is its last event and the [DONE] marker is omitted.
func (r *completionResponse) fail(err *gypsumshelf.Error) {
	if !r.started {
		r.extendDeadline()
		writeError(r.w, r.id, err)
		return
	}
	data, _ := json.Marshal(map[string]errorBody{"error": newErrorBody(r.id, err)})
	_ = r.writeEvent(data)
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
