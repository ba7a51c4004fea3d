package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Replication is a member of the replicated log.
type Replication interface {
	IsLeader() bool
	Voters() int
	Condition() string
	LeaderMissingFor() time.Duration
	MembersHeard() int
	Elections() uint64
}

// RegisterReplication adds the metrics of a member of the replicated log.
func RegisterReplication(r *Recorder, m Replication) {
	r.Gauge("gypsumshelf_leader", "1 on the daemon that leads the replicated log.", func() float64 {
		if m.IsLeader() {
			return 1
		}
		return 0
	})
	r.Gauge("gypsumshelf_voters", "Voters of the replicated log.", func() float64 { return float64(m.Voters()) })
	r.Gauge("gypsumshelf_leader_missing_seconds", "Time for which no leader of the replicated log was heard, 0 below 3 s.", func() float64 { return m.LeaderMissingFor().Seconds() })
	r.Gauge("gypsumshelf_members_heard", "Other members of the replicated log heard within 2 s.", func() float64 { return float64(m.MembersHeard()) })
	r.Counter("gypsumshelf_elections_total", "Elections that this daemon has started.", func() float64 { return float64(m.Elections()) })
	r.Register(conditionCollector{source: m})
}

var conditionDesc = prometheus.NewDesc("gypsumshelf_log_state", "1 for the state of this daemon in the replicated log.", []string{"state"}, nil)

// conditionCollector exports the state of a member as a label.
type conditionCollector struct{ source Replication }

// Describe implements prometheus.Collector.
func (c conditionCollector) Describe(descs chan<- *prometheus.Desc) { descs <- conditionDesc }

// Collect implements prometheus.Collector.
func (c conditionCollector) Collect(out chan<- prometheus.Metric) {
	out <- prometheus.MustNewConstMetric(conditionDesc, prometheus.GaugeValue, 1, c.source.Condition())
}
