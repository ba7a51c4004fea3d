package entries

import (
	"context"
	"net/http"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/engines"
	"gypsumshelf.example/gypsumshelf/streams"
)

// completion is one completion request as a job.
type completion struct {
	*answer
	handler *Handler
	body    body
}

func (h *Handler) complete(w http.ResponseWriter, r *http.Request) {
	req, body, err := h.parse(w, r)
	if err != nil {
		writeError(w, req.ID, err)
		return
	}
	defer body.lease.free()
	h.run(r.Context(), req, &completion{
		handler: h, body: body,
		answer: &answer{writer: h.writer(w, req), path: r.URL.Path, id: req.ID, stream: body.stream},
	})
}

func (c *completion) attempt(ctx context.Context, start attempts.Start) (attempts.Ended, error) {
	call := engines.Call{
		Attempt: start.Attempt, Address: start.Address, Path: c.path, Body: c.body.as(start.Model),
		Priority: start.Priority, Resume: start.Resume, Finished: c.finished,
		Answer: start.Answer, Deadline: start.Deadline, NotAfter: start.NotAfter,
	}
	err := c.handler.cfg.Engine.Complete(ctx, call, &sink{completion: c, start: start})
	return attempts.Ended{Attempt: start.Attempt, Position: c.position}, err
}

func (c *completion) delivered() int { return c.position }

// replay implements job; completions are idempotent and have no key record.
func (c *completion) replay(attempts.Outcome) {
	c.fail(gypsumshelf.Errorf(gypsumshelf.MayHaveRun, gypsumshelf.CodeInternal, "a completion has no recorded outcome"))
}

// sink passes the chunks of one attempt to the answer and reports its marks.
type sink struct {
	completion *completion
	start      attempts.Start
	first      bool
}

// Sent implements engines.Sink.
func (s *sink) Sent() { s.completion.handler.cfg.Submit(attempts.Sent{Attempt: s.start.Attempt}) }

// Chunk implements engines.Sink.
func (s *sink) Chunk(c streams.Chunk) error {
	if !s.first && c.Count() > 0 {
		s.first = true
		s.completion.handler.cfg.Submit(attempts.FirstToken{Attempt: s.start.Attempt})
		if s.start.Last {
			s.completion.body.lease.free()
			s.completion.body.data = nil
		}
	}
	return s.completion.chunk(c)
}
