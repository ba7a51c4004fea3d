package standins

import (
	"context"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf/timers"
)

// prefillSlice is the number of prompt tokens that are processed before the next
// prompt is chosen by priority.
const prefillSlice = 2048

// maxPrefillLag bounds the delay that the prefill loop catches up on after the
// operating system did not schedule the process.
const maxPrefillLag = 100 * time.Millisecond

// prefillJob is a prompt whose prefill is queued or in progress.
type prefillJob struct {
	priority int           // smaller is more urgent
	left     int           // tokens not yet processed
	done     chan struct{} // closed after the last token
}

// prefill simulates chunked prefill. The prompts share one rate; chunk by chunk,
// the most urgent prompt is processed first, equal priorities in order of
// arrival.
type prefill struct {
	ctx  context.Context
	cost func(tokens int) time.Duration
	wake chan struct{}

	mu   sync.Mutex
	jobs []*prefillJob
}

func newPrefill(ctx context.Context, cost func(int) time.Duration) *prefill {
	p := &prefill{ctx: ctx, cost: cost, wake: make(chan struct{}, 1)}
	go p.loop()
	return p
}

// add queues a prompt.
func (p *prefill) add(priority, tokens int) *prefillJob {
	j := &prefillJob{priority: priority, left: max(1, tokens), done: make(chan struct{})}
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
func (p *prefill) remove(j *prefillJob) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.jobs {
		if other == j {
			p.jobs = append(p.jobs[:i], p.jobs[i+1:]...)
			return
		}
	}
}

// waiting returns the number of prompts whose prefill is not complete.
func (p *prefill) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.jobs)
}

func (p *prefill) next() (j *prefillJob, tokens int) {
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
	return j, min(prefillSlice, j.left)
}

func (p *prefill) loop() {
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
		due = due.Add(p.cost(tokens))
		if !timers.Pause(p.ctx, time.Until(due)) {
			return
		}
		j.left -= tokens
		if j.left <= 0 {
			p.remove(j)
			close(j.done)
		}
	}
}
