package standins

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/engines"
)

// bytesPerToken is the length of a prompt token in bytes.
const bytesPerToken = 4

// EngineConfig configures an Engine. Times and rates are those of the simulated
// engine; TimeScale speeds them up.
type EngineConfig struct {
	Model             string
	TimeScale         float64       // factor by which the stand-in is faster, 0 means 1
	PrefillRate       float64       // prompt tokens per second, shared by all requests
	TokenInterval     time.Duration // time between generated tokens
	MaxBatch          int           // concurrent streams at full speed; more slow down all, 0 for no limit
	MemoryTokens      int           // capacity for prompt and generated tokens, 0 for no limit
	CacheTokens       int           // capacity of the prefix cache in prompt tokens, 0 for no cache
	CacheDelay        time.Duration // time until a cache event becomes readable
	CacheGapEvery     int           // every n-th cache event is lost, 0 for none
	LoadLag           time.Duration // delay of the reported load
	ColdMaxRequests   int           // concurrent requests above which a cold engine fails all of them, 0 for no limit
	RequestsUntilWarm int           // completed requests after which the engine is warm, 0 for always warm
	StartWarm         bool          // the engine starts warm
	ColdSlowdown      float64       // factor by which a cold engine is slower
	CrashMark         string        // a prompt that contains it crashes the engine, empty for none
	ChecksFencing     bool          // rejects orders with an outdated fencing number
	OnCrash           func()        // called once after a crash, may be nil
}

// Engine is a stand-in for a model engine. It streams deterministic answers and
// simulates prefill, memory, the prefix cache, warm-up and faults.
type Engine struct {
	cfg         EngineConfig
	mux         *http.ServeMux
	ctx         context.Context
	cancel      context.CancelFunc
	prefill     *prefillQueue
	memory      *memory
	cache       *prefixCache
	warmup      *warmup
	orders      *orderHandler
	delayedLoad *delayedLoad

	mu          sync.Mutex
	running     map[string]context.CancelFunc
	arrivals    int
	lastArrival time.Time
	faults      Faults
	crashOnce   sync.Once
}

// NewEngine returns a running Engine.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.TimeScale == 0 {
		cfg.TimeScale = 1
	}
	e := &Engine{
		cfg: cfg, mux: http.NewServeMux(), running: map[string]context.CancelFunc{},
		memory:      newMemory(cfg.MemoryTokens),
		warmup:      newWarmup(warmupConfig{MaxRequests: cfg.ColdMaxRequests, RequestsUntilWarm: cfg.RequestsUntilWarm, Slowdown: cfg.ColdSlowdown, StartWarm: cfg.StartWarm}),
		orders:      &orderHandler{checksFencing: cfg.ChecksFencing},
		delayedLoad: &delayedLoad{lag: cfg.scaled(cfg.LoadLag)},
		cache: newPrefixCache(cacheConfig{
			Blocks: cfg.CacheTokens * bytesPerToken / cacheBlockBytes,
			Delay:  cfg.scaled(cfg.CacheDelay), GapEvery: cfg.CacheGapEvery,
		}),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.prefill = newPrefillQueue(e.ctx, e.prefillTime)
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("DELETE /v1/requests/{id}", e.cancelRequest)
	e.mux.HandleFunc("GET /v1/cache/events", e.cacheEvents)
	e.mux.Handle("POST /v1/orders", e.orders)
	newKVStore(e.memory).register(e.mux)
	return e
}

func (c EngineConfig) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / max(c.TimeScale, 1e-9))
}

// ServeHTTP implements http.Handler. A crashed engine closes the connection.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// Close stops the engine: it aborts all requests in progress and closes the
// connections of later ones.
func (e *Engine) Close() { e.cancel() }

// Load returns the load that the engine reports, which is delayed by LoadLag.
func (e *Engine) Load() gypsumshelf.Load {
	e.mu.Lock()
	running := len(e.running)
	e.mu.Unlock()
	queued := e.prefill.pending()
	return e.delayedLoad.record(time.Now(), gypsumshelf.Load{
		Running: max(0, running-queued), Queued: queued, UsedTokens: e.memory.inUse(),
	})
}

