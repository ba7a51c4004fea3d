package forwards

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/logs"
	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/schedules"
)

const (
	// firstSlack is added to twice the predicted time to the first event before
	// an engine counts as silent: engines stall for 1.5 s on a dead helper, and
	// callers of short prompts leave after 2 s.
	firstSlack = 900 * time.Millisecond
	// gapFactor is the multiple of the longest pause that is on time after which
	// an engine counts as silent in the middle of an answer.
	gapFactor = 5
	// minGap is the least such time, the pause of an engine that read a long
	// prompt between two events.
	minGap = time.Second
	// Callers leave a stream after a pause of the longest of these three.
	patienceFloor   = 2 * time.Second
	patienceTargets = 4 // times the target
	patienceGaps    = 8 // times the longest pause on time
	// defaultExpected is the part of the longest answer that is expected when
	// nothing better is known.
	defaultExpected = 0.5
)

// patience returns the pause after which the caller leaves a stream.
func (d *delivery) patience() time.Duration {
	return max(patienceFloor, patienceTargets*d.route.Target, patienceGaps*d.route.GapTarget)
}

// job returns the request as the scheduler sees it.
func (d *delivery) job() schedules.Job {
	now := d.now()
	engine := d.service.Engine
	d.jobs++
	prompt, answer, expected := d.meta.Prompt, d.meta.Answer, d.meta.Expected
	if prompt == 0 {
		prompt = engine.UsualPrompt
	}
	if answer == 0 {
		answer = 2 * engine.UsualAnswer
	}
	if expected == 0 {
		expected = int(defaultExpected * float64(answer))
	}
	job := schedules.Job{
		ID:      schedules.JobID(string(d.meta.ID) + "." + strconv.Itoa(d.jobs)),
		Service: d.service.Name, Daemon: d.forwarder.cfg.Daemon, DataCentre: d.forwarder.cfg.DataCentre,
		Prompt: prompt, Answer: answer, Expected: min(expected, answer), Priority: d.route.Priority,
		Target: d.arrived.Add(d.route.Target).Sub(now), Patience: d.arrived.Add(d.patience()).Sub(now),
		Deadline: d.left(), Gap: d.route.GapTarget,
		Avoid: append(d.forwarder.cfg.Fleet.Avoided(d.service.Name), d.tried...),
	}
	if d.headSent {
		job.Patience = d.patience() / 2 // the caller has waited for the next event already
	}
	if d.workspace != nil {
		job.Workspace = d.workspace.Name
		if d.workspace.Priority != nil {
			job.Priority = *d.workspace.Priority
		}
	}
	return job
}

// runOnEngines serves a request of a service of engines.
func (d *delivery) runOnEngines(ctx context.Context) {
	place := newPlacing(ctx, d)
	for {
		p := place.wait(ctx)
		if p.err != nil {
			place.end(schedules.Cancelled, "")
			d.finish("no decision about a place: " + p.err.Error())
			return
		}
		if p.decision.Placement == nil {
			d.refused(p.decision)
			return
		}
		d.pace.place(p.decision)
		place.log(p.decision)
		run := &engineRun{delivery: d, placing: place, placement: *p.decision.Placement, begun: d.now()}
		err := run.run(ctx)
		place.end(run.outcome, run.blamed)
		if err == nil {
			return
		}
		d.verdict = d.verdict.Worse(run.verdict)
		d.attemptFailed(p.decision.Placement.Server, run.outcome, err)
		if run.next != nil {
			place = run.next
			continue
		}
		if again, why := d.mayTryAgain(run.verdict); !again {
			d.finish(fmt.Sprintf("%v; %s", err, why))
			return
		}
		place = newPlacing(ctx, d)
	}
}

// placing is a job on its way through the scheduler.
type placing struct {
	delivery *delivery
	job      schedules.Job
	cancel   context.CancelFunc
	done     chan placed
}

// placed is the end of a placing.
type placed struct {
	decision schedules.Decision
	err      error
}

// newPlacing submits the request to the scheduler.
func newPlacing(ctx context.Context, d *delivery) *placing {
	ctx, cancel := context.WithCancel(ctx)
	p := &placing{delivery: d, job: d.job(), cancel: cancel, done: make(chan placed, 1)}
	go p.run(ctx)
	return p
}

func (p *placing) run(ctx context.Context) {
	decision, err := p.delivery.forwarder.cfg.Placer.Place(ctx, p.job)
	p.done <- placed{decision: decision, err: err}
}

func (p *placing) wait(ctx context.Context) placed {
	select {
	case done := <-p.done:
		p.done <- done
		return done
	case <-ctx.Done():
		return placed{err: ctx.Err()}
	}
}

