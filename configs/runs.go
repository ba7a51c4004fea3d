package configs

import (
	"strconv"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Run is the record of a non-idempotent request.
type Run struct {
	RunKey
	ID       string               `json:"id"`
	BodyHash uint64               `json:"body-hash"`
	Owner    gypsumshelf.DaemonID `json:"owner"`
	BegunAt  time.Time            `json:"begun-at"`
	Expires  time.Time            `json:"expires"`
	Outcome  *Outcome             `json:"outcome,omitempty"` // nil while the outcome is unknown
}

// mapKey returns the map key of the record. The length prefix distinguishes
// ("a", "bc") from ("ab", "c").
func (k RunKey) mapKey() string {
	return strconv.Itoa(len(k.Workspace)) + ":" + k.Workspace + ":" + k.Key
}

// beginRun accepts a single run per key. Any other run with the same body is
// refused and gets the record of the accepted run.
func (s *State) beginRun(c BeginRun) Result {
	if c.Key == "" || c.Run == "" || c.Retention <= 0 || c.Retention.Std() > MaxRunRetention {
		return s.refuse(CodeInvalid, "run needs a key, a run id and a retention of more than 0 and at most %s", MaxRunRetention)
	}
	key := c.mapKey()
	if run := s.d.Runs[key]; run != nil {
		return s.beginExistingRun(c, run)
	}
	if s.d.ExpiredKeys.contains(key) {
		return s.refuse(CodeKeyExpired, "the record of key %q has expired", c.Key)
	}
	run := &Run{
		RunKey: c.RunKey, ID: c.Run, BodyHash: c.BodyHash, Owner: c.Owner,
		BegunAt: s.d.Now, Expires: s.d.Now.Add(c.Retention.Std()),
	}
	s.d.Runs[key] = run
	return Result{Text: "run began", Revision: s.d.Revision, Run: run.clone()}
}

// beginExistingRun returns the result of BeginRun for a key that has a record.
func (s *State) beginExistingRun(c BeginRun, run *Run) Result {
	var r Result
	switch {
	case !s.d.Now.Before(run.Expires):
		return s.refuse(CodeKeyExpired, "the record of key %q has expired", c.Key)
	case run.BodyHash != c.BodyHash:
		return s.refuse(CodeKeyReused, "key %q belongs to a request with a different body", c.Key)
	case run.ID == c.Run && run.Owner == c.Owner:
		r = Result{Text: "run began", Revision: s.d.Revision}
	default:
		r = s.refuse(CodeKeyTaken, "key %q belongs to run %s on %s", c.Key, run.ID, run.Owner)
	}
	r.Run = run.clone()
	return r
}

func (s *State) finishRun(c FinishRun) Result {
	run := s.d.Runs[c.mapKey()]
	if run == nil || run.ID != c.Run {
		return s.refuse(CodeNotFound, "run %s of key %q is not recorded", c.Run, c.Key)
	}
	if run.Outcome == nil {
		outcome := c.Outcome
		if len(outcome.Body) > MaxOutcomeBytes {
			outcome.Body, outcome.BodyOmitted = nil, true
		}
		run.Outcome = &outcome
	}
	return Result{Text: "run finished", Revision: s.d.Revision, Run: run.clone()}
}

func (r *Run) clone() *Run {
	c := *r
	if r.Outcome != nil {
		outcome := *r.Outcome
		c.Outcome = &outcome
	}
	return &c
}

// Run returns the record of a key, or nil.
func (s *State) Run(k RunKey) *Run {
	if run := s.d.Runs[k.mapKey()]; run != nil {
		return run.clone()
	}
	return nil
}

func (s *State) sweepRuns() {
	for _, key := range expired(s.d.Runs, func(r *Run) time.Time { return r.Expires }, s.d.Now) {
		s.d.ExpiredKeys.add(key)
		delete(s.d.Runs, key)
	}
}
