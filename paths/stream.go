package paths

import "time"

const (
	// minStall is below the shortest time after which TCP sends a lost packet again,
	// 200 ms.
	minStall = 150 * time.Millisecond
	// maxBurstGap is the time between two events that a path delivers together.
	// Engines send events some ten ms apart.
	maxBurstGap = 10 * time.Millisecond
)

// Stream finds the stalls in the arrivals of one stream. A path that has lost a packet
// delivers everything behind it together with the retransmission; an engine that pauses
// sends its next events one by one.
type Stream struct {
	predicted time.Time // of the first event
	last      time.Time
	delayed   bool // the last event came after a pause, so that the next one decides
	events    int  // not taken yet
	stalls    int
}

// NewStream returns a Stream whose first event is expected at a time.
func NewStream(predicted time.Time) *Stream { return &Stream{predicted: predicted} }

// Arrived records the arrival of an event. waitedFrom is the time from which the reader
// waited for it: what arrived while it did something else is no sign of the path. It
// reports whether the path has stalled the stream.
func (s *Stream) Arrived(waitedFrom, now time.Time) (stalled bool) {
	s.events++
	expected := s.last
	if expected.IsZero() {
		expected = s.predicted
	}
	gap := now.Sub(expected)
	if s.delayed && gap <= maxBurstGap {
		s.stalls++
		stalled = true
	}
	waited := now.Sub(waitedFrom)
	s.delayed = min(gap, waited) >= minStall
	s.last = now
	return stalled
}

// Take returns the events and stalls since the last call.
func (s *Stream) Take() (events, stalls int) {
	events, stalls = s.events, s.stalls
	s.events, s.stalls = 0, 0
	return events, min(stalls, events)
}
