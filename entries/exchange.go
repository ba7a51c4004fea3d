// Package entries is the HTTP interface for callers.
package entries

import (
	"context"
	"sync"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
)

// decisionBacklog bounds the decisions for one request that wait for its
// handler; the reducer never has more than a start and an end outstanding.
const decisionBacklog = 4

// exchange is one request in progress and the decisions of the reducer for it.
type exchange struct {
	decisions chan gypsumshelf.Effect
	ctx       context.Context
	cancel    context.CancelFunc
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
	e := &exchange{decisions: make(chan gypsumshelf.Effect, decisionBacklog)}
	e.ctx, e.cancel = context.WithCancel(ctx)
	x.open[id] = e
	return e, true
}

func (x *exchanges) remove(id gypsumshelf.RequestID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if e := x.open[id]; e != nil {
		e.cancel()
		delete(x.open, id)
	}
}

// decide passes a decision to the request's handler. A decision that ends the
// request also ends the attempt in progress.
func (x *exchanges) decide(id gypsumshelf.RequestID, d gypsumshelf.Effect) {
	x.mu.Lock()
	e := x.open[id]
	x.mu.Unlock()
	if e == nil {
		return
	}
	if _, ok := d.(attempts.Refuse); ok {
		e.cancel()
	}
	select {
	case e.decisions <- d:
	case <-e.ctx.Done():
		// The handler has ended or will read the refusal from the backlog.
		select {
		case e.decisions <- d:
		default:
		}
	}
}
