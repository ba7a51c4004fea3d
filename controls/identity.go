package controls

import (
	"errors"
	"fmt"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/rosters"
)

// ErrOtherServer is returned for an announcement that cannot come from the backend server
// that is registered under its ID.
var ErrOtherServer = errors.New("another backend server is registered under this ID")

// checkIdentity returns an error if an announcement cannot come from the backend server
// that is registered under its ID. All announcements of one start name the same service
// and address. A later start may have another address, but a backend server does not
// change its service while it lives.
func checkIdentity(registered rosters.Entry, r rosters.Record) error {
	if registered.Gone {
		return nil
	}
	isSameStart := registered.Born == r.Born
	switch {
	case registered.Service != r.Service && (isSameStart || !registered.Silent):
		return fmt.Errorf("%w: service %q, announced is %q", ErrOtherServer, registered.Service, r.Service)
	case isSameStart && registered.Address != r.Address:
		return fmt.Errorf("%w: address %s, announced is %s", ErrOtherServer, registered.Address, r.Address)
	case isSameStart && registered.DataCentre != r.DataCentre:
		return fmt.Errorf("%w: data centre %q, announced is %q", ErrOtherServer, registered.DataCentre, r.DataCentre)
	}
	return nil
}

// maxUnnamedServers bounds the memory for unnamedServers, whose IDs anyone can invent.
const maxUnnamedServers = 4096

// unnamedServers holds the announcements of backend servers whose service the catalog
// does not name. They change no registration: a new start at the address of another one
// would end that one. When a catalog names the service, they take effect.
type unnamedServers struct {
	byID map[gypsumshelf.ServerID]unnamedServer
}

// unnamedServer is an announcement and the time of its arrival.
type unnamedServer struct {
	record rosters.Record
	at     time.Time
}

func newUnnamedServers() *unnamedServers {
	return &unnamedServers{byID: map[gypsumshelf.ServerID]unnamedServer{}}
}

// put keeps an announcement unless a later one of its ID is held, or too many are.
func (u *unnamedServers) put(now time.Time, r rosters.Record) {
	old, known := u.byID[r.ID]
	if !known && len(u.byID) >= maxUnnamedServers {
		return
	}
	if known && (r.Born < old.record.Born || r.Born == old.record.Born && r.Sequence < old.record.Sequence) {
		return
	}
	u.byID[r.ID] = unnamedServer{record: r, at: now}
}

func (u *unnamedServers) remove(id gypsumshelf.ServerID) { delete(u.byID, id) }

// takeNamed removes and returns the announcements of services that are named now.
func (u *unnamedServers) takeNamed(now time.Time, isNamed func(service string) bool) []rosters.Record {
	var named []rosters.Record
	for id, s := range u.byID {
		if !isNamed(s.record.Service) {
			continue
		}
		s.record.Cold = max(0, s.record.Cold-now.Sub(s.at))
		named = append(named, s.record)
		delete(u.byID, id)
	}
	return named
}

// expire removes announcements that were not repeated in time.
func (u *unnamedServers) expire(now time.Time, timeout time.Duration) {
	for id, s := range u.byID {
		if now.Sub(s.at) > timeout {
			delete(u.byID, id)
		}
	}
}
