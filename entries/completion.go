package entries

import (
	"context"
	"net/http"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/engines"
	"gypsumshelf.example/gypsumshelf/streams"
)

// completionRunner implements requestRunner for a completion request.
type completionRunner struct {
	*completionResponse
	handler *Handler
	body    body
}

func (h *Handler) handleCompletion(w http.ResponseWriter, r *http.Request) {
	req, body, err := h.parseCompletion(w, r)
	if err != nil {
		writeError(w, req.ID, err)
		return
	}
	defer body.reservation.Release()
	h.run(r.Context(), req, &completionRunner{
		handler: h, body: body,
		completionResponse: &completionResponse{callerWriter: h.newCallerWriter(w, req), path: r.URL.Path, id: req.ID, stream: body.stream},
	})
}

func (c *completionRunner) runAttempt(ctx context.Context, start attempts.Start) (attempts.Ended, error) {
	call := engines.Call{
		Attempt: start.Attempt, Address: start.Address, Path: c.path, Body: c.body.withModel(start.Model),
		Priority: start.Priority, Resume: start.Resume, Finished: c.finished,
		AnswerDue: start.AnswerDue, Deadline: start.Deadline, NotAfter: start.NotAfter,
	}
	err := c.handler.cfg.Engine.Complete(ctx, call, &completionSink{runner: c, start: start})
	return attempts.Ended{Attempt: start.Attempt, Position: c.position}, err
}

func (c *completionRunner) deliveredPosition() int { return c.position }

// replay implements requestRunner. Completions are idempotent and have no
// recorded outcome, so it answers with an internal error.
func (c *completionRunner) replay(attempts.Outcome) {
	c.fail(gypsumshelf.Errorf(gypsumshelf.MayHaveRun, gypsumshelf.CodeInternal, "completion cannot be replayed: outcomes are recorded only for non-idempotent requests"))
}

// completionSink writes the chunks of one attempt to the response and reports
// the progress of the attempt to the reducer.
type completionSink struct {
	runner             *completionRunner
	start              attempts.Start
	firstTokenReported bool
}

// Sent implements engines.Sink.
func (s *completionSink) Sent() { s.runner.handler.cfg.Submit(attempts.Sent{Attempt: s.start.Attempt}) }

// Chunk implements engines.Sink.
func (s *completionSink) Chunk(c streams.Chunk) error {
	if !s.firstTokenReported && c.TokenCount() > 0 {
		s.firstTokenReported = true
		s.runner.handler.cfg.Submit(attempts.FirstToken{Attempt: s.start.Attempt})
		if s.start.Last {
			s.runner.body.reservation.Release()
			s.runner.body.data = nil
		}
	}
	return s.runner.writeChunk(c)
}
