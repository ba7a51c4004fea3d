// Package daemons composes the reducers of the other packages into the reducer
// of a daemon, and runs it in an event loop with the drivers that do its I/O.
package daemons

import (
	"fmt"
	"reflect"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/admissions"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/configs"
	"gypsumshelf.example/gypsumshelf/leases"
	"gypsumshelf.example/gypsumshelf/replicas"
	"gypsumshelf.example/gypsumshelf/routes"
	"gypsumshelf.example/gypsumshelf/servers"
	"gypsumshelf.example/gypsumshelf/shares"
)

// ReducerConfig configures a Reducer.
type ReducerConfig struct {
	Daemon   gypsumshelf.DaemonID
	Policy   routes.Policy
	Servers  servers.Config
	Attempts attempts.Config
	Shares   shares.Config // if its Daemon is empty, this daemon uses the whole limit of each server
	Started  time.Time
	Lease    leases.Config
	Session  string // unique to each start of the daemon
	// LoadsPerMinute is the rate of model loads that the weight store can
	// sustain; 0 disables the placement of models.
	LoadsPerMinute float64
	Replica        replicas.Config
	Log            replicatedLog // replaces the replica in tests
}

// Reducer makes every decision of a daemon. It has no clock, does no I/O and
// starts no goroutine; each event is applied at a time given by the caller.
type Reducer struct {
	cfg              ReducerConfig
	servers          *servers.Table
	attempts         *attempts.Table
	queue            *admissions.Queue
	log              *replicaLog              // nil without a replica
	millionTokenTime map[string]time.Duration // processing time of a million prompt tokens, by model
	shares           *shares.Table
	gossip           *servers.Gossip
	lastNotices      time.Time
	waitingWork      map[gypsumshelf.ServerID]waitingWork
	handlers         map[reflect.Type]func(time.Time, gypsumshelf.Event)
	effects          []gypsumshelf.Effect
	stopping         bool
	handedOver       bool
	suspectAttempts  map[gypsumshelf.ServerID]gypsumshelf.AttemptID // by server: the running attempt whose body is suspected of crashes

	configuration   *configuration
	placement       *placement
	keyedRuns       uint64                                   // number of runs with an idempotency key begun since the start
	awaitingOutcome map[gypsumshelf.RequestID]configs.RunKey // requests that wait for the outcome of an earlier run with their key
}

// NewReducer returns a Reducer without any backend server or request.
func NewReducer(cfg ReducerConfig) *Reducer {
	r := &Reducer{
		cfg:              cfg,
		attempts:         attempts.New(cfg.Attempts),
		millionTokenTime: map[string]time.Duration{},
		waitingWork:      map[gypsumshelf.ServerID]waitingWork{},
		handlers:         map[reflect.Type]func(time.Time, gypsumshelf.Event){},
		suspectAttempts:  map[gypsumshelf.ServerID]gypsumshelf.AttemptID{},
		awaitingOutcome:  map[gypsumshelf.RequestID]configs.RunKey{},
	}
	if cfg.Log == nil && cfg.Replica.ID.Daemon != "" {
		r.log = newReplicaLog(cfg.Replica)
		r.registerLogHandlers()
		cfg.Log = r.log
	}
	r.configuration = newConfiguration(cfg, r.emit)
	r.placement = newPlacement(cfg)
	r.queue = admissions.New(r.dueTime)
	allowed := cfg.Servers.InService
	cfg.Servers.InService = func(dataCentre string) bool {
		return r.inService(dataCentre) && (allowed == nil || allowed(dataCentre))
	}
	cfg.Servers.Canonical = r.canonical
	r.servers = servers.New(cfg.Servers)
	registerHandler(r, r.tick)
	r.initServers()
	r.registerRequestHandlers()
	r.registerConfigurationHandlers()
	r.registerPlacementHandlers()
	return r
}

// inService reports whether a data centre may receive new work. It reads the
// state at each call, since a snapshot may replace it.
func (r *Reducer) inService(dataCentre string) bool {
	return r.configuration.state.InService(dataCentre)
}

// canonical returns the canonical name of a service or model in the current state.
func (r *Reducer) canonical(kind gypsumshelf.NameKind, name string) string {
	return r.configuration.state.Canonical(kind, name)
}

// registerHandler makes handle the handler of all events of type E.
func registerHandler[E gypsumshelf.Event](r *Reducer, handle func(time.Time, E)) {
	r.handlers[reflect.TypeFor[E]()] = func(now time.Time, ev gypsumshelf.Event) { handle(now, ev.(E)) }
}

// Tick is the event of the periodic timer.
type Tick struct{}

// EventName implements gypsumshelf.Event.
func (Tick) EventName() string { return "tick" }

// Step applies one event and returns the effects to carry out, in order.
func (r *Reducer) Step(now time.Time, ev gypsumshelf.Event) []gypsumshelf.Effect {
	handle := r.handlers[reflect.TypeOf(ev)]
	if handle == nil {
		panic(fmt.Sprintf("event %s has no handler", ev.EventName()))
	}
	r.effects = nil
	r.updateSlowStart(now, ev)
	handle(now, ev)
	if _, ok := ev.(attempts.FirstToken); ok {
		r.dispatch(now) // the server has finished the prompt and can take another one
	}
	r.processReplicaOutput(now)
	return r.effects
}

func (r *Reducer) emit(e gypsumshelf.Effect) { r.effects = append(r.effects, e) }

func (r *Reducer) tick(now time.Time, _ Tick) {
	r.tickLog(now)
	r.refuseOverdue(now)
	r.queueRetries(now)
	r.configuration.tick(now)
	r.replayOutcomes(now)
	r.refuseQuarantined(now)
	r.refuseStale(now)
	r.attempts.Expire(now)
	r.servers.Expire(now)
	r.dispatch(now)
	r.tickPlacement(now)
}
