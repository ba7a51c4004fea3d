package schedules

import (
	"maps"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// PromptPart identifies a part of a prompt. Requests that begin alike share parts.
type PromptPart string

// Quarantine keeps requests with a prompt part away from engines.
type Quarantine struct {
	Part  PromptPart `json:"part"`
	Until time.Time  `json:"until"`
}

// QuarantineReason is the reason of refusals of requests with a quarantined part.
const QuarantineReason = "a part of the prompt crashes the engines that answer it"

// QuarantineSet holds the end of each quarantine by its prompt part.
type QuarantineSet map[PromptPart]time.Time

// Add adds quarantines, which replace those of the same parts.
func (s QuarantineSet) Add(quarantines []Quarantine) {
	for _, q := range quarantines {
		s[q.Part] = q.Until
	}
}

// ContainsAny reports whether any of the parts is quarantined at a time.
func (s QuarantineSet) ContainsAny(now time.Time, parts []PromptPart) bool {
	return slices.ContainsFunc(parts, func(p PromptPart) bool { return now.Before(s[p]) })
}

const (
	// quarantineTime is far above the time for which callers resend a request. An
	// engine release that cures the fault gets the part again afterwards.
	quarantineTime = time.Hour
	// crashSettleTime is the time in which the ends of all jobs of a crashed engine
	// are reported.
	crashSettleTime = 100 * time.Millisecond
	// quarantineStrikes is the number of strikes at which a part is quarantined, and
	// ambiguousStrikes that at which parts are which occurred in the same crashes.
	quarantineStrikes = 3
	ambiguousStrikes  = 5
	// strikeRetention is the time for which a crash counts against a part.
	strikeRetention = 2 * time.Minute
	// successRetention is the shortest time for which a completed job clears its parts
	// of later crashes. An answer to a short prompt takes less.
	successRetention = 5 * time.Second
	// maxRecentParts bounds the parts of completed jobs that are remembered, twice.
	maxRecentParts = 1 << 16
)

// lostJob is a job whose engine closed or reset the connection.
type lostJob struct {
	parts    []PromptPart
	placedAt time.Time
}

// engineCrash is the presumed crash of an engine.
type engineCrash struct {
	at   time.Time // of the first lost job
	jobs []lostJob
}

// strike is a crash that counts against a part.
type strike struct {
	crash int
	at    time.Time
}

// suspects finds the prompt parts that crash engines. A part is struck by the crash of
// an engine that ran it, if that run began after the part's last strike: engines that
// fail together count once. A completed job clears its parts, before and after a crash.
// So the parts that sound requests share with the crashing ones stay clear. Crashes in
// which a quarantined part ran count against no other part.
type suspects struct {
	crashCount  int
	pending     map[gypsumshelf.ServerID]*engineCrash // not settled yet
	strikes     map[PromptPart][]strike
	quarantined QuarantineSet
	recent      map[PromptPart]bool // parts of completed jobs
	older       map[PromptPart]bool // those of the period before
	recentSince time.Time
}

func newSuspects() *suspects {
	return &suspects{
		pending: map[gypsumshelf.ServerID]*engineCrash{}, strikes: map[PromptPart][]strike{},
		quarantined: QuarantineSet{}, recent: map[PromptPart]bool{},
	}
}

// isQuarantined reports whether any of the parts is quarantined.
func (s *suspects) isQuarantined(now time.Time, parts []PromptPart) bool {
	return s.quarantined.ContainsAny(now, parts)
}

// addQuarantines adds quarantines that other schedulers found.
func (s *suspects) addQuarantines(quarantines []Quarantine) {
	s.quarantined.Add(quarantines)
	for _, q := range quarantines {
		delete(s.strikes, q.Part)
	}
}

// recordCompleted clears the parts of a completed job.
func (s *suspects) recordCompleted(now time.Time, parts []PromptPart) {
	if now.Sub(s.recentSince) > successRetention || len(s.recent) >= maxRecentParts {
		s.recent, s.older, s.recentSince = map[PromptPart]bool{}, s.recent, now
	}
	for _, p := range parts {
		s.recent[p] = true
		delete(s.strikes, p)
	}
}

// recordLost records a job that was lost with the connection to its engine.
func (s *suspects) recordLost(now time.Time, server gypsumshelf.ServerID, job lostJob) {
	c := s.pending[server]
	if c == nil {
		c = &engineCrash{at: now}
		s.pending[server] = c
	}
	c.jobs = append(c.jobs, job)
}

// settle evaluates the crashes whose lost jobs are all known, and returns the new
// quarantines. An engine that still runs a job placed before has not crashed; runsJob
// reports whether it does.
func (s *suspects) settle(now time.Time, runsJob func(server gypsumshelf.ServerID, before time.Time) bool) []Quarantine {
	if len(s.pending) == 0 {
		return nil
	}
	s.prune(now)
	struck := false
	for _, server := range slices.Sorted(maps.Keys(s.pending)) {
		c := s.pending[server]
		if now.Sub(c.at) < crashSettleTime {
			continue
		}
		delete(s.pending, server)
		if !runsJob(server, c.at) {
			s.strike(c)
			struck = true
		}
	}
	if !struck {
		return nil
	}
	return s.judge(now)
}

// strike counts a crash against the parts of its jobs.
func (s *suspects) strike(c *engineCrash) {
	s.crashCount++
	lastRun := map[PromptPart]time.Time{}
	for _, j := range c.jobs {
		if s.isQuarantined(c.at, j.parts) {
			return
		}
		for _, p := range j.parts {
			if j.placedAt.After(lastRun[p]) {
				lastRun[p] = j.placedAt
			}
		}
	}
	for p, placedAt := range lastRun {
		strikes := s.strikes[p]
		if s.recent[p] || s.older[p] || len(strikes) > 0 && placedAt.Before(strikes[len(strikes)-1].at) {
			continue
		}
		s.strikes[p] = append(strikes, strike{crash: s.crashCount, at: c.at})
	}
}

// prune removes strikes and quarantines that have expired.
func (s *suspects) prune(now time.Time) {
	for p, strikes := range s.strikes {
		s.setStrikes(p, slices.DeleteFunc(strikes, func(x strike) bool { return now.Sub(x.at) > strikeRetention }))
	}
	maps.DeleteFunc(s.quarantined, func(_ PromptPart, until time.Time) bool { return !now.Before(until) })
}

// judge quarantines parts until none is left with enough strikes.
func (s *suspects) judge(now time.Time) []Quarantine {
	var quarantines []Quarantine
	for {
		culprits := s.culprits()
		if len(culprits) == 0 {
			return quarantines
		}
		for _, p := range culprits {
			s.quarantined[p] = now.Add(quarantineTime)
			quarantines = append(quarantines, Quarantine{Part: p, Until: s.quarantined[p]})
		}
		s.explain(slices.Clone(s.strikes[culprits[0]]))
		for _, p := range culprits {
			delete(s.strikes, p)
		}
	}
}

// culprits returns the part with the most strikes, together with those that were
// struck by the same crashes, or none if there are too few strikes to tell.
func (s *suspects) culprits() []PromptPart {
	var worst PromptPart
	parts := slices.Sorted(maps.Keys(s.strikes))
	for _, p := range parts {
		if len(s.strikes[p]) > len(s.strikes[worst]) {
			worst = p
		}
	}
	most := s.strikes[worst]
	if len(most) < quarantineStrikes {
		return nil
	}
	culprits := slices.DeleteFunc(parts, func(p PromptPart) bool {
		return len(s.strikes[p]) < len(most) || !shareCrash(s.strikes[p], most)
	})
	if len(culprits) > 1 && len(most) < ambiguousStrikes {
		return nil
	}
	return culprits
}

func shareCrash(a, b []strike) bool {
	return slices.ContainsFunc(a, func(x strike) bool {
		return slices.ContainsFunc(b, func(y strike) bool { return x.crash == y.crash })
	})
}

// explain removes the crashes of a culprit from the strikes of all other parts.
func (s *suspects) explain(explained []strike) {
	for p, strikes := range s.strikes {
		s.setStrikes(p, slices.DeleteFunc(strikes, func(x strike) bool { return shareCrash([]strike{x}, explained) }))
	}
}

// setStrikes replaces the strikes of a part, which is forgotten without any.
func (s *suspects) setStrikes(p PromptPart, strikes []strike) {
	if len(strikes) == 0 {
		delete(s.strikes, p)
		return
	}
	s.strikes[p] = strikes
}
