package dispatchers

import (
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf/crashes"
	"gypsumshelf.example/gypsumshelf/peers"
)

const (
	// completionPeriod is the period in which each cause is reported once as
	// completed. It is far below the time for which a completion counts.
	completionPeriod = time.Second
	// maxCompletions bounds the causes that are remembered within one period.
	maxCompletions = 1 << 14
	// maxKeptCrashes bounds the crashes that are handed over to a new leader.
	maxKeptCrashes = 256
	// answersCollectTime is the time after the start of a leader in which the entry daemons
	// in touch hand over their crashes, and say what they have answered.
	answersCollectTime = 1500 * time.Millisecond
	// questionPeriod is the time after a hand-over, and then between two questions, at which
	// an entry daemon asks whose answers the leader needs to know; it asks questionTries
	// times, since other daemons may hand over later.
	questionPeriod = 400 * time.Millisecond
	questionTries  = 3
)

// keptCrash is a crash that this daemon has reported.
type keptCrash struct {
	report crashes.Report
	at     time.Time // when it became known
}

// evidence is what a daemon knows about crashes. It keeps its reports, so that a leader
// that is lost takes none of them with it. It is not safe for concurrent use.
type evidence struct {
	crashes        []keptCrash
	completed      map[crashes.Cause]bool // reported in the current period
	completedSince time.Time
	answered       *crashes.Answers // to requests whose identities others may have, nil before the first one
}

// keep stores a report for later leaders.
func (e *evidence) keep(now time.Time, r crashes.Report) {
	e.crashes = append(e.crashes, keptCrash{report: r, at: now.Add(-r.Age)})
	e.crashes = e.crashes[max(0, len(e.crashes)-maxKeptCrashes):]
}

// updates returns the reports that still count, with their present age.
func (e *evidence) updates(now time.Time) []JobUpdate {
	e.crashes = slices.DeleteFunc(e.crashes, func(k keptCrash) bool { return now.Sub(k.at) > crashes.Retention })
	var updates []JobUpdate
	for _, k := range e.crashes {
		r := k.report
		r.Runs = slices.Clone(r.Runs) // clear changes them while the update is sent
		r.Age = now.Sub(k.at)
		updates = append(updates, JobUpdate{Crash: &r})
	}
	return updates
}

// addCompleted returns the causes that have not been reported in the current period. A
// completed cause is no evidence any more.
func (e *evidence) addCompleted(now time.Time, causes []crashes.Cause) []crashes.Cause {
	if now.Sub(e.completedSince) > completionPeriod || len(e.completed) >= maxCompletions {
		e.completed, e.completedSince = map[crashes.Cause]bool{}, now
	}
	var unreported []crashes.Cause
	for _, c := range causes {
		if !e.completed[c] {
			e.completed[c] = true
			unreported = append(unreported, c)
			e.rememberAnswer(now, c)
		}
	}
	if len(e.crashes) > 0 {
		e.clear(causes)
	}
	return unreported
}

// rememberAnswer remembers an answer for a leader that is elected later.
func (e *evidence) rememberAnswer(now time.Time, c crashes.Cause) {
	if !c.IsWide() {
		return
	}
	if e.answered == nil {
		e.answered = crashes.NewAnswers(crashes.AnswerRetention)
	}
	e.answered.Add(now, c)
}

// answeredOf returns those of the causes whose requests were answered lately.
func (e *evidence) answeredOf(now time.Time, causes []crashes.Cause) []crashes.Cause {
	if e.answered == nil {
		return nil
	}
	return slices.DeleteFunc(causes, func(c crashes.Cause) bool { return !e.answered.Contain(now, c) })
}

// clear removes completed causes from the kept reports.
func (e *evidence) clear(causes []crashes.Cause) {
	for _, k := range e.crashes {
		for i, run := range k.report.Runs {
			k.report.Runs[i].Causes = slices.DeleteFunc(slices.Clone(run.Causes), func(c crashes.Cause) bool { return slices.Contains(causes, c) })
		}
	}
}

// ReportCrash reports which requests were lost with a backend server that has ended.
func (c *Client) ReportCrash(r crashes.Report) {
	now := time.Now()
	kept := r
	kept.Runs = slices.Clone(r.Runs)
	c.mu.Lock()
	c.evidence.keep(now, kept)
	c.mu.Unlock()
	c.cfg.Local.RecordCrash(r)
	c.queueUpdate(JobUpdate{Crash: &r}, notLocal)
}

// ReportAbandoned reports requests that this daemon watches as it stops.
func (c *Client) ReportAbandoned(r crashes.Report) {
	c.queueUpdate(JobUpdate{Abandoned: &r}, notLocal)
}

// answerQuestions tells the leader which of the causes that it questions were answered here.
func (c *Client) answerQuestions() {
	client, leader := c.connection()
	if client == nil {
		return // the next hand-over asks again
	}
	var causes []crashes.Cause
	if err := peers.Call(client, ServiceName+".Questioned", struct{}{}, &causes, placeTimeout); err != nil {
		c.cfg.Log.WithField("leader", leader).WithError(err).Debug("the leader does not say whose answers it needs to know")
		return
	}
	c.mu.Lock()
	answered := c.evidence.answeredOf(time.Now(), causes)
	c.mu.Unlock()
	if len(answered) > 0 {
		c.queueUpdate(JobUpdate{Completed: answered}, notLocal)
	}
}

// ReportCompleted reports that a request with the causes was answered without a job.
func (c *Client) ReportCompleted(causes []crashes.Cause) {
	c.mu.Lock()
	unreported := c.evidence.addCompleted(time.Now(), causes)
	c.mu.Unlock()
	if len(unreported) == 0 {
		return
	}
	c.cfg.Local.RecordCompleted(unreported)
	c.queueUpdate(JobUpdate{Completed: unreported}, notLocal)
}
