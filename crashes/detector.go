package crashes

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

const (
	// QuarantineTime is far above the time for which callers resend a request. A
	// release of the backend servers that cures the fault gets it again afterwards.
	QuarantineTime = time.Hour
	// settleTime is the time in which all entry daemons report what they have lost with
	// a backend server.
	settleTime = 100 * time.Millisecond
	// simultaneousTime is the time within which backend servers that end count as one
	// crash, unless the second one was given the request after the end of the first:
	// something that they share has failed.
	simultaneousTime = 50 * time.Millisecond
	// ageTolerance is the error of the ages of two reports, which wait for each other in
	// queues.
	ageTolerance = 10 * time.Millisecond
	// quarantineStrikes is the number of strikes at which a cause is quarantined, and
	// ambiguousStrikes that at which causes are which occurred in the same crashes.
	quarantineStrikes = 3
	ambiguousStrikes  = 5
	// Retention is the time for which a crash counts against a cause.
	Retention = 2 * time.Minute
	// successRetention is the shortest time for which a completed request clears its
	// causes of later crashes. An answer to a short prompt takes less.
	successRetention = 5 * time.Second
	// wideSuccessRetention is the same for identities that different requests may have.
	// Some callers send the sound ones rarely.
	wideSuccessRetention = time.Minute
	// AnswerRetention is the time for which entry daemons remember what they have
	// answered, for a leader that was elected meanwhile.
	AnswerRetention = wideSuccessRetention
	// handOverTime is the age of a crash at the start of a detector up to which answers
	// from well before it are still remembered.
	handOverTime = AnswerRetention / 2
)

// start identifies one start of a backend server.
type start struct {
	server gypsumshelf.ServerID
	born   int64
}

// crash is the end of one start of a backend server.
type crash struct {
	id      int
	at      time.Time      // of the first lost run
	pending []Run          // not evaluated yet
	judged  map[Cause]bool // causes of evaluated runs
	dueAt   time.Time      // when pending is evaluated
}

// strike is a crash that counts against a cause.
type strike struct {
	crash int
	began time.Time // of the lost run
	at    time.Time
	runs  [][]Cause // causes of the lost runs that have the cause
	// longest is the duration of the longest of these runs.
	longest time.Duration
	// handedOver is set for a crash from before the start of the detector, if sound
	// requests may well have the cause.
	handedOver bool
}

// involves reports whether a lost run with the struck cause also had another one.
func (s strike) involves(c Cause) bool {
	return slices.ContainsFunc(s.runs, func(causes []Cause) bool { return slices.Contains(causes, c) })
}

// allInvolve reports whether each strike involves a cause.
func allInvolve(strikes []strike, c Cause) bool {
	return !slices.ContainsFunc(strikes, func(s strike) bool { return !s.involves(c) })
}

// samePeriod reports whether two strikes may stand for one failure that several backend
// servers share.
func (s strike) samePeriod(o strike) bool {
	if o.at.Before(s.at) {
		s, o = o, s
	}
	gap, afterwards := o.at.Sub(s.at), o.began.Sub(s.at) > -ageTolerance
	return s.crash == o.crash || gap < ageTolerance || gap < simultaneousTime && !afterwards
}

// Detector finds the causes that crash backend servers. A cause is struck by the crash
// of a backend server that ran a request with it; backend servers that end at the same
// moment count once. A completed request clears its causes, before and after a crash, and
// so does one that runs for longer than the lost ones did. So what sound requests have in
// common with the crashing ones stays clear; if they show it only after the quarantine, it
// is refuted. Crashes in which a quarantined cause ran count against no other cause, also
// after a lift.
type Detector struct {
	quarantineTime time.Duration
	since          time.Time // from when on all evidence is known
	crashCount     int
	crashes        map[start]*crash
	abandoned      map[start][]abandonedRun
	abandonedRuns  int
	strikes        map[Cause][]strike
	quarantined    QuarantineSet
	lifted         map[Cause]time.Time
	answers        *Answers // of exact requests and prompt parts
	wideAnswers    *Answers // of identities that different requests may have
	answersKnown   bool     // also those from before since
	judgeDue       bool     // evidence other than a crash has come

	survived   map[Cause]time.Duration // for which requests in progress have run
	comparedAt time.Time               // when survived was last recorded
	found      map[Cause]time.Duration // longest lost run of each cause that this detector has quarantined
	refuted    []Lift                  // not returned by TakeRefuted yet
	refutedAt  map[Cause]time.Time
}