// log writes where the request goes.
func (p *placing) log(decision schedules.Decision) {
	d := p.delivery
	d.forwarder.cfg.Log.WithFields(logrus.Fields{
		logs.KeyRequest: d.meta.ID, "job": p.job.ID, logs.KeyServer: decision.Placement.Server, "helpers": decision.Placement.Helpers,
		"holds": decision.Placement.Holds, "prompt-tokens": p.job.Prompt, "avoid": p.job.Avoid, "scheduler": decision.Scheduler,
		"waited-ms": decision.Waited.Milliseconds(), "waiting": decision.Waiting, "predicted-first-ms": decision.Placement.First.Milliseconds(),
	}).Info("request placed")
}

// end tells the scheduler that the job has ended, or is not to be placed any more.
func (p *placing) end(outcome schedules.Outcome, blamed gypsumshelf.ServerID) {
	p.cancel()
	p.delivery.forwarder.cfg.Placer.End(p.job.ID, outcome, blamed)
}

// refused answers a request that the scheduler turned away.
func (d *delivery) refused(decision schedules.Decision) {
	cause := fmt.Sprintf("%s; waited %d ms among %d", decision.Reason, decision.Waited.Milliseconds(), decision.Waiting)
	if d.headSent || d.verdict != gypsumshelf.NotRun || d.failed != nil {
		d.finish(cause)
		return
	}
	d.refuse(http.StatusServiceUnavailable, decision.RetryAfter, cause)
}

// engineRun is one attempt on a placement.
type engineRun struct {
	delivery  *delivery
	placing   *placing
	placement schedules.Placement
	next      *placing // where the stream goes on, when this engine went silent
	begun     time.Time
	started   bool // the first event has been seen
	server    rosters.Known
	holds     []*hold
	attempt   *attempt
	verdict   gypsumshelf.Verdict
	outcome   schedules.Outcome
	blamed    gypsumshelf.ServerID
}

// run carries the answer to the caller. Without an error the request is answered.
func (e *engineRun) run(ctx context.Context) error {
	err := e.deliver(ctx)
	for _, h := range e.holds {
		h.end()
	}
	e.outcome = schedules.Completed
	if err != nil {
		e.outcome = outcomeOf(ctx, err)
	}
	if e.attempt != nil {
		e.attempt.close()
		e.delivery.forwarder.cfg.Fleet.End(e.server, e.outcome, e.attempt.reply)
		e.verdict = e.attempt.verdict
		e.blamed = e.attempt.reply.Blamed
	}
	return err
}

func (e *engineRun) deliver(ctx context.Context) error {
	d := e.delivery
	fleet := d.forwarder.cfg.Fleet
	server, usable := fleet.Usable(e.placement.Server)
	if !usable {
		d.tried = append(d.tried, e.placement.Server)
		return fmt.Errorf("%w: it takes no new work", errWrong)
	}
	e.server = server
	call := d.call(server.ID)
	call.Urgency = urgency(e.placing.job)
	helpers, err := e.helpers(ctx)
	if err != nil {
		d.tried = append(d.tried, e.blamed)
		return err
	}
	call.Helpers = helpers
	fleet.Begin(server)
	a, out, err := d.open(ctx, server, call)
	e.attempt = a
	if err != nil {
		return err
	}
	r := newStream(d, a, out)
	defer r.close()
	return e.follow(ctx, r)
}

// urgency returns the priority that engines are told: short prompts are
// admitted before long ones of the same rank.
func urgency(job schedules.Job) int {
	return min(maxUrgency, max(0, 2*job.Priority+longUrgency(job)))
}

// maxUrgency is the last rank that engines know.
const maxUrgency = 9

func longUrgency(job schedules.Job) int {
	if job.Prompt > 20_000 {
		return 1
	}
	return 0
}

// helpers reserves memory and returns the engines that read parts of the prompt.
func (e *engineRun) helpers(ctx context.Context) ([]Helper, error) {
	d := e.delivery
	held := map[gypsumshelf.ServerID]schedules.Hold{}
	for _, h := range e.placement.Holds {
		held[h.Server] = h
	}
	var helpers []Helper
	for _, id := range e.placement.Helpers {
		k, usable := d.forwarder.cfg.Fleet.Usable(id)
		want, mustHold := held[id]
		if !usable {
			if mustHold {
				e.blamed = id
				return nil, fmt.Errorf("%w: %s takes no new work", errWrong, id)
			}
			continue
		}
		helper := Helper{Address: k.Address}
		if mustHold {
			h, err := reserve(ctx, d, k, want.Tokens, len(e.holds))
			if err != nil {
				e.blamed = id
				return nil, err
			}
			e.holds = append(e.holds, h)
			helper.Hold = h.id
		}
		helpers = append(helpers, helper)
	}
	return helpers, nil
}

