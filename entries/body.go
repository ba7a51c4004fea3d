package entries

import (
	"bytes"
	"errors"
	"net/http"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/buffers"
)

// bodyReadTimeout is the maximum time for reading a caller's body.
const bodyReadTimeout = 30 * time.Second

// readBody reads a caller's body within the budget. A body of known length that
// does not fit is refused before it is read.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *buffers.Reservation, *gypsumshelf.Error) {
	res := h.bodyBudget.Reserve()
	if r.ContentLength > h.cfg.MaxBodyBytes {
		return nil, res, bodyTooLargeError(h.cfg.MaxBodyBytes)
	}
	if !res.Resize(max(0, r.ContentLength)) {
		return nil, res, bodyBudgetError(h.bodyBudget.Limit())
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	var buf bytes.Buffer
	buf.Grow(int(max(0, r.ContentLength)) + bytes.MinRead) // the length is at most MaxBodyBytes
	_, err := buf.ReadFrom(res.Reader(http.MaxBytesReader(w, r.Body, h.cfg.MaxBodyBytes)))
	// net/http detects a disconnected caller with a background read, which a
	// remaining deadline would end.
	_ = control.SetReadDeadline(time.Time{})
	if errors.Is(err, buffers.ErrBudgetExceeded) {
		res.Release()
		return nil, res, bodyBudgetError(h.bodyBudget.Limit())
	}
	if err != nil {
		res.Release()
		return nil, res, bodyReadError(err, h.cfg.MaxBodyBytes)
	}
	return buf.Bytes(), res, nil
}

func bodyBudgetError(limit int64) *gypsumshelf.Error {
	return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBodyBudgetExceeded, "request body does not fit into the remaining memory budget for long bodies (%d bytes in total)", limit)
}

func bodyTooLargeError(limit int64) *gypsumshelf.Error {
	return gypsumshelf.Errorf(gypsumshelf.NotRun, gypsumshelf.CodeBodyTooLarge, "request body is larger than the limit of %d bytes", limit)
}
