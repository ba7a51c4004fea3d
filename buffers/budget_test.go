package buffers

import (
	"errors"
	"io"
	"strings"
	"testing"
)

func assertReserved(t *testing.T, b *Budget, want int64) {
	t.Helper()
	if got := b.Reserved(); got != want {
		t.Errorf("%d bytes are reserved, want %d", got, want)
	}
}

// Guards against bodies that exceed the memory of a host together.
func TestBudgetBoundsLongBodies(t *testing.T) {
	const limit = 3 * longBodyBytes
	t.Run("short bodies always fit", func(t *testing.T) {
		b := NewBudget(1)
		if !b.Reserve().Resize(longBodyBytes - 1) {
			t.Error("a short body does not fit")
		}
		assertReserved(t, b, 0)
	})
	t.Run("a body that grows beyond the rest of the budget", func(t *testing.T) {
		b := NewBudget(limit)
		first, second := b.Reserve(), b.Reserve()
		if !first.Resize(2*longBodyBytes) || !second.Resize(longBodyBytes) {
			t.Error("bodies within the limit do not fit")
		}
		if _, err := io.ReadAll(second.Reader(strings.NewReader(strings.Repeat("a", longBodyBytes+1)))); !errors.Is(err, ErrBudgetExceeded) {
			t.Errorf("error is %v, want %v", err, ErrBudgetExceeded)
		}
		assertReserved(t, b, limit)
	})
	t.Run("released bytes are free again, once", func(t *testing.T) {
		b := NewBudget(limit)
		r := b.Reserve()
		r.Resize(limit)
		r.Release()
		r.Release()
		assertReserved(t, b, 0)
	})
	t.Run("no limit", func(t *testing.T) {
		b := NewBudget(0)
		if !b.Reserve().Resize(1 << 40) {
			t.Error("a body does not fit a budget without a limit")
		}
	})
}
