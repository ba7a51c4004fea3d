package daemons

import (
	"context"
	"fmt"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/shares"
)

// stopPollInterval is the time between two looks at the requests in progress.
const stopPollInterval = 20 * time.Millisecond

// handOverTimeout bounds the time in which the other daemons are told of the stop.
const handOverTimeout = time.Second

// Shutdown stops the daemon gracefully: it takes no new requests and returns
// nil once all requests in progress have ended, which they do by their
// deadlines, their outcomes are recorded and their attempts cancelled. When ctx
// ends first it returns an error; Interrupted then lists the requests that
// Close will interrupt.
func (in *Instance) Shutdown(ctx context.Context) error {
	in.loop.Submit(attempts.Stop{})
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for {
		open, ok := in.requestsInProgress(ctx)
		if ok && len(open) == 0 && in.handler.Open() == 0 && in.noPendingProposals(ctx) && in.canceller.Pending() == 0 {
			break
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d requests in progress: %w", len(open), context.Cause(ctx))
		case <-ticker.C:
		}
	}
	for _, s := range in.servers {
		if err := s.Shutdown(ctx); err != nil {
			return err
		}
	}
	return in.handOver(ctx)
}

// handOver gives up shares and ownership and waits until the peers that answer
// have been told.
func (in *Instance) handOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	in.loop.Submit(shares.HandOver{})
	for done := false; !done && ctx.Err() == nil; {
		in.loop.Query(ctx, func(r *Reducer) { done = r.handedOver })
	}
	in.links.Drain(ctx)
	return nil
}

// Interrupted returns the requests in progress.
func (in *Instance) Interrupted() []gypsumshelf.RequestID {
	open, _ := in.requestsInProgress(context.Background())
	return open
}

func (in *Instance) requestsInProgress(ctx context.Context) (ids []gypsumshelf.RequestID, ok bool) {
	ok = in.loop.Query(ctx, func(r *Reducer) {
		for _, rec := range r.attempts.Active() {
			ids = append(ids, rec.Request().ID)
		}
	})
	return ids, ok
}

// noPendingProposals reports whether no command of this daemon waits for the replicated
// log, such as the outcome of a keyed call. Each waits for a limited time.
func (in *Instance) noPendingProposals(ctx context.Context) (none bool) {
	in.loop.Query(ctx, func(r *Reducer) { none = len(r.configuration.pending) == 0 })
	return none
}