// follow passes the answer on as it arrives.
func (e *engineRun) follow(ctx context.Context, r *stream) error {
	d := e.delivery
	silence := time.NewTimer(2*e.placement.First + firstSlack)
	defer silence.Stop()
	for {
		var next chan placed
		if e.next != nil {
			next = e.next.done
		}
		select {
		case <-ctx.Done():
			e.dropNext()
			return ctx.Err()
		case p := <-next:
			if p.err == nil && p.decision.Placement != nil {
				e.next.done <- p
				return errSilent
			}
			e.dropNext() // no other engine is free: this one may still go on
		case <-silence.C:
			// The answer is not given up before another engine takes over.
			if again, _ := d.mayTryAgain(gypsumshelf.MayHaveRun); again {
				e.next = newPlacing(ctx, d)
			}
		case i := <-r.items:
			e.dropNext()
			done, err := e.handle(i)
			if done || err != nil {
				return err
			}
			silence.Reset(max(minGap, gapFactor*d.route.GapTarget))
		}
	}
}

// dropNext gives up the search for another engine.
func (e *engineRun) dropNext() {
	if e.next != nil {
		e.next.end(schedules.Cancelled, "")
		e.next = nil
	}
}

// handle deals with a part of the answer; it reports true after the last one.
func (e *engineRun) handle(i item) (bool, error) {
	d := e.delivery
	switch {
	case i.whole != nil:
		return true, e.deliverWhole(i.whole)
	case errors.Is(i.err, io.EOF):
		return true, e.endStream()
	case i.err != nil:
		return false, i.err
	}
	if !e.started {
		e.started = true
		d.pace.seen = d.now().Sub(e.begun)
		d.forwarder.cfg.Placer.Started(e.placing.job.ID)
		d.forwarder.cfg.Recorder.FirstEvent(d.service.Name, d.now().Sub(d.arrived))
	}
	fresh, err := e.follows(i.event)
	if err != nil || !fresh {
		return false, err
	}
	return false, e.pass(i.event)
}

// deliverWhole passes on an answer that is no stream.
func (e *engineRun) deliverWhole(answer *wholeAnswer) error {
	d := e.delivery
	if answer.status >= http.StatusInternalServerError {
		if !d.headSent {
			d.failed = answer
		}
		return fmt.Errorf("the engine answered with status %d", answer.status)
	}
	if d.headSent {
		return fmt.Errorf("%w: status %d in the middle of a stream", errForeign, answer.status)
	}
	d.deliver(answer)
	return nil
}

// follows reports whether an event is the one after the last that was passed
// on, and an error when one is missing.
func (e *engineRun) follows(event []byte) (bool, error) {
	d := e.delivery
	id, ok := d.forwarder.cfg.Protocol.EventID(event)
	if !ok {
		return true, nil
	}
	if id <= d.lastEvent {
		return false, nil
	}
	if d.lastEvent > 0 && id != d.lastEvent+1 {
		return false, fmt.Errorf("%w: event %d follows event %d", errForeign, id, d.lastEvent)
	}
	d.lastEvent = id
	return true, nil
}

// pass writes an event to the caller.
func (e *engineRun) pass(event []byte) error {
	d := e.delivery
	if !d.headSent {
		h := d.w.Header()
		for name, values := range endToEnd(e.attempt.answer.Header) {
			h[name] = values
		}
		if d.forwarder.ending.Load() {
			h.Set("Connection", "close")
		}
		d.status = e.attempt.answer.StatusCode
		d.w.WriteHeader(d.status)
		d.headSent = true
	}
	d.pace.event(d.now(), d.arrived, d.lastEvent)
	if _, err := d.w.Write(event); err != nil {
		return fmt.Errorf("the caller does not read: %w", err)
	}
	return http.NewResponseController(d.w).Flush()
}

// endStream handles the proper end of a stream.
func (e *engineRun) endStream() error {
	d := e.delivery
	if !d.headSent {
		if d.lastEvent == 0 || d.meta.LastEvent == 0 {
			return fmt.Errorf("%w: the stream has no event", errForeign)
		}
		// The caller had all events already.
		d.deliver(&wholeAnswer{status: e.attempt.answer.StatusCode, header: endToEnd(e.attempt.answer.Header)})
		return nil
	}
	d.outcome = outcomeAnswered
	return nil
}
