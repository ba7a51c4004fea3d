package entries

import (
	"context"
	"errors"
	"sync"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/engines"
)

// decisionBuffer is the capacity of the decision channel of a request. The
// reducer has at most one start and one end outstanding for each request.
const decisionBuffer = 4

// errRequestEnded is the cancel cause of an attempt that is in progress when the
// reducer ends its request.
var errRequestEnded = errors.New("request has ended")

// activeRequest is a request in progress with the pending decisions of the
// reducer.
type activeRequest struct {
	id        gypsumshelf.RequestID
	decisions chan gypsumshelf.Effect
	ctx       context.Context
	cancel    context.CancelCauseFunc

	mu             sync.Mutex
	currentAttempt gypsumshelf.AttemptID
	cancelAttempt  context.CancelCauseFunc
}

// beginAttempt makes an attempt the current one and returns its context.
func (r *activeRequest) beginAttempt(id gypsumshelf.AttemptID) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(r.ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currentAttempt, r.cancelAttempt = id, cancel
	return ctx, cancel
}

// abortRestarted cancels an attempt, if it is the current one, because its
// backend server has restarted.
func (r *activeRequest) abortRestarted(id gypsumshelf.AttemptID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.currentAttempt == id && r.cancelAttempt != nil {
		r.cancelAttempt(engines.ErrRestarted)
	}
}

// nextDecision waits for the reducer's next decision. It reports false when the
// caller has disconnected. If the reducer has ended the request, the decision
// that ends it is returned instead.
func (r *activeRequest) nextDecision() (gypsumshelf.Effect, bool) {
	select {
	case d := <-r.decisions:
		return d, true
	case <-r.ctx.Done():
	}
	for errors.Is(context.Cause(r.ctx), errRequestEnded) {
		if d := <-r.decisions; endsRequest(d) {
			return d, true
		}
	}
	return nil, false
}

// endsRequest reports whether a decision ends its request. Every decision but
// attempts.Start does.
func endsRequest(d gypsumshelf.Effect) bool {
	_, starts := d.(attempts.Start)
	return !starts
}

// activeRequests holds the requests in progress.
type activeRequests struct {
	mu   sync.Mutex
	byID map[gypsumshelf.RequestID]*activeRequest
}

// add registers a request. It reports false when the id is already in use.
func (a *activeRequests) add(ctx context.Context, id gypsumshelf.RequestID) (*activeRequest, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byID[id] != nil {
		return nil, false
	}
	r := &activeRequest{id: id, decisions: make(chan gypsumshelf.Effect, decisionBuffer)}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	a.byID[id] = r
	return r, true
}

func (a *activeRequests) remove(id gypsumshelf.RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.byID[id]; r != nil {
		r.cancel(nil)
		delete(a.byID, id)
	}
}

func (a *activeRequests) get(id gypsumshelf.RequestID) *activeRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byID[id]
}

func (a *activeRequests) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.byID)
}

// deliver sends a decision to the goroutine of the request without blocking. A
// decision that ends the request also cancels the attempt in progress.
func (a *activeRequests) deliver(id gypsumshelf.RequestID, d gypsumshelf.Effect) {
	r := a.get(id)
	if r == nil {
		return
	}
	select {
	case r.decisions <- d:
	default:
		panic("entries: decision buffer is full: the reducer has more than one start and one end outstanding for request " + string(id))
	}
	if endsRequest(d) {
		r.cancel(errRequestEnded)
	}
}
