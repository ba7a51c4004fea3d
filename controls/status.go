package controls

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
)

// observe logs an effect for operators, and keeps the latest Status.
func (d *Daemon) observe(effect any) {
	switch e := effect.(type) {
	case Status:
		d.status.Store(&e)
	case LeaderMissing:
		d.cfg.Log.WithFields(logrus.Fields{
			"silent-ms": e.For.Milliseconds(), "state": e.Condition, "term": e.Term, "last-index": e.LastIndex, "commit-index": e.CommitIndex,
			"unsynced-ms": e.UnsyncedFor.Milliseconds(), "voters": e.Voters, "members-heard": e.MembersHeard,
		}).Warn("no leader of the replicated log is heard")
	case LeaderHeard:
		d.cfg.Log.WithFields(logrus.Fields{"after-ms": e.After.Milliseconds(), "term": e.Term}).Info("a leader of the replicated log is heard again")
	case ElectionStarted:
		d.cfg.Log.WithFields(logrus.Fields{"term": e.Term, "reason": e.Reason}).Info("election started")
	case LeadLost:
		d.cfg.Log.WithFields(logrus.Fields{"term": e.Term, "reason": e.Reason}).Warn("this daemon no longer leads the replicated log")
	}
}

// MarshalText returns the voter and when it was heard.
func (c VoterContact) MarshalText() ([]byte, error) {
	switch {
	case c.Own:
		return fmt.Appendf(nil, "%s is this daemon", c.ID), nil
	case !c.Heard:
		return fmt.Appendf(nil, "%s was never heard", c.ID), nil
	}
	return fmt.Appendf(nil, "%s was heard %d ms ago", c.ID, c.Ago.Milliseconds()), nil
}

// Condition returns this daemon's state in the replicated log.
func (d *Daemon) Condition() string { return string(d.status.Load().Condition) }

// LeaderMissingFor returns the time for which no leader of the replicated log was heard,
// with a resolution of statusInterval.
func (d *Daemon) LeaderMissingFor() time.Duration {
	silence := d.cfg.Timers.Now().Sub(d.status.Load().LeaderHeard)
	if silence < leaderMissingAfter {
		return 0
	}
	return silence
}

// MembersHeard returns the number of other members that were heard lately.
func (d *Daemon) MembersHeard() int { return d.status.Load().MembersHeard }

// Elections returns the number of elections that this daemon has started.
func (d *Daemon) Elections() uint64 { return d.status.Load().Elections }
