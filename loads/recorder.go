package loads

import (
	"fmt"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"gypsumshelf.example/gypsumshelf"
)

const (
	longestRecorded = 10 * time.Minute
	recordedDigits  = 3
)

// timing is a histogram of durations in microseconds.
type timing struct{ h *hdr.Histogram }

func newTiming() timing {
	return timing{hdr.New(1, longestRecorded.Microseconds(), recordedDigits)}
}

func (t timing) add(d time.Duration) {
	_ = t.h.RecordValue(min(max(1, d.Microseconds()), longestRecorded.Microseconds()))
}

func (t timing) at(percentile float64) time.Duration {
	return time.Duration(t.h.ValueAtPercentile(percentile)) * time.Microsecond
}

func (t timing) quantiles() Quantiles { return Quantiles{P50: t.at(50), P95: t.at(95), P99: t.at(99)} }

// bucketRecord collects the outcomes of one bucket.
type bucketRecord struct {
	requests, whole, inTime int
	first, total            timing
}

// recorder collects the outcomes of a run.
type recorder struct {
	target time.Duration // first token within it counts as in time

	mu      sync.Mutex
	mixture Mixture
	buckets []*bucketRecord
	results map[Result]int
	codes   map[string]int
	wrong   []string // first messages
	unsent  int
}

// keptMessages bounds the messages on wrong answers in a report.
const keptMessages = 10

func newRecorder(m Mixture, target time.Duration) *recorder {
	r := &recorder{mixture: m, target: target, results: map[Result]int{}, codes: map[string]int{}}
	for range m {
		r.buckets = append(r.buckets, &bucketRecord{first: newTiming(), total: newTiming()})
	}
	return r
}

// add records the outcome of a request of a bucket.
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
			b.first.add(out.FirstToken)
			if out.FirstToken <= r.target {
				b.inTime++
			}
		}
		b.total.add(out.Total)
	case Refused, Broken:
		r.codes[codeKey(out)]++
	case Wrong:
		if len(r.wrong) < keptMessages {
			r.wrong = append(r.wrong, out.Err.Error())
		}
	}
}

// codeKey names the kind of a failure: result, code and verdict.
func codeKey(out Outcome) string {
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

// skip counts a request that was not sent because too many were outstanding.
func (r *recorder) skip() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent++
}
