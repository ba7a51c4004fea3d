package standins

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// FleetConfig configures a Fleet.
type FleetConfig struct {
	Service            string
	Engines            int
	Engine             EngineConfig
	StartWarm          bool // engines are warm at the first start and cold after a restart
	IgnoreFencingEvery int  // every n-th engine ignores fencing numbers, 0 for none
	PlainService       string
	PlainServers       int
	PlainCallTime      time.Duration // duration of a call to the plain service
	DataCentres        []string      // assigned to the stand-ins in turn
	DaemonAddresses    []string      // IP:PORT of the daemons' listeners for backend servers
	AnnouncePeriod     time.Duration // time between announcements
	RestartAfter       time.Duration // time from a crash to the restart
}

// Fleet runs stand-in backend servers that announce themselves to daemons.
type Fleet struct {
	cfg      FleetConfig
	calls    *CallCounter
	standIns []*standIn
}

// NewFleet starts a Fleet on loopback addresses.
func NewFleet(cfg FleetConfig) (*Fleet, error) {
	f := &Fleet{cfg: cfg, calls: NewCallCounter()}
	for i := range cfg.Engines {
		if err := f.add(f.engineConfig(i)); err != nil {
			return nil, err
		}
	}
	for i := range cfg.PlainServers {
		if err := f.add(f.plainConfig(i)); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) add(cfg standInConfig) error {
	s, err := newStandIn(cfg)
	if err != nil {
		f.Close()
		return err
	}
	f.standIns = append(f.standIns, s)
	return nil
}

func (f *Fleet) engineConfig(i int) standInConfig {
	engine := f.cfg.Engine
	engine.ChecksFencing = f.cfg.IgnoreFencingEvery == 0 || (i+1)%f.cfg.IgnoreFencingEvery != 0
	cfg := f.baseConfig(f.cfg.Service, i)
	cfg.Announcement.Kind = gypsumshelf.KindEngine
	cfg.Announcement.Models = []string{engine.Model}
	cfg.Announcement.MemoryTokens = engine.MemoryTokens
	cfg.Announcement.ChecksFencing = engine.ChecksFencing
	engine.StartWarm = f.cfg.StartWarm
	cfg.Backend = func(crashed func()) backend {
		engine.OnCrash = crashed
		defer func() { engine.StartWarm = false }()
		return NewEngine(engine)
	}
	return cfg
}

func (f *Fleet) plainConfig(i int) standInConfig {
	cfg := f.baseConfig(f.cfg.PlainService, i)
	cfg.Announcement.Kind = gypsumshelf.KindPlain
	cfg.Backend = func(func()) backend {
		return NewPlainServer(PlainServerConfig{Calls: f.calls, WorkTime: f.cfg.PlainCallTime})
	}
	return cfg
}

func (f *Fleet) baseConfig(service string, i int) standInConfig {
	return standInConfig{
		Announcement: gypsumshelf.Announcement{
			Server:     gypsumshelf.ServerID(fmt.Sprintf("%s-%02d", service, i+1)),
			DataCentre: f.cfg.DataCentres[i%len(f.cfg.DataCentres)],
			Service:    service, State: gypsumshelf.ServerReady,
		},
		Daemons: f.cfg.DaemonAddresses, Period: f.cfg.AnnouncePeriod, RestartAfter: f.cfg.RestartAfter,
	}
}

// CallCounter returns the counter of calls to the fleet's plain services.
func (f *Fleet) CallCounter() *CallCounter { return f.calls }

// Addresses returns the addresses of the running stand-ins.
func (f *Fleet) Addresses() []string {
	var list []string
	for _, s := range f.standIns {
		if a := s.address(); a != "" {
			list = append(list, a)
		}
	}
	return list
}

// Status returns the status of all stand-ins.
func (f *Fleet) Status() []ServerStatus {
	list := make([]ServerStatus, 0, len(f.standIns))
	for _, s := range f.standIns {
		list = append(list, s.status())
	}
	return list
}

// Actions of Fleet.ApplyAction.
const (
	ActionReady   = "ready"   // start if not running, and announce ready
	ActionLeaving = "leaving" // announce leaving
	ActionCold    = "cold"    // make an engine slow and clear its cache, without an announcement
	ActionDead    = "dead"    // stop: close the listener and all connections
)

// errNoMatch is returned when no stand-in matches a server or data centre.
var errNoMatch = errors.New("no stand-in matches the server or data centre")

// ApplyAction applies an action to one stand-in, or to all stand-ins of a data
// centre. An empty server or data centre matches all.
func (f *Fleet) ApplyAction(action string, server gypsumshelf.ServerID, dataCentre string) error {
	if !slices.Contains([]string{ActionReady, ActionLeaving, ActionCold, ActionDead}, action) {
		return fmt.Errorf("unknown action %q, want ready, leaving, cold or dead", action)
	}
	found := false
	for _, s := range f.standIns {
		a := s.cfg.Announcement
		if (server != "" && a.Server != server) || (dataCentre != "" && a.DataCentre != dataCentre) {
			continue
		}
		found = true
		if err := s.do(action); err != nil {
			return err
		}
	}
	if !found {
		return errNoMatch
	}
	return nil
}

func (s *standIn) do(action string) error {
	switch action {
	case ActionReady:
		if err := s.start(); err != nil {
			return err
		}
		s.setState(gypsumshelf.ServerReady)
	case ActionLeaving:
		s.setState(gypsumshelf.ServerLeaving)
	case ActionCold:
		s.makeCold()
	case ActionDead:
		s.kill()
	}
	return nil
}

func (s *standIn) makeCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.backend.(*Engine); ok {
		e.MakeCold()
	}
}

// SetFaults sets the faults of one stand-in.
func (f *Fleet) SetFaults(server gypsumshelf.ServerID, faults Faults) error {
	for _, s := range f.standIns {
		if s.cfg.Announcement.Server == server {
			s.mu.Lock()
			s.backend.SetFaults(faults)
			s.mu.Unlock()
			return nil
		}
	}
	return errNoMatch
}

// leavePollInterval is the time between two checks for requests in progress.
const leavePollInterval = 20 * time.Millisecond

// Leave announces leaving for all stand-ins and waits until their requests have
// ended, but not longer than limit. It returns the number of requests that are
// still in progress.
func (f *Fleet) Leave(limit time.Duration) int {
	for _, s := range f.standIns {
		s.setState(gypsumshelf.ServerLeaving)
	}
	deadline := time.Now().Add(limit)
	for {
		left := 0
		for _, s := range f.Status() {
			left += s.Running
		}
		if left == 0 || time.Now().After(deadline) {
			return left
		}
		time.Sleep(leavePollInterval)
	}
}

// Close stops all stand-ins and their announcements without waiting for requests.
func (f *Fleet) Close() {
	for _, s := range f.standIns {
		s.close()
	}
}
