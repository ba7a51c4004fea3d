package soaks

import (
	"fmt"
	"net/http"
	"sync"
)

// maxFound bounds the broken promises that are listed.
const maxFound = 20

// Checker collects what callers and runners saw.
type Checker struct {
	mu       sync.Mutex
	breaks   []string
	refused  map[string]bool // requests that were said not to have run
	unsafe   map[string]bool // requests that may run once only
	version  uint64          // newest acknowledged
	requests int
	served   int
}

// NewChecker returns a Checker that has seen nothing.
func NewChecker() *Checker { return &Checker{refused: map[string]bool{}, unsafe: map[string]bool{}} }

// Broken notes a broken promise.
func (c *Checker) Broken(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(fmt.Sprintf(format, args...))
}

func (c *Checker) add(text string) {
	if len(c.breaks) < maxFound {
		c.breaks = append(c.breaks, text)
	}
}

// Found returns the broken promises.
func (c *Checker) Found() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.breaks...)
}

// Answer is a caller's answer.
type Answer struct {
	Status  int
	Body    string
	Whole   bool   // it arrived in full
	Request string // request that it names
	Sealed  bool   // a backend server made it
	Once    bool   // the request must not run more than once
	Want    string // body of a good answer
}

// Answered checks an answer by itself.
func (c *Checker) Answered(id string, a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	if a.Once {
		c.unsafe[id] = true
	}
	switch {
	case a.Status == http.StatusServiceUnavailable:
		c.refused[id] = true
		return
	case a.Status != http.StatusOK || !a.Whole:
		return
	}
	c.served++
	if a.Body != a.Want || a.Request != id || !a.Sealed {
		c.add(fmt.Sprintf("request %s got the answer %q with ID %q", id, a.Body, a.Request))
	}
}

// Acknowledged notes a configuration that was acknowledged.
func (c *Checker) Acknowledged(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version = max(c.version, version)
}

// Read checks a configuration that a daemon returned.
func (c *Checker) Read(host string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < c.version {
		c.add(fmt.Sprintf("%s returns configuration %d after %d was acknowledged", host, version, c.version))
	}
}

// Ran checks how often backend servers ran each request against what its caller
// was told.
func (c *Checker) Ran(total map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, n := range total {
		if c.unsafe[id] && n > 1 {
			c.add(fmt.Sprintf("request %s ran %d times", id, n))
		}
		if c.unsafe[id] && c.refused[id] {
			c.add(fmt.Sprintf("request %s ran although its caller was told that it had not", id))
		}
	}
}

// Counts returns the numbers of requests sent and served.
func (c *Checker) Counts() (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests, c.served
}
