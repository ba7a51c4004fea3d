// Package admissions decides which requests are admitted and in which order
// they wait for a backend server.
package admissions

import (
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Queue holds the requests that wait for a backend server, the most urgent
// first: the one whose first token is due soonest.
type Queue struct {
	waiting []gypsumshelf.Request
}

// Push adds a request.
func (q *Queue) Push(req gypsumshelf.Request) {
	due := req.FirstTokenDeadline()
	i, _ := slices.BinarySearchFunc(q.waiting, due, func(r gypsumshelf.Request, t time.Time) int {
		if r.FirstTokenDeadline().After(t) {
			return 1
		}
		return -1
	})
	q.waiting = slices.Insert(q.waiting, i, req)
}

// Remove takes a request out of the queue.
func (q *Queue) Remove(id gypsumshelf.RequestID) {
	q.waiting = slices.DeleteFunc(q.waiting, func(r gypsumshelf.Request) bool { return r.ID == id })
}

// Each calls start for the waiting requests in order and removes those for
// which it returns true.
func (q *Queue) Each(start func(gypsumshelf.Request) bool) {
	q.waiting = slices.DeleteFunc(q.waiting, start)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }
