package directories

import (
	"cmp"
	"context"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/faults"
	"gypsumshelf.example/gypsumshelf/rosters"
)

const (
	// maxPollWait is the longest time for which a poll waits for a change. The
	// answer at its end also serves as the heartbeat of the connection.
	maxPollWait = 400 * time.Millisecond
	// viewSpacingPerDaemon times the number of polling daemons is the shortest time
	// between two answers to one daemon, up to maxViewSpacing: what a publisher spends
	// on ordinary changes then does not grow with the number of daemons. Urgent
	// changes are answered at once.
	viewSpacingPerDaemon = 200 * time.Microsecond
	maxViewSpacing       = 100 * time.Millisecond
	// maxViewRecords limits the records of one answer to about 30 KB, which a control
	// host sends to 300 daemons in half of pollTimeout.
	maxViewRecords = 200
	// pollerExpiry is the time after its last poll for which a daemon counts as
	// polling.
	pollerExpiry = 4 * maxPollWait
)

// change is a record with the cursor at which it was published.
type change struct {
	cursor uint64
	record rosters.Record
}

// poller is a daemon that polls this publisher.
type poller struct {
	dataCentre      string
	acceptsRequests bool   // of callers
	cursor          uint64 // cursor of its last poll
	lastPoll        time.Time
	answeredAt      time.Time
}

// Publisher is the net/rpc service that answers the polls of Subscribers.
type Publisher struct {
	log   *logrus.Entry
	epoch uint64 // random, differs for each process

	mu         sync.Mutex
	cursor     uint64
	urgent     uint64 // cursor of the last urgent change
	state      catalogs.State
	compressed CompressedState // cache of the compressed state, filled by Fetch
	leader     string
	term       uint64
	controls   []string
	changes    []change                        // ascending by cursor, with changes that later ones have replaced
	newest     map[gypsumshelf.ServerID]uint64 // cursor of the newest change of each backend server
	pollers    map[gypsumshelf.DaemonID]poller
	peersIndex uint64                 // see View
	expired    []gypsumshelf.DaemonID // daemons that stopped polling, until TakeExpired returns them
	changed    chan struct{}          // closed at the next change
	hurried    chan struct{}          // closed at the next urgent change
	closed     chan struct{}
}

// NewPublisher returns a Publisher that has nothing published yet.
func NewPublisher(log *logrus.Entry) *Publisher {
	return &Publisher{
		log: log, epoch: rand.Uint64() | 1, newest: map[gypsumshelf.ServerID]uint64{},
		pollers: map[gypsumshelf.DaemonID]poller{}, changed: make(chan struct{}), hurried: make(chan struct{}), closed: make(chan struct{}),
	}
}

// Close answers the polls that wait, and ends the wait for deliveries.
func (p *Publisher) Close() { close(p.closed) }

// advance increments the cursor and wakes the polls that wait. The caller holds
// mu.
func (p *Publisher) advance(urgent bool) {
	p.cursor++
	close(p.changed)
	p.changed = make(chan struct{})
	if urgent {
		p.urgent = p.cursor
		close(p.hurried)
		p.hurried = make(chan struct{})
	}
}

// SetState publishes a replicated state, which must be newer than the last one.
func (p *Publisher) SetState(s catalogs.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
	p.advance(true)
}

// SetLeader publishes the leader, its term and the addresses of all control
// daemons.
func (p *Publisher) SetLeader(leader string, term uint64, controls []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leader, p.term, p.controls = leader, term, controls
	p.advance(true)
}

// Publish publishes the newest record of a backend server.
func (p *Publisher) Publish(r rosters.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(!r.Usable())
	p.changes = append(p.changes, change{cursor: p.cursor, record: r})
	p.newest[r.ID] = p.cursor
	if len(p.changes) > 2*len(p.newest)+maxViewRecords {
		p.changes = slices.DeleteFunc(p.changes, p.isReplaced)
	}
}

// isReplaced reports whether a later change of the same backend server exists.
func (p *Publisher) isReplaced(c change) bool { return p.newest[c.record.ID] != c.cursor }

// expirePollers removes expired pollers, adds them to expired, and returns the
// number of the others that accept requests. The caller holds mu.
func (p *Publisher) expirePollers(now time.Time) int {
	n := 0
	for id, poller := range p.pollers {
		switch {
		case now.Sub(poller.lastPoll) > pollerExpiry:
			delete(p.pollers, id)
			p.expired = append(p.expired, id)
			if poller.acceptsRequests {
				p.peersIndex++
			}
		case poller.acceptsRequests:
			n++
		}
	}
	return n
}

// TakeExpired returns the daemons that have stopped polling since the last call.
func (p *Publisher) TakeExpired() []gypsumshelf.DaemonID {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expirePollers(time.Now())
	expired := p.expired
	p.expired = nil
	return expired
}

// Poll returns the changes after the cursor of q. If there are none, it waits
// for the next change for up to maxPollWait. The answer to ordinary changes waits
// for the spacing of views.
func (p *Publisher) Poll(q PollRequest, v *View) (err error) {
	defer faults.Recover(p.log, ServiceName+".Poll", &err)
	deadline := time.NewTimer(maxPollWait)
	defer deadline.Stop()
	if q.Epoch != p.epoch {
		q.Cursor = 0
	}
	for {
		wake, delay := p.registerPoll(q, time.Now())
		if wake == nil {
			break
		}
		var due <-chan time.Time
		if delay > 0 {
			due = time.After(delay)
		}
		select {
		case <-wake:
			continue
		case <-due:
			continue
		case <-deadline.C:
		case <-p.closed:
		}
		break
	}
	p.fillView(q, v)
	return nil
}

