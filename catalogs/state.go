package catalogs

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Decoder reads a catalog from the document that an operator sent.
type Decoder func(document []byte) (*Catalog, error)

// Action is what a command does.
type Action string

// Actions of commands.
const (
	Put       Action = "put-catalog"
	TakeOut   Action = "take-out"
	BringBack Action = "bring-back"
)

// Command changes the replicated state.
type Command struct {
	Action     Action `json:"action"`
	Version    uint64 `json:"version,omitempty"`     // of the catalog, for Put
	Document   []byte `json:"document,omitempty"`    // the catalog as it was sent, for Put
	DataCentre string `json:"data-centre,omitempty"` // for TakeOut and BringBack
}

// Encode returns the command as an entry of the replicated log.
func (c Command) Encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("command cannot be encoded: %v", err))
	}
	return data
}

// State is what every control daemon knows after the same log entries: the
// newest catalog and the data centres that are out of service.
type State struct {
	Index    uint64   `json:"index"`    // last applied entry
	Version  uint64   `json:"version"`  // of the document, 0 before the first
	Document []byte   `json:"document"` // as the operator sent it
	Out      []string `json:"out"`      // data centres out of service, sorted
}

// Apply carries out one log entry and reports whether anything but the index
// changed. A catalog whose version is not higher than the one held changes
// nothing, whatever it contains.
func (s *State) Apply(index uint64, data []byte) (bool, error) {
	s.Index = index
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return false, fmt.Errorf("entry %d: %w", index, err)
	}
	at, out := slices.BinarySearch(s.Out, c.DataCentre)
	switch c.Action {
	case Put:
		if s.Document != nil && c.Version <= s.Version {
			return false, nil
		}
		s.Version, s.Document = c.Version, c.Document
		return true, nil
	case TakeOut:
		if !out {
			s.Out = slices.Insert(slices.Clone(s.Out), at, c.DataCentre)
		}
		return !out, nil
	case BringBack:
		if out {
			s.Out = slices.Delete(slices.Clone(s.Out), at, at+1)
		}
		return out, nil
	}
	return false, fmt.Errorf("entry %d: unknown action %q", index, c.Action)
}

// Snapshot returns the encoded state.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Restore replaces the state by a snapshot.
func (s *State) Restore(data []byte) error {
	var next State
	if err := json.Unmarshal(data, &next); err != nil {
		return err
	}
	*s = next
	return nil
}
