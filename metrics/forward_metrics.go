package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// ForwardMetrics records metrics of forwarded requests. It implements
// forwards.Recorder.
type ForwardMetrics struct {
	requests   *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	duration   *prometheus.HistogramVec
	firstEvent *prometheus.HistogramVec
	stopped    *prometheus.CounterVec
}

// NewForwardMetrics returns a ForwardMetrics whose metrics are registered with r.
func NewForwardMetrics(r *Recorder) *ForwardMetrics {
	m := &ForwardMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gypsumshelf_forwarded_requests_total", Help: "Ended requests by service, outcome and status.",
		}, []string{"service", "outcome", "status"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gypsumshelf_forwarded_failed_attempts_total", Help: "Attempts at backend servers that brought no answer, by service and outcome.",
		}, []string{"service", "outcome"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "gypsumshelf_forwarded_request_seconds", Help: "Time from a request's arrival to its end.", Buckets: latencyBuckets,
		}, []string{"service", "outcome"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "gypsumshelf_forwarded_first_event_seconds", Help: "Time from a request's arrival to its first event.", Buckets: latencyBuckets,
		}, []string{"service"}),
		stopped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gypsumshelf_forwarded_stopped_requests_total", Help: "Requests that a planned stop has ended, by service, what they were doing and outcome.",
		}, []string{"service", "phase", "outcome"}),
	}
	r.registry.MustRegister(m.requests, m.attempts, m.duration, m.firstEvent, m.stopped)
	return m
}

// Request records an ended request and its duration.
func (m *ForwardMetrics) Request(service, outcome string, status int, duration time.Duration) {
	m.requests.WithLabelValues(service, outcome, strconv.Itoa(status)).Inc()
	m.duration.WithLabelValues(service, outcome).Observe(duration.Seconds())
}

// Attempt counts a failed attempt.
func (m *ForwardMetrics) Attempt(service, outcome string) {
	m.attempts.WithLabelValues(service, outcome).Inc()
}

// FirstEvent records the time from a request's arrival to the first event of its
// stream.
func (m *ForwardMetrics) FirstEvent(service string, duration time.Duration) {
	m.firstEvent.WithLabelValues(service).Observe(duration.Seconds())
}

// RequestStopped counts a request that a planned stop has ended.
func (m *ForwardMetrics) RequestStopped(service, phase, outcome string) {
	m.stopped.WithLabelValues(service, phase, outcome).Inc()
}
