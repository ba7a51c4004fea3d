package servers

import (
	"slices"
	"time"
)

const (
	// coldFactor is the growth of the first-token latency against the server's
	// own past at which it is taken for cold.
	coldFactor = 3.0
	// coldRun is the number of consecutive first tokens that must all show the
	// growth: a cold server is slow for every prompt, a loaded one only for
	// those that wait. Comparing means reported warm servers as cold 116 times
	// in 75 s of simulated load at 0.7.
	coldRun = 4
	// coldWindow is the number of first tokens that make up a past.
	coldWindow = 8
	// maxContention bounds the factor, so that a burst of short prompts does not
	// make every long prompt seem hopeless.
	maxContention = 4.0
	// minContention is the factor that is taken for noise: a slice of another
	// prompt in progress doubles the latency of a short one.
	minContention = 2.5
	// contentionKeep is the time after which a slow first token no longer keeps
	// work away from a server: without work there would be no newer one.
	contentionKeep = 5 * time.Second
	// minSampleTokens keeps constant overhead of short prompts from being
	// counted as cost per token.
	minSampleTokens = 1000
	// pastWeight is the weight of a new window in the past.
	pastWeight = 0.2
)

// coldDetector compares the first-token latency per processed token with the
// server's own past.
type coldDetector struct {
	clean  []float64 // seconds per token of first tokens that other daemons' work did not delay
	recent []float64 // seconds per token of all first tokens
	past   float64   // median of earlier clean windows, smoothed
	last   time.Time
	n      int
}

// observe adds a first token after wait, in which the server processed the
// given prompt tokens. It reports whether the server has turned cold; a first
// token that is not clean says nothing about that.
func (d *coldDetector) observe(now time.Time, wait time.Duration, tokens int, clean bool) bool {
	x := wait.Seconds() / float64(max(tokens, minSampleTokens))
	d.recent, d.last = slide(d.recent, x), now
	if !clean {
		return false
	}
	d.clean = slide(d.clean, x)
	d.n++
	if len(d.clean) < coldWindow {
		return false
	}
	if d.past > 0 && slices.Min(d.clean[coldWindow-coldRun:]) > coldFactor*d.past {
		*d = coldDetector{}
		return true
	}
	if d.n%coldWindow == 0 {
		x := median(d.clean)
		if d.past == 0 {
			d.past = x
		}
		d.past += pastWeight * (min(x, coldFactor*d.past) - d.past)
	}
	return false
}

func median(window []float64) float64 {
	return slices.Sorted(slices.Values(window))[len(window)/2]
}

func slide(window []float64, x float64) []float64 {
	if len(window) < coldWindow {
		return append(window, x)
	}
	copy(window, window[1:])
	window[len(window)-1] = x
	return window
}

// perToken returns the seconds that the server takes for a prompt token by
// itself, 0 when unknown.
func (d *coldDetector) perToken() float64 {
	switch {
	case d.past > 0:
		return d.past
	case len(d.recent) > 0:
		return median(d.recent)
	}
	return 0
}

// contention returns the factor by which other work slows a prompt down.
func (d *coldDetector) contention(now time.Time) float64 {
	if len(d.recent) == 0 || now.Sub(d.last) > contentionKeep {
		return 1
	}
	x := median(d.recent) / d.perToken()
	if x < minContention {
		return 1
	}
	return min(x, maxContention)
}
