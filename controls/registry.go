package controls

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/costs"
	"gypsumshelf.example/gypsumshelf/desks"
	"gypsumshelf.example/gypsumshelf/directories"
	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/schedules"
)

const (
	// registryTick is the period at which silent backend servers are looked for.
	registryTick = 500 * time.Millisecond
	// forgetSilent is the time after which a silent backend server is forgotten.
	forgetSilent = time.Minute
	// leaveWait is the time for which the acknowledgement of a leave waits for
	// the daemons that poll; the backend server waits for a second.
	leaveWait = 700 * time.Millisecond
)

// registry keeps what backend servers say, heard here or from other control
// daemons, and tells the desk which engines may get work.
type registry struct {
	log       *logrus.Entry
	decode    catalogs.Decoder
	silence   time.Duration
	publisher *directories.Publisher
	desk      *desks.Desk

	mu      sync.Mutex
	roster  *rosters.Roster
	heard   map[gypsumshelf.ServerID]time.Time // last statement received here
	catalog *catalogs.Catalog
	out     map[string]bool
}

func newRegistry(cfg Config, publisher *directories.Publisher, desk *desks.Desk) *registry {
	return &registry{
		log: cfg.Log, decode: cfg.Decode, silence: cfg.Silence, publisher: publisher, desk: desk,
		roster: rosters.New(), heard: map[gypsumshelf.ServerID]time.Time{}, out: map[string]bool{},
	}
}

// setState takes a new replicated state.
func (g *registry) setState(s catalogs.State) {
	var catalog *catalogs.Catalog
	if s.Document != nil {
		c, err := g.decode(s.Document)
		if err != nil {
			g.log.WithError(err).WithField("version", s.Version).Error("the catalog in force cannot be read")
			return
		}
		catalog = c
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.catalog = catalog
	g.out = map[string]bool{}
	for _, dc := range s.Out {
		g.out[dc] = true
	}
	g.updateDesk()
}

// announce takes a statement of a backend server and publishes it when it says
// something new.
func (g *registry) announce(now time.Time, r rosters.Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old, known := g.roster.Get(r.ID)
	if !g.roster.Merge(now, r) {
		return
	}
	g.heard[r.ID] = now
	if known && sameStatement(now, old, r) {
		return
	}
	g.logChange(old, known, r)
	g.updateDesk()
	g.publisher.Publish(r)
}

// coldSlack is the time by which a backend server may be cold for longer than
// is known before that is news.
const coldSlack = 500 * time.Millisecond

// sameStatement reports whether a statement says nothing new that subscribers
// need. A backend server that is cold for longer than it was said is news.
func sameStatement(now time.Time, old rosters.Known, r rosters.Record) bool {
	longer := r.Cold > 0 && now.Add(r.Cold).After(old.ColdUntil.Add(coldSlack))
	a := old.Record
	a.Sequence, a.Cold = r.Sequence, r.Cold
	return a == r && !longer
}

func (g *registry) logChange(old rosters.Known, known bool, r rosters.Record) {
	g.log.WithFields(logrus.Fields{
		"backend-server": r.ID, "address": r.Address, "service": r.Service, "data-centre": r.DataCentre, "born": r.Born,
		"sequence": r.Sequence, "leaving": r.Leaving, "gone": r.Gone, "silent": r.Silent, "cold-ms": r.Cold.Milliseconds(),
		"known": known, "was-usable": known && old.Usable(),
	}).Info("a backend server changed its state")
}

// merge takes records of other control daemons and passes news on, so that a
// daemon that does not reach the other one hears of them.
func (g *registry) merge(records []rosters.Record) {
	if len(records) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	changed := false
	for _, r := range records {
		old, known := g.roster.Get(r.ID)
		if !g.roster.Merge(now, r) {
			if known && r.Silent && !old.Silent && old.Born == r.Born && now.Sub(g.heard[r.ID]) < g.silence {
				g.publisher.Publish(old.Record) // it is silent there, but it is heard here
			}
			continue
		}
		if !known || !sameStatement(now, old, r) {
			g.publisher.Publish(r)
			changed = true
		}
	}
	if changed {
		g.updateDesk()
	}
}

// tick looks for backend servers and daemons that fell silent.
func (g *registry) tick(now time.Time) {
	for _, id := range g.publisher.Gone() {
		g.log.WithField("gone", id).Warn("a daemon no longer polls; its jobs are taken for ended")
		g.desk.Drop(id)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := false
	for id, at := range g.heard {
		k, ok := g.roster.Get(id)
		if !ok || k.Gone {
			delete(g.heard, id)
			continue
		}
		if now.Sub(at) <= g.silence {
			continue
		}
		delete(g.heard, id)
		r := k.Record
		r.Silent = true
		if g.roster.Merge(now, r) {
			g.logChange(k, true, r)
			g.publisher.Publish(r)
			changed = true
		}
	}
	g.roster.Prune(now, forgetSilent)
	if changed {
		g.updateDesk()
	}
}

// updateDesk tells the desk which engines may get work; mu is held.
func (g *registry) updateDesk() {
	if g.catalog == nil {
		return
	}
	figures, engines := Engines(g.catalog, g.roster.All(), g.out)
	g.desk.Update(figures, engines)
}

// Engines returns the figures of the engine services of a catalog and the
// engines among the records that may get work.
func Engines(c *catalogs.Catalog, records []rosters.Known, out map[string]bool) (map[string]*costs.Engine, []desks.Engine) {
	figures := map[string]*costs.Engine{}
	var engines []desks.Engine
	for _, s := range c.Services() {
		if s.Engine != nil {
			figures[s.Name] = s.Engine
		}
	}
	for _, k := range records {
		if figures[k.Service] == nil || !k.Usable() || out[k.DataCentre] {
			continue
		}
		engines = append(engines, desks.Engine{Address: k.Address, State: schedules.EngineState{
			ID: k.ID, Service: k.Service, DataCentre: k.DataCentre, ColdUntil: k.ColdUntil, ColdRate: c.Service(k.Service).ColdRate,
		}})
	}
	return figures, engines
}

// Announce takes a statement of a backend server. A statement that it leaves is
// acknowledged only when all daemons that poll have heard of it, so that it is
// not lost with this daemon.
func (d *Daemon) Announce(ctx context.Context, r rosters.Record) {
	d.registry.announce(d.cfg.Timers.Now(), r)
	if r.Usable() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveWait)
	defer cancel()
	if !d.publisher.AwaitSeen(ctx) {
		d.cfg.Log.WithField("backend-server", r.ID).Warn("not all daemons have heard of a leave in time")
	}
}

// Leave notes that a backend server ends or is about to. A start of 0 stands
// for the newest one.
func (d *Daemon) Leave(ctx context.Context, id gypsumshelf.ServerID, born int64) {
	d.registry.mu.Lock()
	k, known := d.registry.roster.Get(id)
	d.registry.mu.Unlock()
	if !known || born != 0 && born < k.Born {
		d.cfg.Log.WithFields(logrus.Fields{"backend-server": id, "born": born}).Warn("a backend server leaves that is unknown or has started again")
		return
	}
	r := k.Record
	r.Gone = true
	d.Announce(ctx, r)
}
