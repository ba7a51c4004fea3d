package engines

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

const (
	cancelWorkers = 8
	cancelBacklog = 4096
	cancelTries   = 2
	cancelTimeout = time.Second
)

// Canceller cancels attempts on engines in the background. A cancellation that
// is lost is made good by the sweep of reservations.
type Canceller struct {
	completer Completer
	backlog   chan cancellation
	ctx       context.Context
	stop      context.CancelFunc
	wg        sync.WaitGroup
	pending   atomic.Int64
}

type cancellation struct {
	address string
	attempt gypsumshelf.AttemptID
}

// NewCanceller returns a running Canceller.
func NewCanceller(c Completer) *Canceller {
	k := &Canceller{completer: c, backlog: make(chan cancellation, cancelBacklog)}
	k.ctx, k.stop = context.WithCancel(context.Background())
	for range cancelWorkers {
		k.wg.Add(1)
		go k.loop()
	}
	return k
}

// Cancel queues a cancellation. It reports false when the backlog is full.
func (k *Canceller) Cancel(address string, attempt gypsumshelf.AttemptID) bool {
	k.pending.Add(1)
	select {
	case k.backlog <- cancellation{address: address, attempt: attempt}:
		return true
	default:
		k.pending.Add(-1)
		return false
	}
}

// Pending returns the number of cancellations that have not ended.
func (k *Canceller) Pending() int { return int(k.pending.Load()) }

// Close stops the workers and drops the backlog.
func (k *Canceller) Close() {
	k.stop()
	k.wg.Wait()
}

func (k *Canceller) loop() {
	defer k.wg.Done()
	for {
		select {
		case c := <-k.backlog:
			k.cancel(c)
		case <-k.ctx.Done():
			return
		}
	}
}

func (k *Canceller) cancel(c cancellation) {
	defer k.pending.Add(-1)
	for range cancelTries {
		ctx, stop := context.WithTimeout(k.ctx, cancelTimeout)
		err := k.completer.Cancel(ctx, c.address, c.attempt)
		stop()
		if err == nil {
			return
		}
	}
}
