package standins

import (
	"context"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf/timers"
)

// prefillSlice is the number of prompt tokens processed before the engine
// looks for a more urgent prompt.
const prefillSlice = 2048

// maxPrefillLag bounds the time that the prefill loop makes up for after the
// process was not scheduled.
const maxPrefillLag = 100 * time.Millisecond

// prefillJob is one prompt that waits for its prefill or is in it.
type prefillJob struct {
	priority int // smaller is more urgent
	left     int // tokens not yet processed
	done     chan struct{}
}

// prefill processes prompts at one rate that all of them share. The most
// urgent prompt goes first, in slices; equal priorities go in order of arrival.
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

// add queues a prompt; the job's done channel is closed after its last token.
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

// remove drops a job that is no longer wanted.
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

// waiting returns the number of prompts without a first token.
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
