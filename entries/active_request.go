package entries

import (
	"context"
	"errors"
	"sync"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/engines"
)

// decisionBuffer bounds the decisions for one request that wait for its
// handler; the reducer never has more than a start and an end outstanding.
const decisionBuffer = 4

// errRequestEnded is the cause with which the reducer's end of a request stops the
// attempt in progress.
var errRequestEnded = errors.New("request has ended")

// activeRequest is one request in progress and the decisions of the reducer for it.
type activeRequest struct {
	id        gypsumshelf.RequestID
	decisions chan gypsumshelf.Effect
	ctx       context.Context
	cancel    context.CancelCauseFunc

	mu             sync.Mutex
	currentAttempt gypsumshelf.AttemptID // attempt in progress
	cancelAttempt  context.CancelCauseFunc
}

// beginAttempt returns the context of an attempt.
func (e *activeRequest) beginAttempt(id gypsumshelf.AttemptID) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(e.ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.currentAttempt, e.cancelAttempt = id, cancel
	return ctx, cancel
}

// abortRestarted ends the attempt because its server has restarted.
func (e *activeRequest) abortRestarted(id gypsumshelf.AttemptID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.currentAttempt == id && e.cancelAttempt != nil {
		e.cancelAttempt(engines.ErrRestarted)
	}
}

// nextDecision waits for the reducer's nextDecision decision. It reports false when the caller
// is gone; a decision that ends the request goes first.
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

func endsRequest(d gypsumshelf.Effect) bool {
	_, starts := d.(attempts.Start)
	return !starts
}

// activeRequests holds all requests in progress.
type activeRequests struct {
	mu   sync.Mutex
	byID map[gypsumshelf.RequestID]*activeRequest
}

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

// deliver passes a decision to the request's handler without blocking. A
// decision that ends the request also ends the attempt in progress.
func (x *activeRequests) deliver(id gypsumshelf.RequestID, d gypsumshelf.Effect) {
	e := x.get(id)
	if e == nil {
		return
	}
	select {
	case e.decisions <- d:
	default:
		panic("entries: the reducer has more than a start and an end outstanding for request " + string(id))
	}
	if endsRequest(d) {
		e.cancel(errRequestEnded)
	}
}
