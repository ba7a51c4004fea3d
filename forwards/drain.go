package forwards

import (
	"context"
	"errors"
	"time"
)

// handBackReserve is the time before the end of a drain at which requests that have not
// reached a backend server are handed back, if the scheduler has not done so. It is above
// the half second for which net/http waits for a caller to read the answer to a request
// whose body it has not read.
const handBackReserve = 700 * time.Millisecond

// errStopsFirst is returned for an attempt that was not sent, since the daemon stops before
// it could bring an answer.
var errStopsFirst = errors.New("the daemon stops before the request could be answered")

// DrainPlan has the times of a planned stop that matter to requests.
type DrainPlan struct {
	AcceptUntil time.Time // afterwards only requests are accepted whose deadline is before BreakOff
	BreakOff    time.Time // EndRequests is called then
}

// handBack returns when requests are handed back that have not reached a backend server.
// Where a short grace period leaves less than handBackReserve after AcceptUntil, that is when
// they are no longer accepted.
func (p *DrainPlan) handBack() time.Time {
	early := p.BreakOff.Add(-handBackReserve)
	if p.AcceptUntil.After(early) && p.AcceptUntil.Before(p.BreakOff) {
		return p.AcceptUntil
	}
	return early
}

// Drain makes each later response close its connection, and keeps requests from beginning
// what cannot end before BreakOff.
func (f *Forwarder) Drain(p DrainPlan) {
	f.drain.Store(&p)
	f.beginDrain()
}

func (f *Forwarder) isDraining() bool { return f.drain.Load() != nil }

// StoppedRequests returns the numbers of requests that were handed back and that were broken
// off for the stop of the daemon.
func (f *Forwarder) StoppedRequests() (handedBack, brokenOff int64) {
	return f.handedBack.Load(), f.brokenOff.Load()
}

// onDrain calls act when the daemon begins to stop, or at once if it has. The returned
// function prevents the call, or waits for its end.
func (req *proxyRequest) onDrain(act func()) (cancel func()) {
	done := make(chan struct{})
	stop := context.AfterFunc(req.forwarder.drainBegun, func() {
		defer close(done)
		act()
	})
	return func() {
		if !stop() {
			<-done
		}
	}
}

// timeLeft returns the time in which an answer can still be brought: until the deadline of
// the request or the stop of the daemon.
func (req *proxyRequest) timeLeft() time.Duration {
	if p := req.forwarder.drain.Load(); p != nil {
		return min(req.remaining(), p.BreakOff.Sub(req.now()))
	}
	return req.remaining()
}

// handBackTime returns the time at which the request is refused if it has not reached a
// backend server while the daemon stops. A request whose deadline comes before the stop has
// until then. It may be called after Drain only.
func (req *proxyRequest) handBackTime() time.Time {
	p := req.forwarder.drain.Load()
	if !req.deadline.After(p.BreakOff) {
		return req.deadline
	}
	return p.handBack()
}

// waitUntil returns the time until which the request may wait for a backend server.
func (req *proxyRequest) waitUntil() time.Time {
	if req.forwarder.isDraining() {
		return req.handBackTime()
	}
	return req.deadline
}

// sleep waits for a time before the request is sent. While the daemon stops, it returns
// errStopsFirst at once if the wait would end too late.
func (req *proxyRequest) sleep(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return context.Cause(ctx)
	}
	end := req.now().Add(wait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	drain := req.forwarder.drainBegun.Done()
	for {
		select {
		case <-timer.C:
			return nil
		case <-drain:
			drain = nil
			if limit := req.handBackTime(); limit.Before(req.deadline) && end.After(limit) {
				return errStopsFirst
			}
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// arrivedTooLate reports whether a request whose header or body has just arrived is to be
// refused for the stop of the daemon.
func (req *proxyRequest) arrivedTooLate() bool {
	p := req.forwarder.drain.Load()
	return p != nil && req.now().After(p.AcceptUntil) && req.deadline.After(p.BreakOff)
}

// stopsBefore reports whether the daemon stops before something that is due after a time.
func (req *proxyRequest) stopsBefore(due time.Duration) bool {
	p := req.forwarder.drain.Load()
	return p != nil && req.now().Add(due).After(p.BreakOff)
}

// handBack ends a request for the stop of the daemon. If it has not run, its caller is told
// to send it to another daemon. It always returns false.
func (req *proxyRequest) handBack(cause string) bool {
	req.handedBack = true
	req.finishUnanswered(cause)
	return false
}
