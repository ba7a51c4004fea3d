package soaks

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// maxPause bounds the time between two requests of a caller.
	maxPause = 60 * time.Millisecond
	// dialLimit bounds the time for a connection.
	dialLimit = time.Second
	// answerSlack is the time after its deadline for which a caller waits for an answer.
	answerSlack = time.Second
)

// Habit is how a caller sends its requests.
type Habit struct {
	Paths []string
	Pace  Pace // the longest times; each request has random ones
	// Fresh is set for callers that open a connection for each request. The others keep one
	// to each daemon.
	Fresh bool
	// FollowsStops is set for callers that prefer the daemon that stops, from right before
	// its signal until its process is gone.
	FollowsStops bool
}

// Call is a request with its end.
type Call struct {
	Host     *Host
	Start    int // number of the start of the host's process
	Path, ID string
	Deadline time.Duration
	Sent     time.Time
	Ended    time.Time
	Run      Run
	Answer
}

// isUnread reports whether the daemon closed the connection before it could have read the
// request, or soon after, without having read it in whole.
func (c *Call) isUnread() bool {
	return c.Response == nil && c.Run.Count == 0 && !c.Read && (!c.Arrived || c.took() <= readSlack)
}

func (c *Call) took() time.Duration { return c.Ended.Sub(c.Sent) }

// Protocol makes the requests of callers and checks their ends.
type Protocol interface {
	Request(h *Host, path, id string) (*http.Request, time.Duration, error) // with its deadline
	Check(Call)
}

// Caller sends requests to entry daemons, one after another.
type Caller struct {
	Name       string
	Habit      Habit
	Deployment *Deployment
	Protocol   Protocol
	Rand       *rand.Rand

	wires map[*Host]*Wire
}

// Run sends requests until stop is closed.
func (c *Caller) Run(stop <-chan struct{}) {
	defer c.Close()
	for i := 0; ; i++ {
		var stopping <-chan struct{}
		if c.Habit.FollowsStops {
			stopping = c.Deployment.stops.upcoming()
		}
		select {
		case <-stop:
			return
		case <-stopping:
			time.Sleep(time.Duration(c.Rand.Int64N(int64(2 * announcedBefore))))
		case <-time.After(time.Duration(c.Rand.Int64N(int64(maxPause)))):
		}
		c.Send(c.drawHost(), c.Habit.Paths[c.Rand.IntN(len(c.Habit.Paths))], fmt.Sprintf("%s-%d", c.Name, i))
	}
}

func (c *Caller) drawHost() *Host {
	if h := c.Deployment.stoppingEntry(); c.Habit.FollowsStops && h != nil && c.Rand.IntN(8) > 0 {
		return h
	}
	entries := c.Deployment.Entries()
	return entries[c.Rand.IntN(len(entries))]
}

// Send sends one request. It returns the status, 0 when there was no response.
func (c *Caller) Send(h *Host, path, id string) int {
	req, deadline, err := c.Protocol.Request(h, path, id)
	if err != nil {
		c.Deployment.cfg.Checker.Violationf("request %s cannot be created: %v", id, err)
		return 0
	}
	w, err := c.wire(h)
	if err != nil {
		return 0 // a daemon that is down
	}
	pace := Pace{Write: c.draw(c.Habit.Pace.Write), Read: c.draw(c.Habit.Pace.Read)}
	status, keep := c.send(w, req, pace, Call{Host: h, Start: w.start, Path: path, ID: id, Deadline: deadline})
	if !keep || pace.Write > 0 || c.Habit.Fresh {
		w.Close()
		delete(c.wires, h)
	}
	return status
}

// send sends a request on a connection. It returns the status, 0 when there was no response,
// and whether the connection stays open.
func (c *Caller) send(w *Wire, req *http.Request, pace Pace, call Call) (int, bool) {
	call.Sent = time.Now()
	call.Answer = w.Exchange(req, pace, call.Deadline+answerSlack)
	call.Ended = time.Now()
	c.Protocol.Check(call)
	if call.Response == nil {
		return 0, false
	}
	return call.Response.StatusCode, call.Err == nil && !call.Response.Close
}

func (c *Caller) wire(h *Host) (*Wire, error) {
	if w := c.wires[h]; w != nil {
		return w, nil
	}
	w, err := Dial(h, dialLimit)
	if err == nil {
		if c.wires == nil {
			c.wires = map[*Host]*Wire{}
		}
		c.wires[h] = w
	}
	return w, err
}

// draw returns a random time up to a limit, zero for zero.
func (c *Caller) draw(limit time.Duration) time.Duration {
	if limit == 0 {
		return 0
	}
	return time.Duration(1 + c.Rand.Int64N(int64(limit)))
}

// Close closes the connections.
func (c *Caller) Close() {
	for _, w := range c.wires {
		w.Close()
	}
}
