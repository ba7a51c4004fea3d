// Package daemons composes the reducer parts into one reducer and runs it with
// the drivers around it.
package daemons

import (
	"fmt"
	"reflect"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/admissions"
	"gypsumshelf.example/gypsumshelf/attempts"
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
	Shares   shares.Config // without a daemon, limits are not divided
	Started  time.Time
}

// Reducer makes every decision of a daemon. It has no clock, no I/O and no
// goroutine; time arrives with each event.
type Reducer struct {
	cfg        ReducerConfig
	servers    *servers.Table
	attempts   *attempts.Table
	queue      *admissions.Queue
	perToken   map[string]time.Duration // time of a million prompt tokens by model
	shares     *shares.Table
	gossip     *servers.Gossip
	introduced time.Time
	awaited    map[gypsumshelf.ServerID]awaited
	handlers   map[reflect.Type]func(time.Time, gypsumshelf.Event)
	out        []gypsumshelf.Effect
}

// NewReducer returns a Reducer without any backend server or request.
func NewReducer(cfg ReducerConfig) *Reducer {
	r := &Reducer{
		cfg:      cfg,
		servers:  servers.New(cfg.Servers),
		attempts: attempts.New(cfg.Attempts),
		perToken: map[string]time.Duration{},
		awaited:  map[gypsumshelf.ServerID]awaited{},
		handlers: map[reflect.Type]func(time.Time, gypsumshelf.Event){},
	}
	r.queue = admissions.New(r.due)
	on(r, r.tick)
	r.registerServers()
	r.registerRequests()
	return r
}

// on makes handle the handler of all events of type E.
func on[E gypsumshelf.Event](r *Reducer, handle func(time.Time, E)) {
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
	r.out = nil
	r.observe(now, ev)
	handle(now, ev)
	if _, ok := ev.(attempts.FirstToken); ok {
		r.dispatch(now) // the server has room for another prompt
	}
	return r.out
}

func (r *Reducer) emit(e gypsumshelf.Effect) { r.out = append(r.out, e) }

func (r *Reducer) tick(now time.Time, _ Tick) {
	for _, rec := range r.attempts.Overdue(now) {
		r.refuse(now, rec, gypsumshelf.Errorf(rec.Verdict(), gypsumshelf.CodeDeadline,
			"not finished within %s of class %s", rec.Request().Class.Target.Finish, rec.Request().Class.Name))
	}
	r.attempts.Expire(now)
	r.servers.Expire(now)
	r.dispatch(now)
}
