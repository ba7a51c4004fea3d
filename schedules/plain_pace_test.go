package schedules

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/paces"
)

const (
	plainTarget = time.Second            // of the answers of plain servers
	plainAnswer = 250 * time.Millisecond // duration of an answer of a warm one
	plainSlots  = 6
	plainStep   = 5 * time.Millisecond
)

// simPlain is a simulated plain server. Each request that it has beyond its slots, or while
// it is cold beyond those that it serves at once, makes all of them slower.
type simPlain struct {
	id       gypsumshelf.ServerID
	born     time.Duration
	away     bool
	cold     *simCold
	requests []*simRequest
	carries  time.Duration // time from the last start until it carries its share
}

type simRequest struct {
	server   *simPlain
	arrived  time.Duration
	sent     time.Duration
	nextAsk  time.Duration
	work     time.Duration // left
	admitted bool
}

// plainTrial is a load on plain servers of which some restart.
type plainTrial struct {
	scheduler *Scheduler
	now       time.Duration
	servers   []*simPlain
	waiting   []*simRequest
	policy    Policy

	offered, onTime, late, refused int
}

func (p *plainTrial) time() time.Time { return simStart.Add(p.now) }

// run offers requests at a rate for a time. events are called at their times.
func (p *plainTrial) run(length time.Duration, perSecond float64, events map[time.Duration]func()) {
	r := rand.New(rand.NewPCG(5, 1))
	next := time.Duration(0)
	for ; p.now < length; p.now += plainStep {
		if event := events[p.now]; event != nil {
			event()
		}
		for next <= p.now {
			next += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
			p.offered++
			p.waiting = append(p.waiting, &simRequest{arrived: p.now, work: plainAnswer})
		}
		p.waiting = slices.DeleteFunc(p.waiting, func(q *simRequest) bool { return q.nextAsk <= p.now && p.choose(q) })
		for _, s := range p.servers {
			p.serve(s)
		}
		p.scheduler.Tick(p.time())
	}
}

func (p *plainTrial) limitOf(s *simPlain) ServerLimit {
	l := ServerLimit{Server: s.id, Born: simStart.Add(s.born).UnixMilli(), Age: time.Hour}
	if p.policy.FindPace && p.now-s.born < paces.SettledAge {
		l.Pace = &ServerPace{Slots: plainSlots, AnswerTime: plainTarget}
	}
	return l
}

// choose sends a request to the server with the fewest ones that admits it, or refuses it.
// It returns false if the request waits.
func (p *plainTrial) choose(q *simRequest) bool {
	candidates := slices.DeleteFunc(slices.Clone(p.servers), func(s *simPlain) bool { return s.away })
	slices.SortStableFunc(candidates, func(a, b *simPlain) int { return len(a.requests) - len(b.requests) })
	var asked AdmissionRequest
	for _, s := range candidates {
		l := p.limitOf(s)
		if l.Pace == nil {
			if len(asked.Servers) == 0 {
				p.send(q, s)
				return true
			}
			if a := p.scheduler.Admit(p.time(), asked); a.Server != "" {
				return p.sendAdmitted(q, a)
			}
			p.send(q, s)
			return true
		}
		asked.Servers = append(asked.Servers, l)
	}
	a := p.scheduler.Admit(p.time(), asked)
	if a.Server != "" {
		return p.sendAdmitted(q, a)
	}
	q.nextAsk = p.now + a.Wait
	if q.nextAsk-q.arrived > plainTarget/2 {
		p.refused++
		return true
	}
	return false
}

func (p *plainTrial) sendAdmitted(q *simRequest, a Admission) bool {
	i := slices.IndexFunc(p.servers, func(s *simPlain) bool { return s.id == a.Server })
	q.admitted = true
	p.send(q, p.servers[i])
	return true
}

func (p *plainTrial) send(q *simRequest, s *simPlain) {
	q.sent, q.server = p.now, s
	s.requests = append(s.requests, q)
}

