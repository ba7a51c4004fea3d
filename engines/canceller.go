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
	cancelWorkers       = 8
	cancelQueueLength   = 4096
	cancelTriesPerRound = 2
	cancelTimeout       = time.Second
)

// Defaults of CancellerConfig. They spread retries of a cancellation beyond the
// duration of most network faults.
const (
	DefaultCancelRetryDelay = 5 * time.Second
	DefaultCancelRetryFor   = 2 * time.Minute
)

// CancellerConfig configures a Canceller.
type CancellerConfig struct {
	Completer  Completer
	RetryDelay time.Duration // delay before a failed cancellation is retried
	RetryFor   time.Duration // time for which it is retried
}

// Canceller cancels attempts on engines in the background. A failed cancellation
// is retried until the engine answers or refuses connections: a process that no
// longer runs holds no memory.
type Canceller struct {
	cfg               CancellerConfig
	queue             chan cancellation
	ctx               context.Context
	stop              context.CancelFunc
	wg                sync.WaitGroup
	firstTriesPending atomic.Int64
}

type cancellation struct {
	address  string
	attempt  gypsumshelf.AttemptID
	queuedAt time.Time
	retried  bool // not the first round of tries, so not counted as pending
}

// NewCanceller returns a running Canceller.
func NewCanceller(cfg CancellerConfig) *Canceller {
	k := &Canceller{cfg: cfg, queue: make(chan cancellation, cancelQueueLength)}
	k.ctx, k.stop = context.WithCancel(context.Background())
	for range cancelWorkers {
		k.wg.Add(1)
		go k.work()
	}
	return k
}

// Cancel queues a cancellation. It returns false when the queue is full.
func (k *Canceller) Cancel(address string, attempt gypsumshelf.AttemptID) bool {
	k.firstTriesPending.Add(1)
	select {
	case k.queue <- cancellation{address: address, attempt: attempt, queuedAt: time.Now()}:
		return true
	default:
		k.firstTriesPending.Add(-1)
		return false
	}
}

// Pending returns the number of cancellations whose first round of tries has not
// ended.
func (k *Canceller) Pending() int { return int(k.firstTriesPending.Load()) }

// Close stops the workers and drops the queue.
func (k *Canceller) Close() {
	k.stop()
	k.wg.Wait()
}

func (k *Canceller) work() {
	defer k.wg.Done()
	for {
		select {
		case c := <-k.queue:
			k.cancel(c)
		case <-k.ctx.Done():
			return
		}
	}
}

func (k *Canceller) cancel(c cancellation) {
	if !c.retried {
		defer k.firstTriesPending.Add(-1)
	}
	for range cancelTriesPerRound {
		ctx, stop := context.WithTimeout(k.ctx, cancelTimeout)
		err := k.cfg.Completer.Cancel(ctx, c.address, c.attempt)
		stop()
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
	}
	if time.Since(c.queuedAt) < k.cfg.RetryFor {
		c.retried = true
		time.AfterFunc(k.cfg.RetryDelay, func() { k.requeue(c) })
	}
}

func (k *Canceller) requeue(c cancellation) {
	select {
	case k.queue <- c:
	case <-k.ctx.Done():
	}
}
