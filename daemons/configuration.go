package daemons

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/configs"
	"gypsumshelf.example/gypsumshelf/leases"
)

// proposalRetryInterval is the time after which a proposal without a result is
// sent again, to the leader known by then.
const proposalRetryInterval = 500 * time.Millisecond

// ErrUnknownOutcome reports that the result of a command did not arrive in time.
// The command may still take effect; sending it again is safe.
var ErrUnknownOutcome = errors.New("outcome is unknown: no result from the replicated log in time")

// replicatedLog is the part of replicas.Replica that the configuration uses.
type replicatedLog interface {
	Propose(now time.Time, data []byte) (index, term uint64, err error)
	Leader() (gypsumshelf.DaemonID, bool)
	Term() uint64
	// Confirmation returns a time and a commit index: every entry committed
	// before that time is at or before that index.
	Confirmation() (asked time.Time, commit uint64)
}

// configuration is the part of the reducer that holds this daemon's copy of the
// replicated state, its freshness lease and its proposals. Every daemon, voter or
// learner, applies the log, and learns the result of its own proposals when it
// applies their entries. A proposal may therefore be sent again to any leader,
// and the leader need not remember who waits for the result.
type configuration struct {
	daemon        gypsumshelf.DaemonID
	session       string // unique to each start, so that old entries match no pending proposal
	log           replicatedLog
	state         *configs.State
	lease         *leases.Lease
	emit          func(gypsumshelf.Effect)
	proposalCount uint64
	pending       map[string]*proposal // by token
	proposedTerms map[string]uint64    // by token: term in which this daemon proposed its entry, until applied
}

func newConfiguration(cfg ReducerConfig, emit func(gypsumshelf.Effect)) *configuration {
	if cfg.Log != nil && cfg.Session == "" {
		panic("a reducer with a replicated log needs a session") // without one, entries of an earlier start would answer new proposals
	}
	c := &configuration{
		daemon: cfg.Daemon, session: cfg.Session, log: cfg.Log,
		state: configs.New(), lease: leases.New(cfg.Lease), emit: emit,
		pending: map[string]*proposal{}, proposedTerms: map[string]uint64{},
	}
	if c.log == nil {
		c.log = noLog{}
	}
	return c
}

// noLog implements replicatedLog for a reducer without a replicated log.
type noLog struct{}

func (noLog) Propose(time.Time, []byte) (index, term uint64, err error) { return 0, 0, errNoLog }
func (noLog) Leader() (gypsumshelf.DaemonID, bool)                      { return "", false }
func (noLog) Term() uint64                                              { return 0 }
func (noLog) Confirmation() (asked time.Time, commit uint64)            { return time.Time{}, 0 }

var errNoLog = errors.New("this daemon has no replicated log")

// proposal is a command of this daemon that has no result yet.
type proposal struct {
	token    string
	entry    []byte
	sentAt   time.Time
	deadline time.Time
	onResult func(now time.Time, result configs.Result, err error)
}

// propose has a command decided by the replicated log. onResult is called once,
// during a later event, with ErrUnknownOutcome if there is no result within the
// given time.
func (c *configuration) propose(now time.Time, command configs.Command, timeout time.Duration, onResult func(time.Time, configs.Result, error)) {
	c.proposalCount++
	p := &proposal{token: fmt.Sprintf("%s.%d", c.session, c.proposalCount), deadline: now.Add(timeout), onResult: onResult}
	entry, err := configs.Entry{Origin: c.daemon, Token: p.token, Command: command}.Encode()
	if err != nil {
		panic(fmt.Sprintf("command %s cannot be encoded: %v", command.CommandType(), err))
	}
	p.entry = entry
	c.pending[p.token] = p
	c.sendProposal(now, p)
}

// leaseValid reports whether this copy of the configuration is recent enough to
// start new work. It always is without a replicated log, since the configuration
// then never changes.
func (c *configuration) leaseValid(now time.Time) bool {
	return c.static() || c.lease.Valid(now)
}

// static reports whether there is no replicated log that could change the configuration.
func (c *configuration) static() bool {
	_, none := c.log.(noLog)
	return none
}

// sendProposal sends a proposal to the leader, if one is known.
func (c *configuration) sendProposal(now time.Time, p *proposal) {
	p.sentAt = now
	leader, ok := c.log.Leader()
	switch {
	case !ok:
	case leader == c.daemon:
		c.proposeAsLeader(now, p.token, p.entry)
	default:
		c.emit(configs.ForwardProposal{To: leader, Proposal: configs.Proposal{Entry: p.entry}})
	}
}

// proposeAsLeader appends an entry to the log, at most once per term.
func (c *configuration) proposeAsLeader(now time.Time, token string, entry []byte) {
	term := c.log.Term()
	if proposed, ok := c.proposedTerms[token]; ok && proposed == term {
		return
	}
	if _, _, err := c.log.Propose(now, entry); err == nil {
		c.proposedTerms[token] = term
	}
}

// handleForwarded proposes an entry of another daemon. If this daemon is not the
// leader, the entry is dropped; its origin sends it again to the next leader.
func (c *configuration) handleForwarded(now time.Time, e configs.ProposalForwarded) {
	entry, err := configs.DecodeEntry(e.Proposal.Entry)
	if leader, ok := c.log.Leader(); err != nil || !ok || leader != c.daemon {
		return
	}
	c.proposeAsLeader(now, entry.Token, e.Proposal.Entry)
}

// apply applies one committed entry. An entry that cannot be decoded comes from a
// newer version; skipping it would make the replicas diverge.
func (c *configuration) apply(now time.Time, index uint64, at time.Time, data []byte) {
	entry, err := configs.DecodeEntry(data)
	if err != nil {
		panic(fmt.Sprintf("log entry %d cannot be applied: %v", index, err))
	}
	result := c.state.Apply(index, at, entry.Command)
	delete(c.proposedTerms, entry.Token)
	if p := c.pending[entry.Token]; p != nil && entry.Origin == c.daemon {
		delete(c.pending, entry.Token)
		p.onResult(now, result, nil)
	}
}

// installSnapshot replaces the state by a snapshot, which must not be older.
func (c *configuration) installSnapshot(index uint64, snapshot []byte) error {
	state, err := configs.Restore(snapshot)
	if err != nil {
		return err
	}
	if state.Revision() < c.state.Revision() || state.Index() < c.state.Index() {
		return fmt.Errorf("snapshot at entry %d has revision %d, older than revision %d in force", index, state.Revision(), c.state.Revision())
	}
	c.state = state
	return nil
}

// renewLease renews the freshness lease from the leader's last confirmation.
// applied is the index of the last applied entry of any kind.
func (c *configuration) renewLease(now time.Time, applied uint64) {
	asked, commit := c.log.Confirmation()
	c.lease.Renew(now, asked, commit, applied)
}

// tick sends pending proposals again and ends those past their deadline.
func (c *configuration) tick(now time.Time) {
	for _, token := range slices.Sorted(maps.Keys(c.pending)) {
		p := c.pending[token]
		switch {
		case !now.Before(p.deadline):
			delete(c.pending, token)
			p.onResult(now, configs.Result{}, ErrUnknownOutcome)
		case now.Sub(p.sentAt) >= proposalRetryInterval:
			c.sendProposal(now, p)
		}
	}
	term := c.log.Term()
	maps.DeleteFunc(c.proposedTerms, func(_ string, proposed uint64) bool { return proposed != term })
}
