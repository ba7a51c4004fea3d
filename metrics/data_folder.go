package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"gypsumshelf.example/gypsumshelf/disks"
)

// RecordDataFolder adds the metrics of the data folder.
func (r *Recorder) RecordDataFolder(h *disks.Health) {
	r.Gauge("gypsumshelf_data_folder_serves", "1 while the data folder accepts writes, else 0.", func() float64 {
		if h.Serves() {
			return 1
		}
		return 0
	})
	for _, c := range disks.Causes() {
		r.Register(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "gypsumshelf_data_folder_failures_total", Help: "Errors of the data folder by cause, one for each failed attempt to open it again.",
			ConstLabels: prometheus.Labels{"cause": string(c)},
		}, func() float64 { return float64(h.Failures(c)) }))
	}
}
