// Package leases implements the lease under which a daemon may treat its copy of
// the configuration as fresh.
package leases

import "time"

// Config configures a Lease.
type Config struct {
	Duration time.Duration // validity of one renewal, from its request
}

// Lease tracks whether a daemon's copy of the configuration is fresh. All times are
// from one clock of the daemon, and a renewal is valid from the time at which the
// daemon requested it, so a paused process or a delayed message shortens the lease
// and never extends it. Only a renewal requested after the expiry makes an expired
// lease valid again: an earlier one that arrives late would be valid for a moment
// and make the daemon accept work that it then refuses.
type Lease struct {
	cfg       Config
	held      bool
	renewedAt time.Time // request time of the newest renewal in effect
	pending   []renewal // oldest first
}

// renewal takes effect once the daemon has applied the log up to commit.
type renewal struct {
	requestedAt time.Time
	commit      uint64
}

// maxPending limits the renewals that wait for log entries. Only the first and the
// last are needed; those between extend the lease earlier.
const maxPending = 16

// New returns a Lease that has never been renewed.
func New(cfg Config) *Lease { return &Lease{cfg: cfg} }

// Renew records a renewal that the daemon requested at requestedAt: after that time
// a leader was in contact with its quorum and had committed the log up to commit.
// The renewal takes effect when the daemon has applied the log up to commit, since
// before that it may not know of a data centre taken out of service.
func (l *Lease) Renew(now, requestedAt time.Time, commit, applied uint64) {
	if n := len(l.pending); !requestedAt.IsZero() && (n == 0 || requestedAt.After(l.pending[n-1].requestedAt)) && requestedAt.After(l.renewedAt) {
		if n == maxPending {
			l.pending = append(l.pending[:1], l.pending[2:]...)
		}
		l.pending = append(l.pending, renewal{requestedAt: requestedAt, commit: commit})
	}
	l.Applied(now, applied)
}

// Applied puts those pending renewals into effect whose log entries the daemon has
// applied; applied is the index of the last one.
func (l *Lease) Applied(now time.Time, applied uint64) {
	expired := l.held && !l.Valid(now)
	for len(l.pending) > 0 && l.pending[0].commit <= applied {
		if requestedAt := l.pending[0].requestedAt; !expired || !requestedAt.Before(l.Expires()) {
			l.held, l.renewedAt, expired = true, requestedAt, false
		}
		l.pending = l.pending[1:]
	}
}

// Expires returns the end of the lease, or the zero time when it was never renewed.
func (l *Lease) Expires() time.Time {
	if !l.held {
		return time.Time{}
	}
	return l.renewedAt.Add(l.cfg.Duration)
}

// Valid reports whether the lease is valid at now.
func (l *Lease) Valid(now time.Time) bool { return l.held && now.Before(l.Expires()) }
