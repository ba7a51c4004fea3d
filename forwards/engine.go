package forwards

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/crashes"
	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/schedules"
)

const (
	// firstEventSlack plus twice the predicted time to the first event is the time
	// after which an engine without an event counts as silent. Engines stall for
	// 1.5 s on a dead helper, and callers of short prompts disconnect after 2 s.
	firstEventSlack = 900 * time.Millisecond
	// silenceGapFactor times the route's gap target is the pause between events
	// after which an engine counts as silent.
	silenceGapFactor = 5
	// minSilence is the lower bound of that pause. An engine that prefills a
	// long prompt between two events pauses that long.
	minSilence = time.Second
	// Callers disconnect from a stream after a pause of the longest of these three.
	minPatience          = 2 * time.Second
	patienceTargetFactor = 4 // times the route's target
	patienceGapFactor    = 8 // times the route's gap target
	// defaultExpectedShare is the expected length of an answer as a part of the
	// maximum length, for callers that give no estimate.
	defaultExpectedShare = 0.5
)

// patience returns the pause after which the caller is assumed to disconnect from
// a stream.
func (req *proxyRequest) patience() time.Duration {
	return max(minPatience, patienceTargetFactor*req.route.Target, patienceGapFactor*req.route.GapTarget)
}

// newJob returns a scheduler job for the request.
func (req *proxyRequest) newJob() schedules.Job {
	now := req.now()
	engine := req.service.Engine
	req.submittedJobs++
	prompt, answer, expected := req.meta.PromptTokens, req.meta.MaxAnswerTokens, req.meta.ExpectedAnswerTokens
	if prompt == 0 {
		prompt = engine.MeanPromptTokens
	}
	if answer == 0 {
		answer = 2 * engine.MeanAnswerTokens
	}
	if expected == 0 {
		expected = int(defaultExpectedShare * float64(answer))
	}
	job := schedules.Job{
		ID:      schedules.JobID(string(req.meta.ID) + "." + strconv.Itoa(req.submittedJobs)),
		Service: req.service.Name, Daemon: req.forwarder.cfg.Daemon, DataCentre: req.forwarder.cfg.DataCentre,
		Prompt: prompt, Answer: answer, Expected: min(expected, answer), Priority: req.route.Priority,
		Target: req.arrived.Add(req.route.Target).Sub(now), Patience: req.arrived.Add(req.patience()).Sub(now),
		Deadline: req.remaining(), Gap: req.route.GapTarget, Causes: req.identify().causes, Fingerprint: req.identify().fingerprint,
		Avoid: append(req.forwarder.cfg.Fleet.Avoided(req.service.Name), req.triedServers...),
	}
	if req.headerWritten {
		job.Patience = req.patience() / 2 // the caller has already waited for the next event
	}
	if req.workspace != nil {
		job.Workspace = req.workspace.Name
		if req.workspace.Priority != nil {
			job.Priority = *req.workspace.Priority
		}
	}
	return job
}

// serveFromEngines serves a request with the engines of its service. It retries
// on other engines and resumes broken streams there.
func (req *proxyRequest) serveFromEngines(ctx context.Context) {
	fleet := req.forwarder.cfg.Fleet
	if pause := fleet.shortestPause(req.service.Name); pause > 0 {
		req.refusePaused(pause)
		return
	}
	pending := submitJob(ctx, req)
	for {
		req.phase = phaseWaiting
		result := pending.wait(ctx)
		if errors.Is(result.err, errStopsFirst) {
			pending.end(schedules.Cancelled, "")
			req.handBack(result.err.Error())
			return
		}
		if result.err != nil {
			pending.end(schedules.Cancelled, "")
			req.finishUnanswered("no scheduling decision: " + result.err.Error())
			return
		}
		if result.decision.Placement == nil {
			req.refuseUnplaced(result.decision)
			return
		}
		req.timing.recordPlacement(result.decision)
		req.placedOnLimited = result.decision.Placement.Limited
		pending.logPlacement(result.decision)
		req.phase = phasePlaced
		attempt := &engineAttempt{request: req, pending: pending, placement: *result.decision.Placement, startedAt: req.now()}
		err := attempt.run(ctx)
		pending.end(attempt.outcome, attempt.blamed)
		if err == nil {
			return
		}
		req.verdict = req.verdict.Worse(attempt.verdict)
		req.recordFailedAttempt(result.decision.Placement.Server, attempt.outcome, err)
		if attempt.replacement != nil {
			pending = attempt.replacement
			continue
		}
		if errors.Is(err, errStopsFirst) {
			req.handBack(err.Error())
			return
		}
		if allowed, reason := req.mayRetry(attempt.verdict); !allowed {
			req.finishUnrepeated(err, reason)
			return
		}
		if pause := fleet.shortestPause(req.service.Name); pause > 0 {
			req.refusePaused(pause)
			return
		}
		pending = submitJob(ctx, req)
	}
}

