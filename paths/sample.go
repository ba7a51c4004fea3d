// Package paths estimates how well the network paths between data centres carry streams,
// from the streams themselves. It has no clock, no I/O and no goroutine.
package paths

import (
	"errors"
	"fmt"
)

// Sample is evidence about the path between an entry daemon and backend servers of another
// data centre, from connections that were made directly or should have been.
type Sample struct {
	From, To  string // data centres of the entry daemon and of the backend servers
	Events    int    // stream events that arrived
	Stalls    int    // events whose delivery the network delayed
	Unreached int    // connections that only another daemon could make
}

// ErrInvalidSample is returned for a sample that no daemon can have taken.
var ErrInvalidSample = errors.New("invalid sample of a path")

// Validate checks a sample that was received from another daemon.
func (s Sample) Validate() error {
	switch {
	case s.From == "" || s.To == "":
		return fmt.Errorf("%w: a data centre is missing", ErrInvalidSample)
	case s.From == s.To:
		return fmt.Errorf("%w: both ends are in %s", ErrInvalidSample, s.From)
	case s.Events < 0 || s.Stalls < 0 || s.Unreached < 0:
		return fmt.Errorf("%w: negative count", ErrInvalidSample)
	case s.Stalls > s.Events:
		return fmt.Errorf("%w: %d stalls in %d events", ErrInvalidSample, s.Stalls, s.Events)
	}
	return nil
}

// Add returns the sum of two samples of the same path.
func (s Sample) Add(o Sample) Sample {
	s.Events += o.Events
	s.Stalls += o.Stalls
	s.Unreached += o.Unreached
	return s
}

// IsEmpty reports whether the sample has no evidence.
func (s Sample) IsEmpty() bool { return s.Events == 0 && s.Unreached == 0 }

// State is the quality of a path.
type State uint8

// States of paths, from the best to the worst.
const (
	Sound State = iota
	Lossy       // loses packets, so that streams stall for retransmissions
	Lost        // connections cannot be made directly
)

// String returns the name used in logs and metrics.
func (s State) String() string {
	if s > Lost {
		return "unknown"
	}
	return [...]string{"sound", "lossy", "lost"}[s]
}

// Report is the state of a path as another daemon knows it.
type Report struct {
	From, To string
	State    State
}
