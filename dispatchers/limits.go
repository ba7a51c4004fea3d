package dispatchers

import (
	"context"
	"errors"
	"maps"
	"net/rpc"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/peers"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// knownLimitTTL is the time for which a limit is handed over to new leaders after it was
// last named.
const knownLimitTTL = time.Minute

// knownLimit is a limit that an answer to this daemon has named.
type knownLimit struct {
	limit   schedules.ServerLimit
	namedAt time.Time
}

// knownLimits are the limits that a daemon knows, for the next leader. It is not safe
// for concurrent use.
type knownLimits map[gypsumshelf.ServerID]knownLimit

func (k knownLimits) record(now time.Time, l schedules.ServerLimit) {
	if l.Named {
		k[l.Server] = knownLimit{limit: l, namedAt: now.Add(-l.Age)}
	} else {
		delete(k, l.Server)
	}
}

// updates returns the limits that still hold, with their present age.
func (k knownLimits) updates(now time.Time) []JobUpdate {
	maps.DeleteFunc(k, func(_ gypsumshelf.ServerID, known knownLimit) bool { return now.Sub(known.namedAt) > knownLimitTTL })
	var updates []JobUpdate
	for _, known := range k {
		l := known.limit
		l.Age = now.Sub(known.namedAt)
		updates = append(updates, JobUpdate{Limit: &l})
	}
	return updates
}

// ReportLimit reports what an answer of a backend server said about its limit.
func (c *Client) ReportLimit(l schedules.ServerLimit) {
	c.mu.Lock()
	c.limits.record(time.Now(), l)
	c.mu.Unlock()
	c.cfg.Local.RecordLimit(l)
	c.queueUpdate(JobUpdate{Limit: &l}, notLocal)
}

// Admit asks the leader which of several servers that have named limits gets a request.
// Without a leader this daemon uses its share of the limits.
func (c *Client) Admit(ctx context.Context, r schedules.AdmissionRequest) (schedules.Admission, error) {
	if client, leader := c.connection(); client != nil {
		reply := &schedules.Admission{}
		err := peers.Call(client, ServiceName+".Admit", r, reply, placeTimeout)
		if err == nil {
			return *reply, nil
		}
		var serverError rpc.ServerError
		if !errors.As(err, &serverError) {
			c.suspectLeader(leader, err)
		} else {
			// It does not schedule yet, or is of an older build that lacks the call.
			c.cfg.Log.WithField("leader", leader).WithError(err).Warn("the scheduling daemon does not divide limits; this daemon uses its share")
		}
	}
	if err := ctx.Err(); err != nil {
		return schedules.Admission{}, err
	}
	return c.cfg.Local.Admit(r)
}