// refuseUnplaced ends a request that the scheduler did not place.
func (req *proxyRequest) refuseUnplaced(decision schedules.Decision) {
	isRefusal := !req.headerWritten && req.verdict == gypsumshelf.NotRun && req.failureResponse == nil
	reason := decision.Reason
	if reason == crashes.QuarantineReason && !isRefusal {
		reason = crashes.QuarantineCause // it may have run
	}
	cause := fmt.Sprintf("%s; waited %d ms among %d", reason, decision.Waited.Milliseconds(), decision.Waiting)
	req.handedBack = decision.HandedBack
	if !isRefusal {
		req.finishUnanswered(cause)
		return
	}
	req.refuse(http.StatusServiceUnavailable, decision.RetryAfter, cause)
}

// engineAttempt is one attempt on the engines of a placement.
type engineAttempt struct {
	request        *proxyRequest
	pending        *pendingPlacement
	placement      schedules.Placement
	replacement    *pendingPlacement // search for another engine while this one is silent
	startedAt      time.Time
	firstEventSeen bool
	heldComments   []byte // received since the last event
	server         rosters.Entry
	reservations   []*reservation
	watch          *primaryWatch // of the primary, while memory is reserved at helpers or the daemon stops
	attempt        *attempt
	load           *load // nil before the request is sent
	verdict        gypsumshelf.Verdict
	outcome        schedules.Outcome
	ended          bool // run has come to its end
	blamed         gypsumshelf.ServerID
}

// run sends the request and relays the response. It returns nil when the caller
// has received the complete response.
func (e *engineAttempt) run(ctx context.Context) error {
	req := e.request
	defer e.endReservations()
	defer e.abandon()
	err := e.sendAndRelay(ctx)
	e.outcome = schedules.Completed
	if err != nil {
		e.outcome = outcomeOf(ctx, err)
	}
	e.outcome = req.attributed(ctx, e.attempt, e.outcome)
	if e.attempt != nil {
		e.attempt.close()
		e.load.end(e.outcome, e.attempt.reply)
		e.verdict = e.attempt.verdict
		e.blamed = e.attempt.reply.Blamed
		if e.blamed == "" || e.blamed == e.server.ID {
			req.forwarder.crashChecks.recordEnd(req, e.attempt, e.startedAt, e.outcome)
		}
	}
	e.ended = true
	return err
}

// abandon gives back what the attempt holds if an unexpected error has ended it.
func (e *engineAttempt) abandon() {
	if e.ended {
		return
	}
	e.load.abandon()
	e.cancelReplacement()
	e.pending.end(schedules.Cancelled, "")
}

// endReservations releases the memory that is reserved at helpers, also when the
// attempt ends with a panic.
func (e *engineAttempt) endReservations() {
	for _, r := range e.reservations {
		r.end()
	}
	if e.watch != nil {
		e.watch.end()
	}
}

func (e *engineAttempt) sendAndRelay(ctx context.Context) error {
	req := e.request
	fleet := req.forwarder.cfg.Fleet
	server, usable := fleet.Usable(e.placement.Server)
	if !usable {
		req.triedServers = append(req.triedServers, e.placement.Server)
		return fmt.Errorf("%w: %s", errServerUnavailable, e.placement.Server)
	}
	e.server, req.timing.server = server, server
	call := req.newCall(server.ID)
	call.Urgency = urgency(e.pending.job)
	helpers, err := e.reserveHelpers(ctx)
	if err != nil {
		req.triedServers = append(req.triedServers, e.blamed)
		return err
	}
	call.Helpers = helpers
	if req.stopsBefore(e.placement.First) {
		return errStopsFirst
	}
	e.load = fleet.track(server)
	a, out, err := req.startAttempt(ctx, server, call)
	e.attempt = a
	if err != nil {
		return err
	}
	reader := newResponseReader(req, a, out, e.startedAt.Add(e.placement.First))
	defer reader.close()
	return e.relayStream(ctx, reader)
}

// urgency returns the priority sent to engines: within one job priority, short
// prompts are admitted before long ones.
func urgency(job schedules.Job) int {
	return min(maxUrgency, max(0, 2*job.Priority+longPromptUrgency(job)))
}

// maxUrgency is the largest value that engines accept, for the least urgent work.
const maxUrgency = 9

