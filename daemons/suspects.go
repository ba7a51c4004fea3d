package daemons

import (
	"maps"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/configs"
	"gypsumshelf.example/gypsumshelf/servers"
	"gypsumshelf.example/gypsumshelf/settings"
)

func (r *Reducer) registerSuspicionHandlers() {
	registerHandler(r, r.handleSuspicion)
	registerHandler(r, r.handleQuarantined)
}

// recordBrokenAttempt records a broken connection or a crash against the body of
// the request, and reports whether the body must be quarantined. A broken
// connection counts as a crash if the server is unreachable or has restarted.
func (r *Reducer) recordBrokenAttempt(now time.Time, rec *attempts.Record, a *attempts.Attempt, e attempts.Failed) bool {
	if !e.ConnectionBroken {
		return false
	}
	crash := attempts.Crash{Server: a.Server(), Incarnation: a.Incarnation()}
	current := r.servers.Server(a.Server())
	restarted := current != nil && current.Announcement().Incarnation != a.Incarnation()
	if e.ServerUnreachable || restarted {
		return r.recordCrash(now, a.Started(), rec.Request().BodyHash, crash)
	}
	r.attempts.Suspects().RecordBrokenConnection(now, a.Started(), rec.Request().BodyHash, crash)
	return false
}

// recordCrash records a server crash during an attempt that began at started. It
// reports whether the body has now crashed enough servers for a quarantine, and
// proposes one if so.
func (r *Reducer) recordCrash(now, started time.Time, hash uint64, crash attempts.Crash) bool {
	suspects := r.attempts.Suspects()
	if s := suspects.RecordCrash(now, started, hash, crash); s != nil {
		r.emit(attempts.ShareSuspicion{Suspicion: *s})
	}
	if !suspects.ReachedCrashLimit(hash) {
		return false
	}
	r.proposeQuarantine(now, hash)
	return true
}

// handleRestart handles a new incarnation of a backend server: it aborts the
// attempts on the previous one, and counts connections that broke shortly before
// as a crash.
func (r *Reducer) handleRestart(now time.Time, server gypsumshelf.Announcement, lost []gypsumshelf.AttemptID) {
	for _, id := range lost {
		if rec, a := r.attempts.Attempt(id); a != nil {
			r.emit(attempts.Abort{Request: rec.Request().ID, Attempt: id})
		}
	}
	confirmed := r.attempts.Suspects().ConfirmedCrashes(now, server.Server, server.Incarnation)
	for _, hash := range slices.Sorted(maps.Keys(confirmed)) {
		r.recordCrash(now, now, hash, confirmed[hash])
	}
}

// clearSuspicion clears a suspected body once a request with it has completed.
func (r *Reducer) clearSuspicion(now time.Time, rec *attempts.Record) {
	hash := rec.Request().BodyHash
	if r.attempts.Suspects().Clear(hash) {
		rec.Note(now, "completed; the body is no longer suspected of an earlier crash")
		r.emit(attempts.ShareSuspicion{Suspicion: attempts.Suspicion{Hash: hash, Cleared: true}})
	}
}

func (r *Reducer) handleSuspicion(now time.Time, e attempts.Suspected) {
	r.attempts.Suspects().ApplySuspicion(now, e.Suspicion)
	r.dispatch(now)
}

// proposeQuarantine proposes the quarantine of a body hash to the replicated log.
// Without a log it is broadcast to all daemons instead.
func (r *Reducer) proposeQuarantine(now time.Time, hash uint64) {
	duration := r.attempts.Suspects().QuarantineTime()
	if r.configuration.static() {
		r.emit(attempts.Quarantine{Hash: hash, Until: now.Add(duration)})
		return
	}
	command := configs.Quarantine{BodyHash: hash, Reason: "crashed two backend servers", Duration: settings.Duration(duration)}
	r.configuration.propose(now, command, recordTimeout, func(now time.Time, _ configs.Result, _ error) {
		r.refuseQuarantined(now)
	})
}

func (r *Reducer) handleQuarantined(now time.Time, e attempts.Quarantined) {
	r.attempts.Suspects().SetQuarantine(e.Hash, e.Until)
	r.refuseQuarantined(now)
}

// refuseQuarantined refuses all open requests whose body is quarantined.
func (r *Reducer) refuseQuarantined(now time.Time) {
	for _, rec := range r.attempts.Active() {
		if until, ok := r.quarantinedUntil(now, rec.Request().BodyHash); ok {
			r.refuse(now, rec, quarantineError(until))
		}
	}
}

