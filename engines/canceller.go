package engines

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

const (
	cancelWorkers = 8
	cancelBacklog = 4096
	cancelTries   = 2
	cancelTimeout = time.Second
)

// Defaults of CancellerConfig. They spread the further tries of a cancellation
// past the time for which most network faults last.
const (
	DefaultCancelPause = 5 * time.Second
	DefaultCancelKeep  = 2 * time.Minute
)

// CancellerConfig configures a Canceller.
type CancellerConfig struct {
	Completer Completer
	Pause     time.Duration // between the further tries of a cancellation that failed
	Keep      time.Duration // time for which it is tried
}

// Canceller cancels attempts on engines in the background. A cancellation that
// fails is tried again until the engine answers or refuses connections: a
// process that is gone holds no memory.
type Canceller struct {
	cfg     CancellerConfig
	backlog chan cancellation
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup
	pending atomic.Int64
}

type cancellation struct {
	address string
	attempt gypsumshelf.AttemptID
	since   time.Time
	again   bool // not the first try, and so not counted as pending
}

// NewCanceller returns a running Canceller.
func NewCanceller(cfg CancellerConfig) *Canceller {
	k := &Canceller{cfg: cfg, backlog: make(chan cancellation, cancelBacklog)}
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
	case k.backlog <- cancellation{address: address, attempt: attempt, since: time.Now()}:
		return true
	default:
		k.pending.Add(-1)
		return false
	}
}

// Pending returns the number of cancellations whose first try has not ended.
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
	if !c.again {
		defer k.pending.Add(-1)
	}
	for range cancelTries {
		ctx, stop := context.WithTimeout(k.ctx, cancelTimeout)
		err := k.cfg.Completer.Cancel(ctx, c.address, c.attempt)
		stop()
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
	}
	if time.Since(c.since) < k.cfg.Keep {
		c.again = true
		time.AfterFunc(k.cfg.Pause, func() { k.requeue(c) })
	}
}

func (k *Canceller) requeue(c cancellation) {
	select {
	case k.backlog <- c:
	case <-k.ctx.Done():
	}
}
