package schedules

import (
	"hash/fnv"
	"io"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// busyTTL is the time for which a scheduler trusts what another one has said of busy
// engines. The prefill of a part of a long prompt takes up to maxPartTime, and an election
// less than a second.
const busyTTL = 1500 * time.Millisecond

// BusyEngines returns the engines of a service that prefill a long prompt or keep memory
// reserved for one, sorted by ID. A short prompt would wait there for up to seconds.
func (s *Scheduler) BusyEngines(now time.Time, service string) []gypsumshelf.ServerID {
	p := s.pools[service]
	if p == nil {
		return nil
	}
	var busy []gypsumshelf.ServerID
	for _, e := range p.sorted {
		if e.longPrefillPending(now) || e.primaryPrefillPending() {
			busy = append(busy, e.id())
		}
	}
	return busy
}

// SetBusyEngines replaces what another scheduler has said of the engines of a service. The
// jobs of that scheduler are unknown here, and load reports do not tell a long prefill from
// a short answer. It answers the loss of the leader under load, when all daemons schedule
// by themselves at once.
func (s *Scheduler) SetBusyEngines(now time.Time, service string, busy []gypsumshelf.ServerID) {
	p := s.pools[service]
	if p == nil {
		return
	}
	for _, e := range p.sorted {
		e.busyUntil = time.Time{}
		if slices.Contains(busy, e.id()) {
			e.busyUntil = now.Add(busyTTL)
		}
	}
}

// withoutBusy leaves out the engines that work for jobs of another scheduler, unless none
// would be left.
func withoutBusy(now time.Time, engines []*engine) []*engine {
	free := func(e *engine) bool { return !now.Before(e.busyUntil) }
	if !slices.ContainsFunc(engines, func(e *engine) bool { return !free(e) }) || !slices.ContainsFunc(engines, free) {
		return engines
	}
	return slices.DeleteFunc(slices.Clone(engines), func(e *engine) bool { return !free(e) })
}

// maxTieBreak is half of the penalty for a remote data centre, the smallest difference of
// scores that counts.
const maxTieBreak = remoteDataCentrePenalty / 2

// tieBreak returns a part of the score of an engine that differs between schedulers which
// do not know of each other's jobs. When the leader is lost, all engines look equal to all
// daemons, and the first one would get the short prompts of a whole data centre.
func (s *Scheduler) tieBreak(id gypsumshelf.ServerID) time.Duration {
	if s.cfg.ColdShare == 0 || !s.cfg.Policy.ShareBusyEngines {
		return 0
	}
	return time.Duration(RendezvousScore(id, s.cfg.Daemon) % uint64(maxTieBreak))
}

// RendezvousScore returns a hash of an engine and a daemon, by which daemons that do not
// know of each other choose different engines.
func RendezvousScore(id gypsumshelf.ServerID, daemon gypsumshelf.DaemonID) uint64 {
	h := fnv.New64a()
	// A hash.Hash never returns an error.
	_, _ = io.WriteString(h, string(id)+"@"+string(daemon))
	return h.Sum64()
}
