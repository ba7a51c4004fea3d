package gypsumshelf

import "time"

// RequestID identifies a caller's request. It is unique across all daemons.
type RequestID string

// AttemptID identifies one attempt of a request on one backend server.
type AttemptID string

// Request describes a received request. Its body is kept by the HTTP driver.
type Request struct {
	ID           RequestID
	Workspace    string
	Class        Class
	Service      string // service name, empty when Model selects the backend servers
	Model        string // model name, empty for plain services
	PromptTokens int    // estimated tokens of the prompt
	MaxTokens    int    // maximum number of generated tokens
	PrefixHash   uint64 // hash of the prompt's first block, 0 when unknown
	BodyHash     uint64 // hash of the whole body, identifies repeated requests
	Idempotent   bool   // may run more than once
	Key          string // idempotency key of the caller, empty when absent
	Arrived      time.Time
}

// FirstTokenDeadline returns the time at which the first token is due.
func (r Request) FirstTokenDeadline() time.Time { return r.Arrived.Add(r.Class.Target.FirstToken) }

// Deadline returns the time at which the request must have finished or failed.
func (r Request) Deadline() time.Time { return r.Arrived.Add(r.Class.Target.Finish) }
