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
	StartWarm    bool // engines are warm at their first start, cold after a restart
	IgnoreFence  int  // every n-th engine ignores fencing numbers, 0 for none
	PlainService string
	Plains       int
	PlainTime    time.Duration // time that a call of the plain service takes
	DataCentres  []string      // stand-ins are spread over them in turn
	Daemons      []string      // IP:PORT of the daemons' listeners for backend servers
	Period       time.Duration // time between announcements
	RestartAfter time.Duration // time after a crash until the next start
}

// Fleet runs stand-in backend servers that announce themselves.
type Fleet struct {
	cfg    FleetConfig
	ledger *Ledger
	units  []*unit
}

// NewFleet returns a running Fleet on loopback addresses.
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

// Ledger returns the ledger of the fleet's plain services.
func (f *Fleet) Ledger() *Ledger { return f.ledger }

// Addresses returns the addresses of the stand-ins that are not dead.
func (f *Fleet) Addresses() []string {
	var list []string
	for _, u := range f.units {
		if a := u.address(); a != "" {
			list = append(list, a)
		}
	}
	return list
}

// Status lists all stand-ins.
func (f *Fleet) Status() []UnitStatus {
	list := make([]UnitStatus, 0, len(f.units))
	for _, u := range f.units {
		list = append(list, u.status())
	}
	return list
}

// Actions of Fleet.Do.
const (
	ActionReady   = "ready"   // start when dead, and announce ready
	ActionLeaving = "leaving" // announce leaving
	ActionCold    = "cold"    // turn slow and forget the cache, without warning
	ActionDead    = "dead"    // close the listener and all connections
)

// errNoUnit is the error of an action on stand-ins that do not exist.
var errNoUnit = errors.New("no stand-in of this name")

// Do applies an action to one stand-in, or to all of a data centre.
func (f *Fleet) Do(action string, server gypsumshelf.ServerID, dataCentre string) error {
	if !slices.Contains([]string{ActionReady, ActionLeaving, ActionCold, ActionDead}, action) {
		return fmt.Errorf("unknown action %q", action)
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

// SetFaults sets the fault switches of one stand-in.
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

// leavePoll is the time between two looks at the requests in progress.
const leavePoll = 20 * time.Millisecond

// Leave announces leaving for all stand-ins and waits until their requests
// have ended, at most for the given time. It returns the requests left.
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

// Close stops all stand-ins and their announcements at once.
func (f *Fleet) Close() {
	for _, u := range f.units {
		u.close()
	}
}
