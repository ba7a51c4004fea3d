package standins

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf/timers"
)

// Ledger counts how often each call ran, over all plain servers of a fleet.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}} }

func (l *Ledger) ran(call string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[call]++
	return l.runs[call]
}

// Runs returns the number of runs by call id.
func (l *Ledger) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make(map[string]int, len(l.runs))
	for call, n := range l.runs {
		runs[call] = n
	}
	return runs
}

// PlainConfig configures a Plain.
type PlainConfig struct {
	Ledger   *Ledger
	WorkTime time.Duration // duration of a call
}

// Plain is a stand-in for a server of a plain service. POST /calls/{id} is not
// idempotent: each run is counted, so that a check can find calls that ran
// twice. GET /calls/{id} is idempotent and not counted.
type Plain struct {
	cfg PlainConfig

	mu       sync.Mutex
	running  int
	arrivals int
	last     time.Time
	faults   Faults
}

// NewPlain returns a Plain.
func NewPlain(cfg PlainConfig) *Plain { return &Plain{cfg: cfg} }

// PlainAnswer is the response body of a plain service.
type PlainAnswer struct {
	Call string `json:"call"`
	Runs int    `json:"runs"` // of this call until now, 0 for GET
}

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i := strings.LastIndex(r.URL.Path, "/calls/")
	if i < 0 {
		http.NotFound(w, r)
		return
	}
	call := r.URL.Path[i+len("/calls/"):]
	faults := p.begin()
	defer p.end()
	answer := PlainAnswer{Call: call}
	if r.Method == http.MethodPost {
		answer.Runs = p.cfg.Ledger.ran(call)
	}
	if faults.DropAfterRead {
		panic(http.ErrAbortHandler)
	}
	if faults.Freeze {
		<-r.Context().Done()
		return
	}
	if timers.Pause(r.Context(), p.cfg.WorkTime) {
		writeJSON(w, answer)
	}
}

func (p *Plain) begin() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
	p.arrivals++
	p.last = time.Now()
	return p.faults
}

func (p *Plain) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

// SetFaults sets the faults of calls that arrive from now on.
func (p *Plain) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Running returns the number of calls in progress.
func (p *Plain) Running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}

// Arrivals returns the number of calls received and the time of the last one.
func (p *Plain) Arrivals() (int, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.arrivals, p.last
}
