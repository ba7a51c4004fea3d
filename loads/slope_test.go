package loads

import (
	"testing"
	"time"
)

// Guards against a target figure below what was measured or off its line.
func TestSlopeFit(t *testing.T) {
	line := func(values ...time.Duration) slope {
		s := slope{}
		for i, v := range values {
			s.samples = append(s.samples, sample{(i + 1) * 100, cost{cpu: v}})
		}
		return s
	}
	for _, tc := range []struct {
		name string
		s    slope
		size int
		want time.Duration
	}{
		{"grows with size", line(10, 20, 30), 1_000, 100},
		{"constant", line(7, 7, 7), 1_000, 7},
		{"falls with size", line(30, 20, 10), 1_000, 10},
	} {
		if got := tc.s.cpuAt(tc.size); got != tc.want {
			t.Errorf("%s: got %d, want %d", tc.name, got, tc.want)
		}
	}
}

// Guards against a row that hides the resource that exceeds its budget.
func TestLoadVerdict(t *testing.T) {
	for _, tc := range []struct {
		l    load
		want string
	}{
		{load{core: budgetCore / 2}, "within, 50%"},
		{load{core: budgetCore / 2, bytes: budgetBytes * 3}, "over, 3.0 times"},
		{load{heap: budgetHeap * 2}, "over, 2.0 times"},
	} {
		if got := tc.l.verdict(); got != tc.want {
			t.Errorf("%+v: got %q, want %q", tc.l, got, tc.want)
		}
	}
}

// Guards against requests that are refused in the reducer, which would make a
// served request look less expensive than it is.
func TestSlopesServeEveryRequest(t *testing.T) {
	now := time.Unix(0, 0)
	r := newSlopeReducer(now, 3)
	for i := range 5 {
		if !serveOne(r, now, i) {
			t.Errorf("request %d was not started", i)
		}
	}
}
