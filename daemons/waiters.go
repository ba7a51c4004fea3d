package daemons

import "sync"

// waiters holds the drivers that wait for an answer of the event loop or of a
// peer, by ticket.
type waiters[T any] struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan T
}

// open returns a new ticket and the channel on which its answer arrives.
func (w *waiters[T]) open() (ticket uint64, answer <-chan T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting == nil {
		w.waiting = map[uint64]chan T{}
	}
	w.last++
	c := make(chan T, 1)
	w.waiting[w.last] = c
	return w.last, c
}

// close ends the wait for an answer.
func (w *waiters[T]) close(ticket uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiting, ticket)
}

// answer passes on the first answer to a ticket; later ones are dropped.
func (w *waiters[T]) answer(ticket uint64, answer T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c := w.waiting[ticket]; c != nil {
		c <- answer // the channel holds one answer
		delete(w.waiting, ticket)
	}
}
