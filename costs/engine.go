// Package costs predicts the prefill and decode times of a model engine.
package costs

import "time"

// Engine is the performance profile of a model engine as the configuration
// states it.
type Engine struct {
	Slots          int           // concurrent requests
	MemoryTokens   int           // memory for prompts and answers in tokens
	Step           time.Duration // duration of a decode step without requests
	PerSequence    time.Duration // added to a step for each active answer
	PerContext     time.Duration // added to a step for each 1,000 tokens of context of the active answers
	ReadRate       float64       // prefill rate in prompt tokens per second
	PerMillionPair time.Duration // added to a prefill for each million pairs of a token and an earlier one
	Chunk          int           // maximum prompt tokens of a prefill in one step
	Stride         int           // steps of a pass with active answers
	Hop            time.Duration // added to each step of an answer whose memory is spread over several engines
	UsualPrompt    int           // mean length of prompts in tokens
	UsualAnswer    int           // mean length of answers in tokens
}

// million is the unit of PerMillionPair.
const million = 1e6

// Read returns the prefill time of a whole prompt on one engine.
func (e *Engine) Read(tokens int) time.Duration {
	n := float64(tokens)
	pairs := n * n / 2 / million
	return time.Duration(n/e.ReadRate*float64(time.Second) + pairs*float64(e.PerMillionPair))
}

// SharedPrefillTime returns the prefill time of one of several equal parts of a
// prompt.
func (e *Engine) SharedPrefillTime(tokens, engines int) time.Duration {
	return e.Read(tokens) / time.Duration(max(1, engines))
}

// PassTime returns the duration of a pass without prefill, which is Stride
// steps with a number of active answers. context is the sum of their contexts
// in tokens.
func (e *Engine) PassTime(answers, context int) time.Duration {
	step := e.Step + time.Duration(answers)*e.PerSequence + time.Duration(float64(context)/1000*float64(e.PerContext))
	return time.Duration(max(1, e.Stride)) * step
}

// DecodeTime returns the time to generate an answer of some tokens beside other
// answers. context is the sum of all contexts on the engine in tokens.
func (e *Engine) DecodeTime(tokens, answers, context int) time.Duration {
	passes := (tokens + max(1, e.Stride) - 1) / max(1, e.Stride)
	return time.Duration(passes) * e.PassTime(answers, context)
}
