package servers

import "time"

const (
	// coldFactor is the growth of the first-token latency against the server's
	// own past at which it is taken for cold. Scheduling noise of a loaded but
	// warm stand-in stays under 2.
	coldFactor = 3.0
	// coldSamples is the number of first tokens that make up a past.
	coldSamples = 8
	// minSampleTokens keeps constant overhead of short prompts from being
	// counted as cost per token.
	minSampleTokens = 1000
	slowWeight      = 0.05 // weight of a new sample in the past
	fastWeight      = 0.5  // weight of a new sample in the present
)

// coldDetector compares the first-token latency per token of work ahead with
// the server's own past.
type coldDetector struct {
	past, present float64 // seconds per token
	samples       int
}

// observe adds a first token after wait with the given tokens of work: the
// prompt itself and what was in progress when it was sent. It reports whether
// the server has turned cold.
func (d *coldDetector) observe(wait time.Duration, tokens int) bool {
	x := wait.Seconds() / float64(max(tokens, minSampleTokens))
	d.samples++
	if d.samples == 1 {
		d.past, d.present = x, x
		return false
	}
	d.present += fastWeight * (x - d.present)
	if d.samples > coldSamples && d.present > coldFactor*d.past {
		*d = coldDetector{}
		return true
	}
	// The past takes a slow sample at most at coldFactor, so that one outlier
	// does not hide the next.
	d.past += slowWeight * (min(x, coldFactor*d.past) - d.past)
	return false
}

// perToken returns the present seconds per token, 0 when unknown.
func (d *coldDetector) perToken() float64 { return d.present }
