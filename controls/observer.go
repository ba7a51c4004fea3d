package controls

import (
	"time"

	"gypsumshelf.example/gypsumshelf/replicas"
)

const (
	// leaderMissingAfter is the time without a leader that is reported. Elections end
	// within 1 s or 2 s.
	leaderMissingAfter = 3 * time.Second
	// leaderMissingRepeat is the interval of further reports.
	leaderMissingRepeat = 30 * time.Second
	// heardWithin is the time for which a member counts as heard. Members that ask for
	// votes, and leaders, send several messages in it.
	heardWithin = 2 * time.Second
	// statusInterval is the interval at which an unchanged Status is emitted.
	statusInterval = time.Second
)

// Effects that only tell operators what happens in the replicated log.
type (
	// Status is this daemon's part in the replicated log.
	Status struct {
		Condition    replicas.Condition
		LeaderHeard  time.Time // last time at which a leader was heard, or the start
		MembersHeard int       // other members heard within heardWithin
		Elections    uint64    // that this daemon has started
	}
	// LeaderMissing reports that no leader was heard for leaderMissingAfter.
	LeaderMissing struct {
		For          time.Duration
		Condition    replicas.Condition
		Term         uint64
		LastIndex    uint64
		CommitIndex  uint64
		UnsyncedFor  time.Duration // age of the oldest write that is not synced
		Voters       []VoterContact
		MembersHeard int
	}
	// LeaderHeard ends the reports of LeaderMissing.
	LeaderHeard struct {
		After time.Duration
		Term  uint64
	}
	// ElectionStarted reports that this daemon asks for votes in a new term.
	ElectionStarted struct {
		Term   uint64
		Reason string
	}
	// LeadLost reports that this daemon no longer leads.
	LeadLost struct {
		Term   uint64 // the current one
		Reason string
	}
)

// VoterContact says when a voter was heard.
type VoterContact struct {
	ID    replicas.NodeID
	Own   bool
	Heard bool          // since the start of this daemon
	Ago   time.Duration // time since its last message
}

// observer watches the replica and reports what operators need to tell the causes of a
// missing leader apart.
type observer struct {
	heardAt     map[replicas.NodeID]time.Time // by member
	leaderHeard time.Time
	missing     bool
	nextReport  time.Time
	condition   replicas.Condition
	term        uint64
	elections   uint64
	nextStatus  time.Time
}

// heard notes a message from another node.
func (o *observer) heard(now time.Time, from replicas.NodeID) {
	if o.heardAt == nil {
		o.heardAt = map[replicas.NodeID]time.Time{}
	}
	o.heardAt[from] = now
}

// observe returns the effects that describe what has changed since the last event.
func (o *observer) observe(now time.Time, r *replicas.Replica) []any {
	effects := o.observeElection(now, r)
	effects = append(effects, o.observeLeader(now, r)...)
	changed := r.Condition() != o.condition
	o.condition, o.term = r.Condition(), r.Term()
	if !changed && now.Before(o.nextStatus) {
		return effects
	}
	o.nextStatus = now.Add(statusInterval)
	o.forgetOthers(r.Members())
	return append(effects, Status{
		Condition: o.condition, LeaderHeard: o.leaderHeard, MembersHeard: o.countHeard(now, r), Elections: o.elections,
	})
}

func (o *observer) observeElection(now time.Time, r *replicas.Replica) []any {
	condition, term := r.Condition(), r.Term()
	if condition == replicas.AskingVotes && term > o.term {
		o.elections++
		reason := "no leader was heard"
		if now.Sub(r.LastLeaderContact()) < electionTimeout {
			reason = "the leader handed over"
		}
		return []any{ElectionStarted{Term: term, Reason: reason}}
	}
	if o.condition != replicas.Leading || condition == replicas.Leading {
		return nil
	}
	reason := "no contact with a quorum"
	switch {
	case condition == replicas.Stopped:
		reason = "the replica was halted"
	case term > o.term:
		reason = "another daemon started a later term"
	case r.UnsyncedFor() > replaceAfter:
		reason = "writes to the data folder do not complete"
	case !r.Members().IsVoter(r.ID()):
		reason = "this daemon is no voter any more"
	}
	return []any{LeadLost{Term: term, Reason: reason}}
}

func (o *observer) observeLeader(now time.Time, r *replicas.Replica) []any {
	if o.leaderHeard.IsZero() {
		o.leaderHeard = now
	}
	silence := now.Sub(o.leaderHeard)
	if contact := r.LastLeaderContact(); contact.After(o.leaderHeard) && r.Condition() != replicas.Stopped {
		o.leaderHeard = contact
		if o.missing {
			o.missing = false
			return []any{LeaderHeard{After: silence, Term: r.Term()}}
		}
		silence = now.Sub(contact)
	}
	if silence < leaderMissingAfter || o.missing && now.Before(o.nextReport) {
		return nil
	}
	o.missing, o.nextReport = true, now.Add(leaderMissingRepeat)
	report := LeaderMissing{
		For: silence, Condition: r.Condition(), Term: r.Term(), LastIndex: r.LastIndex(), CommitIndex: r.CommitIndex(),
		UnsyncedFor: r.UnsyncedFor(), MembersHeard: o.countHeard(now, r),
	}
	for _, id := range r.Members().Voters() {
		at, heard := o.heardAt[id]
		c := VoterContact{ID: id, Own: id == r.ID(), Heard: heard}
		if heard {
			c.Ago = now.Sub(at)
		}
		report.Voters = append(report.Voters, c)
	}
	return []any{report}
}

// countHeard returns the number of other members heard within heardWithin.
func (o *observer) countHeard(now time.Time, r *replicas.Replica) int {
	n := 0
	for _, m := range r.Members() {
		if at, ok := o.heardAt[m.ID]; ok && m.ID != r.ID() && now.Sub(at) <= heardWithin {
			n++
		}
	}
	return n
}

// forgetOthers bounds heardAt to the members.
func (o *observer) forgetOthers(members replicas.Members) {
	for id := range o.heardAt {
		if _, ok := members.Member(id); !ok {
			delete(o.heardAt, id)
		}
	}
}
