package daemons

import (
	"context"
	"fmt"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/shares"
)

// stopPollInterval is the interval at which Shutdown checks for requests in progress.
const stopPollInterval = 20 * time.Millisecond

// interruptTimeout bounds the time to answer the requests that a stop interrupts, and to
// cancel their attempts.
const interruptTimeout = time.Second

// handOverTimeout bounds the time to notify the other daemons of the stop.
const handOverTimeout = time.Second

// Shutdown stops the daemon gracefully. It accepts no new requests, refuses those that wait
// and have not run, and returns nil once every request in progress has ended, its outcome is
// recorded and its remaining attempts were sent a cancellation. Requests end by their
// deadlines at the latest. If ctx ends first, Shutdown returns an error, and Interrupt ends
// the requests that are left.
func (d *Daemon) Shutdown(ctx context.Context) error {
	d.loop.Submit(attempts.Stop{})
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for {
		active, ok := d.requestsInProgress(ctx)
		if ok && len(active) == 0 && d.isDrained(ctx) {
			break
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("shutdown was interrupted with %d requests in progress: %w", len(active), context.Cause(ctx))
		case <-ticker.C:
		}
	}
	d.servers.Drain(interruptTimeout)
	return d.handOver(ctx)
}

// handOver gives up the daemon's shares and servers and waits until the
// reachable peers have been notified.
func (d *Daemon) handOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	d.loop.Submit(shares.HandOver{})
	for done := false; !done && ctx.Err() == nil; {
		d.loop.Query(ctx, func(r *Reducer) { done = r.handedOver })
	}
	d.links.Drain(ctx)
	return nil
}

// isDrained reports whether all ended requests are answered and recorded, and their
// remaining attempts cancelled.
func (d *Daemon) isDrained(ctx context.Context) bool {
	return d.handler.RequestsInProgress() == 0 && d.noPendingProposals(ctx) && d.canceller.Pending() == 0
}

// Interrupt ends the requests in progress and returns them. Each is answered with a
// verdict, unless its caller takes longer than interruptTimeout to read the answer.
func (d *Daemon) Interrupt() []gypsumshelf.RequestID {
	ctx, cancel := context.WithTimeout(context.Background(), interruptTimeout)
	defer cancel()
	interrupted, _ := d.requestsInProgress(ctx)
	d.loop.Submit(attempts.Interrupt{})
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for left, ok := interrupted, true; ctx.Err() == nil && !(ok && len(left) == 0 && d.isDrained(ctx)); {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		left, ok = d.requestsInProgress(ctx)
	}
	d.servers.Drain(interruptTimeout)
	return interrupted
}

// requestsInProgress returns the requests that have not ended, and false if the
// event loop did not answer.
func (d *Daemon) requestsInProgress(ctx context.Context) (ids []gypsumshelf.RequestID, ok bool) {
	ok = d.loop.Query(ctx, func(r *Reducer) {
		for _, rec := range r.attempts.Active() {
			ids = append(ids, rec.Request().ID)
		}
	})
	return ids, ok
}

// noPendingProposals reports whether this daemon has no command that waits for
// the replicated log, such as the outcome of a request with an idempotency key.
// Every proposal ends within its timeout, so a shutdown cannot hang on one.
func (d *Daemon) noPendingProposals(ctx context.Context) (none bool) {
	d.loop.Query(ctx, func(r *Reducer) { none = len(r.configuration.pending) == 0 })
	return none
}