// NewDetector returns a Detector whose quarantines last for a time.
func NewDetector(quarantineTime time.Duration) *Detector {
	return &Detector{
		quarantineTime: quarantineTime, crashes: map[start]*crash{}, abandoned: map[start][]abandonedRun{}, strikes: map[Cause][]strike{},
		found: map[Cause]time.Duration{}, refutedAt: map[Cause]time.Time{}, quarantined: QuarantineSet{}, answers: NewAnswers(successRetention), wideAnswers: NewAnswers(wideSuccessRetention),
	}
}

// IsQuarantined reports whether any of the causes is quarantined.
func (d *Detector) IsQuarantined(now time.Time, causes []Cause) bool {
	return d.quarantined.ContainsAny(now, causes)
}

// SetQuarantines adds quarantines that are in force on all daemons, and ends those that
// an operator has lifted.
func (d *Detector) SetQuarantines(quarantines []Quarantine, lifts []Lift) {
	d.lifted = map[Cause]time.Time{}
	for _, l := range lifts {
		d.lifted[l.Cause] = l.At
		delete(d.quarantined, l.Cause)
		for cause, strikes := range d.strikes {
			d.setStrikes(cause, slices.DeleteFunc(strikes, func(s strike) bool { return !s.at.After(l.At) && s.involves(l.Cause) }))
		}
	}
	for _, q := range quarantines {
		d.quarantined[q.Cause] = q.Until
		delete(d.strikes, q.Cause)
	}
}

// RecordCompleted clears the causes of a completed request.
func (d *Detector) RecordCompleted(now time.Time, causes []Cause) {
	d.begin(now)
	for _, c := range causes {
		d.answersOf(c).Add(now, c)
		delete(d.strikes, c)
		d.refute(now, c)
	}
}

// begin records that all evidence is known from now on.
func (d *Detector) begin(now time.Time) {
	if d.since.IsZero() {
		d.since = now
	}
}

// isClear reports whether a crash does not count against a cause: requests with it were
// answered, or, if sound requests may well have it, their answers will not be known.
func (d *Detector) isClear(now, at time.Time, c Cause) bool {
	unknown := at.Before(d.since) && (d.answersKnown || d.since.Sub(at) > handOverTime)
	return d.answersOf(c).Contain(now, c) || c.IsWide() && unknown
}

// answersOf returns the answers to requests with the kind of a cause.
func (d *Detector) answersOf(c Cause) *Answers {
	if c.IsWide() {
		return d.wideAnswers
	}
	return d.answers
}

// RecordCrash records a report of an entry daemon. Several daemons may report the same
// crash, and each may repeat its report.
func (d *Detector) RecordCrash(now time.Time, r Report) {
	d.begin(now)
	key := start{server: r.Server, born: r.Born}
	at := now.Add(-r.Age)
	c := d.crashes[key]
	if c == nil {
		d.crashCount++
		c = &crash{id: d.crashCount, at: at, judged: map[Cause]bool{}}
		d.crashes[key] = c
	}
	if len(c.pending) == 0 {
		c.dueAt = now.Add(settleTime)
	}
	c.pending = append(c.pending, r.Runs...)
	for _, a := range d.abandoned[key] {
		if !c.at.After(a.until) {
			c.pending = append(c.pending, a.run)
		}
	}
	d.forgetAbandoned(key)
}

// Settle evaluates the crashes whose lost runs are all known, and returns the new
// quarantines.
func (d *Detector) Settle(now time.Time) []Quarantine {
	d.begin(now)
	d.pruneAbandoned(now)
	d.pruneRefuted(now)
	if len(d.crashes) == 0 {
		return nil
	}
	d.prune(now)
	due := d.dueCrashes(now)
	if len(due) == 0 && !d.judgeDue {
		return nil
	}
	d.judgeDue = false
	for _, c := range due {
		d.strike(now, c)
		c.pending = nil
	}
	return d.judge(now)
}

// dueCrashes returns the crashes whose lost runs are all known and not evaluated, in their
// order.
func (d *Detector) dueCrashes(now time.Time) []*crash {
	var due []*crash
	for _, c := range d.crashes {
		if len(c.pending) > 0 && !now.Before(c.dueAt) {
			due = append(due, c)
		}
	}
	slices.SortFunc(due, func(a, b *crash) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id)) })
	return due
}

// isExplained reports whether a crash at a time has a known culprit among causes: one that
// is quarantined, or whose quarantine was lifted afterwards.
func (d *Detector) isExplained(at time.Time, causes []Cause) bool {
	return d.IsQuarantined(at, causes) || slices.ContainsFunc(causes, func(c Cause) bool { return !at.After(d.lifted[c]) })
}

