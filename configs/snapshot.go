package configs

import (
	"encoding/json"
	"fmt"
)

// Snapshot encodes the state as JSON. Equal states have identical snapshots.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s.d) }

// Restore returns the state encoded in a snapshot.
func Restore(snapshot []byte) (*State, error) {
	s := &State{}
	if err := json.Unmarshal(snapshot, &s.d); err != nil {
		return nil, fmt.Errorf("configuration snapshot cannot be read: %w", err)
	}
	s.d.initialize()
	return s, nil
}
