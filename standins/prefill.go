package standins

import (
	"context"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf/timers"
)

// prefillChunkTokens is the number of prompt tokens that are processed before
// the next prompt is chosen by priority.
const prefillChunkTokens = 2048

// maxPrefillLag bounds the delay that the prefill loop catches up on after the
// operating system did not schedule the process.
const maxPrefillLag = 100 * time.Millisecond

// prefillJob is a prompt whose prefill is queued or in progress.
type prefillJob struct {
	priority  int           // smaller is more urgent
	remaining int           // tokens not yet processed
	done      chan struct{} // closed after the last token
}

// prefillQueue simulates chunked prefill. The prompts share one rate; chunk by
// chunk, the most urgent prompt is processed first, equal priorities in order
// of arrival.
type prefillQueue struct {
	ctx            context.Context
	processingTime func(tokens int) time.Duration
	wake           chan struct{}

	mu   sync.Mutex
	jobs []*prefillJob
}

func newPrefillQueue(ctx context.Context, processingTime func(int) time.Duration) *prefillQueue {
	p := &prefillQueue{ctx: ctx, processingTime: processingTime, wake: make(chan struct{}, 1)}
	go p.loop()
	return p
}

// enqueue adds a prompt to the queue.
func (p *prefillQueue) enqueue(priority, tokens int) *prefillJob {
	j := &prefillJob{priority: priority, remaining: max(1, tokens), done: make(chan struct{})}
	p.mu.Lock()
	p.jobs = append(p.jobs, j)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return j
}

// remove removes a completed or cancelled job.
func (p *prefillQueue) remove(j *prefillJob) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.jobs {
		if other == j {
			p.jobs = append(p.jobs[:i], p.jobs[i+1:]...)
			return
		}
	}
}

// pending returns the number of prompts whose prefill is not complete.
func (p *prefillQueue) pending() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.jobs)
}

func (p *prefillQueue) next() (j *prefillJob, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.jobs {
		if j == nil || other.priority < j.priority {
			j = other
		}
	}
	if j == nil {
		return nil, 0
	}
	return j, min(prefillChunkTokens, j.remaining)
}

func (p *prefillQueue) loop() {
	due := time.Now()
	for {
		j, tokens := p.next()
		if j == nil {
			select {
			case <-p.ctx.Done():
				return
			case <-p.wake:
			}
			due = time.Now()
			continue
		}
		if now := time.Now(); now.Sub(due) > maxPrefillLag {
			due = now
		}
		due = due.Add(p.processingTime(tokens))
		if !timers.Sleep(p.ctx, time.Until(due)) {
			return
		}
		j.remaining -= tokens
		if j.remaining <= 0 {
			p.remove(j)
			close(j.done)
		}
	}
}