// serve lets a server work for one step.
func (p *plainTrial) serve(s *simPlain) {
	slowdown := max(1, float64(len(s.requests))/plainSlots) * s.cold.slowdown(p.now, len(s.requests)*4)
	done := time.Duration(float64(plainStep) / slowdown)
	total := 0
	for _, o := range p.servers {
		total += len(o.requests)
	}
	if s.carries == 0 && s.born > 0 && !s.away && float64(len(s.requests)) >= carriesFraction*float64(total)/float64(len(p.servers)) && len(s.requests) > 1 {
		s.carries = p.now - s.born
	}
	s.requests = slices.DeleteFunc(s.requests, func(q *simRequest) bool {
		if q.work -= done; q.work > 0 {
			return false
		}
		late := p.now-q.sent > plainTarget
		if p.now-q.arrived > plainTarget {
			p.late++
		} else {
			p.onTime++
		}
		if q.admitted {
			p.scheduler.RecordAnswer(p.time(), ServerAnswer{
				Server: s.id, Born: simStart.Add(s.born).UnixMilli(), Pace: ServerPace{Slots: plainSlots, AnswerTime: plainTarget},
				Admitted: true, Age: p.now - q.sent, Outcome: Completed, Late: late,
			})
		}
		return true
	})
}

// releasePlain replaces all servers in turn, cold for a time, and returns what callers got.
func releasePlain(t *testing.T, servers int, cold time.Duration, load float64, policy Policy) *plainTrial {
	p := &plainTrial{scheduler: New(Config{Policy: policy}), policy: policy}
	for i := range servers {
		p.servers = append(p.servers, &simPlain{id: gypsumshelf.ServerID(fmt.Sprint("p", i)), born: -time.Hour})
	}
	events := map[time.Duration]func(){}
	for i, s := range p.servers {
		at := 2*time.Second + time.Duration(i)*4*time.Second
		events[at] = func() { s.away = true }
		events[at+time.Second] = func() {
			s.away, s.born, s.carries = false, p.now, 0
			s.cold = &simCold{until: p.now + cold, requests: 8}
		}
	}
	perSecond := load * float64(servers) * plainSlots / plainAnswer.Seconds()
	p.run(time.Duration(servers)*4*time.Second+4*time.Second, perSecond, events)
	var carries time.Duration
	never := 0
	for _, s := range p.servers {
		if s.carries == 0 {
			never++
		}
		carries += s.carries / time.Duration(servers)
	}
	t.Logf("pace %-5v %5d requests, late %.3f, refused %.3f, share carried after %s, never by %d of %d servers",
		policy.FindPace, p.offered, float64(p.late)/float64(p.offered), float64(p.refused)/float64(p.offered), carries.Round(10*time.Millisecond), never, servers)
	return p
}

// Guards against full load on plain servers with empty caches, and against idle ones, while
// all of them are replaced in turn.
func TestRollingReleaseOfPlainServers(t *testing.T) {
	for _, servers := range []int{3, 8} {
		for _, cold := range []time.Duration{0, 3 * time.Second} {
			for _, load := range []float64{0.5, 0.7} {
				t.Run(fmt.Sprintf("%d servers, cold for %s, %.1f of their slots", servers, cold, load), func(t *testing.T) {
					without, with := releasePlain(t, servers, cold, load, Policy{}), releasePlain(t, servers, cold, load, Policy{FindPace: true})
					share := func(p *plainTrial) float64 { return float64(p.late+p.refused) / float64(p.offered) }
					if share(with) > share(without)+paceTolerance {
						t.Errorf("%.3f of the requests are late or refused with the pace, want at most %.3f", share(with), share(without)+paceTolerance)
					}
				})
			}
		}
	}
}

func startedPlain() AdmissionRequest {
	return AdmissionRequest{Servers: []ServerLimit{{Server: "p", Born: origin.UnixMilli(), Age: time.Hour, Pace: &ServerPace{Slots: plainSlots, AnswerTime: plainTarget}}}}
}

// admitted returns how many of n requests to a started server are admitted at once.
func admitted(s *Scheduler, now time.Time, r AdmissionRequest, n int) int {
	count := 0
	for range n {
		if s.Admit(now, r).Server != "" {
			count++
		}
	}
	return count
}

func plainAnswerOf(outcome Outcome) ServerAnswer {
	return ServerAnswer{Server: "p", Born: origin.UnixMilli(), Pace: ServerPace{Slots: plainSlots, AnswerTime: plainTarget}, Admitted: true, Age: 100 * time.Millisecond, Outcome: outcome}
}

