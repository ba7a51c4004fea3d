package daemons

import (
	"context"
	"fmt"
	"reflect"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/timers"
)

// eventBacklog is the number of events that may wait for the reducer.
const eventBacklog = 4096

// Observer is told of every step of the reducer, on the event loop.
type Observer interface {
	Observe(now time.Time, ev gypsumshelf.Event, effects []gypsumshelf.Effect)
}

// Config configures a Daemon.
type Config struct {
	Observers  []Observer
	Reducer    ReducerConfig
	Timers     *timers.Service
	TickPeriod time.Duration
}

// Daemon runs a reducer with its drivers.
type Daemon struct {
	reducer   *Reducer
	observers []Observer
	drivers   map[reflect.Type]func(gypsumshelf.Effect)
	timers    *timers.Service
	events    chan gypsumshelf.Event
	queries   chan func(*Reducer)
	stop      chan struct{}
	done      sync.WaitGroup
	once      sync.Once
}

// New returns a Daemon that is not yet running.
func New(cfg Config) *Daemon {
	d := &Daemon{
		reducer:   NewReducer(cfg.Reducer),
		observers: cfg.Observers,
		timers:    cfg.Timers,
		drivers:   map[reflect.Type]func(gypsumshelf.Effect){},
		events:    make(chan gypsumshelf.Event, eventBacklog),
		queries:   make(chan func(*Reducer)),
		stop:      make(chan struct{}),
	}
	cfg.Timers.Subscribe(cfg.TickPeriod, func(time.Time) { d.Submit(Tick{}) })
	return d
}

// Carry makes do carry out all effects of type E. It must be called before
// Run, and do must not block.
func Carry[E gypsumshelf.Effect](d *Daemon, do func(E)) {
	d.drivers[reflect.TypeFor[E]()] = func(e gypsumshelf.Effect) { do(e.(E)) }
}

// Run starts the event loop.
func (d *Daemon) Run() {
	d.done.Add(1)
	go d.loop()
}

// Submit passes an event to the reducer. It blocks while the backlog is full
// and drops the event once the daemon is closed.
func (d *Daemon) Submit(ev gypsumshelf.Event) {
	select {
	case d.events <- ev:
	case <-d.stop:
	}
}

// Query runs f on the event loop, so that f may read the reducer's state. It
// reports false when ctx ends or the daemon is closed before f ran.
func (d *Daemon) Query(ctx context.Context, f func(*Reducer)) bool {
	ran := make(chan struct{})
	query := func(r *Reducer) {
		f(r)
		close(ran)
	}
	select {
	case d.queries <- query:
	case <-ctx.Done():
		return false
	case <-d.stop:
		return false
	}
	<-ran
	return true
}

// Close stops the event loop.
func (d *Daemon) Close() {
	d.once.Do(func() { close(d.stop) })
	d.done.Wait()
}

func (d *Daemon) loop() {
	defer d.done.Done()
	for {
		select {
		case ev := <-d.events:
			d.step(ev)
		case query := <-d.queries:
			query(d.reducer)
		case <-d.stop:
			return
		}
	}
}

func (d *Daemon) step(ev gypsumshelf.Event) {
	now := d.timers.Now()
	effects := d.reducer.Step(now, ev)
	for _, o := range d.observers {
		o.Observe(now, ev, effects)
	}
	for _, effect := range effects {
		d.perform(effect)
	}
}

func (d *Daemon) perform(effect gypsumshelf.Effect) {
	do := d.drivers[reflect.TypeOf(effect)]
	if do == nil {
		panic(fmt.Sprintf("effect %s has no driver", effect.EffectName()))
	}
	do(effect)
}
