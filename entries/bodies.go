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
	// longBodyBytes is the size from which a body counts against the budget;
	// shorter ones, up to about 16,000 tokens, are always admitted.
	longBodyBytes = 64 << 10
	// bodyReadTimeout bounds the time in which a caller sends its body.
	bodyReadTimeout = 30 * time.Second
)

// bodies counts the memory of long bodies that are kept for a retry.
type bodies struct {
	mu    sync.Mutex
	limit int64 // unlimited when 0
	used  int64
}

// lease is one body's part of the budget.
type lease struct {
	bodies  *bodies
	size    int64 // bytes of the body so far
	charged int64
}

// resize sets the body's size. It reports false when a long body does not fit.
func (l *lease) resize(size int64) bool {
	l.bodies.mu.Lock()
	defer l.bodies.mu.Unlock()
	l.size = max(l.size, size)
	if l.size < longBodyBytes {
		return true
	}
	if l.bodies.limit > 0 && l.bodies.used+l.size-l.charged > l.bodies.limit {
		return false
	}
	l.bodies.used += l.size - l.charged
	l.charged = l.size
	return true
}

// free returns the body's part of the budget; it may be called repeatedly.
func (l *lease) free() {
	l.bodies.mu.Lock()
	defer l.bodies.mu.Unlock()
	l.bodies.used -= l.charged
	l.charged = 0
}

// held returns the bytes of all long bodies that are kept.
func (b *bodies) held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// read reads a caller's body within the budget. A body of known length that
// does not fit is refused before it is read.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) ([]byte, *lease, *gypsumshelf.Error) {
	l := &lease{bodies: &h.bodies}
	if r.ContentLength > h.cfg.MaxBodyBytes {
		return nil, l, tooLarge(h.cfg.MaxBodyBytes)
	}
	if !l.resize(max(0, r.ContentLength)) {
		return nil, l, overBudget(h.bodies.limit)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	var buf bytes.Buffer
	buf.Grow(int(max(0, r.ContentLength)) + bytes.MinRead) // the length is at most MaxBodyBytes
	_, err := buf.ReadFrom(&leasedReader{source: http.MaxBytesReader(w, r.Body, h.cfg.MaxBodyBytes), lease: l})
	// A deadline left behind would end the detection of callers that go away.
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		l.free()
		return nil, l, bodyError(err, h.cfg.MaxBodyBytes)
	}
	return buf.Bytes(), l, nil
}

// leasedReader grows a lease with the bytes read.
type leasedReader struct {
	source io.Reader
	lease  *lease
	n      int64
}

// Read implements io.Reader.
func (r *leasedReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.n += int64(n)
	if !r.lease.resize(r.n) {
		return n, overBudget(r.lease.bodies.limit)
	}
	return n, err
}

func overBudget(limit int64) *gypsumshelf.Error {
	return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBodyBudget, "no room for a long body: %d bytes for bodies are in use", limit)
}

func tooLarge(limit int64) *gypsumshelf.Error {
	return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBodyTooLarge, "request body is larger than %d bytes", limit)
}
