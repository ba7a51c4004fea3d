// Package paces finds out how many requests a backend server that has started or recovered
// takes at once. It judges the answers of the server and has no clock and no I/O.
package paces

import (
	"math"
	"slices"
	"time"
)

const (
	// EvidenceTTL is the time for which an answer or a sign of stress counts. It covers
	// several answers of the longest kind, and is short enough that a server that was
	// overloaded once is not slowed down for its whole life.
	EvidenceTTL = 10 * time.Second
	// SettledAge is the time after its start from which a server counts as steady if
	// nothing else is known of it. Whoever used the server before has judged it, and
	// older evidence does not count: a new leader would hold back all servers of a
	// deployment that has just started.
	SettledAge = EvidenceTTL
	// flapWindow is the time in which flapCount starts or failures of a server make it
	// a flapping one. With fewer of them, a release and one failure after it would
	// already slow the server down.
	flapWindow = 30 * time.Second
	flapCount  = 3
	// flapFactor is the factor by which a flapping server grows more slowly.
	flapFactor = 2
	// usedFraction is the fraction of the pace that must have been in use for it to
	// grow. Answers at a lower load do not show that the server takes more.
	usedFraction = 0.5
)

// Phase is the state of a pace.
type Phase uint8

// Phases of a pace.
const (
	Starting   Phase = iota // no answer was judged since the start
	Growing                 // answers are on time
	Steady                  // the server takes as many requests as it has slots; the pace sets no bound
	BackingOff              // the last judged evidence is a sign of stress
)

// Phases are all phases.
var Phases = []Phase{Starting, Growing, Steady, BackingOff}

// String returns the kebab-case name used in logs and metrics.
func (p Phase) String() string {
	return [...]string{"starting", "growing", "steady", "backing-off"}[p]
}

// Reasons of changes and of refused growth.
const (
	ReasonStarted  = "started"  // the server has started or turned cold
	ReasonAge      = "age"      // the server has run for long without stress
	ReasonRan      = "ran"      // the server has run requests for another scheduler
	ReasonOnTime   = "on-time"  // a round of answers was on time
	ReasonLate     = "late"     // a first event was late
	ReasonFailure  = "failure"  // the server refused or failed
	ReasonUnused   = "unused"   // the pace was not in use
	ReasonFlapping = "flapping" // the server has started or failed several times lately
	ReasonStress   = "stress"   // the server has shown stress lately
)

// RefusalReasons are the reasons of refused growth.
var RefusalReasons = []string{ReasonUnused, ReasonFlapping, ReasonStress}

// Config describes a server.
type Config struct {
	Slots      int           // requests that the server runs at once
	AnswerTime time.Duration // of a usual answer
	First      int           // requests at once that the server may get at its start; 0 stands for 1
}

// Sign is evidence about a server.
type Sign struct {
	SentAt time.Time // of the request
	Active int       // requests that the server had, including this one
	Reason string    // ReasonOnTime, ReasonLate or ReasonFailure
}

// Pace is the number of requests that one start of a server may get at once.
type Pace struct {
	cfg         Config
	born        int64
	phase       Phase
	limit       float64
	onTime      int       // answers of the present round
	peak        int       // largest number of active requests in the present round
	judgedAt    time.Time // of the last answer of the round
	startedAt   time.Time // begin of this pace
	reducedAt   time.Time // of the last reduction
	linearUntil time.Time // the pace grows by one per round until this time
	troubles    []time.Time
	change      func(phase Phase, limit float64, reason string)
	refuse      func(reason string)
}

// restart begins a new pace for a start of the server, or for one that has turned cold.
func (p *Pace) restart(now time.Time, born int64, cfg Config) {
	p.cfg, p.born, p.startedAt = cfg, born, now
	p.limit = min(float64(max(1, cfg.First)), float64(max(1, cfg.Slots)))
	p.reducedAt, p.linearUntil = time.Time{}, time.Time{}
	p.beginRound()
	p.recordTrouble(now)
	p.setPhase(Starting, ReasonStarted)
}

// settle makes the pace steady.
func (p *Pace) settle(reason string) {
	p.limit = math.Inf(1)
	p.setPhase(Steady, reason)
}

// Phase returns the phase.
func (p *Pace) Phase() Phase { return p.phase }

// Limit returns the number of requests that the server may have at once. It is infinite
// while the pace is steady.
func (p *Pace) Limit() float64 { return p.limit }

