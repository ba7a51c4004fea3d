package loadtests

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Quantiles are percentiles of a duration, in nanoseconds in JSON.
type Quantiles struct {
	P50 time.Duration `json:"p50"`
	P95 time.Duration `json:"p95"`
	P99 time.Duration `json:"p99"`
}

// BucketReport is the part of a Report about one range of prompt lengths.
type BucketReport struct {
	Bucket
	Requests   int       `json:"requests"`
	Whole      int       `json:"whole"`
	InTime     int       `json:"in-time"` // whole answers whose first token arrived within the target
	FirstToken Quantiles `json:"first-token"`
	Total      Quantiles `json:"total"`
}

// Report is the result of a run. Latencies are those of whole answers and are measured
// from the intended send time.
type Report struct {
	Seed             uint64         `json:"seed"`
	ArrivalDuration  time.Duration  `json:"elapsed"`  // time during which requests were sent
	TimeToLastAnswer time.Duration  `json:"finished"` // from the start of the run
	Requests         int            `json:"requests"`
	Whole            int            `json:"whole"`
	Refused          int            `json:"refused"`
	Broken           int            `json:"broken"`
	Wrong            int            `json:"wrong"`
	Unsent           int            `json:"unsent"`   // because too many requests waited for an answer
	Failures         map[string]int `json:"failures"` // by result, code and verdict
	WrongMessages    []string       `json:"messages"` // about the first wrong answers
	Buckets          []BucketReport `json:"buckets"`
	Plain            *PlainReport   `json:"plain,omitempty"`
	TimeScale        float64        `json:"time-scale"`
}

func (r *recorder) report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := Report{
		Whole: r.results[Whole], Refused: r.results[Refused], Broken: r.results[Broken], Wrong: r.results[Wrong],
		Unsent: r.unsent, Failures: maps.Clone(r.failures), WrongMessages: slices.Clone(r.wrongMessages),
	}
	rep.Requests = rep.Whole + rep.Refused + rep.Broken + rep.Wrong
	for i, b := range r.buckets {
		rep.Buckets = append(rep.Buckets, BucketReport{
			Bucket: r.mixture[i], Requests: b.requests, Whole: b.whole, InTime: b.inTime,
			FirstToken: b.firstToken.quantiles(), Total: b.total.quantiles(),
		})
	}
	return rep
}

// Err returns an error when an answer was wrong or a call ran twice.
func (r Report) Err() error {
	if r.Wrong > 0 {
		return fmt.Errorf("%d wrong answers", r.Wrong)
	}
	if r.Plain != nil {
		return r.Plain.Err()
	}
	return nil
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteText writes the report as tables.
func (r Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "seed %d, time scale %g, %d requests in %s\n", r.Seed, r.TimeScale, r.Requests, r.ArrivalDuration.Round(time.Millisecond))
	fmt.Fprintf(w, "whole %d, refused %d, broken %d, wrong %d, not sent by this client %d\n", r.Whole, r.Refused, r.Broken, r.Wrong, r.Unsent)
	for _, key := range slices.Sorted(maps.Keys(r.Failures)) {
		fmt.Fprintf(w, "  %s: %d\n", key, r.Failures[key])
	}
	for _, m := range r.WrongMessages {
		fmt.Fprintf(w, "  wrong: %s\n", m)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "prompt tokens\trequests\twhole\tin time\tfirst p50\tp95\tp99\ttotal p50\tp95\tp99\t")
	for _, b := range r.Buckets {
		fmt.Fprintf(table, "%d-%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t\n", b.Min, b.Max, b.Requests, b.Whole, b.InTime,
			ms(b.FirstToken.P50), ms(b.FirstToken.P95), ms(b.FirstToken.P99), ms(b.Total.P50), ms(b.Total.P95), ms(b.Total.P99))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if r.Plain != nil {
		r.Plain.writeText(w)
	}
	return nil
}

// ms formats a duration in milliseconds.
func ms(d time.Duration) string { return fmt.Sprintf("%.1fms", float64(d.Microseconds())/1e3) }
