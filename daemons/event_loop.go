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

// eventQueueSize is the number of events that may wait for the reducer.
const eventQueueSize = 4096

// Observer receives every event and its effects. Observe runs on the event loop.
type Observer interface {
	Observe(now time.Time, ev gypsumshelf.Event, effects []gypsumshelf.Effect)
}

// EventLoopConfig configures an EventLoop.
type EventLoopConfig struct {
	Observers  []Observer
	Reducer    ReducerConfig
	Timers     *timers.Service
	TickPeriod time.Duration
}

// EventLoop runs a reducer with its drivers.
type EventLoop struct {
	reducer   *Reducer
	observers []Observer
	drivers   map[reflect.Type]func(gypsumshelf.Effect)
	timers    *timers.Service
	events    chan gypsumshelf.Event
	queries   chan func(*Reducer)
	stop      chan struct{}
	running   sync.WaitGroup
	closeOnce sync.Once
}

// NewEventLoop returns an EventLoop that is not yet running.
func NewEventLoop(cfg EventLoopConfig) *EventLoop {
	l := &EventLoop{
		reducer:   NewReducer(cfg.Reducer),
		observers: cfg.Observers,
		timers:    cfg.Timers,
		drivers:   map[reflect.Type]func(gypsumshelf.Effect){},
		events:    make(chan gypsumshelf.Event, eventQueueSize),
		queries:   make(chan func(*Reducer)),
		stop:      make(chan struct{}),
	}
	cfg.Timers.Subscribe(cfg.TickPeriod, func(time.Time) { l.Submit(Tick{}) })
	return l
}

// RegisterDriver makes drive carry out all effects of type E. It must be called
// before Run. No driver may block, since all run on the event loop.
func RegisterDriver[E gypsumshelf.Effect](l *EventLoop, drive func(E)) {
	l.drivers[reflect.TypeFor[E]()] = func(e gypsumshelf.Effect) { drive(e.(E)) }
}

// Run starts the event loop.
func (l *EventLoop) Run() {
	l.running.Add(1)
	go l.loop()
}

// Submit queues an event for the reducer. It blocks while the queue is full and
// drops the event once the loop is closed.
func (l *EventLoop) Submit(ev gypsumshelf.Event) {
	select {
	case l.events <- ev:
	case <-l.stop:
	}
}

// Query runs f on the event loop, so that f may read the reducer's state. It
// returns false if ctx ends or the loop is closed before f runs.
func (l *EventLoop) Query(ctx context.Context, f func(*Reducer)) bool {
	ran := make(chan struct{})
	query := func(r *Reducer) {
		f(r)
		close(ran)
	}
	select {
	case l.queries <- query:
	case <-ctx.Done():
		return false
	case <-l.stop:
		return false
	}
	<-ran
	return true
}

// Close stops the event loop.
func (l *EventLoop) Close() {
	l.closeOnce.Do(func() { close(l.stop) })
	l.running.Wait()
}

func (l *EventLoop) loop() {
	defer l.running.Done()
	for {
		select {
		case ev := <-l.events:
			l.step(ev)
		case query := <-l.queries:
			query(l.reducer)
		case <-l.stop:
			return
		}
	}
}

func (l *EventLoop) step(ev gypsumshelf.Event) {
	now := l.timers.Now()
	effects := l.reducer.Step(now, ev)
	for _, o := range l.observers {
		o.Observe(now, ev, effects)
	}
	for _, effect := range effects {
		l.perform(effect)
	}
}

func (l *EventLoop) perform(effect gypsumshelf.Effect) {
	drive := l.drivers[reflect.TypeOf(effect)]
	if drive == nil {
		panic(fmt.Sprintf("effect %s has no driver", effect.EffectName()))
	}
	drive(effect)
}
