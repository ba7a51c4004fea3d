package entries

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

const (
	// longBodyBytes is the minimum size of a body that counts against the budget.
	// Shorter bodies, up to about 16,000 tokens, are always admitted.
	longBodyBytes = 64 << 10
	// bodyReadTimeout is the maximum time for reading a caller's body.
	bodyReadTimeout = 30 * time.Second
)

// bodyBudget limits the memory for long request bodies that are kept for a retry.
type bodyBudget struct {
	mu       sync.Mutex
	limit    int64 // in bytes, unlimited when 0
	reserved int64 // in bytes
}

// reservation is the part of the budget that one body has reserved.
type reservation struct {
	budget   *bodyBudget
	size     int64 // bytes of the body so far
	reserved int64 // bytes charged to the budget
}

// resize raises the size of the body and reports whether it fits the budget.
// Short bodies always fit.
func (r *reservation) resize(size int64) bool {
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

// release returns the reserved bytes to the budget. It may be called more than
// once.
func (r *reservation) release() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.reserved -= r.reserved
	r.reserved = 0
}

// reservedBytes returns the total size of the long bodies that are kept.
func (b *bodyBudget) reservedBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserved
}

// readBody reads a caller's body within the budget. A body of known length that
// does not fit is refused before it is read.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *reservation, *gypsumshelf.Error) {
	res := &reservation{budget: &h.bodyBudget}
	if r.ContentLength > h.cfg.MaxBodyBytes {
		return nil, res, bodyTooLargeError(h.cfg.MaxBodyBytes)
	}
	if !res.resize(max(0, r.ContentLength)) {
		return nil, res, bodyBudgetError(h.bodyBudget.limit)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	var buf bytes.Buffer
	buf.Grow(int(max(0, r.ContentLength)) + bytes.MinRead) // the length is at most MaxBodyBytes
	_, err := buf.ReadFrom(&reservingReader{source: http.MaxBytesReader(w, r.Body, h.cfg.MaxBodyBytes), reservation: res})
	// net/http detects a disconnected caller with a background read, which a
	// remaining deadline would end.
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		res.release()
		return nil, res, bodyReadError(err, h.cfg.MaxBodyBytes)
	}
	return buf.Bytes(), res, nil
}

// reservingReader raises a reservation by the bytes read from source.
type reservingReader struct {
	source      io.Reader
	reservation *reservation
	n           int64 // bytes read so far
}

// Read implements io.Reader.
func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.n += int64(n)
	if !r.reservation.resize(r.n) {
		return n, bodyBudgetError(r.reservation.budget.limit)
	}
	return n, err
}

func bodyBudgetError(limit int64) *gypsumshelf.Error {
	return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBodyBudgetExceeded, "request body does not fit into the remaining memory budget for long bodies (%d bytes in total)", limit)
}

func bodyTooLargeError(limit int64) *gypsumshelf.Error {
	return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBodyTooLarge, "request body is larger than the limit of %d bytes", limit)
}