func longPromptUrgency(job schedules.Job) int {
	if job.Prompt > 20_000 {
		return 1
	}
	return 0
}

// reserveHelpers returns the usable engines that prefill parts of the prompt, with
// memory reserved on those where the placement requires it.
func (e *engineAttempt) reserveHelpers(ctx context.Context) ([]Helper, error) {
	req := e.request
	wanted := map[gypsumshelf.ServerID]schedules.Hold{}
	for _, hold := range e.placement.Holds {
		wanted[hold.Server] = hold
	}
	var helpers []Helper
	for _, id := range e.placement.Helpers {
		server, usable := req.forwarder.cfg.Fleet.Usable(id)
		want, mustReserve := wanted[id]
		if !usable {
			if mustReserve {
				e.blamed = id
				return nil, fmt.Errorf("%w: helper %s", errServerUnavailable, id)
			}
			continue
		}
		helper := Helper{Address: server.Address}
		if mustReserve {
			req.phase = phaseReserving
			if e.watch == nil {
				e.watch = newPrimaryWatch(req, e.server)
			}
			r, err := reserveMemory(ctx, e.watch, server, want.Tokens, len(e.reservations))
			if err != nil {
				e.blamed = id
				return nil, err
			}
			e.reservations = append(e.reservations, r)
			helper.ReservationID = r.id
		}
		helpers = append(helpers, helper)
	}
	return helpers, nil
}

// relayStream relays the response as it arrives. When the engine is silent, it
// looks for another engine, again and again, and returns errNoProgress once one is
// free. It returns errEngineLost when the engine counts as dead and the memory
// reserved for it at others must be released.
//
// While the daemon stops, a silent engine is kept until it counts as dead: another one
// could fail, and then no time may be left for a third.
func (e *engineAttempt) relayStream(ctx context.Context, reader *responseReader) error {
	req := e.request
	silence := newSilenceTimer(req.now, 2*e.placement.First+firstEventSlack)
	defer silence.Stop()
	drain := req.forwarder.drainBegun.Done()
	for {
		// What has been read counts before any timer, which may be late.
		select {
		case part := <-reader.parts:
			if done, err := e.relayPart(part, silence); done {
				return err
			}
			continue
		default:
		}
		var replacementResult chan placementResult
		if e.replacement != nil {
			replacementResult = e.replacement.result
		}
		var lost chan struct{}
		if e.watch != nil {
			lost = e.watch.lost
		}
		select {
		case <-ctx.Done():
			e.cancelReplacement()
			return context.Cause(ctx)
		case <-lost:
			e.cancelReplacement()
			return errEngineLost
		case <-drain:
			drain = nil
			if e.replacement != nil {
				e.cancelReplacement()
				e.watchEngine()
			}
		case result := <-replacementResult:
			if result.found() && !req.forwarder.isDraining() && req.spendRetry() {
				e.replacement.result <- result
				return errNoProgress
			}
			e.cancelReplacement() // no other engine is free, so keep waiting for this one
			silence.restart(req.maxSilence())
		case <-silence.C:
			if !silence.expired() {
				continue
			}
			if req.forwarder.cfg.Fleet.IsReplaced(e.server) {
				return errEngineLost
			}
			if req.forwarder.isDraining() {
				e.watchEngine()
				continue
			}
			// Keep this stream open until another engine is available.
			if allowed, _ := req.retryPossible(gypsumshelf.MayHaveRun); allowed {
				e.replacement = submitJob(ctx, req)
			} else {
				silence.restart(req.maxSilence()) // the reason may end
			}
		case part := <-reader.parts:
			if done, err := e.relayPart(part, silence); done {
				return err
			}
		}
	}
}

// watchEngine begins to find out whether the engine lives, if nothing does so yet.
func (e *engineAttempt) watchEngine() {
	if e.watch == nil {
		e.watch = newPrimaryWatch(e.request, e.server)
	}
}

// relayPart handles one part of the response and reports whether the attempt has ended.
func (e *engineAttempt) relayPart(part responsePart, silence *silenceTimer) (ended bool, err error) {
	if e.watch != nil {
		e.watch.sign(e.request.now())
	}
	progress, done, err := e.handlePart(part)
	ended = done || err != nil
	if ended || progress {
		e.cancelReplacement()
		silence.restart(e.request.maxSilence())
	}
	return ended, err
}

// maxSilence returns the pause between events after which an engine counts as
// silent.
func (req *proxyRequest) maxSilence() time.Duration {
	return max(minSilence, silenceGapFactor*req.route.GapTarget)
}

