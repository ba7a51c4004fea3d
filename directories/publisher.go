package directories

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/rosters"
)

const (
	// pollHold is the longest time for which a poll waits for a change. The
	// answer at its end also serves as the heartbeat of the connection.
	pollHold = 400 * time.Millisecond
	// watcherLife is the time after its last poll for which a daemon counts as
	// polling.
	watcherLife = 4 * pollHold
)

// change is a record with the cursor at which it was published.
type change struct {
	cursor uint64
	record rosters.Record
}

// watcher is a daemon that polls this publisher.
type watcher struct {
	entry bool   // it accepts requests of callers
	seen  uint64 // cursor of its last poll
	at    time.Time
}

// Publisher is the net/rpc service that answers the polls of Subscribers.
type Publisher struct {
	epoch uint64 // random, differs for each process

	mu       sync.Mutex
	cursor   uint64
	state    catalogs.State
	packed   Packed // cache of the compressed state, filled by Fetch
	leader   string
	term     uint64
	controls []string
	changes  map[gypsumshelf.ServerID]change
	watchers map[gypsumshelf.DaemonID]watcher
	gone     []gypsumshelf.DaemonID // watchers that stopped polling, until Gone returns them
	news     chan struct{}          // closed at the next change
}

// NewPublisher returns a Publisher that has nothing published yet.
func NewPublisher() *Publisher {
	return &Publisher{
		epoch: rand.Uint64() | 1, changes: map[gypsumshelf.ServerID]change{},
		watchers: map[gypsumshelf.DaemonID]watcher{}, news: make(chan struct{}),
	}
}

// wake advances the cursor and wakes the polls that wait. The caller holds mu.
func (p *Publisher) wake() {
	p.cursor++
	close(p.news)
	p.news = make(chan struct{})
}

// SetState publishes a replicated state, which must be newer than the last one.
func (p *Publisher) SetState(s catalogs.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
	p.wake()
}

// SetLeader publishes the leader, its term and the addresses of all control
// daemons.
func (p *Publisher) SetLeader(leader string, term uint64, controls []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leader, p.term, p.controls = leader, term, controls
	p.wake()
}

// Publish publishes the newest record of a backend server.
func (p *Publisher) Publish(r rosters.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wake()
	p.changes[r.ID] = change{cursor: p.cursor, record: r}
}

// entries removes expired watchers, adds them to gone, and returns the number of
// the others that accept requests. The caller holds mu.
func (p *Publisher) entries(now time.Time) int {
	n := 0
	for id, w := range p.watchers {
		switch {
		case now.Sub(w.at) > watcherLife:
			delete(p.watchers, id)
			p.gone = append(p.gone, id)
		case w.entry:
			n++
		}
	}
	return n
}

// Gone returns the daemons that have stopped polling since the last call.
func (p *Publisher) Gone() []gypsumshelf.DaemonID {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries(time.Now())
	gone := p.gone
	p.gone = nil
	return gone
}

// Poll returns the changes after the cursor of q. If there are none, it waits
// for the next change for up to pollHold.
func (p *Publisher) Poll(q Poll, v *View) error {
	deadline := time.NewTimer(pollHold)
	defer deadline.Stop()
	if q.Epoch != p.epoch {
		q.Cursor = 0
	}
	for {
		p.mu.Lock()
		p.watchers[q.Daemon] = watcher{entry: q.Entry, seen: q.Cursor, at: time.Now()}
		cursor, news := p.cursor, p.news
		p.mu.Unlock()
		if cursor > q.Cursor {
			break
		}
		select {
		case <-news:
			continue
		case <-deadline.C:
		}
		break
	}
	p.fill(q, v)
	return nil
}

// Fetch returns the replicated state. It is separate from Poll, so that a daemon
// which polls several control daemons receives each state only once.
func (p *Publisher) Fetch(_ struct{}, reply *Packed) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed.Index != p.state.Index {
		packed, err := pack(&p.state)
		if err != nil {
			return err
		}
		p.packed = packed
	}
	*reply = p.packed
	return nil
}

func (p *Publisher) fill(q Poll, v *View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*v = View{
		Epoch: p.epoch, Cursor: p.cursor, Leader: p.leader, Term: p.term,
		Controls: p.controls, Entries: p.entries(time.Now()), Index: p.state.Index,
	}
	for _, c := range p.changes {
		if c.cursor > q.Cursor {
			v.Records = append(v.Records, c.record)
		}
	}
}

// AwaitSeen waits until all polling daemons have received everything published
// before the call, or until ctx ends. It reports whether all have. A daemon
// confirms the receipt by the cursor of its next poll.
func (p *Publisher) AwaitSeen(ctx context.Context) bool {
	p.mu.Lock()
	cursor := p.cursor
	p.mu.Unlock()
	ticker := time.NewTicker(seenPoll)
	defer ticker.Stop()
	for {
		if p.seen(cursor) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// seenPoll is the interval of the checks in AwaitSeen. Polling is cheap enough
// because leaves are rare.
const seenPoll = 10 * time.Millisecond

func (p *Publisher) seen(cursor uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, w := range p.watchers {
		if now.Sub(w.at) <= watcherLife && w.seen < cursor {
			return false
		}
	}
	return true
}
