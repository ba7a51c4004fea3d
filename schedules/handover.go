package schedules

import "time"

// awaitReports makes a new scheduler wait for the load reports of the engines, if these are
// polled. It answers the jobs that a new leader places before other daemons have handed
// over theirs.
func (s *Scheduler) awaitReports(now time.Time) {
	if !s.cfg.Policy.LearnPredictions || !s.cfg.Polled {
		return
	}
	for _, p := range s.pools {
		p.awaitReportsUntil = now.Add(firstReportWait)
	}
}

// awaitsReport reports whether an engine is left out until its first load report.
func (p *pool) awaitsReport(now time.Time, e *engine) bool {
	return e.loadAt.IsZero() && now.Before(p.awaitReportsUntil)
}

// takeFromExternal counts a job that was handed over among the assigned ones only: the last
// load report of its engines may have counted it as external.
func (p *pool) takeFromExternal(j *jobState) {
	for _, id := range j.placement.engines() {
		if e := p.engines[id]; e != nil && e.learns && e.externalRequests > 0 && e.assignments[j.request.ID] != nil {
			e.externalRequests--
		}
	}
}
