package gypsumshelf

import "time"

// Target is what operators state for a class: the time to the first token and
// the time to the end of the answer, both counted from the request's arrival.
type Target struct {
	FirstToken time.Duration
	Finish     time.Duration
}

// Class is a named kind of work with its target.
type Class struct {
	Name   string
	Target Target
}

// DefaultClassName is the class of a request that names none.
const DefaultClassName = "default"
