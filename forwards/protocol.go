// Package forwards carries a caller's request to backend servers and the answer
// back. It decides about attempts, resumption and the final answer; what is
// spoken on the wire is behind the Protocol interface.
package forwards

import (
	"net/http"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/desks"
)

// Meta is what a request says of itself.
type Meta struct {
	ID        gypsumshelf.RequestID
	Key       string        // of a workspace, empty when none is given
	Deadline  time.Duration // time that the caller waits, 0 when it does not say
	Prompt    int           // tokens of the prompt, 0 when unknown
	Answer    int           // most tokens of the answer
	Expected  int           // the caller's estimate of the answer's tokens, 0 when unknown
	LastEvent int           // last event that the caller has, 0 when it asks for all
}

// Call is what a backend server is told beside the caller's own request.
type Call struct {
	Server    gypsumshelf.ServerID // any other one must refuse
	Left      time.Duration        // until the caller's deadline
	Workspace string               // empty when the caller has none
	Protected bool                 // the caller's key is the system's and is not passed on
	Urgency   int                  // 0 to 9, 0 is first; negative when it does not matter
	Helpers   []Helper
	LastEvent int // last event that the caller has, 0 when it wants all
}

// Helper is an engine that reads a part of the prompt.
type Helper struct {
	Address string
	Hold    string // memory reserved under this ID, empty when none is
}

// Reply is what the head of an answer says.
type Reply struct {
	Request gypsumshelf.RequestID // that it answers
	Sealed  bool                  // it comes from a backend server
	NotRun  bool                  // the backend server did not run the request
	Wrong   bool                  // another backend server has the address
	Blamed  gypsumshelf.ServerID  // engine at fault, empty when not stated
	Running int                   // requests that run there, when Loaded
	Queued  int                   // requests that wait there, when Loaded
	Slots   int                   // requests that can run there, when Loaded
	Loaded  bool                  // the answer states the load
}

// Protocol translates between the project's terms and a platform's headers.
type Protocol interface {
	// Meta reads what a request says of itself.
	Meta(r *http.Request) Meta
	// Outgoing sets the headers of a call in h, a copy of the caller's.
	Outgoing(h http.Header, c Call)
	// Reply reads the head of an answer.
	Reply(h http.Header, status int) Reply
	// EventID returns the number in an event's ID field, false when it has none.
	EventID(event []byte) (int, bool)
	// Orders reserves and releases memory of engines.
	Orders
	desks.Reporter
}
