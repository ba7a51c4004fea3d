// Package costs predicts the prefill and decode times of a model engine.
package costs

import "time"

// Profile is the performance profile of a model engine as the configuration
// states it.
type Profile struct {
	Slots                      int           // concurrent requests
	MemoryTokens               int           // memory for prompts and answers in tokens
	StepTime                   time.Duration // duration of a decode step without requests
	StepTimePerAnswer          time.Duration // added to a step for each active answer
	StepTimePerThousandTokens  time.Duration // added to a step for each 1,000 tokens of context of the active answers
	PrefillRate                float64       // prefill rate in prompt tokens per second
	PrefillTimePerMillionPairs time.Duration // added to a prefill for each million pairs of a token and an earlier one
	PrefillChunk               int           // maximum prompt tokens of a prefill in one step
	StepsPerPass               int           // steps of a pass with active answers
	SpreadMemoryStepTime       time.Duration // added to each step of an answer whose memory is spread over several engines
	MeanPromptTokens           int           // mean length of prompts in tokens
	MeanAnswerTokens           int           // mean length of answers in tokens
}

// million is the unit of PrefillTimePerMillionPairs.
const million = 1e6

// PrefillTime returns the prefill time of a whole prompt on one engine.
func (p *Profile) PrefillTime(tokens int) time.Duration {
	n := float64(tokens)
	pairs := n * n / 2 / million
	return time.Duration(n/p.PrefillRate*float64(time.Second) + pairs*float64(p.PrefillTimePerMillionPairs))
}

// SharedPrefillTime returns the prefill time of one of several equal parts of a
// prompt.
func (p *Profile) SharedPrefillTime(tokens, engines int) time.Duration {
	return p.PrefillTime(tokens) / time.Duration(max(1, engines))
}

// PassTime returns the duration of a pass of StepsPerPass steps without prefill
// for a number of active answers. context is the sum of their contexts in tokens.
func (p *Profile) PassTime(answers, context int) time.Duration {
	step := p.StepTime + time.Duration(answers)*p.StepTimePerAnswer + time.Duration(float64(context)/1000*float64(p.StepTimePerThousandTokens))
	return time.Duration(max(1, p.StepsPerPass)) * step
}

// DecodeTime returns the time to generate an answer of some tokens beside other
// answers. context is the sum of all contexts on the engine in tokens.
func (p *Profile) DecodeTime(tokens, answers, context int) time.Duration {
	passes := (tokens + max(1, p.StepsPerPass) - 1) / max(1, p.StepsPerPass)
	return time.Duration(passes) * p.PassTime(answers, context)
}
