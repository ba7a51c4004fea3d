package forwards

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/logs"
	"gypsumshelf.example/gypsumshelf/rosters"
)

// errPaused is returned for a backend server that wants nothing from this daemon for a
// time.
var errPaused = errors.New("the backend server has asked this daemon for a pause")

// recordPause keeps requests off a backend server for the time that it names in a
// refusal. The time is meant for this daemon, and for this start of the server.
func (req *proxyRequest) recordPause(a *attempt) {
	if a.reply.RetryAfter <= 0 || !req.forwarder.cfg.Fleet.pause(a.server, a.reply.RetryAfter) {
		return
	}
	req.forwarder.cfg.Log.WithFields(logrus.Fields{
		logs.KeyServer: a.server.ID, logs.KeyRequest: req.meta.ID, "pause-ms": a.reply.RetryAfter.Milliseconds(),
	}).Warn("a backend server asks for a pause; this daemon sends it nothing")
}

// pause records that a backend server wants nothing from this daemon for a time. It
// returns false if it has asked for as much before, or has started again.
func (f *Fleet) pause(server rosters.Entry, d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if current, ok := f.roster.Get(server.ID); ok && current.Born > server.Born {
		return false
	}
	h, until := f.healthOf(server), f.now().Add(d)
	if !until.After(h.pausedUntil) {
		return false
	}
	h.pausedUntil = until
	if until.After(f.pausesEnd) {
		f.pausesEnd = until
	}
	return true
}

// isPaused reports whether a backend server has asked for a pause that lasts.
func (f *Fleet) isPaused(server rosters.Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Before(f.healthOf(server).pausedUntil)
}

// shortestPause returns the time until the first backend server of a service takes
// requests of this daemon again, 0 if any does now or none is known.
func (f *Fleet) shortestPause(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if now.After(f.pausesEnd) {
		return 0
	}
	shortest := time.Duration(0)
	for _, entry := range f.roster.All() {
		if entry.Service != service || !f.takesNewWork(entry) {
			continue
		}
		pause := f.healthOf(entry).pausedUntil.Sub(now)
		if pause <= 0 {
			return 0
		}
		shortest = shorterWait(shortest, pause)
	}
	return shortest
}

// refusePaused ends a request that all backend servers of its service want to get later.
func (req *proxyRequest) refusePaused(pause time.Duration) {
	cause := fmt.Sprintf("all backend servers of the service have asked for a pause of at least %d ms", pause.Milliseconds())
	if req.verdict != gypsumshelf.NotRun || req.headerWritten || req.failureResponse != nil {
		req.finishUnanswered(cause)
		return
	}
	req.refuse(http.StatusServiceUnavailable, pause, cause)
}
