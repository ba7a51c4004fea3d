package configs

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	// maxExpiredIDs limits the expired command ids chosen by operators that are
	// still refused: 2 months at 1,000 a day. Generated ids carry a timestamp and
	// need no entry.
	maxExpiredIDs = 1 << 16
	// maxExpiredKeys limits the expired idempotency keys that are still refused:
	// a day at 3 keyed requests a second. A million keys would take most of the
	// 64 MB that the control plane may use.
	maxExpiredKeys = 1 << 18
)

// boundedHashSet is a bounded set of strings, stored as 64-bit hashes. When it
// is full, a new string replaces the oldest.
type boundedHashSet struct {
	Hashes  []uint64 `json:"hashes,omitempty"` // ring buffer, oldest first until it is full
	Next    int      `json:"next"`             // index of the oldest hash once the set is full
	limit   int
	present map[uint64]bool
}

// initialize sets the limit and rebuilds the fields that are not in a snapshot.
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

// expired returns the keys of the records that have expired, sorted so that
// every replica removes them in the same order.
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
