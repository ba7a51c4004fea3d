package paths

import (
	"testing"
	"time"
)

// arrivals are the times of the events of a stream, after the time at which the first one
// is expected.
type arrivals []time.Duration

func (a arrivals) stalls() int {
	s := NewStream(start)
	stalls := 0
	last := start.Add(-time.Second)
	for _, at := range a {
		if s.Arrived(last, start.Add(at)) {
			stalls++
		}
		last = start.Add(at)
	}
	return stalls
}

const ms = time.Millisecond

// Guards against pauses of an engine that count as stalls of the path, and the reverse.
func TestStallsAreToldFromPauses(t *testing.T) {
	for _, c := range []struct {
		name     string
		arrivals arrivals
		want     int
	}{
		{"regular", arrivals{0, 50 * ms, 100 * ms, 150 * ms}, 0},
		{"the engine pauses for a prefill", arrivals{0, 400 * ms, 450 * ms, 500 * ms}, 0},
		{"a packet is lost", arrivals{0, 50 * ms, 270 * ms, 271 * ms, 272 * ms, 300 * ms}, 1},
		{"two packets are lost", arrivals{0, 250 * ms, 252 * ms, 300 * ms, 550 * ms, 551 * ms}, 2},
		{"the first event is lost", arrivals{220 * ms, 221 * ms, 222 * ms, 270 * ms}, 1},
		{"the first event is late", arrivals{400 * ms, 450 * ms, 500 * ms}, 0},
		{"the last event is late", arrivals{0, 50 * ms, 400 * ms}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.arrivals.stalls(); got != c.want {
				t.Errorf("got %d stalls, want %d", got, c.want)
			}
		})
	}
}

// Guards against a slow caller that makes a sound path look bad: events wait in the socket
// while the daemon writes to the caller.
func TestSlowReaderIsNoStall(t *testing.T) {
	s := NewStream(start)
	s.Arrived(start, start)
	late := start.Add(400 * ms)
	if s.Arrived(late, late) || s.Arrived(late, late.Add(ms)) {
		t.Error("events that were not waited for count as delayed")
	}
	if events, stalls := s.Take(); events != 3 || stalls != 0 {
		t.Errorf("got %d events and %d stalls, want 3 and 0", events, stalls)
	}
}
