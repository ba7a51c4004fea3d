package catalogs

import (
	"encoding/json"
	"fmt"
	"slices"

	"gypsumshelf.example/gypsumshelf/crashes"
)

// Decoder decodes and validates the catalog document that an operator sent.
type Decoder func(document []byte) (*Catalog, error)

// Action is the kind of a command.
type Action string

// Actions of commands.
const (
	Put             Action = "put-catalog"
	TakeOut         Action = "take-out"
	BringBack       Action = "bring-back"
	QuarantineCause Action = "quarantine-prompt-part" // also of requests
	LiftQuarantine  Action = "lift-quarantine"
)

// maxQuarantines bounds the quarantines of the state. The one that ends first makes
// room for a new one.
const maxQuarantines = 256

// Command changes the replicated state.
type Command struct {
	Action     Action `json:"action"`
	Version    uint64 `json:"version,omitempty"`     // of the catalog, for Put
	Document   []byte `json:"document,omitempty"`    // the catalog as it was sent, for Put
	DataCentre string `json:"data-centre,omitempty"` // for TakeOut and BringBack
	// Quarantine is that of a prompt part or a request, for QuarantineCause.
	Quarantine crashes.Quarantine `json:"quarantine,omitzero"`
	// Lift is the lift of a quarantine, for LiftQuarantine.
	Lift crashes.Lift `json:"lift,omitzero"`
	// KnownIndex is the last applied entry that the proposer knew, 0 if the command
	// does not depend on it. It is for the leader only and does not enter the log.
	KnownIndex uint64 `json:"-"`
}

// Subject identifies what the command is about, so that commands with the same subject
// override each other. It is empty for a catalog, which has a version.
func (c Command) Subject() string {
	switch c.Action {
	case TakeOut, BringBack:
		return "data-centre:" + c.DataCentre
	case QuarantineCause:
		return "cause:" + string(c.Quarantine.Cause)
	case LiftQuarantine:
		return "cause:" + string(c.Lift.Cause)
	}
	return ""
}

// Encode returns the command as an entry of the replicated log.
func (c Command) Encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("command cannot be encoded: %v", err))
	}
	return data
}

// State is the replicated state, which is the same on every control daemon after
// the same log entries: the newest catalog and the data centres out of service.
type State struct {
	Index        uint64   `json:"index"`    // last applied entry
	Version      uint64   `json:"version"`  // of the document, 0 before the first one
	Document     []byte   `json:"document"` // as the operator sent it
	OutOfService []string `json:"out"`      // data centres out of service, sorted
	// Quarantines are the causes that crash backend servers, in the order in which
	// their quarantines end.
	Quarantines []crashes.Quarantine `json:"quarantines,omitempty"`
	// Lifts are the quarantines that operators have lifted, the latest last.
	Lifts []crashes.Lift `json:"lifts,omitempty"`
}

// Apply applies one log entry. It returns the command of the entry, and reports whether
// anything other than the index changed. A catalog is ignored unless its version is
// higher than the current one.
func (s *State) Apply(index uint64, data []byte) (c Command, changed bool, err error) {
	s.Index = index
	if err := json.Unmarshal(data, &c); err != nil {
		return Command{}, false, fmt.Errorf("entry %d: %w", index, err)
	}
	changed, err = s.apply(index, c)
	return c, changed, err
}

func (s *State) apply(index uint64, c Command) (bool, error) {
	position, found := slices.BinarySearch(s.OutOfService, c.DataCentre)
	switch c.Action {
	case Put:
		if s.Document != nil && c.Version <= s.Version {
			return false, nil
		}
		s.Version, s.Document = c.Version, c.Document
		return true, nil
	case TakeOut:
		if !found {
			s.OutOfService = slices.Insert(slices.Clone(s.OutOfService), position, c.DataCentre)
		}
		return !found, nil
	case BringBack:
		if found {
			s.OutOfService = slices.Delete(slices.Clone(s.OutOfService), position, position+1)
		}
		return found, nil
	case QuarantineCause:
		s.Quarantines = withQuarantine(s.Quarantines, c.Quarantine)
		return true, nil
	case LiftQuarantine:
		s.Quarantines = without(s.Quarantines, c.Lift.Cause)
		s.Lifts = append(slices.DeleteFunc(slices.Clone(s.Lifts), func(l crashes.Lift) bool { return l.Cause == c.Lift.Cause }), c.Lift)
		s.Lifts = s.Lifts[max(0, len(s.Lifts)-maxQuarantines):]
		return true, nil
	}
	return false, fmt.Errorf("entry %d: unknown action %q", index, c.Action)
}

// withQuarantine returns a copy with a quarantine added, which replaces that of the
// same cause.
func withQuarantine(old []crashes.Quarantine, q crashes.Quarantine) []crashes.Quarantine {
	next := append(without(old, q.Cause), q)
	slices.SortStableFunc(next, func(a, b crashes.Quarantine) int { return a.Until.Compare(b.Until) })
	return next[max(0, len(next)-maxQuarantines):]
}

// without returns a copy without the quarantine of a cause.
func without(old []crashes.Quarantine, cause crashes.Cause) []crashes.Quarantine {
	return slices.DeleteFunc(slices.Clone(old), func(q crashes.Quarantine) bool { return q.Cause == cause })
}

// Snapshot returns the encoded state.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Restore replaces the state by an encoded one. It leaves the state unchanged if
// data cannot be decoded.
func (s *State) Restore(data []byte) error {
	var next State
	if err := json.Unmarshal(data, &next); err != nil {
		return err
	}
	*s = next
	return nil
}
