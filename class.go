package gypsumshelf

import "time"

// Target is the latency target that operators set for a class: the time to the
// first token and the time to the end of the answer, both measured from the
// request's arrival.
type Target struct {
	FirstToken time.Duration
	Finish     time.Duration
}

// Class is a named class of requests with a common latency target.
type Class struct {
	Name   string
	Target Target
}

// DefaultClassName is the class of a request that names none.
const DefaultClassName = "default"
