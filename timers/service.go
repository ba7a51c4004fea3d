// Package timers calls subscribers periodically.
package timers

import (
	"context"
	"sync"
	"time"
)

// Service calls each subscriber periodically from a goroutine of its own.
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

// Subscribe calls callback once per period until the service is closed. A call
// that lasts longer than a period delays the next one.
func (s *Service) Subscribe(period time.Duration, callback func(now time.Time)) {
	sub := &subscription{period: period, callback: callback, service: s}
	s.wg.Add(1)
	go sub.loop()
}

// Close stops all subscriptions and waits for running callbacks to return.
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
