package soaks

import (
	"fmt"
	"net/http"
	"sync"
)

// maxViolations bounds the broken promises that are listed.
const maxViolations = 20

// Checker collects what callers and runners saw.
type Checker struct {
	mu           sync.Mutex
	violations   []string
	notRun       map[string]bool // requests that were said not to have run
	atMostOnce   map[string]bool // requests that may run once only
	acknowledged uint64          // newest acknowledged
	requests     int
	served       int
}

// NewChecker returns a Checker that has seen nothing.
func NewChecker() *Checker {
	return &Checker{notRun: map[string]bool{}, atMostOnce: map[string]bool{}}
}

// Violationf notes a broken promise.
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

// Violations returns the broken promises.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Response is a caller's answer.
type Response struct {
	Status            int
	Body              string
	Complete          bool   // it arrived in full
	RequestID         string // request that it names
	FromBackendServer bool   // a backend server made it
	AtMostOnce        bool   // the request must not run more than once
	WantBody          string // body of a good answer
}

// CheckResponse checks an answer by itself.
func (c *Checker) CheckResponse(id string, a Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	if a.AtMostOnce {
		c.atMostOnce[id] = true
	}
	switch {
	case a.Status == http.StatusServiceUnavailable:
		c.notRun[id] = true
		return
	case a.Status != http.StatusOK || !a.Complete:
		return
	}
	c.served++
	if a.Body != a.WantBody || a.RequestID != id || !a.FromBackendServer {
		c.addViolation(fmt.Sprintf("request %s got the answer %q with ID %q", id, a.Body, a.RequestID))
	}
}

// RecordAcknowledged notes a configuration that was acknowledged.
func (c *Checker) RecordAcknowledged(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged = max(c.acknowledged, version)
}

// CheckRead checks a configuration that a daemon returned.
func (c *Checker) CheckRead(host string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < c.acknowledged {
		c.addViolation(fmt.Sprintf("%s returns configuration %d after %d was acknowledged", host, version, c.acknowledged))
	}
}

// CheckRuns checks how often backend servers ran each request against what its caller
// was told.
func (c *Checker) CheckRuns(total map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, n := range total {
		if c.atMostOnce[id] && n > 1 {
			c.addViolation(fmt.Sprintf("request %s ran %d times", id, n))
		}
		if c.atMostOnce[id] && c.notRun[id] {
			c.addViolation(fmt.Sprintf("request %s ran although its caller was told that it had not", id))
		}
	}
}

// Counts returns the numbers of requests sent and served.
func (c *Checker) Counts() (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests, c.served
}