// quarantinedUntil returns the end of a body hash's quarantine, or false without one.
func (r *Reducer) quarantinedUntil(now time.Time, hash uint64) (time.Time, bool) {
	if q, ok := r.configuration.state.Quarantined(now, hash); ok {
		return q.Expires, true
	}
	return r.attempts.Suspects().QuarantinedUntil(now, hash)
}

func quarantineError(until time.Time) *gypsumshelf.Error {
	return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeQuarantined,
		"requests with this body crashed backend servers and are refused until %s", until.UTC().Format(time.RFC3339))
}

// refuseIfQuarantined refuses an arrived request whose body is quarantined. If
// the body has crashed two servers but its quarantine is not recorded yet, the
// quarantine is proposed again.
func (r *Reducer) refuseIfQuarantined(now time.Time, rec *attempts.Record) bool {
	hash := rec.Request().BodyHash
	if until, ok := r.quarantinedUntil(now, hash); ok {
		r.refuse(now, rec, quarantineError(until))
		return true
	}
	if r.attempts.Suspects().ReachedCrashLimit(hash) {
		r.proposeQuarantine(now, hash)
	}
	return false
}

// eligibleServers returns the ready backend servers on which the request may
// start. Servers that it has not tried and that run no body suspected of a crash
// are preferred. A request whose body is itself suspected never shares a server
// with another suspect, and waits up to IsolationWait for a server without other
// work.
func (r *Reducer) eligibleServers(now time.Time, rec *attempts.Record, ready []*servers.Server) []*servers.Server {
	suspects := r.attempts.Suspects()
	hash := rec.Request().BodyHash
	if suspects.MustWait(now, hash) {
		return nil
	}
	ready = slices.DeleteFunc(ready, func(s *servers.Server) bool { return r.retiring(rec.Request(), s.Announcement()) })
	if !suspects.IsSuspect(hash) {
		return preferred(untried(rec, ready), func(s *servers.Server) bool { return !r.runsSuspect(s) })
	}
	if r.suspectRunning(hash) {
		return nil // a second attempt at the same time could crash a third server
	}
	if n := len(r.suspectAttempts); n > 0 && 2*(n+1) > len(ready) {
		return nil // keeps half of the servers for requests whose body is not suspected
	}
	withoutSuspects := slices.DeleteFunc(untried(rec, ready), r.runsSuspect)
	idle := slices.DeleteFunc(slices.Clone(withoutSuspects), func(s *servers.Server) bool { return !isIdle(s) })
	if len(idle) > 0 || rec.IsolationWaited(now) < suspects.IsolationWait() {
		return idle
	}
	return withoutSuspects
}

// untried returns the servers that the request has not tried. If it has tried all,
// it returns all but that of the latest attempt, or that one if it is the only one.
func untried(rec *attempts.Record, ready []*servers.Server) []*servers.Server {
	fresh := preferred(ready, func(s *servers.Server) bool { return !rec.Tried(s.Announcement().Server) })
	return preferred(fresh, func(s *servers.Server) bool { return s.Announcement().Server != rec.LastServer() })
}

// preferred returns a copy of the servers that satisfy want, or of all if none
// does.
func preferred(all []*servers.Server, want func(*servers.Server) bool) []*servers.Server {
	some := slices.DeleteFunc(slices.Clone(all), func(s *servers.Server) bool { return !want(s) })
	if len(some) == 0 {
		return slices.Clone(all)
	}
	return some
}

// suspectRunning reports whether an attempt with this suspected body is running.
func (r *Reducer) suspectRunning(hash uint64) bool {
	for _, id := range r.suspectAttempts {
		if rec, _ := r.attempts.Attempt(id); rec != nil && rec.Request().BodyHash == hash {
			return true
		}
	}
	return false
}

// runsSuspect reports whether a server runs an attempt with a suspected body.
func (r *Reducer) runsSuspect(s *servers.Server) bool {
	_, ok := r.suspectAttempts[s.Announcement().Server]
	return ok
}

// isIdle reports whether a server has no attempt of this daemon and announces no
// load.
func isIdle(s *servers.Server) bool {
	n, _ := s.InFlight()
	load := s.Announcement().Load
	return n == 0 && load.Running == 0 && load.Queued == 0
}
