package entries

import (
	"context"
	"errors"
	"sync"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/engines"
)

// decisionBacklog bounds the decisions for one request that wait for its
// handler; the reducer never has more than a start and an end outstanding.
const decisionBacklog = 4

// errEnded is the cause with which the reducer's end of a request stops the
// attempt in progress.
var errEnded = errors.New("request has ended")

// exchange is one request in progress and the decisions of the reducer for it.
type exchange struct {
	id        gypsumshelf.RequestID
	decisions chan gypsumshelf.Effect
	ctx       context.Context
	cancel    context.CancelCauseFunc

	mu      sync.Mutex
	attempt gypsumshelf.AttemptID // attempt in progress
	abort   context.CancelCauseFunc
}

// begin returns the context of an attempt.
func (e *exchange) begin(id gypsumshelf.AttemptID) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(e.ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempt, e.abort = id, cancel
	return ctx, cancel
}

// restart ends the attempt because its server has restarted.
func (e *exchange) restart(id gypsumshelf.AttemptID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.attempt == id && e.abort != nil {
		e.abort(engines.ErrRestarted)
	}
}

// next waits for the reducer's next decision. It reports false when the caller
// is gone; a decision that ends the request goes first.
func (e *exchange) next() (gypsumshelf.Effect, bool) {
	select {
	case d := <-e.decisions:
		return d, true
	case <-e.ctx.Done():
	}
	for errors.Is(context.Cause(e.ctx), errEnded) {
		if d := <-e.decisions; ends(d) {
			return d, true
		}
	}
	return nil, false
}

func ends(d gypsumshelf.Effect) bool {
	_, starts := d.(attempts.Start)
	return !starts
}

// exchanges holds all requests in progress.
type exchanges struct {
	mu   sync.Mutex
	open map[gypsumshelf.RequestID]*exchange
}

func (x *exchanges) add(ctx context.Context, id gypsumshelf.RequestID) (*exchange, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.open[id] != nil {
		return nil, false
	}
	e := &exchange{id: id, decisions: make(chan gypsumshelf.Effect, decisionBacklog)}
	e.ctx, e.cancel = context.WithCancelCause(ctx)
	x.open[id] = e
	return e, true
}

func (x *exchanges) remove(id gypsumshelf.RequestID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if e := x.open[id]; e != nil {
		e.cancel(nil)
		delete(x.open, id)
	}
}

func (x *exchanges) get(id gypsumshelf.RequestID) *exchange {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.open[id]
}

func (x *exchanges) count() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.open)
}

// decide passes a decision to the request's handler without blocking. A
// decision that ends the request also ends the attempt in progress.
func (x *exchanges) decide(id gypsumshelf.RequestID, d gypsumshelf.Effect) {
	e := x.get(id)
	if e == nil {
		return
	}
	select {
	case e.decisions <- d:
	default:
		panic("entries: the reducer has more than a start and an end outstanding for request " + string(id))
	}
	if ends(d) {
		e.cancel(errEnded)
	}
}
