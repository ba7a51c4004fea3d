package soaks

import (
	"fmt"
	"sync"
	"time"
)

const (
	// volleySize is the number of connections of a volley.
	volleySize = 40
	// volleyGap is the time between two requests of a volley, and volleyLead the time by
	// which it begins before the moment.
	volleyGap  = time.Millisecond
	volleyLead = 5 * time.Millisecond
)

// closeMoments are the times after a stop signal at which an entry daemon begins to close idle
// connections, with no request in progress and with some: when it takes requests no longer,
// and when it breaks off.
var closeMoments = [...]time.Duration{2500 * time.Millisecond, Grace - 400*time.Millisecond}

// RunVolleys sends volleys until stop is closed: on connections that are idle since before
// the stop of an entry daemon, at the moments at which it may close them.
func (c *Caller) RunVolleys(stop <-chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-c.Deployment.stops.upcoming():
		}
		if h := c.Deployment.stoppingEntry(); h != nil {
			wg.Go(func() { c.volley(h, i) })
		}
	}
}

func (c *Caller) volley(h *Host, n int) {
	stopped := c.Deployment.stops.lastOf(h)
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range volleySize {
		moment := closeMoments[i%len(closeMoments)]
		at := stopped.Add(moment - volleyLead + time.Duration(i/len(closeMoments))*volleyGap)
		wg.Go(func() { c.sendAt(h, at, fmt.Sprintf("%s-%d-%d", c.Name, n, i)) })
	}
}

// sendAt sends a request on a new connection at once, and on the same one at a time.
func (c *Caller) sendAt(h *Host, at time.Time, id string) {
	w, err := Dial(h, dialLimit)
	if err != nil {
		return
	}
	defer w.Close()
	path := c.Habit.Paths[0]
	for step, begin := range []time.Time{{}, at} {
		time.Sleep(time.Until(begin))
		call := Call{Host: h, Start: w.start, Path: path, ID: fmt.Sprintf("%s-%d", id, step)}
		req, deadline, err := c.Protocol.Request(h, path, call.ID)
		if err != nil {
			c.Deployment.cfg.Checker.Violationf("request %s cannot be created: %v", call.ID, err)
			return
		}
		call.Deadline = deadline
		if _, keep := c.send(w, req, Pace{}, call); !keep {
			return
		}
	}
}
