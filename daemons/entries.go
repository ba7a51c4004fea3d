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
func (in *Daemon) openCallerHandler(modify func(*entries.Config)) {
	limits := in.settings.Limits
	client := engines.NewClient(engines.ClientConfig{
		DialTimeout: limits.DialTimeout.Std(), ProgressTimeout: limits.ProgressTimeout.Std(),
		Wrap: func(t http.RoundTripper) http.RoundTripper { return in.traces.Transport("backend-server", t) },
	})
	in.engines = client
	idempotent := map[string][]string{}
	for _, s := range in.settings.Services {
		idempotent[s.Name] = s.Idempotent
	}
	in.canceller = engines.NewCanceller(engines.CancellerConfig{
		Completer: client, RetryDelay: engines.DefaultCancelRetryDelay, RetryFor: engines.DefaultCancelRetryFor,
	})
	cfg := entries.Config{
		Engine: client, Services: client, Idempotent: idempotent,
		Submit: in.loop.Submit, Ready: in.ready, Class: in.class,
		Workspaces: in.settings.Workspaces, MaxBodyBytes: limits.MaxBodyBytes,
		BodyBudget: limits.BodyBudgetBytes, WriteTimeout: limits.ProgressTimeout.Std(), Now: in.timers.Now,
	}
	modify(&cfg)
	in.handler = entries.New(cfg)
	in.metrics.Gauge("gypsumshelf_held_body_bytes", "Bytes of long request bodies kept for a retry.", func() float64 {
		return float64(in.handler.HeldBodyBytes())
	})
	RegisterDriver(in.loop, in.handler.Start)
	RegisterDriver(in.loop, in.handler.Refuse)
	RegisterDriver(in.loop, in.handler.Finish)
	RegisterDriver(in.loop, in.handler.Replay)
	RegisterDriver(in.loop, in.handler.Abort)
	RegisterDriver(in.loop, func(e attempts.Cancel) { in.canceller.Cancel(e.Address, e.Attempt) })
	RegisterDriver(in.loop, func(e attempts.ShareSuspicion) { in.links.Broadcast(e.Suspicion) })
	RegisterDriver(in.loop, in.broadcastQuarantine)
}

// broadcastQuarantine sends a quarantined body hash to all daemons. The reducer
// emits the effect only if there is no replicated log to record the quarantine.
func (in *Daemon) broadcastQuarantine(e attempts.Quarantine) {
	in.links.Broadcast(e)
	in.submitLater(attempts.Quarantined(e))
}

// submitLater submits an event from a driver. A driver runs on the event loop,
// so a blocking Submit would deadlock.
func (in *Daemon) submitLater(ev gypsumshelf.Event) {
	s := &submission{loop: in.loop, event: ev}
	go s.run()
}

type submission struct {
	loop  *EventLoop
	event gypsumshelf.Event
}

func (s *submission) run() { s.loop.Submit(s.event) }
