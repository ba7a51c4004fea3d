package daemons

import "sync"

// pendingReplies routes replies of the event loop or of peers to the goroutines
// that wait for them, by ticket.
type pendingReplies[T any] struct {
	mu         sync.Mutex
	lastTicket uint64
	replies    map[uint64]chan T
}

// register returns a new ticket and the channel that receives its reply.
func (p *pendingReplies[T]) register() (ticket uint64, reply <-chan T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.replies == nil {
		p.replies = map[uint64]chan T{}
	}
	p.lastTicket++
	c := make(chan T, 1)
	p.replies[p.lastTicket] = c
	return p.lastTicket, c
}

// cancel discards a ticket; a later reply to it is dropped.
func (p *pendingReplies[T]) cancel(ticket uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.replies, ticket)
}

// deliver sends the first reply to a ticket; later ones are dropped.
func (p *pendingReplies[T]) deliver(ticket uint64, reply T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.replies[ticket]; c != nil {
		c <- reply // does not block: the channel has room for one reply
		delete(p.replies, ticket)
	}
}
