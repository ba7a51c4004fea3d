package configs

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	// maxExpiredIDs bounds the expired command ids that operators chose: 2 months
	// of 1,000 a day. Generated ids carry their time and need no entry.
	maxExpiredIDs = 1 << 16
	// maxExpiredKeys bounds the expired idempotency keys that are still refused:
	// a day of 3 keyed requests a second. A million would take most of the 64 MB
	// that the control plane may use.
	maxExpiredKeys = 1 << 18
)

// boundedHashSet is a bounded set of strings that may not be used again. It keeps their
// 64-bit hashes; when it is full, the oldest are forgotten.
type boundedHashSet struct {
	Hashes  []uint64 `json:"hashes,omitempty"` // oldest first, except after wrapping at Next
	Next    int      `json:"next"`             // position of the oldest once the set is full
	limit   int
	present map[uint64]bool
}

func (s *boundedHashSet) initialize(limit int) {
	s.limit = limit
	s.present = make(map[uint64]bool, len(s.Hashes))
	for _, h := range s.Hashes {
		s.present[h] = true
	}
}

func (s *boundedHashSet) add(v string) {
	h := hashOf(v)
	if s.present[h] {
		return
	}
	s.present[h] = true
	if len(s.Hashes) < s.limit {
		s.Hashes = append(s.Hashes, h)
		return
	}
	delete(s.present, s.Hashes[s.Next])
	s.Hashes[s.Next] = h
	s.Next = (s.Next + 1) % s.limit
}

func (s *boundedHashSet) contains(v string) bool { return s.present[hashOf(v)] }

func hashOf(v string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(v))
	return h.Sum64()
}

// expired returns the keys of the entries that have expired, in an order that
// is the same on every replica.
func expired[V any](m map[string]V, until func(V) time.Time, now time.Time) []string {
	var keys []string
	for key, v := range m {
		if !now.Before(until(v)) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
