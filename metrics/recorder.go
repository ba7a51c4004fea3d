// Package metrics records Prometheus metrics of a daemon.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
)

// latencyBuckets are histogram bounds in seconds. The target of 1 s must be one of
// them, so that the share of requests within it can be read.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60}

// Recorder derives metrics from the steps of the reducer.
type Recorder struct {
	registry         *prometheus.Registry
	requests         *prometheus.CounterVec
	attempts         *prometheus.CounterVec
	firstToken       *prometheus.HistogramVec
	inProgress       prometheus.Gauge
	openRequests     map[gypsumshelf.RequestID]*openRequest
	requestByAttempt map[gypsumshelf.AttemptID]*openRequest
}

// openRequest is a request that has not ended.
type openRequest struct {
	request        gypsumshelf.Request
	firstTokenSeen bool
	attemptIDs     []gypsumshelf.AttemptID
}

// New returns a Recorder with a new registry.
func New() *Recorder {
	r := &Recorder{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gypsumshelf_requests_total", Help: "Ended requests by code (ok for a whole answer) and verdict.",
		}, []string{"code", "verdict"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gypsumshelf_attempts_total", Help: "Ended attempts on backend servers by code (ok for a whole answer).",
		}, []string{"code"}),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "gypsumshelf_first_token_seconds", Help: "Time from a request's arrival to its first token.",
			Buckets: latencyBuckets,
		}, []string{"prompt_tokens"}),
		inProgress: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gypsumshelf_requests_in_progress", Help: "Requests that have arrived and not ended.",
		}),
		openRequests:     map[gypsumshelf.RequestID]*openRequest{},
		requestByAttempt: map[gypsumshelf.AttemptID]*openRequest{},
	}
	r.registry.MustRegister(r.requests, r.attempts, r.firstToken, r.inProgress,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// Register adds a collector of another package.
func (r *Recorder) Register(c prometheus.Collector) { r.registry.MustRegister(c) }

// Gauge adds a gauge whose value is read at each scrape.
func (r *Recorder) Gauge(name, help string, value func() float64) {
	r.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// Counter adds a counter whose value is read at each scrape.
func (r *Recorder) Counter(name, help string, value func() float64) {
	r.Register(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
}

// Handler returns the handler of GET /metrics.
func (r *Recorder) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{}))
	return mux
}

// Observe updates the metrics for one step of the reducer: an event and its
// effects.
func (r *Recorder) Observe(now time.Time, ev gypsumshelf.Event, effects []gypsumshelf.Effect) {
	switch e := ev.(type) {
	case attempts.Arrived:
		r.openRequests[e.Request.ID] = &openRequest{request: e.Request}
	case attempts.FirstToken:
		r.observeFirstToken(now, r.requestByAttempt[e.Attempt])
	case attempts.Ended:
		r.attempts.WithLabelValues("ok").Inc()
	case attempts.Failed:
		r.attempts.WithLabelValues(string(e.Failure.Code)).Inc()
	case attempts.CallerGone:
		r.end(e.Request, string(gypsumshelf.CodeCallerGone), gypsumshelf.MayHaveRun)
	}
	for _, effect := range effects {
		switch e := effect.(type) {
		case attempts.Start:
			r.start(e)
		case attempts.Refuse:
			r.end(e.Request, string(e.Err.Code), e.Err.Verdict)
		case attempts.Finish:
			r.end(e.Request, "ok", gypsumshelf.Ran)
		case attempts.Replay:
			r.end(e.Request, "replayed", gypsumshelf.Ran)
		}
	}
	r.inProgress.Set(float64(len(r.openRequests)))
}

func (r *Recorder) start(e attempts.Start) {
	if open := r.openRequests[e.Request]; open != nil {
		open.attemptIDs = append(open.attemptIDs, e.Attempt)
		r.requestByAttempt[e.Attempt] = open
	}
}

func (r *Recorder) observeFirstToken(now time.Time, open *openRequest) {
	if open == nil || open.firstTokenSeen {
		return
	}
	open.firstTokenSeen = true
	r.firstToken.WithLabelValues(promptLengthLabel(open.request.PromptTokens)).Observe(now.Sub(open.request.Arrived).Seconds())
}

func (r *Recorder) end(id gypsumshelf.RequestID, code string, verdict gypsumshelf.Verdict) {
	open := r.openRequests[id]
	if open == nil {
		return
	}
	for _, attemptID := range open.attemptIDs {
		delete(r.requestByAttempt, attemptID)
	}
	delete(r.openRequests, id)
	r.requests.WithLabelValues(code, verdict.String()).Inc()
}

// promptLengthLabel returns the label value for the range of a prompt's length.
func promptLengthLabel(tokens int) string {
	switch {
	case tokens <= 2_000:
		return "le-2000"
	case tokens <= 10_000:
		return "le-10000"
	case tokens <= 100_000:
		return "le-100000"
	default:
		return "le-1000000"
	}
}
