package daemons

import (
	"encoding/gob"
	"net/http"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/engines"
	"gypsumshelf.example/gypsumshelf/entries"
)

func init() {
	gob.Register(attempts.Suspicion{})
	gob.Register(attempts.Quarantine{})
}

// openCallerHandler creates the HTTP handler for callers and registers the
// drivers of effects on requests.
func (d *Daemon) openCallerHandler(modify func(*entries.Config)) {
	limits := d.settings.Limits
	client := engines.NewClient(engines.ClientConfig{
		DialTimeout: limits.DialTimeout.Std(), ProgressTimeout: limits.ProgressTimeout.Std(),
		Wrap: func(t http.RoundTripper) http.RoundTripper { return d.traces.Transport("backend-server", t) },
	})
	d.engines = client
	idempotent := map[string][]string{}
	for _, s := range d.settings.Services {
		idempotent[s.Name] = s.Idempotent
	}
	d.canceller = engines.NewCanceller(engines.CancellerConfig{
		Completer: client, RetryDelay: engines.DefaultCancelRetryDelay, RetryFor: engines.DefaultCancelRetryFor,
	})
	cfg := entries.Config{
		Engine: client, Services: client, Idempotent: idempotent,
		Submit: d.loop.Submit, Ready: d.ready, Class: d.class,
		Workspaces: d.settings.Workspaces, MaxBodyBytes: limits.MaxBodyBytes,
		BodyBudget: limits.BodyBudgetBytes, WriteTimeout: limits.ProgressTimeout.Std(), Now: d.timers.Now,
	}
	modify(&cfg)
	d.handler = entries.New(cfg)
	d.metrics.Gauge("gypsumshelf_held_body_bytes", "Bytes of long request bodies kept for a retry.", func() float64 {
		return float64(d.handler.HeldBodyBytes())
	})
	RegisterDriver(d.loop, d.handler.Start)
	RegisterDriver(d.loop, d.handler.Refuse)
	RegisterDriver(d.loop, d.handler.Finish)
	RegisterDriver(d.loop, d.handler.Replay)
	RegisterDriver(d.loop, d.handler.Abort)
	RegisterDriver(d.loop, func(e attempts.Cancel) { d.canceller.Cancel(e.Address, e.Attempt) })
	RegisterDriver(d.loop, func(e attempts.ShareSuspicion) { d.links.Broadcast(e.Suspicion) })
	RegisterDriver(d.loop, d.broadcastQuarantine)
}

// broadcastQuarantine sends a quarantined body hash to all daemons. The reducer
// emits the effect only if there is no replicated log to record the quarantine.
func (d *Daemon) broadcastQuarantine(e attempts.Quarantine) {
	d.links.Broadcast(e)
	d.submitLater(attempts.Quarantined(e))
}

// submitLater submits an event from a driver. A driver runs on the event loop,
// so a blocking Submit would deadlock.
func (d *Daemon) submitLater(ev gypsumshelf.Event) {
	s := &submission{loop: d.loop, event: ev}
	go s.run()
}

type submission struct {
	loop  *EventLoop
	event gypsumshelf.Event
}

func (s *submission) run() { s.loop.Submit(s.event) }
