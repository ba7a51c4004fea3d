package forwards

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/logs"
	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// LimitKeeper divides the limits that backend servers name between all daemons.
type LimitKeeper interface {
	// ReportLimit reports what an answer of a backend server said about its limit.
	ReportLimit(l schedules.ServerLimit)
	// Admit chooses among servers that have named limits. It fails when ctx ends first,
	// or while nobody divides limits.
	Admit(ctx context.Context, r schedules.AdmissionRequest) (schedules.Admission, error)
}

const (
	// limitReportPeriod is the time after which an unchanged limit is reported again. It
	// is far below the time for which a limit holds without a report.
	limitReportPeriod = time.Second
	// limitedWaitShare is the part of the route's target for which a request may wait
	// for a server with a limit. The rest is left for the answer.
	limitedWaitShare = 0.5
	// noRoomTTL is the time after which a daemon asks again for room on a server, whose
	// limit may have ended meanwhile.
	noRoomTTL = time.Second
	// failedAdmissionDelay is the time after which a limited server is asked for again
	// when nobody could divide its limit.
	failedAdmissionDelay = 500 * time.Millisecond
)

// namedLimit is the limit that a backend server named in its last answer.
type namedLimit struct {
	perSecond  float64
	namedAt    time.Time
	reportedAt time.Time
}

// recordLimit updates the limit of a backend server from the header of an answer to a
// request that was sent at a time, and returns what is to be reported. confirm asks for
// a report also if this daemon knew of no limit. An answer without a limit ends it only
// if its request was sent after the limit was last named.
func (f *Fleet) recordLimit(server rosters.Entry, reply ResponseMeta, sentAt time.Time, confirm bool) (report *schedules.ServerLimit, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if current, ok := f.roster.Get(server.ID); ok && current.Born > server.Born {
		return nil, false // an answer of an earlier start
	}
	h, now := f.healthOf(server), f.now()
	l := schedules.ServerLimit{Server: server.ID, Born: server.Born}
	switch {
	case reply.UnreadableLimit != "":
		return nil, false
	case reply.HasLimit:
		if h.limit == nil {
			h.limit = &namedLimit{}
		}
		changed = h.limit.namedAt.IsZero() || h.limit.perSecond != reply.Limit
		h.limit.perSecond, h.limit.namedAt = reply.Limit, now
		if !changed && now.Sub(h.limit.reportedAt) < limitReportPeriod {
			return nil, false
		}
		h.limit.reportedAt = now
		l.Named, l.PerSecond = true, reply.Limit
	case h.limit != nil && sentAt.After(h.limit.namedAt):
		h.limit, changed = nil, true
		l.Age = now.Sub(sentAt)
	case h.limit == nil && confirm:
		l.Age = now.Sub(sentAt)
	default:
		return nil, false
	}
	return &l, changed
}

// recordLimit passes on what the header of an answer says about the limit of its server.
func (req *proxyRequest) recordLimit(a *attempt) {
	f := req.forwarder
	if f.cfg.Limits == nil {
		return
	}
	log := f.cfg.Log.WithFields(logrus.Fields{logs.KeyServer: a.server.ID, logs.KeyRequest: req.meta.ID})
	report, changed := f.cfg.Fleet.recordLimit(a.server, a.reply, a.sentAt, req.placedOnLimited)
	switch {
	case a.reply.UnreadableLimit != "":
		log.WithField("limit", a.reply.UnreadableLimit).Warn("a backend server named a limit that cannot be read; the previous one stays in force")
	case changed && report.Named:
		log.WithField("per-second", report.PerSecond).Warn("a backend server named a limit")
	case changed:
		log.Info("a backend server names no limit any more")
	}
	if report != nil {
		f.cfg.Limits.ReportLimit(*report)
	}
}

// choosePlain chooses a backend server of the request's service, within the limits that
// servers have named and the rates that cold ones take. It waits for room where the
// request can still be answered in time, and returns an error if that wait was ended. If no
// server is left it returns false, with the time until one has room if it is for its limit.
func (req *proxyRequest) choosePlain(ctx context.Context) (server rosters.Entry, retryAfter time.Duration, found bool, err error) {
	fleet := req.forwarder.cfg.Fleet
	coldRate := schedules.ColdRate(req.service.ColdRequestsPerSecond)
	if req.forwarder.cfg.Limits == nil {
		coldRate = 0
	}
	candidates := fleet.candidates(req.service.Name, coldRate, req.triedServers)
	req.markPaced(candidates)
	limited, unlimited := splitLimited(candidates)
	if len(limited) == 0 {
		return unlimited.Entry, 0, unlimited.ID != "", nil
	}
	r := schedules.AdmissionRequest{MaxWait: req.maxLimitedWait()}
	if unlimited.ID != "" {
		r.MaxWait = 0
	}
	for _, c := range limited {
		if c.noRoom > r.MaxWait {
			retryAfter = shorterWait(retryAfter, c.noRoom)
			continue
		}
		r.Servers = append(r.Servers, c.limit)
	}
	if len(r.Servers) > 0 {
		admission, err := req.forwarder.cfg.Limits.Admit(ctx, r)
		if err != nil {
			req.forwarder.cfg.Log.WithField(logs.KeyRequest, req.meta.ID).WithError(err).Warn("cannot ask for room on servers with limits")
			if r.Servers[0].Pace != nil && !r.Servers[0].Named {
				// No limit is known, and one daemon's requests without the pace are better than refusals.
				entry, known := fleet.Get(r.Servers[0].Server)
				return entry, 0, known, nil
			}
			admission = schedules.Admission{Wait: failedAdmissionDelay}
		}
		req.recordAdmission(r.Servers, admission)
		if admission.Server != "" {
			entry, _ := fleet.Get(admission.Server)
			begin := req.now()
			if err = req.sleep(ctx, admission.Wait); err != nil {
				req.recordPlainAnswer(entry, begin, schedules.Cancelled, nil)
			}
			return entry, 0, true, err
		}
		fleet.setNoRoom(r.Servers, req.now(), admission.Wait)
		retryAfter = shorterWait(retryAfter, admission.Wait)
	}
	return unlimited.Entry, retryAfter, unlimited.ID != "", nil
}

// shorterWait returns the shorter of two waits, of which the first may be unset.
func shorterWait(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// splitLimited returns the best candidate without a limit, and those with one that are
// better.
func splitLimited(candidates []candidate) (limited []candidate, unlimited candidate) {
	for i, c := range candidates {
		if !c.limited {
			return candidates[:i], c
		}
	}
	return candidates, candidate{}
}

// maxLimitedWait returns the time for which the request may wait for room on a server.
func (req *proxyRequest) maxLimitedWait() time.Duration {
	target := req.route.Target
	if target == 0 {
		target = req.route.Timeout
	}
	left := req.arrived.Add(time.Duration(limitedWaitShare * float64(target))).Sub(req.now())
	return max(0, min(left, req.waitUntil().Sub(req.now())-minAttemptTime))
}

// refuseLimited ends a request for which the servers that are left have no room.
func (req *proxyRequest) refuseLimited(retryAfter time.Duration) {
	cause := req.limitCause(retryAfter)
	if req.verdict != gypsumshelf.NotRun || req.failureResponse != nil {
		req.finishUnanswered(cause)
		return
	}
	req.refuse(http.StatusServiceUnavailable, retryAfter, cause)
}
