// Package timers is the timer service that parts subscribe to.
package timers

import (
	"context"
	"sync"
	"time"
)

// Service calls its subscribers at their periods from one goroutine each.
type Service struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	now    func() time.Time
}

// Config configures a Service.
type Config struct {
	Now func() time.Time // clock, time.Now when nil
}

// New returns a running Service.
func New(cfg Config) *Service {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{ctx: ctx, cancel: cancel, now: cfg.Now}
}

// Now returns the current time.
func (s *Service) Now() time.Time { return s.now() }

// Subscribe calls fire once every period until the service is closed.
func (s *Service) Subscribe(period time.Duration, callback func(now time.Time)) {
	sub := &subscription{period: period, callback: callback, service: s}
	s.wg.Add(1)
	go sub.loop()
}

// Close stops all subscriptions and waits for their last call to return.
func (s *Service) Close() {
	s.cancel()
	s.wg.Wait()
}

type subscription struct {
	period   time.Duration
	callback func(now time.Time)
	service  *Service
}

func (s *subscription) loop() {
	defer s.service.wg.Done()
	ticker := time.NewTicker(s.period)
	defer ticker.Stop()
	for {
		select {
		case <-s.service.ctx.Done():
			return
		case <-ticker.C:
			s.callback(s.service.now())
		}
	}
}