// registerPoll records a poll. It returns nil when an answer is due, and otherwise a
// channel that is closed when that may have changed, with the time until the answer
// is due, 0 when there is nothing to answer yet.
func (p *Publisher) registerPoll(q PollRequest, now time.Time) (<-chan struct{}, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, known := p.pollers[q.Daemon]
	p.pollers[q.Daemon] = poller{dataCentre: q.DataCentre, acceptsRequests: q.Entry, cursor: q.Cursor, lastPoll: now, answeredAt: old.answeredAt}
	if q.Entry && !known {
		p.peersIndex++
	}
	if p.cursor <= q.Cursor {
		return p.changed, 0
	}
	spacing := min(maxViewSpacing, viewSpacingPerDaemon*time.Duration(len(p.pollers)))
	if delay := old.answeredAt.Add(spacing).Sub(now); delay > 0 && p.urgent <= q.Cursor {
		return p.hurried, delay
	}
	return nil, 0
}

// Fetch returns the replicated state. It is separate from Poll, so that a daemon
// which polls several control daemons receives each state only once.
func (p *Publisher) Fetch(_ struct{}, reply *CompressedState) (err error) {
	defer faults.Recover(p.log, ServiceName+".Fetch", &err)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.compressed.Index != p.state.Index {
		compressed, err := compress(&p.state)
		if err != nil {
			return err
		}
		p.compressed = compressed
	}
	*reply = p.compressed
	return nil
}

func (p *Publisher) fillView(q PollRequest, v *View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	*v = View{
		Epoch: p.epoch, Cursor: p.cursor, Leader: p.leader, Term: p.term,
		Controls: p.controls, Entries: p.expirePollers(now), Index: p.state.Index,
	}
	if poller, ok := p.pollers[q.Daemon]; ok {
		poller.answeredAt = now
		p.pollers[q.Daemon] = poller
	}
	if q.Epoch == p.epoch {
		v.KnownPeersIndex = q.PeersIndex
	}
	if v.PeersIndex = p.peersIndex; q.Entry && v.PeersIndex != v.KnownPeersIndex {
		v.Peers = p.peersOf(q)
	}
	last := q.Cursor // of the records in v
	first, _ := slices.BinarySearchFunc(p.changes, q.Cursor+1, func(c change, cursor uint64) int { return cmp.Compare(c.cursor, cursor) })
	for _, c := range p.changes[first:] {
		if p.isReplaced(c) {
			continue
		}
		if len(v.Records) == maxViewRecords {
			v.Cursor = last
			break
		}
		v.Records, last = append(v.Records, c.record), c.cursor
	}
}

const (
	// maxPeers and maxPeersPerDataCentre bound the peers of one view. Each daemon gets
	// others, so that the work of many spreads.
	maxPeers              = 12
	maxPeersPerDataCentre = 4
)

// peersOf returns the peers for a daemon, by rendezvous hashing. The caller holds mu.
func (p *Publisher) peersOf(q PollRequest) []Peer {
	type ranked struct {
		peer Peer
		rank uint64
	}
	var all []ranked
	for id, poller := range p.pollers {
		if poller.acceptsRequests && id != q.Daemon {
			h := fnv.New64a()
			_, _ = io.WriteString(h, string(q.Daemon)+" "+string(id)) // a hash.Hash never returns an error
			all = append(all, ranked{peer: Peer{Daemon: id, DataCentre: poller.dataCentre}, rank: h.Sum64()})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	var peers []Peer
	perDataCentre := map[string]int{}
	for _, r := range all {
		if perDataCentre[r.peer.DataCentre]++; perDataCentre[r.peer.DataCentre] <= maxPeersPerDataCentre && len(peers) < maxPeers {
			peers = append(peers, r.peer)
		}
	}
	return peers
}

// IsEntryHost reports whether a daemon that accepts requests polls from an IP address.
func (p *Publisher) IsEntryHost(ip netip.Addr, reply *bool) (err error) {
	defer faults.Recover(p.log, ServiceName+".IsEntryHost", &err)
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, poller := range p.pollers {
		if address, err := netip.ParseAddrPort(string(id)); err == nil && poller.acceptsRequests && address.Addr() == ip {
			*reply = true
		}
	}
	return nil
}

// AwaitDelivery waits until all polling daemons have received everything
// published before the call, or until ctx ends or the Publisher is closed. It
// reports whether all have. A daemon confirms the receipt by the cursor of its next
// poll.
func (p *Publisher) AwaitDelivery(ctx context.Context) bool {
	p.mu.Lock()
	cursor := p.cursor
	p.mu.Unlock()
	ticker := time.NewTicker(deliveryCheckInterval)
	defer ticker.Stop()
	for {
		if p.delivered(cursor) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-p.closed:
			return false
		case <-ticker.C:
		}
	}
}

// deliveryCheckInterval is the interval of the checks in AwaitDelivery. It can be
// short because leaves are rare.
const deliveryCheckInterval = 10 * time.Millisecond

func (p *Publisher) delivered(cursor uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, poller := range p.pollers {
		if now.Sub(poller.lastPoll) <= pollerExpiry && poller.cursor < cursor {
			return false
		}
	}
	return true
}
