package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"gypsumshelf.example/gypsumshelf/paces"
)

// Paces is a scheduler that finds out how much load started servers take.
type Paces interface {
	PaceCounts() map[paces.Phase]int
	RefusedGrowth() map[string]uint64
}

var (
	paceDesc          = prometheus.NewDesc("gypsumshelf_server_pace", "Backend servers by the phase of their pace, 0 on daemons that do not schedule.", []string{"phase"}, nil)
	refusedGrowthDesc = prometheus.NewDesc("gypsumshelf_server_pace_refused_growth_total", "Times that the pace of a backend server did not grow, or not by doubling, although answers were on time.", []string{"reason"}, nil)
)

// RegisterPaces adds the metrics of the paces of a scheduler.
func RegisterPaces(r *Recorder, p Paces) { r.Register(paceCollector{source: p}) }

// paceCollector exports phases and reasons as labels.
type paceCollector struct{ source Paces }

// Describe implements prometheus.Collector.
func (c paceCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- paceDesc
	descs <- refusedGrowthDesc
}

// Collect implements prometheus.Collector.
func (c paceCollector) Collect(out chan<- prometheus.Metric) {
	counts, refused := c.source.PaceCounts(), c.source.RefusedGrowth()
	for _, phase := range paces.Phases {
		out <- prometheus.MustNewConstMetric(paceDesc, prometheus.GaugeValue, float64(counts[phase]), phase.String())
	}
	for _, reason := range paces.RefusalReasons {
		out <- prometheus.MustNewConstMetric(refusedGrowthDesc, prometheus.CounterValue, float64(refused[reason]), reason)
	}
}
