// Package admissions decides which requests are admitted and in which order
// they wait for a backend server.
package admissions

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// maxWaiting is the maximum number of requests that wait in a daemon. At the target
// size a daemon receives 50 requests/s, so with a finish target of one minute fewer
// than this wait.
const maxWaiting = 4096

// waitingRequest is a request in the queue. Retries are never evicted, since they
// may have run.
type waitingRequest struct {
	gypsumshelf.Request
	retry bool
	due   time.Time
}

// Queue holds the requests that wait for a backend server. Requests of workspaces
// within their fair share of the recent work come first, then the others; both
// groups are ordered by due time. Fairness changes only the order: no request is
// held back while a server has room.
type Queue struct {
	due     func(gypsumshelf.Request) time.Time
	waiting []waitingRequest
	counts  map[string]int // number of waiting requests by workspace
	usage   usage
}

// New returns an empty Queue that orders requests by the time that due returns.
func New(due func(gypsumshelf.Request) time.Time) *Queue {
	return &Queue{due: due, counts: map[string]int{}}
}

// Push adds a retry, that is, a request that was admitted before. It is never
// evicted.
func (q *Queue) Push(req gypsumshelf.Request) { q.insert(waitingRequest{Request: req, retry: true}) }

// Offer adds a new request. When the queue is full, it evicts and returns the last
// request of the workspace with the most waiting requests, which may be the new
// one. Retries are not evicted.
func (q *Queue) Offer(req gypsumshelf.Request) (evicted *gypsumshelf.Request) {
	q.insert(waitingRequest{Request: req})
	if len(q.waiting) <= maxWaiting {
		return nil
	}
	i := q.evictionIndex()
	if i < 0 {
		return nil
	}
	victim := q.waiting[i].Request
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.counts[victim.Workspace]--
	return &victim
}

// evictionIndex returns the index of the request to evict, or -1 when all are
// retries.
func (q *Queue) evictionIndex() int {
	index, largest := -1, 0
	for i := len(q.waiting) - 1; i >= 0; i-- {
		if e := &q.waiting[i]; !e.retry && q.counts[e.Workspace] > largest {
			index, largest = i, q.counts[e.Workspace]
		}
	}
	return index
}

func (q *Queue) insert(e waitingRequest) {
	e.due = q.due(e.Request)
	q.counts[e.Workspace]++
	i, _ := slices.BinarySearchFunc(q.waiting, e.due, func(r waitingRequest, t time.Time) int {
		if r.due.After(t) {
			return 1
		}
		return -1
	})
	q.waiting = slices.Insert(q.waiting, i, e)
}

// Remove takes a request out of the queue.
func (q *Queue) Remove(id gypsumshelf.RequestID) {
	q.removeFunc(func(e waitingRequest) bool { return e.ID == id })
}

func (q *Queue) removeFunc(remove func(waitingRequest) bool) {
	q.waiting = slices.DeleteFunc(q.waiting, func(e waitingRequest) bool {
		if !remove(e) {
			return false
		}
		if q.counts[e.Workspace]--; q.counts[e.Workspace] == 0 {
			delete(q.counts, e.Workspace)
		}
		return true
	})
}

// RecordUsage adds the tokens of a started request to the usage of its workspace.
func (q *Queue) RecordUsage(now time.Time, workspace string, tokens int) {
	q.usage.add(now, workspace, tokens)
}

// StartWaiting calls start for each waiting request in order and removes those
// for which start returns true.
func (q *Queue) StartWaiting(start func(gypsumshelf.Request) bool) {
	if len(q.waiting) == 0 {
		return
	}
	started := map[gypsumshelf.RequestID]bool{}
	for _, e := range q.startOrder() {
		if start(e.Request) {
			started[e.ID] = true
		}
	}
	if len(started) > 0 {
		q.removeFunc(func(e waitingRequest) bool { return started[e.ID] })
	}
}

// startOrder returns the waiting requests in the order in which they start.
func (q *Queue) startOrder() []waitingRequest {
	ordered := slices.Clone(q.waiting)
	if len(q.counts) < 2 {
		return ordered
	}
	above := q.usage.aboveFairShare(q.counts)
	slices.SortStableFunc(ordered, func(a, b waitingRequest) int {
		return cmp.Compare(rank(above[a.Workspace]), rank(above[b.Workspace]))
	})
	return ordered
}

func rank(above bool) int {
	if above {
		return 1
	}
	return 0
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// TokensAhead returns the number of prompt tokens of the waiting requests that
// would start before req.
func (q *Queue) TokensAhead(req gypsumshelf.Request) int {
	due := q.due(req)
	workspaces := maps.Clone(q.counts)
	workspaces[req.Workspace]++
	above := q.usage.aboveFairShare(workspaces)
	ownRank := rank(above[req.Workspace])
	n := 0
	for _, e := range q.waiting {
		otherRank := rank(above[e.Workspace])
		if otherRank < ownRank || otherRank == ownRank && !e.due.After(due) {
			n += e.PromptTokens
		}
	}
	return n
}