// MakeCold makes the engine cold and clears its prefix cache without a cache event.
func (e *Engine) MakeCold() {
	e.warmup.makeCold()
	e.cache.clear()
}

// Running returns the number of requests in progress.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// Arrivals returns the number of completion requests that were not refused, and
// the arrival time of the last one.
func (e *Engine) Arrivals() (int, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivals, e.lastArrival
}

// Collapses returns how often the engine was overloaded while cold and failed
// all its requests.
func (e *Engine) Collapses() int {
	_, n := e.warmup.state()
	return n
}

// SetFaults sets the faults of requests that arrive from now on.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Orders returns the accepted orders.
func (e *Engine) Orders() []engines.Order { return e.orders.list() }

func (e *Engine) prefillTime(tokens int) time.Duration {
	seconds := float64(tokens) / e.cfg.PrefillRate * e.warmup.slowdown() / e.cfg.TimeScale
	return time.Duration(seconds * float64(time.Second))
}

func (e *Engine) cancelRequest(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	cancel := e.running[r.PathValue("id")]
	e.mu.Unlock()
	if cancel == nil {
		http.NotFound(w, r)
		return
	}
	cancel()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	writeJSON(w, e.cache.eventsSince(time.Now(), after))
}

type completionRequest struct {
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
}

type message struct {
	Content string `json:"content"`
}

func (b completionRequest) prompt() string {
	text := b.Prompt
	for _, m := range b.Messages {
		text += m.Content
	}
	return text
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var body completionRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	prompt := body.prompt()
	if e.cfg.CrashMark != "" && strings.Contains(prompt, e.cfg.CrashMark) {
		e.crash()
	}
	tokens := len(prompt)/bytesPerToken + body.MaxTokens
	if !e.memory.allocate(time.Now(), tokens) {
		refuse(w, http.StatusServiceUnavailable, "memory is full")
		return
	}
	defer e.memory.free(tokens)
	priority, _ := strconv.Atoi(r.Header.Get(engines.HeaderPriority))
	start, _ := strconv.Atoi(r.Header.Get(engines.HeaderResume))
	g := &generation{
		engine: e, w: w, id: r.Header.Get(engines.HeaderAttempt), prompt: prompt,
		priority: priority, start: start, end: body.MaxTokens,
		chat: r.URL.Path == "/v1/chat/completions",
	}
	ctx, finish := e.startRequest(r.Context(), g)
	defer finish()
	if !g.run(ctx) {
		panic(http.ErrAbortHandler)
	}
	e.warmup.recordCompletion()
}

// crash simulates a crash of the engine: all requests in progress are aborted.
func (e *Engine) crash() {
	e.cancel()
	if e.cfg.OnCrash != nil {
		e.crashOnce.Do(e.cfg.OnCrash)
	}
	panic(http.ErrAbortHandler)
}

// startRequest registers a request. Its context ends when the caller
// disconnects, the request is cancelled, the engine crashes, or the engine is
// overloaded while cold. The returned function removes the request.
func (e *Engine) startRequest(parent context.Context, g *generation) (context.Context, func()) {
	ctx, cancel := context.WithCancel(parent)
	stop := context.AfterFunc(e.ctx, cancel)
	e.mu.Lock()
	e.arrivals++
	e.lastArrival = time.Now()
	g.faults = e.faults
	if g.id == "" {
		g.id = strconv.Itoa(e.arrivals)
	}
	e.running[g.id] = cancel
	if e.warmup.checkOverload(len(e.running)) {
		for _, c := range e.running {
			c()
		}
	}
	e.mu.Unlock()
	return ctx, func() {
		e.mu.Lock()
		delete(e.running, g.id)
		e.mu.Unlock()
		stop()
		cancel()
	}
}
