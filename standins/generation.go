package standins

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"time"

	"gypsumshelf.example/gypsumshelf/streams"
	"gypsumshelf.example/gypsumshelf/timers"
)

// generation is a completion request in progress.
type generation struct {
	engine     *Engine
	w          http.ResponseWriter
	id         string
	prompt     string
	priority   int
	start, end int // position of the first token, position after the last token
	chat       bool
	faults     Faults
}

// run simulates the prefill and streams the answer. It reports false if the
// connection must be closed without an end marker.
func (g *generation) run(ctx context.Context) bool {
	if g.faults.DropAfterRead {
		return false
	}
	if g.faults.Freeze {
		<-ctx.Done()
		return false
	}
	e := g.engine
	cached := e.cache.lookupAndStore(time.Now(), g.prompt)
	job := e.prefill.enqueue(g.priority, len(g.prompt)/bytesPerToken-cached)
	select {
	case <-job.done:
	case <-ctx.Done():
		e.prefill.remove(job)
		return false
	}
	return g.stream(ctx)
}

func (g *generation) stream(ctx context.Context) bool {
	e := g.engine
	h := fnv.New32a()
	_, _ = h.Write([]byte(g.prompt))
	hash := h.Sum32()
	g.w.Header().Set("Content-Type", "text/event-stream")
	due := time.Now()
	for i := g.start; i < g.end; i++ {
		if g.faults.DropMidStream && i == g.faultPosition() {
			return false
		}
		if !g.sendChunk(i, token(hash, i)) {
			return false
		}
		if i+1 == g.end {
			break
		}
		due = due.Add(e.tokenTime())
		if !timers.Sleep(ctx, time.Until(due)) {
			return false
		}
	}
	if !g.faults.NoEnd {
		fmt.Fprint(g.w, "data: [DONE]\n\n")
	}
	return true
}

// faultPosition returns the position at which a fault of the stream is injected.
func (g *generation) faultPosition() int { return (g.start + g.end) / 2 }

// sendChunk writes the chunk of one position, changed as the faults say.
func (g *generation) sendChunk(i int, text string) bool {
	id, copies := g.id, 1
	if i == g.faultPosition() {
		if g.faults.ForeignChunk {
			id = "foreign-" + id
		}
		if g.faults.MissingChunk {
			copies = 0
		}
		if g.faults.DuplicateChunk {
			copies = 2
		}
	}
	data, err := json.Marshal(g.chunk(id, i, text))
	if err != nil {
		return false
	}
	for range copies {
		if _, err := fmt.Fprintf(g.w, "data: %s\n\n", data); err != nil {
			return false
		}
	}
	g.w.(http.Flusher).Flush()
	return true
}

func (g *generation) chunk(id string, position int, text string) streams.Chunk {
	c := streams.Chunk{ID: id, Position: &position, Tokens: 1, Choices: []streams.Choice{{}}}
	if g.chat {
		c.Choices[0].Delta = &streams.Delta{Content: text}
	} else {
		c.Choices[0].Text = text
	}
	if position == g.end-1 && !g.faults.NoEnd {
		reason := "stop"
		c.Choices[0].FinishReason = &reason
	}
	return c
}

// tokenTime returns the present time between two tokens of a stream.
func (e *Engine) tokenTime() time.Duration {
	factor := e.warmup.slowdown()
	if batch := e.cfg.MaxBatch; batch > 0 {
		factor *= max(1, float64(e.Running())/float64(batch))
	}
	return time.Duration(float64(e.cfg.scaled(e.cfg.TokenInterval)) * factor)
}
