// Package members holds what a daemon knows of its place in the deployment:
// whether its copy of the configuration is fresh.
package members

import "time"

// Config configures a Lease.
type Config struct {
	Duration time.Duration // time for which one renewal holds
}

// Lease says whether a daemon's copy of the configuration is fresh. All times
// are of one clock of the daemon, and a renewal counts from the time at which
// the daemon asked for it. A frozen process or a delayed message therefore
// makes the lease shorter, never longer. A lease that has expired is regained
// only by a renewal asked for after that: an older one that arrives late would
// hold for a moment and make the daemon take work that it then refuses.
type Lease struct {
	cfg       Config
	held      bool
	renewedAt time.Time // request time of the last renewal in force
	pending   []renewal // oldest first
}

// renewal takes effect once the entries it covers have been applied.
type renewal struct {
	asked  time.Time
	commit uint64
}

// maxWaiting bounds the renewals that wait for entries. The first and the last
// matter; those between only make the lease longer earlier.
const maxPending = 16

// New returns a Lease that has never been renewed.
func New(cfg Config) *Lease { return &Lease{cfg: cfg} }

// Renew takes a renewal that the daemon asked for at asked: a leader had
// contact with its quorum after that, and had committed the log up to commit.
// The renewal takes effect when the daemon has applied the log up to there,
// since a daemon without the newest entries may lack a take-out.
func (l *Lease) Renew(now, asked time.Time, commit, applied uint64) {
	if n := len(l.pending); !asked.IsZero() && (n == 0 || asked.After(l.pending[n-1].asked)) && asked.After(l.renewedAt) {
		if n == maxPending {
			l.pending = append(l.pending[:1], l.pending[2:]...)
		}
		l.pending = append(l.pending, renewal{asked: asked, commit: commit})
	}
	l.Applied(now, applied)
}

// Applied tells the lease how far the daemon has applied the log.
func (l *Lease) Applied(now time.Time, applied uint64) {
	expired := l.held && !l.Valid(now)
	for len(l.pending) > 0 && l.pending[0].commit <= applied {
		if asked := l.pending[0].asked; !expired || !asked.Before(l.Expires()) {
			l.held, l.renewedAt, expired = true, asked, false
		}
		l.pending = l.pending[1:]
	}
}

// Expires returns the end of the lease; zero when it was never renewed.
func (l *Lease) Expires() time.Time {
	if !l.held {
		return time.Time{}
	}
	return l.renewedAt.Add(l.cfg.Duration)
}

// Valid reports whether the lease holds at now.
func (l *Lease) Valid(now time.Time) bool { return l.held && now.Before(l.Expires()) }
