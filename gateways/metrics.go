package gateways

import (
	"net/http"

	"gypsumshelf.example/gypsumshelf/metrics"
)

// RegisterMetrics registers the metrics of paths and relays.
func (g *Gateway) RegisterMetrics(r *metrics.Recorder) {
	r.Gauge("gypsumshelf_lost_paths", "Services whose backend servers this daemon cannot reach by itself.", func() float64 { return float64(g.LostPaths()) })
	r.Gauge("gypsumshelf_bad_paths", "Paths from this data centre to others that lose packets or connections.", func() float64 { return float64(g.BadPaths()) })
	r.Counter("gypsumshelf_path_stalls_total", "Pauses of streams from other data centres that a lost packet explains.", func() float64 { return float64(g.PathStalls()) })
	r.Counter("gypsumshelf_relayed_connections_total", "Connections to backend servers that other daemons made for this one.", func() float64 { return float64(g.RelayedConnections()) })
	r.Gauge("gypsumshelf_relaying_connections", "Connections to backend servers that this daemon has open for others.", func() float64 { return float64(g.RelayingConnections()) })
}

// MetricsHandler returns the handler of the metrics address, which is not for callers. It
// also answers where a request would go.
func (g *Gateway) MetricsHandler(exported http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", exported)
	mux.Handle(WherePath, g.WhereHandler())
	return mux
}
