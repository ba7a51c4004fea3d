package soaks

import (
	"bytes"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	// readSlack is the time after its sending in which a request may cross the close of
	// its connection without that the daemon has read it.
	readSlack = 200 * time.Millisecond
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

func (s *plannedStops) of(h *Host) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.byHost[h]))
}

// StopHosts stops one or two hosts, of which at most one runs a control daemon, and waits
// for a random time. Stops of entry daemons overlap.
func (d *Deployment) StopHosts(r *rand.Rand) {
	entries, controls := d.Entries(), d.Controls()
	h := entries[r.IntN(len(entries))]
	if !d.stopHost(h) && r.IntN(4) == 0 {
		h.Terminate() // a second signal during the stop
	}
	if c := controls[r.IntN(len(controls))]; r.IntN(3) == 0 && !d.isControlStopping() {
		d.stopHost(c)
	}
	time.Sleep(time.Duration(300+r.IntN(2200)) * time.Millisecond)
}

// stopHost stops a host's process unless it got a stop signal before, which it reports.
func (d *Deployment) stopHost(h *Host) bool {
	if !d.stops.add(h, time.Now()) {
		return false
	}
	h.log.Info("planned stop")
	h.Stop(Grace)
	return true
}

func (d *Deployment) isControlStopping() bool {
	for _, c := range d.Controls() {
		for _, at := range d.stops.of(c) {
			if time.Since(at) < Grace+exitSlack {
				return true
			}
		}
	}
	return false
}

// End is the end of a request without a whole answer.
type End struct {
	Host        *Host
	ID          string
	Sent        time.Time
	Deadline    time.Duration // of the request
	Err         error
	Runs        int       // on all backend servers
	WorkedUntil time.Time // end of the last run
}

// CheckEnd checks, while stops are planned only, that a request without a whole answer was
// not read, was broken off late in a stop, or has reached its deadline.
func (d *Deployment) CheckEnd(e End) {
	if dial := (*net.OpError)(nil); errors.As(e.Err, &dial) && dial.Op == "dial" {
		return
	}
	ended := time.Now()
	took := ended.Sub(e.Sent)
	if e.Runs == 0 && took <= readSlack || took >= e.Deadline {
		return
	}
	for _, stop := range d.stops.of(e.Host) {
		late := stop.Add(Grace - Grace/breakOffShare)
		if e.Sent.Before(stop.Add(acceptedAfterStop)) && !e.WorkedUntil.Before(late) && ended.Before(stop.Add(Grace+exitSlack)) {
			return
		}
	}
	d.cfg.Checker.Violationf("request %s to %s, which ran %d times, ended %v after it was sent without a whole answer: %v", e.ID, e.Host.Name(), e.Runs, took.Round(time.Millisecond), e.Err)
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
