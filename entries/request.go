package entries

import (
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"slices"

	"github.com/google/uuid"

	"gypsumshelf.example/gypsumshelf"
)

// bytesPerToken estimates the tokens of a prompt: a million tokens are 4 MB.
const bytesPerToken = 4

// defaultMaxTokens bounds the generated tokens of a request that states none.
const defaultMaxTokens = 256

// prefixBytes is the length of the prompt start that identifies a shared prefix.
const prefixBytes = 1024

// body is a caller's request body as it is sent to an engine.
type body struct {
	data   []byte
	stream bool // the caller asked for a stream
}

// fields are the parts of a completion request that the daemon reads.
type fields struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

func (h *Handler) parse(w http.ResponseWriter, r *http.Request) (gypsumshelf.Request, body, *gypsumshelf.Error) {
	req := gypsumshelf.Request{
		ID:         requestID(r),
		Workspace:  r.Header.Get(HeaderWorkspace),
		Key:        r.Header.Get(HeaderKey),
		Idempotent: true,
		Arrived:    h.cfg.Now(),
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.cfg.MaxBodyBytes))
	if err != nil {
		return req, body{}, bodyError(err, h.cfg.MaxBodyBytes)
	}
	f, failure := parseFields(data)
	if failure != nil {
		return req, body{}, failure
	}
	if failure := h.checkNames(r, &req); failure != nil {
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
	return req, body{data: withStream(data, f.Stream), stream: f.Stream}, nil
}

func requestID(r *http.Request) gypsumshelf.RequestID {
	if id := r.Header.Get(HeaderRequestID); id != "" {
		return gypsumshelf.RequestID(id)
	}
	return gypsumshelf.RequestID(uuid.NewString())
}

func bodyError(err error, limit int64) *gypsumshelf.Error {
	tooLarge := new(http.MaxBytesError)
	if errors.As(err, &tooLarge) {
		return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBodyTooLarge, "request body is larger than %d bytes", limit)
	}
	return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest, "request body cannot be read: %v", err)
}

func (h *Handler) checkNames(r *http.Request, req *gypsumshelf.Request) *gypsumshelf.Error {
	if len(h.cfg.Workspaces) > 0 && !slices.Contains(h.cfg.Workspaces, req.Workspace) {
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
	case f.MaxTokens < 0:
		return f, gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBadRequest, "field %q is negative", "max_tokens")
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
	var whole map[string]json.RawMessage
	if err := json.Unmarshal(data, &whole); err != nil {
		return data
	}
	whole["stream"] = json.RawMessage("true")
	out, err := json.Marshal(whole)
	if err != nil {
		return data
	}
	return out
}

func hashOf(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b)
	return h.Sum64()
}
