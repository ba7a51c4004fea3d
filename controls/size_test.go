package controls

import (
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/costs"
	"gypsumshelf.example/gypsumshelf/directories"
	"gypsumshelf.example/gypsumshelf/dispatchers"
	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/timers"
)

func newTestRegistry(t *testing.T) *registry {
	t.Helper()
	service := timers.New(timers.Config{})
	t.Cleanup(service.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := Config{Log: logrus.NewEntry(log), Timers: service, SilenceTimeout: time.Minute, Decode: func([]byte) (*catalogs.Catalog, error) {
		return catalogs.New(catalogs.Spec{Services: []catalogs.Service{{Name: "engines", Engine: &costs.Profile{Slots: 10, MemoryTokens: 1000, PrefillRate: 1000}}}})
	}}
	g := newRegistry(cfg, directories.NewPublisher(nil), dispatchers.New(dispatchers.Config{Log: cfg.Log, Timers: service}))
	g.setState(catalogs.State{Index: 1, Version: 1, Document: []byte("x")})
	return g
}

func engineRecord(n int) rosters.Record {
	return rosters.Record{ID: gypsumshelf.ServerID(fmt.Sprintf("e-%05d", n)), Born: 1, Sequence: 1, Service: "engines", Address: fmt.Sprintf("10.0.%d.%d:8080", n/250, n%250), DataCentre: "a", Slots: 10}
}

// announceCost returns the bytes allocated for each announcement when n engines
// announce themselves for the first time.
func announceCost(t *testing.T, n int) float64 {
	t.Helper()
	g := newTestRegistry(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range n {
		g.announce(time.Now(), engineRecord(i))
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / float64(n)
}

// Guards against announcements whose cost grows with the number of backend servers:
// when 1,000 of them started at once, a control daemon listed and sorted all known
// ones 1,000 times.
func TestAnnouncementCostDoesNotGrow(t *testing.T) {
	small, large := announceCost(t, 100), announceCost(t, 3000)
	if large > 3*small {
		t.Errorf("an announcement allocates %.0f bytes among 100 backend servers and %.0f among 3,000", small, large)
	}
}

// Guards against an engine that gets new work after it has said that it leaves.
func TestLeavingEngineIsReportedAtOnce(t *testing.T) {
	g := newTestRegistry(t)
	g.announce(time.Now(), engineRecord(1))
	g.refreshDispatcher(time.Now())
	r := engineRecord(1)
	r.Sequence, r.Leaving = 2, true
	g.announce(time.Now(), r)
	if g.outdated {
		t.Error("the dispatcher does not know that the engine leaves")
	}
}
