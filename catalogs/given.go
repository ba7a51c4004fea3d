package catalogs

import "encoding/json"

// Given is a member of a JSON object that tells a missing member from an empty one. A null
// is given, too, with the zero value.
type Given[T any] struct {
	value T
	given bool
}

// Value returns the value of the member, the zero value if it is missing or null.
func (g Given[T]) Value() T { return g.value }

// IsGiven reports whether the object has the member.
func (g Given[T]) IsGiven() bool { return g.given }

// UnmarshalJSON implements json.Unmarshaler.
func (g *Given[T]) UnmarshalJSON(data []byte) error {
	var v T
	err := json.Unmarshal(data, &v)
	g.value, g.given = v, true
	return err
}