// strike counts a crash against the causes of its runs.
func (d *Detector) strike(now time.Time, c *crash) {
	next := map[Cause]strike{}
	for _, r := range c.pending {
		if d.isExplained(c.at, r.Causes) {
			return
		}
		for _, cause := range r.Causes {
			next[cause] = strike{
				crash: c.id, began: c.at.Add(-r.Duration), at: c.at, runs: append(next[cause].runs, r.Causes),
				longest:    max(next[cause].longest, r.Duration),
				handedOver: cause.IsWide() && c.at.Before(d.since),
			}
		}
	}
	for cause, n := range next {
		if c.judged[cause] {
			continue // cleared since, or counted already: the report was repeated
		}
		c.judged[cause] = true
		if d.isClear(now, c.at, cause) || d.isOutlived(cause, n.longest) {
			continue
		}
		known := slices.DeleteFunc(d.strikes[cause], func(s strike) bool { return s.handedOver && !n.handedOver && s.samePeriod(n) })
		if !slices.ContainsFunc(known, n.samePeriod) {
			known = append(known, n)
		}
		d.setStrikes(cause, known)
	}
}

// prune removes crashes, strikes and quarantines that have expired.
func (d *Detector) prune(now time.Time) {
	maps.DeleteFunc(d.crashes, func(_ start, c *crash) bool { return len(c.pending) == 0 && now.Sub(c.at) > Retention })
	for cause, strikes := range d.strikes {
		d.setStrikes(cause, slices.DeleteFunc(strikes, func(s strike) bool { return now.Sub(s.at) > Retention }))
	}
	maps.DeleteFunc(d.quarantined, func(_ Cause, until time.Time) bool { return !now.Before(until) })
}

// judge quarantines causes until none is left with enough strikes.
func (d *Detector) judge(now time.Time) []Quarantine {
	var quarantines []Quarantine
	for {
		culprits := d.culprits()
		if len(culprits) == 0 {
			return quarantines
		}
		for _, c := range culprits {
			d.quarantined[c] = now.Add(d.quarantineTime)
			for _, s := range d.counted(c) {
				d.found[c] = max(d.found[c], s.longest)
			}
			quarantines = append(quarantines, Quarantine{Cause: c, Until: d.quarantined[c]})
		}
		explained := slices.Clone(d.strikes[culprits[0]])
		for _, c := range culprits {
			delete(d.strikes, c)
		}
		d.explain(culprits, explained)
	}
}

// culprits returns the cause with the most strikes, together with those that were
// struck by the same crashes, or none if there are too few strikes to tell. Among the
// causes of one request, the narrowest is preferred: others may share the wider ones, and
// the parts of its prompt.
func (d *Detector) culprits() []Cause {
	var worst Cause
	causes := slices.Sorted(maps.Keys(d.strikes))
	for _, c := range causes {
		if len(d.counted(c)) > len(d.counted(worst)) {
			worst = c
		}
	}
	most := d.counted(worst)
	if len(most) < quarantineStrikes {
		return nil
	}
	tied := slices.DeleteFunc(causes, func(c Cause) bool {
		return len(d.counted(c)) < len(most) || !shareCrash(d.counted(c), most)
	})
	culprits := d.narrowest(tied)
	if len(culprits) > 1 && len(most) < ambiguousStrikes {
		return nil
	}
	return culprits
}

// narrowest returns the causes without those that a narrower one explains: requests with
// it were lost in all crashes that struck the wider one.
func (d *Detector) narrowest(causes []Cause) []Cause {
	var narrow []Cause
	for _, c := range causes {
		if !slices.ContainsFunc(causes, func(o Cause) bool { return o.breadth() < c.breadth() && allInvolve(d.counted(c), o) }) {
			narrow = append(narrow, c)
		}
	}
	return narrow
}

func shareCrash(a, b []strike) bool {
	return slices.ContainsFunc(a, func(x strike) bool {
		return slices.ContainsFunc(b, func(y strike) bool { return x.crash == y.crash })
	})
}

// explain removes the crashes of culprits from the strikes of all other causes. What a
// culprit has in common with other requests keeps one of them: if that is the cause, other
// requests with it crash too, and two more strikes show it.
func (d *Detector) explain(culprits []Cause, explained []strike) {
	for cause, strikes := range d.strikes {
		kept := 0
		d.setStrikes(cause, slices.DeleteFunc(strikes, func(s strike) bool {
			if !shareCrash([]strike{s}, explained) {
				return false
			}
			if slices.ContainsFunc(culprits, func(c Cause) bool { return c.IsRequest() && s.involves(c) }) {
				kept++
				return kept > 1
			}
			return true
		}))
	}
}

// setStrikes replaces the strikes of a cause, which is forgotten without any.
func (d *Detector) setStrikes(c Cause, strikes []strike) {
	if len(strikes) == 0 {
		delete(d.strikes, c)
		return
	}
	d.strikes[c] = strikes
}
