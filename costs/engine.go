// Package costs predicts how long a model engine takes: to read a prompt, to
// write an answer, and how much of its memory that needs.
package costs

import "time"

// Engine holds the figures of a model engine, as the configuration states them.
type Engine struct {
	Slots          int           // requests that run at once
	MemoryTokens   int           // tokens of prompts and answers that fit
	Step           time.Duration // one token step without any request
	PerSequence    time.Duration // added to a step for each request that is writing
	PerContext     time.Duration // added to a step for each 1,000 tokens of context that is written behind
	ReadRate       float64       // prompt tokens read in a second
	PerMillionPair time.Duration // added for each million pairs of a token and an earlier one
	Chunk          int           // most prompt tokens read in one step
	Stride         int           // steps of a pass in which some request writes
	Hop            time.Duration // added to each step of an answer whose memory is on several engines
	UsualPrompt    int           // mean prompt tokens
	UsualAnswer    int           // mean answer tokens
}

// million is the unit of PerMillionPair.
const million = 1e6

// Read returns the time that one engine alone takes to read a prompt.
func (e *Engine) Read(tokens int) time.Duration {
	n := float64(tokens)
	pairs := n * n / 2 / million
	return time.Duration(n/e.ReadRate*float64(time.Second) + pairs*float64(e.PerMillionPair))
}

// SharedPrefillTime returns the time that each of several engines takes for its part.
func (e *Engine) SharedPrefillTime(tokens, engines int) time.Duration {
	return e.Read(tokens) / time.Duration(max(1, engines))
}

// PassTime returns the time of a pass without reading: Stride steps with a number
// of writers and the sum of their contexts in tokens.
func (e *Engine) PassTime(writers, context int) time.Duration {
	step := e.Step + time.Duration(writers)*e.PerSequence + time.Duration(float64(context)/1000*float64(e.PerContext))
	return time.Duration(max(1, e.Stride)) * step
}

// DecodeTime returns the time to write an answer beside other writers, where
// context is the sum of all contexts on the engine.
func (e *Engine) DecodeTime(tokens, writers, context int) time.Duration {
	passes := (tokens + max(1, e.Stride) - 1) / max(1, e.Stride)
	return time.Duration(passes) * e.PassTime(writers, context)
}
