// Package engines contains the HTTP client for backend servers, both model engines
// and plain services, and the interfaces that it implements.
package engines

import (
	"context"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/streams"
)

// Call is one attempt of a completion on one engine.
type Call struct {
	Attempt  gypsumshelf.AttemptID
	Address  string // IP:PORT of the engine
	Path     string // path of the completion endpoint
	Body     []byte // caller's request body, with streaming enabled
	Priority int    // smaller is more urgent
	Resume   int    // position of the first token requested, 0 for a complete answer
	// Finished means that the finish reason has been delivered and only the end
	// marker of the stream is missing.
	Finished  bool
	AnswerDue time.Time // time by which the first chunk must have arrived
	NotAfter  time.Time // time after which nothing may be sent, zero for none
	Deadline  time.Time
}

// Sink receives the chunks of a call in order.
type Sink interface {
	// Sent is called before the first byte that could start the work is written.
	Sent()
	// Chunk is called for each chunk; an error ends the call.
	Chunk(c streams.Chunk) error
}

// Completer runs completions.
type Completer interface {
	// Complete runs a call to its end. An error is a *CallError whose verdict
	// states whether the engine may have run the call.
	Complete(ctx context.Context, call Call, sink Sink) error
	// Cancel asks the engine to drop an attempt.
	Cancel(ctx context.Context, address string, id gypsumshelf.AttemptID) error
}
