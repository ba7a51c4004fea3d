package daemons

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/configs"
)

func (r *Reducer) registerConfigurationHandlers() {
	registerHandler(r, func(now time.Time, e configs.CommandProposed) {
		r.configuration.propose(now, e.Command, e.Timeout, func(_ time.Time, result configs.Result, err error) {
			r.emit(configs.CommandDecided{Ticket: e.Ticket, Result: result, Err: err})
		})
	})
	registerHandler(r, r.handleQuestion)
	registerHandler(r, func(now time.Time, e configs.ProposalForwarded) { r.configuration.handleForwarded(now, e) })
}

// ready reports whether the daemon accepts new work.
func (r *Reducer) ready(now time.Time) bool { return !r.stopping && r.configuration.leaseValid(now) }

// notReadyError returns the refusal of new work while the freshness lease is not
// valid, or nil.
func (r *Reducer) notReadyError(now time.Time) *gypsumshelf.Error {
	if r.configuration.leaseValid(now) {
		return nil
	}
	if r.log != nil && r.log.failed {
		return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeNotReady,
			"the data folder of daemon %s accepts no writes, and its freshness lease has ended", r.cfg.Daemon)
	}
	return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeNotReady,
		"daemon %s has had no contact with a leader within its freshness lease", r.cfg.Daemon)
}

// refuseStale refuses the waiting requests that were not sent to any backend
// server, once the freshness lease has expired: the caller can safely send them
// to another daemon. The others wait for a renewed lease until their deadline.
func (r *Reducer) refuseStale(now time.Time) {
	failure := r.notReadyError(now)
	if failure == nil {
		return
	}
	var unsent []*attempts.Record
	r.queue.StartWaiting(func(req gypsumshelf.Request) bool {
		if rec := r.attempts.Record(req.ID); rec != nil && rec.Verdict() == gypsumshelf.NotRun {
			unsent = append(unsent, rec)
		}
		return false
	})
	for _, rec := range unsent {
		r.refuse(now, rec, failure)
	}
}
