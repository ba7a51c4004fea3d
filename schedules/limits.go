package schedules

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"gypsumshelf.example/gypsumshelf"
)

const (
	// limitTrialRate is the lowest rate, in requests per second, at which a server with
	// a limit gets requests. At a limit of 0, the answers to them tell its end.
	limitTrialRate = 0.2
	// limitTTL is the time for which a limit holds that no answer has confirmed: several
	// trials, some of which may be lost.
	limitTTL = time.Minute
)

// ServerLimit is what an answer of a backend server says about the requests that it
// takes. It holds for one start of the server and for all daemons together.
type ServerLimit struct {
	Server    gypsumshelf.ServerID
	Born      int64         // start of the server, in ms since 1970
	Named     bool          // false if the answer named no limit, so that an earlier one has ended
	PerSecond float64       // requests per second, if Named
	Age       time.Duration // since the answer, or since the sending of its request if it named no limit
	Pace      *ServerPace   // in an AdmissionRequest, of a server that has started or recovered; nil for others
}

// AdmissionRequest asks for a request to be admitted to one of several servers that
// have named limits.
type AdmissionRequest struct {
	Servers []ServerLimit // in the order of preference
	MaxWait time.Duration // for which the request may wait
}

// Admission is the answer to an AdmissionRequest.
type Admission struct {
	Server gypsumshelf.ServerID // empty if the request would have to wait for too long
	Wait   time.Duration        // until the request may be sent, or until a server has room
	Busy   bool                 // without a server: one that has started or recovered may have room after Wait
	Steady bool                 // the server takes its full load, so that nobody has to ask for room on it
}

// serverLimit is the limit of one start of a server. It is kept for a while after its
// end, since daemons that have not heard of the end go on reporting it.
type serverLimit struct {
	born    int64
	known   time.Time // when the server last said what is known of it
	ended   bool
	rate    float64 // requests per second, of this scheduler
	limiter *rate.Limiter
}

// limits holds the limits that servers have named, engines and others. The rate of a
// server is that of all daemons together, or a share of it if several schedulers do not
// know of each other.
type limits struct {
	share    float64 // 0 for the whole rate
	byServer map[gypsumshelf.ServerID]*serverLimit
}

func newLimits(share float64) *limits {
	return &limits{share: share, byServer: map[gypsumshelf.ServerID]*serverLimit{}}
}

// get returns the limit in force of a server, or nil.
func (l *limits) get(now time.Time, id gypsumshelf.ServerID) *serverLimit {
	s := l.byServer[id]
	switch {
	case s == nil || s.ended:
		return nil
	case now.Sub(s.known) > limitTTL:
		delete(l.byServer, id)
		return nil
	}
	return s
}

// record applies what an answer said. An answer without a limit ends the limit only if
// its request was sent after the limit was last named.
func (l *limits) record(now time.Time, r ServerLimit) {
	at := now.Add(-r.Age)
	s := l.byServer[r.Server]
	if s != nil && (r.Born < s.born || r.Born == s.born && !at.After(s.known)) {
		return
	}
	if r.Named && (math.IsNaN(r.PerSecond) || math.IsInf(r.PerSecond, 0)) {
		return // a malformed message
	}
	if !r.Named {
		if s != nil {
			s.born, s.known, s.ended = r.Born, at, true
		}
		return
	}
	perSecond, burst := l.rateAndBurst(r.PerSecond)
	if s == nil || s.born != r.Born || s.ended {
		s = &serverLimit{born: r.Born, limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
		s.limiter.AllowN(now, burst) // the server already has more than it takes
		l.byServer[r.Server] = s
	} else if s.rate != perSecond {
		s.limiter.SetLimitAt(now, rate.Limit(perSecond))
		s.limiter.SetBurstAt(now, burst)
	}
	s.known, s.rate = at, perSecond
}

// rateAndBurst returns the rate and the burst of this scheduler for a limit. Shares have
// no burst, since the bursts of all schedulers would add up.
func (l *limits) rateAndBurst(perSecond float64) (float64, int) {
	perSecond = max(limitTrialRate, perSecond)
	if l.share > 0 {
		return perSecond * l.share, 1
	}
	return perSecond, max(1, int(perSecond/2))
}

// restarted ends the limit of an earlier start of a server.
func (l *limits) restarted(id gypsumshelf.ServerID, born int64) {
	if s := l.byServer[id]; s != nil && born > s.born {
		delete(l.byServer, id)
	}
}

// allows reports whether a server may get a request now.
func (l *limits) allows(now time.Time, id gypsumshelf.ServerID) bool {
	s := l.get(now, id)
	return s == nil || s.limiter.TokensAt(now) >= 1
}

// take counts a request that a server gets now.
func (l *limits) take(now time.Time, id gypsumshelf.ServerID) {
	if s := l.get(now, id); s != nil {
		s.limiter.AllowN(now, 1)
	}
}

// admit chooses the server that has room first, and reserves it if the wait is not too
// long.
func (l *limits) admit(now time.Time, r AdmissionRequest) Admission {
	var best Admission
	var bestLimit *serverLimit
	for _, named := range r.Servers {
		l.record(now, named)
		s := l.get(now, named.Server)
		if s == nil {
			return Admission{Server: named.Server} // its limit has ended
		}
		if wait := s.wait(now); bestLimit == nil || wait < best.Wait {
			best, bestLimit = Admission{Server: named.Server, Wait: wait}, s
		}
	}
	if bestLimit == nil || best.Wait > r.MaxWait {
		return Admission{Wait: best.Wait}
	}
	bestLimit.limiter.ReserveN(now, 1)
	return best
}

// wait returns the time until the server has room for another request.
func (s *serverLimit) wait(now time.Time) time.Duration {
	missing := 1 - s.limiter.TokensAt(now)
	return max(0, time.Duration(missing/s.rate*float64(time.Second)))
}

// RecordLimit records what an answer of a backend server said about its limit.
func (s *Scheduler) RecordLimit(now time.Time, l ServerLimit) { s.limits.record(now, l) }

// Admit chooses a server for a request that needs no scheduling, among servers that
// have named limits.
func (s *Scheduler) Admit(now time.Time, r AdmissionRequest) Admission {
	if s.paces != nil {
		return s.admitPaced(now, r)
	}
	return s.limits.admit(now, r)
}
