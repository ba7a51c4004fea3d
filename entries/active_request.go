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
func (e *activeRequest) beginAttempt(id gypsumshelf.AttemptID) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(e.ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.currentAttempt, e.cancelAttempt = id, cancel
	return ctx, cancel
}

// abortRestarted cancels an attempt, if it is the current one, because its
// backend server has restarted.
func (e *activeRequest) abortRestarted(id gypsumshelf.AttemptID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.currentAttempt == id && e.cancelAttempt != nil {
		e.cancelAttempt(engines.ErrRestarted)
	}
}

// nextDecision waits for the reducer's next decision. It reports false when the
// caller has disconnected. If the reducer has ended the request, the decision
// that ends it is returned instead.
func (e *activeRequest) nextDecision() (gypsumshelf.Effect, bool) {
	select {
	case d := <-e.decisions:
		return d, true
	case <-e.ctx.Done():
	}
	for errors.Is(context.Cause(e.ctx), errRequestEnded) {
		if d := <-e.decisions; endsRequest(d) {
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
func (x *activeRequests) add(ctx context.Context, id gypsumshelf.RequestID) (*activeRequest, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.byID[id] != nil {
		return nil, false
	}
	e := &activeRequest{id: id, decisions: make(chan gypsumshelf.Effect, decisionBuffer)}
	e.ctx, e.cancel = context.WithCancelCause(ctx)
	x.byID[id] = e
	return e, true
}

func (x *activeRequests) remove(id gypsumshelf.RequestID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if e := x.byID[id]; e != nil {
		e.cancel(nil)
		delete(x.byID, id)
	}
}

func (x *activeRequests) get(id gypsumshelf.RequestID) *activeRequest {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.byID[id]
}

func (x *activeRequests) count() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.byID)
}

// deliver sends a decision to the goroutine of the request without blocking. A
// decision that ends the request also cancels the attempt in progress.
func (x *activeRequests) deliver(id gypsumshelf.RequestID, d gypsumshelf.Effect) {
	e := x.get(id)
	if e == nil {
		return
	}
	select {
	case e.decisions <- d:
	default:
		panic("entries: decision buffer is full: the reducer has more than one start and one end outstanding for request " + string(id))
	}
	if endsRequest(d) {
		e.cancel(errRequestEnded)
	}
}
