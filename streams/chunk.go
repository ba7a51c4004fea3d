// Package streams parses the event streams of model engines and checks that
// every chunk belongs to its attempt and continues it without a gap.
package streams

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// maxTokens limits positions and token counts, so that their sums cannot overflow.
const maxTokens = 1 << 30

// Chunk is one event of an engine's completion stream.
type Chunk struct {
	ID       string   `json:"id"`                 // attempt ID
	Position *int     `json:"position,omitempty"` // index of the first token in the chunk
	Tokens   int      `json:"tokens,omitempty"`   // number of tokens in the chunk; 0 means 1 if the chunk has text
	Choices  []Choice `json:"choices"`
	Error    *Failure `json:"error,omitempty"`

	raw []byte // the chunk as the engine sent it
}

// WithID returns the chunk as JSON for the caller: with another ID, without the
// position, and with all other fields as the engine sent them.
func (c Chunk) WithID(id string) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(c.raw, &fields); err != nil {
		return nil, fmt.Errorf("malformed chunk: %w", err)
	}
	name, err := json.Marshal(id)
	if err != nil {
		return nil, err
	}
	fields["id"] = name
	delete(fields, "position")
	return json.Marshal(fields)
}

// Choice is one alternative of a chunk; engines send exactly one.
type Choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text,omitempty"`
	Delta        *Delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason,omitempty"`
}

// Delta is the text of a chat completion chunk.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Failure is an error that an engine reports inside a stream.
type Failure struct {
	Code    string `json:"code,omitempty"`
	Message string `json:"message"`
}

// Text returns the text of the chunk's first choice.
func (c Chunk) Text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	choice := c.Choices[0]
	if choice.Delta != nil {
		return choice.Delta.Content
	}
	return choice.Text
}

// TokenCount returns the number of tokens in the chunk.
func (c Chunk) TokenCount() int {
	if c.Tokens > 0 {
		return c.Tokens
	}
	if c.Text() == "" {
		return 0
	}
	return 1
}

// Finished reports whether the chunk has a finish reason.
func (c Chunk) Finished() bool {
	return len(c.Choices) > 0 && c.Choices[0].FinishReason != nil
}

// ParseChunk decodes and checks the data of one stream event.
func ParseChunk(data []byte) (Chunk, error) {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Chunk{}, fmt.Errorf("malformed chunk: %w", err)
	}
	if len(c.Choices) > 1 {
		return Chunk{}, fmt.Errorf("chunk of %q has %d choices, want one", c.ID, len(c.Choices))
	}
	if c.Tokens > maxTokens || (c.Position != nil && *c.Position > maxTokens) {
		return Chunk{}, fmt.Errorf("chunk of %q has a position or token count over %d", c.ID, maxTokens)
	}
	if c.Tokens < 0 || (c.Position != nil && *c.Position < 0) {
		return Chunk{}, fmt.Errorf("chunk of %q has a negative position or token count", c.ID)
	}
	c.raw = bytes.Clone(data)
	return c, nil
}