// cancelReplacement cancels the search for another engine.
func (e *engineAttempt) cancelReplacement() {
	if e.replacement != nil {
		e.replacement.end(schedules.Cancelled, "")
		e.replacement = nil
	}
}

// handlePart relays one part of the response. It reports whether the answer got on,
// and whether this was its last part.
func (e *engineAttempt) handlePart(part responsePart) (progress, done bool, err error) {
	req := e.request
	switch {
	case part.response != nil:
		return true, true, e.relayResponse(part.response)
	case errors.Is(part.err, io.EOF):
		return true, true, e.finishStream()
	case part.err != nil:
		return false, false, part.err
	}
	isNew, numbered, err := e.checkSequence(part.event)
	if err != nil || !isNew {
		return false, false, err
	}
	if !numbered && !hasData(part.event) {
		return false, false, e.holdComment(part.event)
	}
	if !e.firstEventSeen {
		e.firstEventSeen = true
		req.timing.measuredFirst = req.now().Sub(e.startedAt)
		req.forwarder.cfg.Placer.Started(e.pending.job.ID)
		req.forwarder.cfg.Recorder.FirstEvent(req.service.Name, req.now().Sub(req.arrived))
	}
	event := part.event
	if len(e.heldComments) > 0 {
		event = append(e.heldComments, event...)
		e.heldComments = nil
	}
	return true, false, e.writeEvent(event)
}

// holdComment keeps a comment until the next event of the same engine. When another
// engine takes over, the caller gets nothing of what the first one sent in between.
func (e *engineAttempt) holdComment(comment []byte) error {
	e.heldComments = append(e.heldComments, comment...)
	if len(e.heldComments) > maxEventBytes {
		return fmt.Errorf("%w: comments of more than %d bytes", errTooLong, maxEventBytes)
	}
	return nil
}

// hasData reports whether an event is more than comments, which only keep a
// connection open.
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, []byte("data")) {
			return true
		}
	}
	return false
}

// relayResponse relays a response that is not a stream.
func (e *engineAttempt) relayResponse(response *bufferedResponse) error {
	req := e.request
	if response.status >= http.StatusInternalServerError {
		if !req.headerWritten {
			req.failureResponse = response
		}
		return fmt.Errorf("the engine responded with status %d", response.status)
	}
	if req.headerWritten {
		return fmt.Errorf("%w: status %d in the middle of a stream", errInvalidResponse, response.status)
	}
	req.writeResponse(response)
	return nil
}

// checkSequence reports whether an event is to be relayed, and whether it has an ID:
// an event that the caller already has is not relayed, and it is an error when events
// before it are missing.
func (e *engineAttempt) checkSequence(event []byte) (isNew, numbered bool, err error) {
	req := e.request
	id, ok := req.forwarder.cfg.Protocol.EventID(event)
	if !ok {
		return true, false, nil
	}
	if id <= req.lastEvent {
		return false, true, nil
	}
	if req.lastEvent != NoEvent && id != req.lastEvent+1 {
		return false, true, fmt.Errorf("%w: got event %d after event %d", errInvalidResponse, id, req.lastEvent)
	}
	req.lastEvent = id
	return true, true, nil
}

// writeEvent writes an event to the caller, after the response header if it is
// the first.
func (e *engineAttempt) writeEvent(event []byte) error {
	req := e.request
	req.phase = phaseStreaming
	if !req.headerWritten {
		h := req.w.Header()
		for name, values := range endToEnd(e.attempt.response.Header) {
			h[name] = values
		}
		if req.forwarder.isDraining() {
			h.Set("Connection", "close")
		}
		req.status = e.attempt.response.StatusCode
		req.w.WriteHeader(req.status)
		req.headerWritten = true
	}
	req.timing.recordEvent(req.now(), req.arrived, req.lastEvent)
	if _, err := req.w.Write(event); err != nil {
		return fmt.Errorf("cannot write the event to the caller: %w", err)
	}
	return http.NewResponseController(req.w).Flush()
}

// finishStream handles the regular end of a stream.
func (e *engineAttempt) finishStream() error {
	req := e.request
	if !req.headerWritten {
		if req.meta.LastEvent <= 0 {
			return errNoEvent // 0 may also be sent by a caller that has none
		}
		// A resuming caller that already has all events gets an empty body.
		req.writeResponse(&bufferedResponse{status: e.attempt.response.StatusCode, header: endToEnd(e.attempt.response.Header)})
		return nil
	}
	if len(e.heldComments) > 0 {
		if err := e.writeEvent(e.heldComments); err != nil {
			return err
		}
	}
	req.outcome = outcomeAnswered
	return nil
}
