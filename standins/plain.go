package standins

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf/timers"
)

// CallCounter counts how often each call ran, over all plain servers of a fleet.
type CallCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewCallCounter returns a CallCounter without calls.
func NewCallCounter() *CallCounter { return &CallCounter{runs: map[string]int{}} }

func (c *CallCounter) increment(call string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[call]++
	return c.runs[call]
}

// Runs returns the number of runs by call id.
func (c *CallCounter) Runs() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := make(map[string]int, len(c.runs))
	for call, n := range c.runs {
		runs[call] = n
	}
	return runs
}

// PlainServerConfig configures a PlainServer.
type PlainServerConfig struct {
	Calls    *CallCounter
	WorkTime time.Duration // duration of a call
}

// PlainServer is a stand-in for a server of a plain service. POST /calls/{id} is
// not idempotent: each run is counted, so that a check can find calls that ran
// twice. GET /calls/{id} is idempotent and not counted.
type PlainServer struct {
	cfg PlainServerConfig

	mu          sync.Mutex
	running     int
	arrivals    int
	lastArrival time.Time
	faults      Faults
}

// NewPlainServer returns a PlainServer.
func NewPlainServer(cfg PlainServerConfig) *PlainServer { return &PlainServer{cfg: cfg} }

// PlainAnswer is the response body of a plain service.
type PlainAnswer struct {
	Call string `json:"call"`
	Runs int    `json:"runs"` // of this call until now, 0 for GET
}

// ServeHTTP implements http.Handler.
func (p *PlainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i := strings.LastIndex(r.URL.Path, "/calls/")
	if i < 0 {
		http.NotFound(w, r)
		return
	}
	call := r.URL.Path[i+len("/calls/"):]
	faults := p.startCall()
	defer p.endCall()
	answer := PlainAnswer{Call: call}
	if r.Method == http.MethodPost {
		answer.Runs = p.cfg.Calls.increment(call)
	}
	if faults.DropAfterRead {
		panic(http.ErrAbortHandler)
	}
	if faults.Freeze {
		<-r.Context().Done()
		return
	}
	if timers.Sleep(r.Context(), p.cfg.WorkTime) {
		writeJSON(w, answer)
	}
}

func (p *PlainServer) startCall() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
	p.arrivals++
	p.lastArrival = time.Now()
	return p.faults
}

func (p *PlainServer) endCall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

// SetFaults sets the faults of calls that arrive from now on.
func (p *PlainServer) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Running returns the number of calls in progress.
func (p *PlainServer) Running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}

// Arrivals returns the number of calls received and the time of the last one.
func (p *PlainServer) Arrivals() (int, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.arrivals, p.lastArrival
}
