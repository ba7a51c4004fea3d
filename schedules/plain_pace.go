package schedules

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/paces"
)

const (
	// pendingAnswers is the number of usual answers for whose duration an admitted
	// request counts if its end is not reported, because its daemon has died or the
	// report was lost. An answer that takes longer is late anyway.
	pendingAnswers = 2
	// maxAnswerTime bounds the usual duration of an answer that a daemon states. It is the
	// time for which evidence counts: a longer one would make it useless.
	maxAnswerTime = paces.EvidenceTTL
	// minAnswerTime is the lower bound of that duration. Waits for room derive from it.
	minAnswerTime = 10 * time.Millisecond
	// minPaceWait is the time after which room at a server that keeps its pace is asked
	// for again at the earliest, so that waiting requests do not send many messages.
	minPaceWait = 25 * time.Millisecond
	// coldTolerance is the time for which a server counts as cold after a daemon has said
	// so. Daemons hear of the end of its cold time at different heartbeats.
	coldTolerance = 2 * time.Second
	// maxSlots bounds the slots that a daemon states for a server.
	maxSlots = 100_000
)

// ServerPace is what a daemon knows of a plain server that has started or recovered.
type ServerPace struct {
	Slots         int           // requests that it runs at once
	AnswerTime    time.Duration // in which callers expect an answer
	Cold          bool          // it says that it is cold
	ColdPerSecond float64       // requests per second that a cold one takes, 0 if unlimited
}

// ServerAnswer reports the end of a request to a plain server that has started or recovered.
type ServerAnswer struct {
	Server   gypsumshelf.ServerID
	Born     int64 // start of the server, in ms since 1970
	Pace     ServerPace
	Admitted bool          // the scheduler has admitted the request
	Age      time.Duration // since the request was sent
	Outcome  Outcome
	Late     bool // the answer came later than callers need it
}

// plainServer is a plain server whose pace is found out.
type plainServer struct {
	pace       *enginePace
	born       int64
	answerTime time.Duration
	coldAt     time.Time   // when a daemon last said that it is cold
	admitted   []time.Time // requests in progress
}

// config returns the configuration of a pace. Values that no server can have are clamped.
func (s ServerPace) config() paces.Config {
	cfg := paces.Config{Slots: max(1, min(s.Slots, maxSlots)), AnswerTime: max(minAnswerTime, min(s.AnswerTime, maxAnswerTime))}
	if perSecond := ColdRate(s.ColdPerSecond); s.Cold && perSecond > 0 && !math.IsInf(perSecond, 1) {
		cfg.First = int(math.Ceil(min(perSecond*cfg.AnswerTime.Seconds(), float64(cfg.Slots))))
	}
	return cfg
}

// plainServer returns the state of a start of a server that a daemon names. It returns nil
// for an earlier start than the known one.
func (s *Scheduler) plainServer(now time.Time, id gypsumshelf.ServerID, born int64, state ServerPace) *plainServer {
	p := s.plain[id]
	if p != nil && born < p.born {
		return nil
	}
	cfg := state.config()
	cold := state.Cold || p != nil && p.born == born && now.Sub(p.coldAt) < coldTolerance
	pace := s.paces.Update(now, id, born, cold, cfg)
	if p == nil || p.born != born || p.pace.Pace != pace {
		p = &plainServer{pace: &enginePace{Pace: pace}, born: born}
		s.plain[id] = p
	}
	if state.Cold {
		p.coldAt = now
	}
	p.answerTime = cfg.AnswerTime
	p.pace.setShare(now, s.cfg.ColdShare)
	p.admitted = slices.DeleteFunc(p.admitted, func(at time.Time) bool { return now.Sub(at) > pendingAnswers*p.answerTime })
	return p
}

// setShare sets the share of the pace that a scheduler uses.
func (p *enginePace) setShare(now time.Time, share float64) {
	if p.share != share {
		p.share, p.limiter = share, nil
	}
	if share > 0 && p.limiter == nil {
		// Start without a burst, since the bursts of all schedulers would add up.
		p.limiter = rate.NewLimiter(p.rate(), 1)
		p.limiter.AllowN(now, 1)
	}
}

// wait returns the predicted time until the pace of the server allows another request: one
// of those in progress ends.
func (p *plainServer) wait() time.Duration {
	return max(minPaceWait, time.Duration(float64(p.answerTime)/max(1, p.pace.Limit())))
}

// admitPaced chooses a server for a request that needs no scheduling, among servers that
// have named limits or have started or recovered. It addresses the load after a release of
// plain servers: a new one has no requests yet, so that all daemons prefer it.
func (s *Scheduler) admitPaced(now time.Time, r AdmissionRequest) Admission {
	servers := make([]ServerLimit, 0, len(r.Servers))
	paced := map[gypsumshelf.ServerID]*plainServer{}
	var wait time.Duration
	for _, l := range r.Servers {
		if l.Pace == nil {
			servers = append(servers, l)
			continue
		}
		p := s.plainServer(now, l.Server, l.Born, *l.Pace)
		if p == nil {
			continue // it has started again
		}
		if !p.pace.allows(now, len(p.admitted)) {
			if wait == 0 || p.wait() < wait {
				wait = p.wait()
			}
			continue
		}
		paced[l.Server] = p
		servers = append(servers, l)
	}
	r.Servers = servers
	a := s.limits.admit(now, r)
	if a.Server == "" {
		// Room that the pace leaves is not reserved, so that the daemon has to ask again.
		if a.Busy = wait > 0 && (a.Wait == 0 || wait < a.Wait); a.Busy {
			a.Wait = wait
		}
		return a
	}
	if p := paced[a.Server]; p != nil {
		p.pace.take(now)
		p.admitted = append(p.admitted, now)
		a.Steady = p.pace.Phase() == paces.Steady
	}
	return a
}

// RecordAnswer takes the end of a request to a plain server as evidence about it.
func (s *Scheduler) RecordAnswer(now time.Time, a ServerAnswer) {
	if s.paces == nil {
		return
	}
	p := s.plainServer(now, a.Server, a.Born, a.Pace)
	if p == nil {
		return
	}
	active := max(1, len(p.admitted))
	if a.Admitted && len(p.admitted) > 0 {
		p.admitted = p.admitted[1:]
	}
	sign := paces.Sign{SentAt: now.Add(-max(0, a.Age)), Active: active}
	switch {
	case a.Outcome.IsFailure() && a.Outcome != Unreachable:
		sign.Reason = paces.ReasonFailure
	case a.Late && a.Outcome <= Cancelled:
		sign.Reason = paces.ReasonLate
	case a.Outcome == Completed:
		sign.Reason = paces.ReasonOnTime
	default:
		return
	}
	p.pace.Record(now, sign)
}

// forgetPlain forgets plain servers whose pace is forgotten.
func (s *Scheduler) forgetPlain() {
	for id := range s.plain {
		if s.paces.Get(id) == nil {
			delete(s.plain, id)
		}
	}
}
