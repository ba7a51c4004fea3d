package servers

import (
	"slices"
	"time"
)

const (
	// coldFactor is the ratio of the first-token latency to the server's baseline
	// above which the server is considered cold.
	coldFactor = 3.0
	// coldSamples is the number of consecutive first tokens that must all exceed
	// the ratio: a cold server is slow for every prompt, a loaded one only for
	// prompts that wait. A comparison of means reported warm servers as cold 116
	// times in 75 s of simulated load at 0.7.
	coldSamples = 4
	// sampleWindow is the number of first tokens in a window.
	sampleWindow = 8
	// maxContention bounds the contention factor, so that a burst of short prompts
	// does not make every long prompt appear unable to finish in time.
	maxContention = 4.0
	// minContention is the contention factor below which the delay is treated as
	// noise: a slice of another prompt in progress doubles the latency of a short
	// one.
	minContention = 2.5
	// contentionTTL is the time after which slow first tokens no longer count as
	// contention. Without an end they would keep work away from the server, and so
	// prevent newer samples.
	contentionTTL = 5 * time.Second
	// minSampleTokens is the smallest number of tokens by which a latency is
	// divided, so that the constant overhead of short prompts does not count as
	// cost per token.
	minSampleTokens = 1000
	// baselineWeight is the weight of a new window in the baseline.
	baselineWeight = 0.2
)

// coldDetector compares the first-token latency per processed token with the
// server's baseline.
type coldDetector struct {
	undelayed      []float64 // seconds per token of first tokens not delayed by other daemons' work
	recent         []float64 // seconds per token of all first tokens
	baseline       float64   // smoothed median of earlier windows of undelayed
	lastSample     time.Time
	undelayedCount int
}

// observe adds a first token that arrived after wait, during which the server
// processed the given prompt tokens. It reports whether the server has turned
// cold. Only first tokens not delayed by other daemons' work are evidence of that.
func (d *coldDetector) observe(now time.Time, wait time.Duration, tokens int, undelayed bool) bool {
	perToken := wait.Seconds() / float64(max(tokens, minSampleTokens))
	d.recent, d.lastSample = appendSample(d.recent, perToken), now
	if !undelayed {
		return false
	}
	d.undelayed = appendSample(d.undelayed, perToken)
	d.undelayedCount++
	if len(d.undelayed) < sampleWindow {
		return false
	}
	if d.baseline > 0 && slices.Min(d.undelayed[sampleWindow-coldSamples:]) > coldFactor*d.baseline {
		*d = coldDetector{}
		return true
	}
	if d.undelayedCount%sampleWindow == 0 {
		perToken := median(d.undelayed)
		if d.baseline == 0 {
			d.baseline = perToken
		}
		d.baseline += baselineWeight * (min(perToken, coldFactor*d.baseline) - d.baseline)
	}
	return false
}

func median(window []float64) float64 {
	return slices.Sorted(slices.Values(window))[len(window)/2]
}

// appendSample adds x to a window and drops the oldest sample of a full one.
func appendSample(window []float64, x float64) []float64 {
	if len(window) < sampleWindow {
		return append(window, x)
	}
	copy(window, window[1:])
	window[len(window)-1] = x
	return window
}

// secondsPerToken returns the seconds that the server takes for a prompt token
// without other work, 0 when unknown.
func (d *coldDetector) secondsPerToken() float64 {
	switch {
	case d.baseline > 0:
		return d.baseline
	case len(d.recent) > 0:
		return median(d.recent)
	}
	return 0
}

// contention returns the factor by which other work delays a prompt.
func (d *coldDetector) contention(now time.Time) float64 {
	if len(d.recent) == 0 || now.Sub(d.lastSample) > contentionTTL {
		return 1
	}
	x := median(d.recent) / d.secondsPerToken()
	if x < minContention {
		return 1
	}
	return min(x, maxContention)
}
