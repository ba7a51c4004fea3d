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
	Service      string
	Engines      int
	Engine       EngineConfig
	StartWarm    bool // engines are warm at the first start and cold after a restart
	IgnoreFence  int  // every n-th engine ignores fencing numbers, 0 for none
	PlainService string
	Plains       int
	PlainTime    time.Duration // duration of a call to the plain service
	DataCentres  []string      // assigned to the stand-ins in turn
	Daemons      []string      // IP:PORT of the daemons' listeners for backend servers
	Period       time.Duration // time between announcements
	RestartAfter time.Duration // time from a crash to the restart
}

// Fleet runs stand-in backend servers that announce themselves to daemons.
type Fleet struct {
	cfg    FleetConfig
	ledger *Ledger
	units  []*unit
}

// NewFleet starts a Fleet on loopback addresses.
func NewFleet(cfg FleetConfig) (*Fleet, error) {
	f := &Fleet{cfg: cfg, ledger: NewLedger()}
	for i := range cfg.Engines {
		if err := f.add(f.engineUnit(i)); err != nil {
			return nil, err
		}
	}
	for i := range cfg.Plains {
		if err := f.add(f.plainUnit(i)); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) add(cfg unitConfig) error {
	u, err := newUnit(cfg)
	if err != nil {
		f.Close()
		return err
	}
	f.units = append(f.units, u)
	return nil
}

func (f *Fleet) engineUnit(i int) unitConfig {
	engine := f.cfg.Engine
	engine.ChecksFencing = f.cfg.IgnoreFence == 0 || (i+1)%f.cfg.IgnoreFence != 0
	cfg := f.unit(f.cfg.Service, i)
	cfg.Announcement.Kind = gypsumshelf.KindEngine
	cfg.Announcement.Models = []string{engine.Model}
	cfg.Announcement.MemoryTokens = engine.MemoryTokens
	cfg.Announcement.ChecksFencing = engine.ChecksFencing
	engine.Warm = f.cfg.StartWarm
	cfg.Backend = func(crashed func()) backend {
		engine.Crashed = crashed
		defer func() { engine.Warm = false }()
		return NewEngine(engine)
	}
	return cfg
}

func (f *Fleet) plainUnit(i int) unitConfig {
	cfg := f.unit(f.cfg.PlainService, i)
	cfg.Announcement.Kind = gypsumshelf.KindPlain
	cfg.Backend = func(func()) backend {
		return NewPlain(PlainConfig{Ledger: f.ledger, WorkTime: f.cfg.PlainTime})
	}
	return cfg
}

func (f *Fleet) unit(service string, i int) unitConfig {
	return unitConfig{
		Announcement: gypsumshelf.Announcement{
			Server:     gypsumshelf.ServerID(fmt.Sprintf("%s-%02d", service, i+1)),
			DataCentre: f.cfg.DataCentres[i%len(f.cfg.DataCentres)],
			Service:    service, State: gypsumshelf.ServerReady,
		},
		Daemons: f.cfg.Daemons, Period: f.cfg.Period, RestartAfter: f.cfg.RestartAfter,
	}
}

// Ledger returns the counter of calls to the fleet's plain services.
func (f *Fleet) Ledger() *Ledger { return f.ledger }

// Addresses returns the addresses of the running stand-ins.
func (f *Fleet) Addresses() []string {
	var list []string
	for _, u := range f.units {
		if a := u.address(); a != "" {
			list = append(list, a)
		}
	}
	return list
}

// Status returns the status of all stand-ins.
func (f *Fleet) Status() []UnitStatus {
	list := make([]UnitStatus, 0, len(f.units))
	for _, u := range f.units {
		list = append(list, u.status())
	}
	return list
}

// Actions of Fleet.Do.
const (
	ActionReady   = "ready"   // start if not running, and announce ready
	ActionLeaving = "leaving" // announce leaving
	ActionCold    = "cold"    // make an engine slow and clear its cache, without an announcement
	ActionDead    = "dead"    // stop: close the listener and all connections
)

// errNoUnit is returned when no stand-in matches a server or data centre.
var errNoUnit = errors.New("no stand-in matches the server or data centre")

// Do applies an action to one stand-in, or to all stand-ins of a data centre. An
// empty server or data centre matches all.
func (f *Fleet) Do(action string, server gypsumshelf.ServerID, dataCentre string) error {
	if !slices.Contains([]string{ActionReady, ActionLeaving, ActionCold, ActionDead}, action) {
		return fmt.Errorf("unknown action %q, want ready, leaving, cold or dead", action)
	}
	found := false
	for _, u := range f.units {
		a := u.cfg.Announcement
		if (server != "" && a.Server != server) || (dataCentre != "" && a.DataCentre != dataCentre) {
			continue
		}
		found = true
		if err := u.do(action); err != nil {
			return err
		}
	}
	if !found {
		return errNoUnit
	}
	return nil
}

func (u *unit) do(action string) error {
	switch action {
	case ActionReady:
		if err := u.start(); err != nil {
			return err
		}
		u.setState(gypsumshelf.ServerReady)
	case ActionLeaving:
		u.setState(gypsumshelf.ServerLeaving)
	case ActionCold:
		u.chill()
	case ActionDead:
		u.kill()
	}
	return nil
}

func (u *unit) chill() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if e, ok := u.backend.(*Engine); ok {
		e.Chill()
	}
}

// SetFaults sets the faults of one stand-in.
func (f *Fleet) SetFaults(server gypsumshelf.ServerID, faults Faults) error {
	for _, u := range f.units {
		if u.cfg.Announcement.Server == server {
			u.mu.Lock()
			u.backend.SetFaults(faults)
			u.mu.Unlock()
			return nil
		}
	}
	return errNoUnit
}

// leavePoll is the time between two checks for requests in progress.
const leavePoll = 20 * time.Millisecond

// Leave announces leaving for all stand-ins and waits until their requests have
// ended, but not longer than limit. It returns the number of requests that are
// still in progress.
func (f *Fleet) Leave(limit time.Duration) int {
	for _, u := range f.units {
		u.setState(gypsumshelf.ServerLeaving)
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
		time.Sleep(leavePoll)
	}
}

// Close stops all stand-ins and their announcements without waiting for requests.
func (f *Fleet) Close() {
	for _, u := range f.units {
		u.close()
	}
}
