package soaks

import (
	"bytes"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	// readSlack is the time after its arrival in which a daemon may close a connection whose
	// request it has not read.
	readSlack = 200 * time.Millisecond
	// announcedBefore is the time before a stop signal at which callers hear of it, so that
	// some of them send right before and right after it.
	announcedBefore = 10 * time.Millisecond
	// acceptedAfterStop is the time after a stop signal within which requests must have
	// been sent whose work may be broken off.
	acceptedAfterStop = 3 * time.Second
	// breakOffShare is the last part of the grace period, in which that may happen.
	breakOffShare = 6
	// exitSlack is the time after the grace period in which connections still end.
	exitSlack = time.Second
)

// plannedStops holds when the processes of hosts got their first stop signals.
type plannedStops struct {
	mu     sync.Mutex
	byHost map[*Host]map[int]time.Time // by the number of the start of a process
	next   chan struct{}               // closed when an entry daemon is about to stop
}

// announce tells callers that an entry daemon is about to stop.
func (s *plannedStops) announce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		close(s.next)
	}
	s.next = make(chan struct{})
}

// upcoming returns a channel that is closed when the next entry daemon is about to stop.
func (s *plannedStops) upcoming() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// add records a stop of the host's process. It reports false if that process got a signal
// before.
func (s *plannedStops) add(h *Host, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byHost == nil {
		s.byHost = map[*Host]map[int]time.Time{}
	}
	if s.byHost[h] == nil {
		s.byHost[h] = map[int]time.Time{}
	}
	start := h.Starts()
	if _, stopped := s.byHost[h][start]; stopped {
		return false
	}
	s.byHost[h][start] = now
	return true
}

// of returns when a process of a host got its first signal, zero if it got none.
func (s *plannedStops) of(h *Host, start int) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byHost[h][start]
}

// lastOf returns when a host got its last first signal, zero if it got none.
func (s *plannedStops) lastOf(h *Host) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var last time.Time
	for _, at := range s.byHost[h] {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// StopHosts stops one or two hosts, of which at most one runs a control daemon, and waits
// for a random time. Stops of entry daemons overlap.
func (d *Deployment) StopHosts(r *rand.Rand) {
	entries := d.Entries()
	h := entries[r.IntN(len(entries))]
	var control *Host
	if r.IntN(3) == 0 && !d.isControlStopping() {
		control = d.drawControl(r)
		go d.stopHost(control)
	}
	if !d.stopHost(h) && r.IntN(4) == 0 {
		h.Terminate() // a second signal during the stop
	}
	time.Sleep(time.Duration(300+r.IntN(2200)) * time.Millisecond)
}

// drawControl returns a random control daemon's host, or the leader's half the time.
func (d *Deployment) drawControl(r *rand.Rand) *Host {
	controls := d.Controls()
	drawn := controls[r.IntN(len(controls))]
	if r.IntN(2) == 0 {
		return drawn
	}
	for _, c := range controls {
		if leads, err := c.Metric("gypsumshelf_leader"); err == nil && leads == 1 {
			return c
		}
	}
	return drawn
}

// stopHost stops a host's process unless it got a stop signal before, which it reports.
func (d *Deployment) stopHost(h *Host) bool {
	at := time.Now().Add(announcedBefore)
	if !d.stops.add(h, at) {
		return false
	}
	if !h.control {
		d.stops.announce()
	}
	time.Sleep(time.Until(at))
	h.log.Info("planned stop")
	h.Stop(Grace)
	return true
}

func (d *Deployment) isControlStopping() bool {
	return slices.ContainsFunc(d.Controls(), func(c *Host) bool { return d.stops.lastOf(c).After(time.Now().Add(-Grace - exitSlack)) })
}

// stoppingEntry returns the entry daemon's host that got its stop signal last, or nil if that
// was longer ago than a stop takes.
func (d *Deployment) stoppingEntry() *Host {
	var stopping *Host
	last := time.Now().Add(-Grace - exitSlack)
	for _, h := range d.Entries() {
		if at := d.stops.lastOf(h); at.After(last) {
			stopping, last = h, at
		}
	}
	return stopping
}

// CheckEnd checks, while stops are planned only, that a request without a whole answer was
// not read in whole, was broken off late in a stop, or has reached its deadline.
func (d *Deployment) CheckEnd(c Call) {
	stop := d.stops.of(c.Host, c.Start)
	if !stop.IsZero() {
		d.census.add(c, stop)
	}
	if c.Err == nil || c.isUnread() || c.took() >= c.Deadline {
		return
	}
	late := stop.Add(Grace - Grace/breakOffShare)
	if !stop.IsZero() && c.Sent.Before(stop.Add(acceptedAfterStop)) && !c.Run.Until.Before(late) && c.Ended.Before(stop.Add(Grace+exitSlack)) {
		return
	}
	d.cfg.Checker.Violationf("request %s to %s, which ran %d times, ended %v after it was sent without a whole answer: %v", c.ID, c.Host.Name(), c.Run.Count, c.took().Round(time.Millisecond), c.Err)
}

// CheckNoCallerGone checks, while callers stay, that no entry daemon has taken the end of a
// request for one that its caller brought about.
func (d *Deployment) CheckNoCallerGone() {
	for _, h := range d.Entries() {
		log, err := os.ReadFile(h.LogFile())
		if err != nil {
			d.cfg.Checker.Violationf("the log of %s cannot be read: %v", h.Name(), err)
			continue
		}
		for line := range bytes.Lines(log) {
			if bytes.Contains(line, []byte(`"outcome":"caller-gone"`)) {
				d.cfg.Checker.Violationf("%s has taken a caller for gone: %.400s", h.Name(), line)
			}
		}
	}
}
