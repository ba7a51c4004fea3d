package entries

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"gypsumshelf.example/gypsumshelf"
)

// bytesPerToken estimates the tokens of a prompt: a million tokens are 4 MB.
const bytesPerToken = 4

// defaultMaxTokens bounds the generated tokens of a request that states none.
const defaultMaxTokens = 256

// maxMaxTokens bounds the generated tokens that a request may state, so that
// sums of tokens cannot overflow.
const maxMaxTokens = 1 << 30

// prefixBytes is the length of the prompt start that identifies a shared prefix.
const prefixBytes = 1024

// body is a caller's request body as it is sent to an engine.
type body struct {
	data   []byte
	model  string // name of the model in data
	stream bool   // the caller asked for a stream
	lease  *lease
}

// fields are the parts of a completion request that the daemon reads.
type fields struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

// describe returns a request with what the headers say of it.
func (h *Handler) describe(r *http.Request) (gypsumshelf.Request, *gypsumshelf.Error) {
	id, ok := requestID(r)
	req := gypsumshelf.Request{
		ID: id, Workspace: r.Header.Get(HeaderWorkspace), Key: r.Header.Get(HeaderKey), Arrived: h.cfg.Now(),
	}
	if !ok {
		return req, gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest,
			"header %s is longer than %d bytes or has a character that is not allowed", HeaderRequestID, maxIDBytes)
	}
	failure := h.checkNames(r, &req)
	return req, failure
}

func (h *Handler) parse(w http.ResponseWriter, r *http.Request) (gypsumshelf.Request, body, *gypsumshelf.Error) {
	req, failure := h.describe(r)
	if failure != nil {
		return req, body{}, failure
	}
	req.Idempotent = true
	data, lease, failure := h.read(w, r)
	if failure != nil {
		return req, body{}, failure
	}
	f, failure := parseFields(data)
	if failure != nil {
		lease.free()
		return req, body{}, failure
	}
	prompt := f.prompt()
	req.Model = f.Model
	req.PromptTokens = max(1, len(prompt)/bytesPerToken)
	req.MaxTokens = f.MaxTokens
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	req.BodyHash = hashOf(data)
	req.PrefixHash = hashOf(prompt[:min(len(prompt), prefixBytes)])
	return req, body{data: withStream(data, f.Stream), model: f.Model, stream: f.Stream, lease: lease}, nil
}

// requestID returns the id that the caller states, or a new one. It reports
// false with a new id when the stated one is not acceptable.
func requestID(r *http.Request) (gypsumshelf.RequestID, bool) {
	id := r.Header.Get(HeaderRequestID)
	ok := len(id) <= maxIDBytes && !strings.ContainsFunc(id, unfitForID)
	if id == "" || !ok {
		return gypsumshelf.RequestID(uuid.NewString()), ok
	}
	return gypsumshelf.RequestID(id), true
}

// maxIDBytes bounds the request id that a caller may state.
const maxIDBytes = 128

// unfitForID reports whether a rune must not be part of a request id, which
// becomes part of a header and of a URL path of calls to engines.
func unfitForID(c rune) bool {
	return c > '~' || c <= ' ' || strings.ContainsRune("/?#%\\\"", c)
}

func bodyError(err error, limit int64) *gypsumshelf.Error {
	known := new(gypsumshelf.Error)
	if errors.As(err, &known) {
		return known
	}
	if errors.As(err, new(*http.MaxBytesError)) {
		return tooLarge(limit)
	}
	return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest, "request body cannot be read: %v", err)
}

func (h *Handler) checkNames(r *http.Request, req *gypsumshelf.Request) *gypsumshelf.Error {
	if len(h.workspaces) > 0 && !h.workspaces[req.Workspace] {
		return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeUnknownWorkspace, "workspace %q does not exist", req.Workspace)
	}
	name := r.Header.Get(HeaderClass)
	if name == "" {
		name = gypsumshelf.DefaultClassName
	}
	class, ok := h.cfg.Class(r.Context(), name)
	if !ok {
		return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeUnknownClass, "class %q does not exist", name)
	}
	req.Class = class
	return nil
}

func parseFields(data []byte) (fields, *gypsumshelf.Error) {
	var f fields
	if err := json.Unmarshal(data, &f); err != nil {
		return f, gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest, "request body is not valid JSON: %v", err)
	}
	switch {
	case f.Model == "":
		return f, gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest, "field %q is missing", "model")
	case f.prompt() == nil:
		return f, gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest, "fields %q and %q are both missing", "prompt", "messages")
	case f.MaxTokens < 0 || f.MaxTokens > maxMaxTokens:
		return f, gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest, "field %q is not between 0 and %d", "max_tokens", maxMaxTokens)
	}
	return f, nil
}

func (f fields) prompt() []byte {
	if f.Prompt != nil {
		return f.Prompt
	}
	return f.Messages
}

// withStream returns the body with streaming switched on, since the daemon
// always reads a stream from the engine.
func withStream(data []byte, stream bool) []byte {
	if stream {
		return data
	}
	return withField(data, "stream", json.RawMessage("true"))
}

// as returns the body with the name by which an engine knows the model.
func (b *body) as(model string) []byte {
	if model != "" && model != b.model {
		name, err := json.Marshal(model)
		if err != nil {
			return b.data
		}
		b.data, b.model = withField(b.data, "model", name), model
	}
	return b.data
}

func withField(data []byte, key string, value json.RawMessage) []byte {
	var whole map[string]json.RawMessage
	if err := json.Unmarshal(data, &whole); err != nil {
		return data
	}
	whole[key] = value
	out, err := json.Marshal(whole)
	if err != nil {
		return data
	}
	return out
}

// hashOf returns a hash that every daemon computes alike. It is cryptographic,
// so that nobody can make another caller's body share a quarantine.
func hashOf(parts ...[]byte) uint64 {
	h := sha256.New()
	for _, b := range parts {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(b))))
		_, _ = h.Write(b)
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}
