// Package buffers bounds the memory that one daemon uses for the bodies of
// requests and responses.
package buffers

import (
	"errors"
	"io"
	"sync"
)

// ErrBudgetExceeded is returned by a reader whose data does not fit the budget.
var ErrBudgetExceeded = errors.New("the body does not fit into the memory budget for long bodies")

// longBodyBytes is the minimum size of a body that counts against the budget.
// Shorter bodies, up to about 16,000 tokens, are always admitted.
const longBodyBytes = 64 << 10

// Budget limits the total size of the long bodies that are kept in memory.
type Budget struct {
	limit int64 // in bytes, unlimited when 0

	mu       sync.Mutex
	reserved int64 // in bytes
}

// NewBudget returns a budget of limit bytes, or an unlimited one when limit is 0.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Limit returns the limit in bytes, 0 when unlimited.
func (b *Budget) Limit() int64 { return b.limit }

// Reserved returns the total size in bytes of the long bodies that are kept.
func (b *Budget) Reserved() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserved
}

// Reserve returns a reservation of size 0.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Reservation is the part of a budget that one body has reserved.
type Reservation struct {
	budget   *Budget
	size     int64 // bytes of the body so far
	reserved int64 // bytes charged to the budget
}

// Resize raises the size of the body and reports whether it fits the budget.
// Short bodies always fit.
func (r *Reservation) Resize(size int64) bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.size = max(r.size, size)
	if r.size < longBodyBytes {
		return true
	}
	if r.budget.limit > 0 && r.budget.reserved+r.size-r.reserved > r.budget.limit {
		return false
	}
	r.budget.reserved += r.size - r.reserved
	r.reserved = r.size
	return true
}

// Release returns the reserved bytes to the budget. It may be called more than
// once.
func (r *Reservation) Release() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.reserved -= r.reserved
	r.reserved = 0
}

// Reader returns a reader of source that raises the reservation by the bytes read
// and fails with ErrBudgetExceeded once they do not fit.
func (r *Reservation) Reader(source io.Reader) io.Reader {
	return &reservingReader{source: source, reservation: r}
}

type reservingReader struct {
	source      io.Reader
	reservation *Reservation
	n           int64 // bytes read so far
}

// Read implements io.Reader.
func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.n += int64(n)
	if !r.reservation.Resize(r.n) {
		return n, ErrBudgetExceeded
	}
	return n, err
}
