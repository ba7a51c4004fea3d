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
	"gypsumshelf.example/gypsumshelf/buffers"
)

// bytesPerToken is the estimated size of a prompt token: a million tokens are
// 4 MB.
const bytesPerToken = 4

// defaultMaxTokens is the limit of generated tokens for a request without
// max_tokens.
const defaultMaxTokens = 256

// maxTokensLimit is the largest accepted max_tokens. It prevents overflow when
// tokens are summed.
const maxTokensLimit = 1 << 30

// prefixBytes is the length of the prompt prefix that is hashed to find prompts
// with a shared prefix.
const prefixBytes = 1024

// body is a caller's request body as it is sent to an engine.
type body struct {
	data        []byte
	model       string // name of the model in data
	stream      bool   // the caller requested a stream
	reservation *buffers.Reservation
}

// completionFields are the fields of a completion request that the daemon reads.
type completionFields struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

// requestFromHeaders returns a request with the fields that the headers set.
func (h *Handler) requestFromHeaders(r *http.Request) (gypsumshelf.Request, *gypsumshelf.Error) {
	id, ok := requestID(r)
	req := gypsumshelf.Request{
		ID: id, Workspace: r.Header.Get(HeaderWorkspace), Key: r.Header.Get(HeaderKey), Arrived: h.cfg.Now(),
	}
	if !ok {
		return req, gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest,
			"header %s is longer than %d bytes or contains a space, a control or non-ASCII character, or one of / ? # %% \\ \"", HeaderRequestID, maxRequestIDBytes)
	}
	failure := h.resolveWorkspaceAndClass(r, &req)
	return req, failure
}

// parseCompletion reads a completion request and returns it with the body to be
// sent to an engine.
func (h *Handler) parseCompletion(w http.ResponseWriter, r *http.Request) (gypsumshelf.Request, body, *gypsumshelf.Error) {
	req, failure := h.requestFromHeaders(r)
	if failure != nil {
		return req, body{}, failure
	}
	req.Idempotent = true
	data, res, failure := h.readBody(w, r)
	if failure != nil {
		return req, body{}, failure
	}
	f, failure := parseCompletionFields(data)
	if failure != nil {
		res.Release()
		return req, body{}, failure
	}
	prompt := f.prompt()
	req.Model = f.Model
	req.PromptTokens = max(1, len(prompt)/bytesPerToken)
	req.MaxTokens = f.MaxTokens
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	req.BodyHash = stableHash(data)
	req.PrefixHash = stableHash(prompt[:min(len(prompt), prefixBytes)])
	return req, body{data: withStreaming(data, f.Stream), model: f.Model, stream: f.Stream, reservation: res}, nil
}

// requestID returns the request id from the header, or a new one if the header
// is missing. If the id is invalid, it returns a new one and false.
func requestID(r *http.Request) (gypsumshelf.RequestID, bool) {
	id := r.Header.Get(HeaderRequestID)
	ok := len(id) <= maxRequestIDBytes && !strings.ContainsFunc(id, forbiddenInRequestID)
	if id == "" || !ok {
		return gypsumshelf.RequestID(uuid.NewString()), ok
	}
	return gypsumshelf.RequestID(id), true
}

// maxRequestIDBytes is the maximum length of a request id set by a caller.
const maxRequestIDBytes = 128

// forbiddenInRequestID reports whether a character must not occur in a request
// id. The id is used in a header and in the URL path of calls to engines.
func forbiddenInRequestID(c rune) bool {
	return c > '~' || c <= ' ' || strings.ContainsRune("/?#%\\\"", c)
}

// bodyReadError returns the error for a body that could not be read.
func bodyReadError(err error, limit int64) *gypsumshelf.Error {
	if errors.As(err, new(*http.MaxBytesError)) {
		return bodyTooLargeError(limit)
	}
	return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest, "request body cannot be read: %v", err)
}

// resolveWorkspaceAndClass checks the workspace and sets the class of a request.
func (h *Handler) resolveWorkspaceAndClass(r *http.Request, req *gypsumshelf.Request) *gypsumshelf.Error {
	if h.workspaces != nil && !h.workspaces[req.Workspace] {
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

func parseCompletionFields(data []byte) (completionFields, *gypsumshelf.Error) {
	var f completionFields
	if err := json.Unmarshal(data, &f); err != nil {
		return f, gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest, "request body is not valid JSON: %v", err)
	}
	switch {
	case f.Model == "":
		return f, gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest, "field %q is missing", "model")
	case f.prompt() == nil:
		return f, gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest, "fields %q and %q are both missing", "prompt", "messages")
	case f.MaxTokens < 0 || f.MaxTokens > maxTokensLimit:
		return f, gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest, "field %q is %d, want 0 to %d", "max_tokens", f.MaxTokens, maxTokensLimit)
	}
	return f, nil
}

func (f completionFields) prompt() []byte {
	if f.Prompt != nil {
		return f.Prompt
	}
	return f.Messages
}

// withStreaming returns the body with streaming enabled, since the daemon always
// reads a stream from the engine.
func withStreaming(data []byte, stream bool) []byte {
	if stream {
		return data
	}
	return withField(data, "stream", json.RawMessage("true"))
}

// withModel returns the body with the model name that the engine uses. An empty
// name leaves the body unchanged.
func (b *body) withModel(model string) []byte {
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
	var object map[string]json.RawMessage
	if err := json.Unmarshal(data, &object); err != nil {
		return data
	}
	object[key] = value
	out, err := json.Marshal(object)
	if err != nil {
		return data
	}
	return out
}

// stableHash returns a hash that is the same on every daemon. It is
// cryptographic, so that a caller cannot craft a body that collides with another
// caller's body and gets it quarantined.
func stableHash(parts ...[]byte) uint64 {
	h := sha256.New()
	for _, b := range parts {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(b))))
		_, _ = h.Write(b)
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}
