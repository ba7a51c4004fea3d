package daemons

import "sync"

// pendingReplies holds the drivers that wait for an answer of the event loop or of a
// peer, by ticket.
type pendingReplies[T any] struct {
	mu         sync.Mutex
	lastTicket uint64
	replies    map[uint64]chan T
}

// register returns a new ticket and the channel on which its answer arrives.
func (p *pendingReplies[T]) register() (ticket uint64, answer <-chan T) {
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

// cancel ends the wait for an answer.
func (p *pendingReplies[T]) cancel(ticket uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.replies, ticket)
}

// deliver passes on the first answer to a ticket; later ones are dropped.
func (p *pendingReplies[T]) deliver(ticket uint64, answer T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.replies[ticket]; c != nil {
		c <- answer // the channel holds one answer
		delete(p.replies, ticket)
	}
}
