package controls

import (
	"context"
	"errors"
	"maps"
	"time"

	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/timers"
)

// callerSettleTime is the time for which the caller of an order has to stay connected
// before the order is proposed. If the network has held up an order together with the
// close of its connection, the close arrives a round trip later, or, if it is lost, after
// the shortest retransmission timeout of TCP, 200 ms.
const callerSettleTime = 250 * time.Millisecond

// Errors of orders. The caller sends an order again if it still wants it.
var (
	ErrCallerLeft = errors.New("the caller has left before its order was proposed")
	ErrSuperseded = errors.New("another order on the same subject was given after this one arrived")
	ErrNotStarted = errors.New("this daemon does not know the replicated state yet")
	ErrNewLeader  = errors.New("the new leader has not yet committed what earlier leaders left")
)

// ProposeOrder commits an order of an operator, such as to take a data centre out of
// service, for a caller that is connected until ctx is done. Orders carry no version.
// An order that was held up on its way, and that its caller has given up, must not
// follow a newer one. The leader therefore refuses it if its log has another order on
// the same subject that this daemon did not know when the order arrived. If it did know
// a newer one, the caller had given the order up before, and does not stay connected for
// callerSettleTime.
//
// A refused order is not proposed again here: this daemon may have been suspended
// meanwhile, and then hears late that its caller has left.
func (d *Daemon) ProposeOrder(ctx context.Context, c catalogs.Command) error {
	l := d.leadership.Load()
	if l.Leader == "" {
		return ErrNotLeader
	}
	if l.isRemote() {
		if _, alive := d.leaderClient(*l); !alive {
			return ErrNotLeader
		}
	}
	c.KnownIndex = d.knownIndex()
	if c.KnownIndex == 0 {
		return ErrNotStarted
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if !timers.Sleep(ctx, callerSettleTime) || ctx.Err() != nil {
		return ErrCallerLeft
	}
	return d.Propose(ctx, c)
}

// knownIndex returns the index of the newest entry that this daemon knows to be
// committed, 0 if it knows none. It hears of the entries of other daemons with some delay,
// but not of the orders that it has acknowledged itself.
func (d *Daemon) knownIndex() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.appliedIndex.Load(), d.acknowledgedIndex)
}

// acknowledge records the index of a command that was committed for this daemon.
func (d *Daemon) acknowledge(index uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.acknowledgedIndex = max(d.acknowledgedIndex, index)
}

// isRemote reports whether another daemon is known to lead.
func (l Leadership) isRemote() bool { return !l.IsLeader && l.Leader != "" }

// order is the newest order on a subject.
type order struct {
	index  uint64
	action catalogs.Action
}

// orderHistory knows the newest applied order on each subject.
type orderHistory struct {
	completeFrom uint64 // orders up to this index may be missing
	newest       map[string]order
}

// record records an applied command.
func (h *orderHistory) record(index uint64, c catalogs.Command) {
	if s := c.Subject(); s != "" {
		h.newest[s] = order{index: index, action: c.Action}
	}
}

// forget forgets the orders up to an index.
func (h *orderHistory) forget(index uint64) {
	h.completeFrom = max(h.completeFrom, index)
	maps.DeleteFunc(h.newest, func(_ string, o order) bool { return o.index <= h.completeFrom })
}

// latest returns the newest order on a subject. If it is not known, its action is empty
// and its index is the highest that it may have.
func (h *orderHistory) latest(subject string) order {
	if o, ok := h.newest[subject]; ok {
		return o
	}
	return order{index: h.completeFrom}
}

// checkOrder returns an error if another order on the subject of c is in the log after
// the index that the proposer of c knew. A repetition of the newest order is accepted,
// since it changes nothing. Only the leader checks this, before c enters the log: if
// replicas did it when they apply c, those of older builds would diverge.
func (r *Reducer) checkOrder(c catalogs.Command) error {
	if c.KnownIndex == 0 || !r.replica.IsLeader() {
		return nil
	}
	if !r.replica.HasCommittedOwnTerm() {
		return ErrNewLeader
	}
	latest := r.orders.latest(c.Subject())
	for index, p := range r.pendingProposals {
		if p.subject == c.Subject() && index > latest.index {
			latest = order{index: index, action: p.action}
		}
	}
	if latest.index > c.KnownIndex && latest.action != c.Action {
		return ErrSuperseded
	}
	return nil
}