// Guards against a plain server that gets more than its pace from all daemons together, is
// left idle when it answers in time, or loses its room to reports that are lost.
func TestPaceOfPlainServer(t *testing.T) {
	s := New(Config{Policy: Policy{FindPace: true}})
	now := origin.Add(time.Second)
	if n := admitted(s, now, startedPlain(), 10); n != 1 {
		t.Errorf("%d requests admitted at once after the start, want 1", n)
	}
	for _, want := range []int{2, 4} {
		now = now.Add(200 * time.Millisecond)
		for range want / 2 {
			s.RecordAnswer(now, plainAnswerOf(Completed))
		}
		if n := admitted(s, now, startedPlain(), 10); n != want {
			t.Errorf("%d requests admitted at once, want %d after answers in time", n, want)
		}
	}
	t.Run("lost reports", func(t *testing.T) {
		if n := admitted(s, now.Add(pendingAnswers*plainTarget+time.Millisecond), startedPlain(), 10); n != 4 {
			t.Errorf("%d requests admitted after the ends of all earlier ones were lost, want 4", n)
		}
	})
	t.Run("failure", func(t *testing.T) {
		at := now.Add(10 * time.Second)
		s.RecordAnswer(at, plainAnswerOf(Lost))
		if n := admitted(s, at, startedPlain(), 10); n != 2 {
			t.Errorf("%d requests admitted after a failure, want 2", n)
		}
	})
	t.Run("earlier start", func(t *testing.T) {
		r := startedPlain()
		r.Servers[0].Born--
		if n := admitted(s, now, r, 10); n != 0 {
			t.Errorf("%d requests admitted to a start that has ended", n)
		}
	})
}

// Guards against a named limit or a stated cold rate that a pace exceeds, and against
// malformed values of another daemon.
func TestPaceOfPlainServerKeepsLimits(t *testing.T) {
	s := New(Config{Policy: Policy{FindPace: true}})
	r := startedPlain()
	r.Servers[0].Named, r.Servers[0].PerSecond, r.Servers[0].Age = true, 2, 0
	r.Servers[0].Pace.Cold, r.Servers[0].Pace.ColdPerSecond = true, 40
	n := 0
	for i := range 100 {
		now := origin.Add(time.Duration(i) * 50 * time.Millisecond)
		if s.Admit(now, r).Server != "" {
			n++
			s.RecordAnswer(now, plainAnswerOf(Completed))
		}
	}
	if n > 11 {
		t.Errorf("%d requests admitted in 5 s at a limit of 2 a second", n)
	}
	for _, malformed := range []ServerPace{
		{Slots: -1, AnswerTime: -time.Second}, {Cold: true, ColdPerSecond: math.NaN()}, {Cold: true, ColdPerSecond: math.Inf(1)},
		{Slots: math.MaxInt, AnswerTime: math.MaxInt64, Cold: true, ColdPerSecond: -1},
	} {
		s := New(Config{Policy: Policy{FindPace: true}})
		r := startedPlain()
		r.Servers[0].Pace = &malformed
		if n := admitted(s, origin, r, 10); n != 1 {
			t.Errorf("%d requests admitted at once with %+v, want 1", n, malformed)
		}
		a := plainAnswerOf(200)
		a.Age = -time.Hour
		s.RecordAnswer(origin, a)
	}
}

// Guards against a server of which only one daemon says that it is still cold: its pace
// would begin again with each message.
func TestDaemonsDisagreeAboutColdTime(t *testing.T) {
	s := New(Config{Policy: Policy{FindPace: true}})
	for i := range 20 {
		now := origin.Add(time.Duration(i) * 50 * time.Millisecond)
		r := startedPlain()
		r.Servers[0].Pace.Cold = i%2 == 0
		if s.Admit(now, r).Server != "" {
			s.RecordAnswer(now, plainAnswerOf(Completed))
		}
	}
	if got := s.PaceCounts()[paces.Starting]; got != 0 {
		t.Error("the pace has begun again")
	}
}

// Guards against requests to plain servers that are held back where the deployment does not
// ask for it.
func TestPlainServersWithoutPace(t *testing.T) {
	s := New(Config{})
	s.RecordAnswer(origin, plainAnswerOf(Lost))
	if n := admitted(s, origin, startedPlain(), 10); n != 10 {
		t.Errorf("%d of 10 requests admitted, want all", n)
	}
}
