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

	mu       sync.Mutex
	used     int
	reserved map[string]reservation
}

type reservation struct {
	tokens  int
	expires time.Time // zero for a reservation without a lease
}

// Held is a reservation in the list that an engine returns.
type Held struct {
	Reservation string `json:"reservation"`
	Tokens      int    `json:"tokens"`
}

func newMemory(size int) *memory {
	return &memory{size: size, reserved: map[string]reservation{}}
}

// take allocates tokens for a request. It reports false if too few are free.
func (m *memory) take(now time.Time, tokens int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	if m.size > 0 && m.used+tokens > m.size {
		return false
	}
	m.used += tokens
	return true
}

func (m *memory) give(tokens int) {
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
	held := m.reserved[id]
	if m.size > 0 && m.used-held.tokens+tokens > m.size {
		return false
	}
	m.used += tokens - held.tokens
	r := reservation{tokens: tokens}
	if lease > 0 {
		r.expires = now.Add(lease)
	}
	m.reserved[id] = r
	return true
}

// release frees the tokens of a reservation, if it exists.
func (m *memory) release(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= m.reserved[id].tokens
	delete(m.reserved, id)
}

func (m *memory) held(now time.Time) []Held {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	list := []Held{}
	for id, r := range m.reserved {
		list = append(list, Held{Reservation: id, Tokens: r.tokens})
	}
	return list
}

func (m *memory) inUse() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

func (m *memory) expire(now time.Time) {
	for id, r := range m.reserved {
		if !r.expires.IsZero() && now.After(r.expires) {
			m.used -= r.tokens
			delete(m.reserved, id)
		}
	}
}

// reservedTokens returns the tokens of a reservation, 0 if it does not exist.
func (m *memory) reservedTokens(id string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reserved[id].tokens
}
