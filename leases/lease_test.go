package leases

import (
	"testing"
	"time"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func assertValid(t *testing.T, l *Lease, now time.Time, want bool) {
	t.Helper()
	if l.Valid(now) != want {
		t.Errorf("Valid is %t at %s, want %t; the lease expires at %s", !want, now.Sub(start), want, l.Expires())
	}
}

// Guards against a daemon that accepts new work with an outdated configuration.
func TestLease(t *testing.T) {
	newRenewed := func(requestedAt time.Time, commit, applied uint64) *Lease {
		l := New(Config{Duration: 3 * time.Second})
		l.Renew(start, requestedAt, commit, applied)
		return l
	}
	t.Run("never renewed", func(t *testing.T) {
		assertValid(t, newRenewed(time.Time{}, 0, 0), start, false)
	})
	t.Run("valid from the request, not from the response", func(t *testing.T) {
		l := newRenewed(at(0), 5, 5)
		assertValid(t, l, at(2.999), true)
		assertValid(t, l, at(3), false)
	})
	t.Run("takes effect when the log is applied up to its commit index", func(t *testing.T) {
		l := newRenewed(at(0), 5, 4)
		assertValid(t, l, at(0.1), false)
		l.Applied(at(0.1), 5)
		assertValid(t, l, at(0.1), true)
	})
	t.Run("a lagging daemon gets no renewal whose entries it has not applied", func(t *testing.T) {
		l := newRenewed(at(0), 5, 5)
		l.Renew(at(2), at(2), 6, 5)
		assertValid(t, l, at(3), false)
	})
	t.Run("a daemon with a constant lag still renews", func(t *testing.T) {
		l := newRenewed(at(0), 1, 0)
		for i := range 100 {
			l.Renew(at(float64(i)*0.1), at(float64(i)*0.1), uint64(i+2), uint64(i))
		}
		assertValid(t, l, at(11), true)
	})
	t.Run("an older renewal does not shorten the lease", func(t *testing.T) {
		l := newRenewed(at(2), 5, 5)
		l.Renew(at(2), at(1), 5, 5)
		assertValid(t, l, at(4.5), true)
	})
	t.Run("a late renewal requested before the expiry does not revive an expired lease", func(t *testing.T) {
		l := newRenewed(at(0), 5, 5)
		l.Renew(at(3.1), at(0.25), 5, 5)
		assertValid(t, l, at(3.1), false)
	})
	t.Run("a renewal whose entries are applied after the expiry does not revive it", func(t *testing.T) {
		l := newRenewed(at(0), 5, 5)
		l.Renew(at(1), at(0.9), 6, 5)
		l.Applied(at(3.1), 6)
		assertValid(t, l, at(3.1), false)
	})
	t.Run("a renewal requested after the expiry revives an expired lease", func(t *testing.T) {
		l := newRenewed(at(0), 5, 5)
		l.Renew(at(3.1), at(0.25), 5, 5)
		l.Renew(at(3.2), at(3.15), 5, 5)
		assertValid(t, l, at(3.2), true)
	})
}
