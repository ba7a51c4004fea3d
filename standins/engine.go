package standins

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/engines"
	"gypsumshelf.example/gypsumshelf/streams"
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	Model         string
	PrefillRate   float64       // prompt tokens per second, shared by all requests
	TokenInterval time.Duration // time between generated tokens
	MemoryTokens  int
}

// Engine is a stand-in model engine.
type Engine struct {
	cfg EngineConfig
	mux *http.ServeMux

	mu      sync.Mutex
	free    time.Time // time at which the prefill queue is empty
	running int
	tokens  int
}

// NewEngine returns an Engine.
func NewEngine(cfg EngineConfig) *Engine {
	e := &Engine{cfg: cfg, mux: http.NewServeMux()}
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Load returns the load that the engine reports.
func (e *Engine) Load() gypsumshelf.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return gypsumshelf.Load{Running: e.running, UsedTokens: e.tokens}
}

type completionBody struct {
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
}

type message struct {
	Content string `json:"content"`
}

func (b completionBody) prompt() string {
	text := b.Prompt
	for _, m := range b.Messages {
		text += m.Content
	}
	return text
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var body completionBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.Header().Set(engines.HeaderNotRun, "true")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prompt := body.prompt()
	wait := e.begin(len(prompt) / 4)
	defer e.end(len(prompt) / 4)
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
		return
	}
	e.generate(w, r, prompt, body.MaxTokens)
}

// begin adds a prompt to the prefill queue and returns its wait.
func (e *Engine) begin(tokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	e.tokens += tokens
	now := time.Now()
	if e.free.Before(now) {
		e.free = now
	}
	e.free = e.free.Add(time.Duration(float64(tokens) / e.cfg.PrefillRate * float64(time.Second)))
	return e.free.Sub(now)
}

func (e *Engine) end(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.tokens -= tokens
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, prompt string, n int) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(prompt))
	start, _ := strconv.Atoi(r.Header.Get(engines.HeaderResume))
	w.Header().Set("Content-Type", "text/event-stream")
	ticker := time.NewTicker(max(e.cfg.TokenInterval, time.Microsecond))
	defer ticker.Stop()
	chat := r.URL.Path == "/v1/chat/completions"
	for i := start; i < n; i++ {
		data, err := json.Marshal(chunk(r.Header.Get(engines.HeaderAttempt), i, n, token(h.Sum32(), i), chat))
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func chunk(id string, position, n int, text string, chat bool) streams.Chunk {
	c := streams.Chunk{ID: id, Position: &position, Tokens: 1, Choices: []streams.Choice{{}}}
	if chat {
		c.Choices[0].Delta = &streams.Delta{Content: text}
	} else {
		c.Choices[0].Text = text
	}
	if position == n-1 {
		reason := "stop"
		c.Choices[0].FinishReason = &reason
	}
	return c
}
