package daemons

import (
	"context"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// scrapeTimeout bounds how long a metrics scrape waits for the event loop.
const scrapeTimeout = time.Second

// revision returns the configuration revision in force. It must be called on the
// event loop.
func (d *Daemon) revision() gypsumshelf.Revision {
	return d.loop.reducer.configuration.state.Revision()
}

// registerGauges registers the gauges that are read from the reducer.
func (d *Daemon) registerGauges() {
	for _, g := range []struct {
		name, help string
		read       func(*Reducer) float64
	}{
		{"gypsumshelf_configuration_revision", "Revision of the configuration in force.",
			func(r *Reducer) float64 { return float64(r.configuration.state.Revision()) }},
		{"gypsumshelf_ready", "1 while the daemon takes new work, else 0.",
			func(r *Reducer) float64 { return boolToFloat(r.ready(d.timers.Now())) }},
		{"gypsumshelf_leader", "1 while the daemon leads the replicated log, else 0.",
			func(r *Reducer) float64 { return boolToFloat(r.log != nil && r.log.replica.IsLeader()) }},
		{"gypsumshelf_backend_servers", "Backend servers known to the daemon.",
			func(r *Reducer) float64 { return float64(len(r.servers.All())) }},
		{"gypsumshelf_backend_servers_in_slow_start", "Known backend servers whose limit still grows.",
			func(r *Reducer) float64 {
				n := 0.0
				for _, s := range r.servers.All() {
					n += boolToFloat(!s.Warm())
				}
				return n
			}},
		{"gypsumshelf_queued_requests", "Requests that wait for a backend server.",
			func(r *Reducer) float64 { return float64(r.queue.Len()) }},
	} {
		d.metrics.Gauge(g.name, g.help, func() (value float64) {
			ctx, cancel := context.WithTimeout(context.Background(), scrapeTimeout)
			defer cancel()
			d.loop.Query(ctx, func(r *Reducer) { value = g.read(r) })
			return value
		})
	}
}

func boolToFloat(ok bool) float64 {
	if ok {
		return 1
	}
	return 0
}
