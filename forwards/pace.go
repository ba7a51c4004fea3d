package forwards

import (
	"cmp"
	"fmt"
	"time"

	"gypsumshelf.example/gypsumshelf/paces"
	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// unknownLimitAge is the age that is stated for a server of which this daemon knows no
// limit. It is far above the time for which limits hold, so that an earlier build, which
// does not know of paces, does not take the message for the end of a limit.
const unknownLimitAge = time.Hour

// AnswerReporter is told of the answers of plain servers that have started or recovered.
type AnswerReporter interface {
	ReportAnswer(a schedules.ServerAnswer)
}

// serverPace is what a daemon knows of the pace of a backend server.
type serverPace struct {
	settled    bool      // the scheduler has said that the server takes its full load
	troubledAt time.Time // of the last failure that this daemon has seen
	admittedAt time.Time // when the scheduler last admitted a request without saying that it is settled
}

// needsPace reports whether the load of a plain server has to be raised step by step: it has
// started, is cold or has failed lately, or the scheduler still limits its load. Others are
// never asked for.
func (h *serverHealth) needsPace(now time.Time, entry rosters.Entry) bool {
	if now.Before(entry.ColdUntil) {
		return true
	}
	if h.pace.settled {
		return false
	}
	since := now.Add(-paces.SettledAge)
	return time.UnixMilli(entry.Born).After(since) || h.pace.troubledAt.After(since) || h.pace.admittedAt.After(since)
}

// paced returns what the scheduler is to know of a server.
func (req *proxyRequest) paced(entry rosters.Entry) schedules.ServerPace {
	return schedules.ServerPace{
		Slots: entry.Slots, AnswerTime: cmp.Or(req.route.Target, req.route.Timeout),
		Cold: req.now().Before(entry.ColdUntil), ColdPerSecond: req.service.ColdRequestsPerSecond,
	}
}

// markPaced marks the candidates whose load has to be raised step by step. They are treated
// like those with a limit.
func (req *proxyRequest) markPaced(candidates []candidate) {
	req.pacedServer, req.awaitsPace = "", false
	if req.forwarder.cfg.Answers == nil || req.forwarder.cfg.Limits == nil {
		return
	}
	fleet := req.forwarder.cfg.Fleet
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for i := range candidates {
		c := &candidates[i]
		if !fleet.healthOf(c.Entry).needsPace(req.now(), c.Entry) {
			continue
		}
		if !c.limited {
			c.limited, c.limit.Named, c.limit.Age = true, false, unknownLimitAge
		}
		pace := req.paced(c.Entry)
		c.limit.Pace = &pace
	}
}

// recordAdmission notes that the scheduler has admitted the request to a server, or that it
// may soon.
func (req *proxyRequest) recordAdmission(servers []schedules.ServerLimit, a schedules.Admission) {
	req.awaitsPace = a.Server == "" && a.Busy
	for _, s := range servers {
		if s.Server != a.Server || s.Pace == nil {
			continue
		}
		req.pacedServer = a.Server
		req.forwarder.cfg.Fleet.recordPace(s, func(p *serverPace) {
			if p.settled = a.Steady; !a.Steady {
				p.admittedAt = req.now()
			}
		})
	}
}

// recordPace updates what this daemon knows of the pace of a start of a server.
func (f *Fleet) recordPace(s schedules.ServerLimit, update func(*serverPace)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h := f.health[s.Server]; h != nil && h.serverStart == s.Born {
		update(&h.pace)
	}
}

// recordPlainAnswer tells the scheduler of the end of a request to a server whose load is
// raised step by step, and of failures of others, whose load is raised so from then on.
// Refusals and complete answers with a 5xx status are no failure of a server that takes its
// full load: they are about the load or the request.
func (req *proxyRequest) recordPlainAnswer(server rosters.Entry, began time.Time, outcome schedules.Outcome, response *bufferedResponse) {
	reporter := req.forwarder.cfg.Answers
	if reporter == nil {
		return
	}
	failed := outcome > schedules.Unreachable && response == nil
	admitted := req.pacedServer == server.ID
	req.pacedServer = ""
	if failed {
		req.forwarder.cfg.Fleet.recordPace(schedules.ServerLimit{Server: server.ID, Born: server.Born}, func(p *serverPace) {
			p.settled, p.troubledAt = false, req.now()
		})
	}
	if !admitted && !failed {
		return
	}
	took := req.now().Sub(began)
	reporter.ReportAnswer(schedules.ServerAnswer{
		Server: server.ID, Born: server.Born, Pace: req.paced(server), Admitted: admitted, Age: took, Outcome: outcome,
		Late: req.route.Target > 0 && took > req.route.Target,
	})
}

// mayAwaitPace reports whether the request can wait until a server has room that has started
// or recovered.
func (req *proxyRequest) mayAwaitPace(wait time.Duration) bool {
	return req.awaitsPace && wait <= req.maxLimitedWait()
}

// limitCause returns why the servers that are left take no request now.
func (req *proxyRequest) limitCause(retryAfter time.Duration) string {
	if req.awaitsPace {
		return fmt.Sprintf("the backend servers have just started or recovered and take no further request for %d ms", retryAfter.Milliseconds())
	}
	return fmt.Sprintf("the limits that the backend servers have named are used up for %d ms", retryAfter.Milliseconds())
}
