package soaks

import (
	"fmt"
	"net/http"
	"sync"
)

// maxViolations bounds the number of violations that are listed.
const maxViolations = 20

// Checker collects the observations of callers and backend servers, and lists
// the guarantees that they violate.
type Checker struct {
	mu           sync.Mutex
	violations   []string
	notRun       map[string]bool // IDs of requests refused with 503, which states that they did not run
	atMostOnce   map[string]bool // IDs of requests that must not run twice
	acknowledged uint64          // newest acknowledged configuration version
	requests     int
	served       int
}

// NewChecker returns a Checker without observations.
func NewChecker() *Checker {
	return &Checker{notRun: map[string]bool{}, atMostOnce: map[string]bool{}}
}

// Violationf records a violated guarantee.
func (c *Checker) Violationf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(fmt.Sprintf(format, args...))
}

func (c *Checker) addViolation(text string) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, text)
	}
}

// Violations returns the recorded violations, at most maxViolations.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Response is the response that a caller received, with what it expected.
type Response struct {
	Status            int
	Body              string
	Complete          bool   // the body was received to its end
	RequestID         string // request ID stated in the response
	FromBackendServer bool   // it carries the seal header of a backend server
	AtMostOnce        bool   // the request must not run twice
	WantBody          string // body of a correct response
}

// CheckResponse checks the response to one request.
func (c *Checker) CheckResponse(id string, r Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	if r.AtMostOnce {
		c.atMostOnce[id] = true
	}
	switch {
	case r.Status == http.StatusServiceUnavailable:
		c.notRun[id] = true
		return
	case r.Status != http.StatusOK || !r.Complete:
		return
	}
	c.served++
	if r.Body != r.WantBody || r.RequestID != id || !r.FromBackendServer {
		c.addViolation(fmt.Sprintf("request %s got body %.80q, want %.80q, with request ID %q", id, r.Body, r.WantBody, r.RequestID))
	}
}

// RecordAcknowledged records the version of an acknowledged configuration.
func (c *Checker) RecordAcknowledged(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged = max(c.acknowledged, version)
}

// CheckRead checks that a daemon returned no version older than an acknowledged
// one.
func (c *Checker) CheckRead(host string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < c.acknowledged {
		c.addViolation(fmt.Sprintf("%s returned configuration version %d after version %d was acknowledged", host, version, c.acknowledged))
	}
}

// CheckRuns checks how often backend servers ran each request that must not run
// twice: at most once, and not at all when it was refused with status 503. total
// maps request IDs to their runs.
func (c *Checker) CheckRuns(total map[string]Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, run := range total {
		n := run.Count
		if c.atMostOnce[id] && n > 1 {
			c.addViolation(fmt.Sprintf("request %s ran %d times, want at most once", id, n))
		}
		if c.atMostOnce[id] && c.notRun[id] {
			c.addViolation(fmt.Sprintf("request %s ran although it was refused with status 503", id))
		}
	}
}

// Counts returns the numbers of requests sent and served.
func (c *Checker) Counts() (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests, c.served
}
