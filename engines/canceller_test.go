package engines

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// flakyCanceller fails the given number of cancellations with an error.
type flakyCanceller struct {
	Completer
	failures int32
	err      error
	calls    atomic.Int32
}

func (c *flakyCanceller) Cancel(context.Context, string, gypsumshelf.AttemptID) error {
	if c.calls.Add(1) <= c.failures {
		return c.err
	}
	return nil
}

// Guards against engine memory that is never freed because a cancellation was
// lost, and against endless retries at an engine that no longer runs.
func TestCancellationIsRetried(t *testing.T) {
	for _, tt := range []struct {
		name     string
		failures int32
		err      error
		calls    int32
	}{
		{"answered", 0, nil, 1},
		{"lost five times", 5, errors.New("timeout"), 6},
		{"engine is gone", 5, fmt.Errorf("dial: %w", syscall.ECONNREFUSED), 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			engine := &flakyCanceller{failures: tt.failures, err: tt.err}
			k := NewCanceller(CancellerConfig{Completer: engine, RetryDelay: time.Millisecond, RetryFor: time.Hour})
			defer k.Close()
			k.Cancel("127.0.0.1:1", "a.1")
			for deadline := time.Now().Add(time.Minute); engine.calls.Load() < tt.calls; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("%d calls, want %d", engine.calls.Load(), tt.calls)
				}
			}
			time.Sleep(20 * time.Millisecond) // a further call would arrive within CancellerConfig.RetryDelay
			if n := engine.calls.Load(); n != tt.calls || k.Pending() != 0 {
				t.Errorf("%d calls and %d pending, want %d calls and none pending", n, k.Pending(), tt.calls)
			}
		})
	}
}
