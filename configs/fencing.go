package configs

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// QuarantineRecord is a quarantine in force: requests with the body hash are
// refused until it expires.
type QuarantineRecord struct {
	BodyHash uint64    `json:"body-hash"`
	Reason   string    `json:"reason"`
	Expires  time.Time `json:"expires"`
}

// Epoch is a fencing epoch and the daemon that advanced it last.
type Epoch struct {
	Number uint64               `json:"number"`
	Owner  gypsumshelf.DaemonID `json:"owner"`
}

// quarantine records a quarantine. It extends but never shortens an existing
// one.
func (s *State) quarantine(c Quarantine) Result {
	if c.Duration <= 0 {
		return s.refuse(CodeInvalid, "quarantine duration must be positive")
	}
	q := QuarantineRecord{BodyHash: c.BodyHash, Reason: c.Reason, Expires: s.d.Now.Add(c.Duration.Std())}
	if old, ok := s.d.Quarantine[c.BodyHash]; ok && old.Expires.After(q.Expires) {
		q.Expires = old.Expires
	}
	s.d.Quarantine[c.BodyHash] = q
	return Result{Text: "quarantined", Revision: s.d.Revision}
}

func (s *State) liftQuarantine(c LiftQuarantine) Result {
	if _, ok := s.d.Quarantine[c.BodyHash]; !ok {
		return s.refuse(CodeNotFound, "body hash %x is not in quarantine", c.BodyHash)
	}
	delete(s.d.Quarantine, c.BodyHash)
	return Result{Text: "quarantine lifted", Revision: s.d.Revision}
}

// Quarantined returns the quarantine of a body hash, if one is in force at now.
func (s *State) Quarantined(now time.Time, bodyHash uint64) (QuarantineRecord, bool) {
	q, ok := s.d.Quarantine[bodyHash]
	return q, ok && now.Before(q.Expires)
}

// advanceEpoch grants each epoch to a single owner. A repeated command of that
// owner is accepted again.
func (s *State) advanceEpoch(c AdvanceEpoch) Result {
	current := s.d.Epochs[c.Name]
	if current.Number == c.From+1 && current.Owner == c.Owner {
		return Result{Text: "epoch advanced", Revision: s.d.Revision, Epoch: current.Number}
	}
	if current.Number != c.From {
		r := s.refuse(CodeStaleEpoch, "epoch of %q is %d and belongs to %s", c.Name, current.Number, current.Owner)
		r.Epoch = current.Number
		return r
	}
	next := Epoch{Number: c.From + 1, Owner: c.Owner}
	s.d.Epochs[c.Name] = next
	return Result{Text: "epoch advanced", Revision: s.d.Revision, Epoch: next.Number}
}

// Epoch returns the fencing epoch of a name; it is 0 before the first advance.
func (s *State) Epoch(name string) Epoch { return s.d.Epochs[name] }
