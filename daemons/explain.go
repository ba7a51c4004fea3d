package daemons

import (
	"context"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
)

// explainTimeout bounds the wait for other daemons to explain a request that this
// daemon does not know.
const explainTimeout = time.Second

// handleQuestion answers another daemon's question if this daemon knows the request.
func (r *Reducer) handleQuestion(_ time.Time, e attempts.Asked) {
	if notes := r.attempts.Explain(e.Question.Request); len(notes) > 0 {
		r.emit(attempts.Explain{To: e.From, Explanation: attempts.Explanation{Ticket: e.Question.Ticket, Notes: slices.Clone(notes)}})
	}
}

func (d *Daemon) sendExplanation(e attempts.Explain) { d.links.Send(e.To, e.Explanation) }

// explain returns the notes on a request of this daemon or, if it has none, those
// of the first peer that answers.
func (d *Daemon) explain(ctx context.Context, id gypsumshelf.RequestID) (notes []attempts.Note, ok bool) {
	d.loop.Query(ctx, func(r *Reducer) { notes = slices.Clone(r.attempts.Explain(id)) })
	if len(notes) > 0 {
		return notes, true
	}
	ticket, explained := d.explanations.register()
	defer d.explanations.cancel(ticket)
	d.links.Broadcast(attempts.Question{Ticket: ticket, Request: id})
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	select {
	case notes = <-explained:
		return notes, true
	case <-ctx.Done():
		return nil, false
	}
}
