package controls

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/rosters"
)

// plainService is named by the catalogs of these tests, unnamedService is not.
const (
	plainService   = "plain"
	unnamedService = "later"
)

// newNamingRegistry returns a registry whose catalog names the engines and further
// services.
func newNamingRegistry(t *testing.T, services ...string) *registry {
	t.Helper()
	g := newTestRegistry(t)
	g.setNamed(append(services, "engines")...)
	return g
}

// setNamed installs a catalog that names services.
func (g *registry) setNamed(services ...string) {
	g.decode = func([]byte) (*catalogs.Catalog, error) {
		var spec catalogs.Spec
		for _, name := range services {
			spec.Services = append(spec.Services, catalogs.Service{Name: name})
		}
		return catalogs.New(spec)
	}
	g.setState(catalogs.State{Index: 2, Version: 2, Document: []byte("x")})
}

func assertRegistered(t *testing.T, g *registry, want rosters.Record) {
	t.Helper()
	entry, known := g.roster.Get(want.ID)
	if got := entry.Record; !known || got != want {
		t.Errorf("registered is %+v, want %+v", got, want)
	}
}

func assertUnregistered(t *testing.T, g *registry, id gypsumshelf.ServerID) {
	t.Helper()
	if entry, known := g.roster.Get(id); known {
		t.Errorf("registered is %+v, want none", entry.Record)
	}
}

// Guards against an announcement of another writer that replaces a registration which
// holds, so that another service gets its requests.
func TestAnnouncementOfAnotherServerChangesNothing(t *testing.T) {
	for name, change := range map[string]func(*rosters.Record){
		"another service, later start":        func(r *rosters.Record) { r.Service, r.Born, r.Sequence = plainService, 2, 1 },
		"another service, same start":         func(r *rosters.Record) { r.Service = plainService },
		"unnamed service, later start":        func(r *rosters.Record) { r.Service, r.Born, r.Sequence = unnamedService, 2, 1 },
		"unnamed service, same start":         func(r *rosters.Record) { r.Service = unnamedService },
		"another service, leaving":            func(r *rosters.Record) { r.Service, r.Leaving = plainService, true },
		"another address of the same start":   func(r *rosters.Record) { r.Address = "10.0.9.9:8080" },
		"another data centre, the same start": func(r *rosters.Record) { r.DataCentre = "b" },
	} {
		t.Run(name, func(t *testing.T) {
			g := newNamingRegistry(t, plainService)
			sound := engineRecord(1)
			if err := g.announce(time.Now(), sound); err != nil {
				t.Fatal(err)
			}
			forged := sound
			forged.Sequence++
			change(&forged)
			if err := g.announce(time.Now(), forged); !errors.Is(err, ErrOtherServer) {
				t.Errorf("error %v, want %v", err, ErrOtherServer)
			}
			assertRegistered(t, g, sound)
			assertPublished(t, g, true)
			sound.Sequence += 2
			if err := g.announce(time.Now(), sound); err != nil {
				t.Errorf("the next announcement of the backend server: %v", err)
			}
			assertRegistered(t, g, sound)
		})
	}
}

// Guards against restarts and reuse of addresses, which the identity of a backend server
// must not prevent.
func TestNewStartTakesOver(t *testing.T) {
	for name, change := range map[string]func(g *registry, r *rosters.Record){
		"at the same address": func(*registry, *rosters.Record) {},
		"at another address and in another data centre": func(_ *registry, r *rosters.Record) {
			r.Address, r.DataCentre = "10.0.9.9:8080", "b"
		},
		"another service at the address under a new ID": func(_ *registry, r *rosters.Record) {
			r.ID, r.Service = "p-1", plainService
		},
		"another service after the first one has gone silent": func(g *registry, r *rosters.Record) {
			g.lastAnnounced[r.ID] = time.Now().Add(-2 * g.silenceTimeout)
			g.tick(time.Now())
			r.Service = plainService
		},
		"another service after a leave": func(g *registry, r *rosters.Record) {
			gone := *r
			gone.Born, gone.Gone = 1, true
			g.register(time.Now(), gone)
			r.Service = plainService
		},
		"a service that the catalog no longer names": func(g *registry, _ *rosters.Record) { g.setNamed(plainService) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newNamingRegistry(t, plainService)
			if err := g.announce(time.Now(), engineRecord(1)); err != nil {
				t.Fatal(err)
			}
			next := engineRecord(1)
			next.Born, next.Sequence = 2, 1
			change(g, &next)
			if err := g.announce(time.Now(), next); err != nil {
				t.Fatal(err)
			}
			assertRegistered(t, g, next)
		})
	}
}

// Guards against an announcement with an invented service that ends the registration at
// its address, and against backend servers of a new service that are unknown when the
// catalog with it arrives.
func TestUnnamedServiceTakesEffectWhenItIsNamed(t *testing.T) {
	g := newNamingRegistry(t)
	sound, unnamed := engineRecord(1), engineRecord(1)
	unnamed.ID, unnamed.Service, unnamed.Born = "u-1", unnamedService, 2
	for _, r := range []rosters.Record{sound, unnamed} {
		if err := g.announce(time.Now(), r); err != nil {
			t.Fatal(err)
		}
	}
	assertRegistered(t, g, sound)
	assertUnregistered(t, g, unnamed.ID)
	g.setNamed("engines", plainService)
	assertUnregistered(t, g, unnamed.ID)
	g.setNamed("engines", unnamedService)
	assertRegistered(t, g, unnamed)
	if entry, _ := g.roster.Get(sound.ID); !entry.Gone {
		t.Error("two backend servers are registered at one address")
	}
}

// Guards against a daemon without a catalog, such as one that has just started, on which
// another service ends the registration at its address.
func TestNoServiceTakesAnAddressBeforeTheCatalog(t *testing.T) {
	g := newNamingRegistry(t)
	g.setState(catalogs.State{})
	sound := engineRecord(1)
	for name, test := range map[string]struct {
		change     func(*rosters.Record)
		registered bool
	}{
		"another service":                  {func(r *rosters.Record) { r.Service = plainService }, false},
		"the same service":                 {func(*rosters.Record) {}, true},
		"another service, another address": {func(r *rosters.Record) { r.Service, r.Address = plainService, "10.0.9.9:8080" }, true},
	} {
		t.Run(name, func(t *testing.T) {
			g.roster, g.unnamed = rosters.New(), newUnnamedServers()
			next := engineRecord(1)
			next.ID, next.Born = "n-1", 2
			test.change(&next)
			for _, r := range []rosters.Record{sound, next} {
				if err := g.announce(time.Now(), r); err != nil {
					t.Fatal(err)
				}
			}
			if !test.registered {
				assertRegistered(t, g, sound)
				assertUnregistered(t, g, next.ID)
				g.setNamed("engines", plainService)
			}
			assertRegistered(t, g, next)
			g.setState(catalogs.State{})
		})
	}
}

// Guards against memory that grows with the IDs that another writer invents.
func TestUnnamedServersAreBounded(t *testing.T) {
	g := newNamingRegistry(t)
	for i := range maxUnnamedServers + 10 {
		r := engineRecord(1)
		r.ID, r.Service = gypsumshelf.ServerID(fmt.Sprint("u-", i)), unnamedService
		if err := g.announce(time.Now(), r); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(g.unnamed.byID); n != maxUnnamedServers {
		t.Errorf("%d announcements are kept, want %d", n, maxUnnamedServers)
	}
	g.tick(time.Now().Add(2 * g.silenceTimeout))
	if n := len(g.unnamed.byID); n != 0 {
		t.Errorf("%d announcements are kept after their time, want none", n)
	}
}
