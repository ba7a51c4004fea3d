package servers

import (
	"slices"
	"time"
)

const (
	// coldFactor is the growth of the first-token latency against the server's
	// own past at which it is taken for cold.
	coldFactor = 3.0
	// coldSamples is the number of consecutive first tokens that must all show the
	// growth: a cold server is slow for every prompt, a loaded one only for
	// those that wait. Comparing means reported warm servers as cold 116 times
	// in 75 s of simulated load at 0.7.
	coldSamples = 4
	// sampleWindow is the number of first tokens that make up a past.
	sampleWindow = 8
	// maxContention bounds the factor, so that a burst of short prompts does not
	// make every long prompt seem hopeless.
	maxContention = 4.0
	// minContention is the factor that is taken for noise: a slice of another
	// prompt in progress doubles the latency of a short one.
	minContention = 2.5
	// contentionTTL is the time after which a slow first token no longer keeps
	// work away from a server: without work there would be no newer one.
	contentionTTL = 5 * time.Second
	// minSampleTokens keeps constant overhead of short prompts from being
	// counted as cost per token.
	minSampleTokens = 1000
	// baselineWeight is the weight of a new window in the past.
	baselineWeight = 0.2
)

// coldDetector compares the first-token latency per processed token with the
// server's own past.
type coldDetector struct {
	undelayed      []float64 // seconds per token of first tokens that other daemons' work did not delay
	recent         []float64 // seconds per token of all first tokens
	baseline       float64   // median of earlier clean windows, smoothed
	lastSample     time.Time
	undelayedCount int
}

// observe adds a first token after wait, in which the server processed the
// given prompt tokens. It reports whether the server has turned cold; a first
// token that is not clean says nothing about that.
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

func appendSample(window []float64, x float64) []float64 {
	if len(window) < sampleWindow {
		return append(window, x)
	}
	copy(window, window[1:])
	window[len(window)-1] = x
	return window
}

// secondsPerToken returns the seconds that the server takes for a prompt token by
// itself, 0 when unknown.
func (d *coldDetector) secondsPerToken() float64 {
	switch {
	case d.baseline > 0:
		return d.baseline
	case len(d.recent) > 0:
		return median(d.recent)
	}
	return 0
}

// contention returns the factor by which other work slows a prompt down.
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
