package forwards

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/logs"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// pendingPlacement is a job submitted to the scheduler.
type pendingPlacement struct {
	request *proxyRequest
	job     schedules.Job
	cancel  context.CancelFunc
	result  chan placementResult
}

// placementResult is the scheduler's decision or the error that prevented it.
type placementResult struct {
	decision schedules.Decision
	err      error
}

// found reports whether an engine was found.
func (r placementResult) found() bool { return r.err == nil && r.decision.Placement != nil }

// submitJob submits the request to the scheduler without waiting for the decision.
func submitJob(ctx context.Context, req *proxyRequest) *pendingPlacement {
	ctx, cancel := context.WithCancel(ctx)
	p := &pendingPlacement{request: req, job: req.newJob(), cancel: cancel, result: make(chan placementResult, 1)}
	go p.run(ctx)
	return p
}

func (p *pendingPlacement) run(ctx context.Context) {
	decision, err := p.request.forwarder.cfg.Placer.Place(ctx, p.job)
	p.result <- placementResult{decision: decision, err: err}
}

// wait waits for the decision. While the daemon stops, the scheduler hands back jobs that
// cannot end in time; wait does so at the last moment if the scheduler does not answer.
func (p *pendingPlacement) wait(ctx context.Context) placementResult {
	drain := p.request.forwarder.drainBegun.Done()
	var handBack <-chan time.Time
	for {
		select {
		case result := <-p.result:
			p.result <- result
			return result
		case <-drain:
			drain = nil
			handBack = time.After(p.request.handBackTime().Sub(p.request.now()))
		case <-handBack:
			if p.request.remaining() <= 0 {
				return placementResult{err: context.DeadlineExceeded}
			}
			return placementResult{err: errStopsFirst}
		case <-ctx.Done():
			return placementResult{err: context.Cause(ctx)}
		}
	}
}

func (p *pendingPlacement) logPlacement(decision schedules.Decision) {
	req := p.request
	req.forwarder.cfg.Log.WithFields(logrus.Fields{
		logs.KeyRequest: req.meta.ID, "job": p.job.ID, logs.KeyServer: decision.Placement.Server, "helpers": decision.Placement.Helpers,
		"holds": decision.Placement.Holds, "prompt-tokens": p.job.Prompt, "prompt-parts": req.meta.Parts, "avoid": p.job.Avoid, "scheduler": decision.Scheduler,
		"waited-ms": decision.Waited.Milliseconds(), "waiting": decision.Waiting, "predicted-first-ms": decision.Placement.First.Milliseconds(),
	}).Info("request placed")
}

// end tells the scheduler that the job has ended or is no longer to be placed.
func (p *pendingPlacement) end(outcome schedules.Outcome, blamed gypsumshelf.ServerID) {
	p.cancel()
	p.request.forwarder.cfg.Placer.End(p.job.ID, outcome, blamed)
}
