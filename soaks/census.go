package soaks

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// census counts how the requests ended that met a planned stop, by the path and by what they
// were doing when the signal came. The zero value is ready to use.
type census struct {
	mu     sync.Mutex
	counts map[censusKey]censusEntry
}

type censusKey struct{ path, phase, end string }

type censusEntry struct {
	count   int
	longest time.Duration // from the signal to the end
	waited  int           // of those, requests that ended later than the grace period after they were sent
}

// add counts a request at a daemon that got its stop signal before the end of the request.
func (c *census) add(call Call, stop time.Time) {
	if call.Ended.Before(stop) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[censusKey]censusEntry{}
	}
	key := censusKey{path: call.Path, phase: call.phaseAt(stop), end: call.end()}
	e := c.counts[key]
	e.count++
	e.longest = max(e.longest, call.Ended.Sub(stop))
	if call.took() > Grace {
		e.waited++
	}
	c.counts[key] = e
}

// phaseAt returns what a request was doing at a time.
func (c *Call) phaseAt(t time.Time) string {
	switch {
	case c.Sent.After(t):
		return "sent-later"
	case c.Run.Count == 0 || c.Run.Begun.After(t):
		return "waiting" // for its body, for memory or for a server
	case c.Run.Answered.IsZero() || c.Run.Answered.After(t):
		return "running"
	case c.Run.Until.After(t):
		return "streaming"
	}
	return "answered"
}

// end returns how a request ended.
func (c *Call) end() string {
	switch {
	case c.isUnread():
		return "unread"
	case c.Err != nil && c.took() >= c.Deadline:
		return "timed-out"
	case c.Response == nil:
		return "cut"
	case c.Err != nil:
		return "broken-off"
	}
	return fmt.Sprint(c.Response.StatusCode)
}

// Census returns a line for each path, each thing that requests were doing at the signals of
// planned stops, and each way in which they ended.
func (d *Deployment) Census() []string {
	d.census.mu.Lock()
	defer d.census.mu.Unlock()
	var lines []string
	for key, e := range d.census.counts {
		lines = append(lines, fmt.Sprintf("%s %s %s: %d, up to %v after the signal, %d longer than the grace period",
			strings.Trim(key.path, "/"), key.phase, key.end, e.count, e.longest.Round(time.Millisecond), e.waited))
	}
	slices.Sort(lines)
	return lines
}