// Allows reports whether a server with active requests may get another one.
func (p *Pace) Allows(active int) bool { return p.phase == Steady || float64(active+1) <= p.limit }

// PerSecond returns the requests per second that the server may get, so that it has as
// many at once as the limit says.
func (p *Pace) PerSecond() float64 {
	return p.limit / max(p.cfg.AnswerTime, time.Millisecond).Seconds()
}

// Record judges evidence.
func (p *Pace) Record(now time.Time, s Sign) {
	if now.Sub(s.SentAt) > EvidenceTTL && s.Reason == ReasonOnTime || s.SentAt.Before(p.startedAt) {
		return
	}
	if !p.reducedAt.IsZero() && !s.SentAt.After(p.reducedAt) {
		return // it says nothing about the reduced pace
	}
	switch {
	case s.Reason == ReasonOnTime:
		p.recordOnTime(now, s.Active)
	case s.Reason == ReasonLate && p.phase == Steady:
		// The server has shown that it takes all its slots, and load reports tell how fast
		// it is. A late event is mostly an effect of the load or of the path.
	default:
		p.reduce(now, s)
	}
}

// recordOnTime counts an answer that was on time, and grows at the end of a round.
func (p *Pace) recordOnTime(now time.Time, active int) {
	if p.phase == Steady {
		return
	}
	if now.Sub(p.judgedAt) > EvidenceTTL {
		p.beginRound()
	}
	p.judgedAt = now
	p.onTime++
	p.peak = max(p.peak, active)
	linear := now.Before(p.linearUntil)
	if linear && (float64(active) < p.limit || now.Sub(p.reducedAt) < p.cfg.AnswerTime) {
		// The requests from before the reduction may still run, or the last step is not tested.
		p.onTime--
		return
	}
	round := p.newRequests(linear)
	if p.onTime < round {
		return
	}
	if p.isFlapping(now) && p.onTime < flapFactor*round {
		p.refuse(ReasonFlapping)
		return
	}
	if float64(p.peak) < usedFraction*p.limit {
		p.beginRound()
		p.refuse(ReasonUnused)
		return
	}
	if linear {
		p.limit++
		p.refuse(ReasonStress) // it would have doubled
	} else {
		p.limit *= 2
	}
	p.beginRound()
	if p.limit >= float64(p.cfg.Slots) {
		p.settle(ReasonOnTime)
		return
	}
	p.setPhase(Growing, ReasonOnTime)
}

// newRequests returns the number of requests by which the pace has grown last. Their
// answers make up a round: the other requests are of earlier rounds, and waiting for new
// ones in their place would take as long as an answer for each step.
func (p *Pace) newRequests(linear bool) int {
	if linear {
		return 1
	}
	return int(math.Ceil(p.limit / 2))
}

// reduce halves the pace at a sign of stress. Several signs within the duration of an
// answer count once.
func (p *Pace) reduce(now time.Time, s Sign) {
	if !p.reducedAt.IsZero() && now.Sub(p.reducedAt) < p.cfg.AnswerTime {
		return
	}
	p.reducedAt = now
	if s.Reason == ReasonFailure {
		p.recordTrouble(now)
	}
	if p.phase == Steady {
		// The growth that begins now has not met stress yet, so that it doubles.
		p.limit = float64(p.cfg.Slots)
	} else {
		p.linearUntil = now.Add(EvidenceTTL)
	}
	p.limit = max(1, math.Ceil(p.limit/2))
	p.beginRound()
	p.setPhase(BackingOff, s.Reason)
}

func (p *Pace) beginRound() { p.onTime, p.peak = 0, 0 }

// recordTrouble records a start or a failure.
func (p *Pace) recordTrouble(now time.Time) {
	p.troubles = append(p.troubles, now)
	if len(p.troubles) > flapCount {
		p.troubles = slices.Clone(p.troubles[1:])
	}
}

func (p *Pace) isFlapping(now time.Time) bool {
	return len(p.troubles) >= flapCount && now.Sub(p.troubles[len(p.troubles)-flapCount]) <= flapWindow
}

func (p *Pace) setPhase(phase Phase, reason string) {
	changed := phase != p.phase || reason == ReasonStarted
	p.phase = phase
	if changed {
		p.change(phase, p.limit, reason)
	}
}
