package loadtests

import (
	"fmt"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"gypsumshelf.example/gypsumshelf"
)

const (
	maxRecordedDuration = 10 * time.Minute
	significantDigits   = 3
)

// durationHistogram is a histogram of durations with a resolution of microseconds.
type durationHistogram struct{ histogram *hdr.Histogram }

func newDurationHistogram() durationHistogram {
	return durationHistogram{hdr.New(1, maxRecordedDuration.Microseconds(), significantDigits)}
}

func (h durationHistogram) record(d time.Duration) {
	_ = h.histogram.RecordValue(min(max(1, d.Microseconds()), maxRecordedDuration.Microseconds()))
}

func (h durationHistogram) percentile(p float64) time.Duration {
	return time.Duration(h.histogram.ValueAtPercentile(p)) * time.Microsecond
}

func (h durationHistogram) quantiles() Quantiles {
	return Quantiles{P50: h.percentile(50), P95: h.percentile(95), P99: h.percentile(99)}
}

// bucketStats collects the outcomes of requests in one bucket.
type bucketStats struct {
	requests, whole, inTime int
	firstToken, total       durationHistogram
}

// recorder collects the outcomes of the requests of a run.
type recorder struct {
	firstTokenTarget time.Duration // a first token within this time counts as in time

	mu            sync.Mutex
	mixture       Mixture
	buckets       []*bucketStats
	results       map[Result]int
	failures      map[string]int
	wrongMessages []string // at most maxWrongMessages
	unsent        int
}

// maxWrongMessages bounds the number of messages about wrong answers in a report.
const maxWrongMessages = 10

func newRecorder(mixture Mixture, firstTokenTarget time.Duration) *recorder {
	r := &recorder{mixture: mixture, firstTokenTarget: firstTokenTarget, results: map[Result]int{}, failures: map[string]int{}}
	for range mixture {
		r.buckets = append(r.buckets, &bucketStats{firstToken: newDurationHistogram(), total: newDurationHistogram()})
	}
	return r
}

// add records the outcome of a request.
func (r *recorder) add(bucket int, out Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[out.Result]++
	b := r.buckets[bucket]
	b.requests++
	switch out.Result {
	case Whole:
		b.whole++
		if out.FirstToken > 0 {
			b.firstToken.record(out.FirstToken)
			if out.FirstToken <= r.firstTokenTarget {
				b.inTime++
			}
		}
		b.total.record(out.Total)
	case Refused, Broken:
		r.failures[failureKey(out)]++
	case Wrong:
		if len(r.wrongMessages) < maxWrongMessages {
			r.wrongMessages = append(r.wrongMessages, out.Err.Error())
		}
	}
}

// failureKey returns the key under which a failure is counted: its result, code and
// verdict.
func failureKey(out Outcome) string {
	code := out.Code
	if code == "" {
		code = "no-error-body"
	}
	verdict := out.Verdict
	if out.Result == Broken && out.Code == "" {
		verdict = gypsumshelf.MayHaveRun
	}
	return fmt.Sprintf("%s %s %s", out.Result, code, verdict)
}

// addUnsent counts a request that was not sent because too many were outstanding.
func (r *recorder) addUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent++
}
