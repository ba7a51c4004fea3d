package standins

import (
	"sync"
	"time"
)

// memory accounts for an engine's memory in tokens. Running requests and
// reservations hold tokens. A reservation ends when it is released or its lease
// expires.
type memory struct {
	size int

	mu           sync.Mutex
	used         int
	reservations map[string]reservation
}

type reservation struct {
	tokens  int
	expires time.Time // zero for a reservation without a lease
}

// HeldReservation is a reservation in the list that an engine returns.
type HeldReservation struct {
	Reservation string `json:"reservation"`
	Tokens      int    `json:"tokens"`
}

func newMemory(size int) *memory {
	return &memory{size: size, reservations: map[string]reservation{}}
}

// allocate reserves memory for a running request. It reports false if too few
// tokens are free.
func (m *memory) allocate(now time.Time, tokens int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	if m.size > 0 && m.used+tokens > m.size {
		return false
	}
	m.used += tokens
	return true
}

func (m *memory) free(tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= tokens
}

// reserve allocates tokens under an id. A repeated reservation replaces the
// tokens and the lease of the earlier one. It reports false if too few tokens
// are free.
func (m *memory) reserve(now time.Time, id string, tokens int, lease time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	held := m.reservations[id]
	if m.size > 0 && m.used-held.tokens+tokens > m.size {
		return false
	}
	m.used += tokens - held.tokens
	r := reservation{tokens: tokens}
	if lease > 0 {
		r.expires = now.Add(lease)
	}
	m.reservations[id] = r
	return true
}

// release frees the tokens of a reservation, if it exists.
func (m *memory) release(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= m.reservations[id].tokens
	delete(m.reservations, id)
}

func (m *memory) list(now time.Time) []HeldReservation {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	list := []HeldReservation{}
	for id, r := range m.reservations {
		list = append(list, HeldReservation{Reservation: id, Tokens: r.tokens})
	}
	return list
}

func (m *memory) inUse() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

func (m *memory) expire(now time.Time) {
	for id, r := range m.reservations {
		if !r.expires.IsZero() && now.After(r.expires) {
			m.used -= r.tokens
			delete(m.reservations, id)
		}
	}
}

// reservedTokens returns the tokens of a reservation, 0 if it does not exist.
func (m *memory) reservedTokens(id string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reservations[id].tokens
}
