package loadtests

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/standins"
)

// maxEventBytes bounds the length of one line of a stream.
const maxEventBytes = 1 << 20

// checker compares an answer with the expected one, which is a function of the
// prompt. It does not use the stream reader of the daemons, so that it also detects
// faults in that reader.
type checker struct {
	requestID        string // expected in every event
	answer           string // expected complete answer
	now              func() time.Time
	start            time.Time
	outcome          Outcome
	received         int // bytes of the answer received so far
	finishReasonSeen bool
}

func newChecker(req Request, prompt string, start time.Time) *checker {
	return &checker{requestID: req.RequestID, answer: standins.Answer(prompt, req.MaxTokens), now: time.Now, start: start}
}

// errorBody is the JSON form of an error in a response or a stream.
type errorBody struct {
	Code    gypsumshelf.Code    `json:"code"`
	Text    string              `json:"text"`
	Verdict gypsumshelf.Verdict `json:"verdict"`
}

// event is one event of a stream, or the body of an answer that is not streamed.
type event struct {
	ID      string `json:"id"`
	Choices []struct {
		Text         string   `json:"text"`
		Delta        *content `json:"delta"`
		Message      *content `json:"message"`
		FinishReason *string  `json:"finish_reason"`
	} `json:"choices"`
	Error *errorBody `json:"error"`
}

type content struct {
	Content string `json:"content"`
}

func (e event) text() string {
	if len(e.Choices) == 0 {
		return ""
	}
	switch c := e.Choices[0]; {
	case c.Delta != nil:
		return c.Delta.Content
	case c.Message != nil:
		return c.Message.Content
	default:
		return c.Text
	}
}

// checkStream reads an event stream to its end and checks it.
func (c *checker) checkStream(r io.Reader) Outcome {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for s.Scan() {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(s.Bytes()), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, []byte("[DONE]")) {
			return c.checkCompleteness()
		}
		if !c.checkEvent(data) {
			return c.finish()
		}
	}
	err := s.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	c.fail(Broken, fmt.Errorf("stream ended after %d tokens without its [DONE] event: %w", c.outcome.Tokens, err))
	return c.finish()
}

// checkNonStreaming reads and checks an answer that is not streamed.
func (c *checker) checkNonStreaming(r io.Reader) Outcome {
	data, err := io.ReadAll(r)
	if err != nil {
		c.fail(Broken, fmt.Errorf("reading an answer that is not streamed: %w", err))
		return c.finish()
	}
	if !c.checkEvent(data) {
		return c.finish()
	}
	c.outcome.FirstToken = 0 // all tokens arrive together
	return c.checkCompleteness()
}

// checkEvent checks one event and reports whether it is valid, so that reading can
// continue.
func (c *checker) checkEvent(data []byte) bool {
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		c.fail(Wrong, fmt.Errorf("event is not valid JSON: %w", err))
		return false
	}
	if e.Error != nil {
		c.outcome.Code, c.outcome.Verdict = e.Error.Code, e.Error.Verdict
		c.fail(Broken, fmt.Errorf("%s: %s", e.Error.Code, e.Error.Text))
		return false
	}
	if e.ID != c.requestID {
		c.fail(Wrong, fmt.Errorf("event belongs to request %q, want %q", e.ID, c.requestID))
		return false
	}
	text := e.text()
	if text != "" && c.outcome.Tokens == 0 {
		c.outcome.FirstToken = c.now().Sub(c.start)
	}
	if !strings.HasPrefix(c.answer[c.received:], text) {
		c.fail(Wrong, fmt.Errorf("text after token %d is %.40q, want %.40q", c.outcome.Tokens, text, c.answer[c.received:]))
		return false
	}
	c.received += len(text)
	c.outcome.Tokens += strings.Count(text, " ")
	c.finishReasonSeen = c.finishReasonSeen || (len(e.Choices) > 0 && e.Choices[0].FinishReason != nil && *e.Choices[0].FinishReason != "")
	return true
}

// checkCompleteness checks that an answer that ended without an error is complete.
func (c *checker) checkCompleteness() Outcome {
	switch {
	case c.received < len(c.answer):
		c.fail(Wrong, fmt.Errorf("answer ended without an error after %d tokens, but its last tokens are missing", c.outcome.Tokens))
	case !c.finishReasonSeen:
		c.fail(Wrong, fmt.Errorf("answer ended without an error, but has no finish reason"))
	default:
		c.outcome.Result = Whole
		c.outcome.Verdict = gypsumshelf.Ran
	}
	return c.finish()
}

func (c *checker) fail(result Result, err error) { c.outcome.Result, c.outcome.Err = result, err }

// finish returns the outcome with the total time.
func (c *checker) finish() Outcome {
	c.outcome.Total = c.now().Sub(c.start)
	return c.outcome
}
