package controls

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/costs"
	"gypsumshelf.example/gypsumshelf/directories"
	"gypsumshelf.example/gypsumshelf/dispatchers"
	"gypsumshelf.example/gypsumshelf/rosters"
	"gypsumshelf.example/gypsumshelf/schedules"
)

const (
	// registryTickInterval is the interval of the checks for silent backend
	// servers and daemons that no longer poll.
	registryTickInterval = 500 * time.Millisecond
	// dispatcherUpdateInterval is the interval at which the dispatcher learns of new
	// and changed engines. A list of all engines is too costly to be made for each
	// announcement when many backend servers start at once. An engine that takes no
	// new work any more is reported at once.
	dispatcherUpdateInterval = 50 * time.Millisecond
	// forgetSilentAfter is the time after which a silent backend server is
	// removed.
	forgetSilentAfter = time.Minute
	// leaveAckTimeout bounds the time for which the acknowledgement of a leave
	// waits for the polling daemons. It is below the 1 s for which the backend
	// server waits.
	leaveAckTimeout = 700 * time.Millisecond
)

// registry tracks the backend servers, from announcements received here and from
// records of other control daemons, and tells the dispatcher which engines may get
// work.
type registry struct {
	log            *logrus.Entry
	decode         catalogs.Decoder
	silenceTimeout time.Duration
	publisher      *directories.Publisher
	dispatcher     *dispatchers.Dispatcher

	mu            sync.Mutex
	roster        *rosters.Roster
	unnamed       *unnamedServers
	lastAnnounced map[gypsumshelf.ServerID]time.Time // last announcement received by this daemon
	catalog       *catalogs.Catalog
	outOfService  map[string]bool // by data centre
	outdated      bool            // the dispatcher has to be updated
}

func newRegistry(cfg Config, publisher *directories.Publisher, dispatcher *dispatchers.Dispatcher) *registry {
	return &registry{
		log: cfg.Log, decode: cfg.Decode, silenceTimeout: cfg.SilenceTimeout, publisher: publisher, dispatcher: dispatcher,
		roster: rosters.New(), unnamed: newUnnamedServers(), lastAnnounced: map[gypsumshelf.ServerID]time.Time{}, outOfService: map[string]bool{},
	}
}

// setState installs a new replicated state. If its catalog cannot be decoded,
// the previous one stays in use.
func (g *registry) setState(s catalogs.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.Document == nil {
		g.catalog = nil
	} else if c, err := g.decode(s.Document); err == nil {
		g.catalog = c
	} else {
		g.log.WithError(err).WithField("version", s.Version).Error("the catalog of the replicated state cannot be decoded; the previous one stays in use")
	}
	g.outOfService = g.roster.SetOutOfService(time.Now(), g.outOfService, s.OutOfService, g.catalog.WarmUpTime)
	g.dispatcher.SetQuarantines(s.Quarantines, s.Lifts)
	now := time.Now()
	for _, r := range g.unnamed.takeNamed(now, g.isNamed) {
		g.register(now, r)
	}
	g.updateDispatcher()
}

// announce merges an announcement of a backend server and publishes it if it contains
// a change that subscribers need. It returns an error if the announcement cannot come
// from the backend server that is registered under its ID.
func (g *registry) announce(now time.Time, r rosters.Record) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	registered, known := g.roster.Get(r.ID)
	if known {
		if err := checkIdentity(registered, r); err != nil {
			return err
		}
	}
	if isSameService := known && registered.Service == r.Service; !isSameService && !g.mayRegister(r) {
		g.unnamed.put(now, r)
		return nil
	}
	g.unnamed.remove(r.ID)
	g.register(now, r)
	return nil
}

// mayRegister reports whether a backend server that is not registered with its service
// may be. Before the first catalog all services may, but none takes the address of
// another one: a daemon that has just started knows registrations, and no catalog yet.
// The caller holds mu.
func (g *registry) mayRegister(r rosters.Record) bool {
	if g.catalog != nil {
		return g.isNamed(r.Service)
	}
	holder, occupied := g.roster.At(r.Address)
	return !occupied || holder.Service == r.Service || holder.Silent || !holder.Usable()
}

// isNamed reports whether the catalog names a service. The caller holds mu.
func (g *registry) isNamed(service string) bool {
	return g.catalog != nil && g.catalog.Service(service) != nil
}

// register merges and publishes an announcement that may change registrations. The caller
// holds mu.
func (g *registry) register(now time.Time, r rosters.Record) {
	old, known := g.roster.Get(r.ID)
	if !g.roster.Merge(now, r) {
		return
	}
	r = g.merged(r.ID)
	g.lastAnnounced[r.ID] = now
	if known && isRedundant(now, old, r) {
		return
	}
	g.logChange(old, known, r)
	g.dispatcherOutdated(r)
	g.publisher.Publish(r)
}

// merged returns the record of a backend server after a merge. The caller holds mu.
func (g *registry) merged(id gypsumshelf.ServerID) rosters.Record {
	entry, _ := g.roster.Get(id)
	return entry.Record
}

// recordLeave records that a start of a backend server has said in an answer that it
// leaves.
func (g *registry) recordLeave(id gypsumshelf.ServerID, born int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, marked := g.roster.MarkLeaving(time.Now(), id, born)
	if !marked {
		return
	}
	g.log.WithFields(logrus.Fields{"backend-server": id, "born": born}).Info("an entry daemon reports that a backend server says it leaves")
	g.publisher.Publish(r)
	g.dispatcherOutdated(r)
}

// dispatcherOutdated notes that the dispatcher does not know a record yet. The caller
// holds mu.
func (g *registry) dispatcherOutdated(r rosters.Record) {
	if g.outdated = true; !r.Usable() {
		g.updateDispatcher()
	}
}

// refreshDispatcher updates the dispatcher if it is outdated.
func (g *registry) refreshDispatcher(time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.outdated {
		g.updateDispatcher()
	}
}

// coldTolerance is the time by which a cold phase may end later than published
// without being published again.
const coldTolerance = 500 * time.Millisecond

// isRedundant reports whether a record contains no change that subscribers
// need. A later sequence or an earlier end of the cold phase is no such change;
// a cold phase that ends later than known, beyond coldTolerance, is one.
func isRedundant(now time.Time, old rosters.Entry, r rosters.Record) bool {
	coldExtended := r.Cold > 0 && now.Add(r.Cold).After(old.ColdUntil.Add(coldTolerance))
	next := old.Record
	next.Sequence, next.Cold = r.Sequence, r.Cold
	return next == r && !coldExtended
}

func (g *registry) logChange(old rosters.Entry, known bool, r rosters.Record) {
	g.log.WithFields(logrus.Fields{
		"backend-server": r.ID, "address": r.Address, "service": r.Service, "data-centre": r.DataCentre, "born": r.Born,
		"sequence": r.Sequence, "leaving": r.Leaving, "gone": r.Gone, "silent": r.Silent, "cold-ms": r.Cold.Milliseconds(),
		"known": known, "was-usable": known && old.Usable(),
	}).Info("a backend server changed its state")
}

// merge merges records of other control daemons. It publishes changes again, so
// that they reach daemons that have no connection to the other control daemon.
func (g *registry) merge(records []rosters.Record) {
	if len(records) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, r := range records {
		old, known := g.roster.Get(r.ID)
		if !g.roster.Merge(now, r) {
			if known && r.Silent && !old.Silent && old.Born == r.Born && now.Sub(g.lastAnnounced[r.ID]) < g.silenceTimeout {
				// The backend server still announces itself here.
				g.publisher.Publish(old.Record)
			}
			continue
		}
		if r = g.merged(r.ID); !known || !isRedundant(now, old, r) {
			g.publisher.Publish(r)
			g.dispatcherOutdated(r)
		}
	}
}

// tick drops the jobs of daemons that no longer poll, and marks backend servers
// as silent that have not announced themselves for the silence limit.
func (g *registry) tick(now time.Time) {
	for _, id := range g.publisher.TakeExpired() {
		g.log.WithField("gone", id).Warn("a daemon no longer polls; its jobs are counted as ended")
		g.dispatcher.EndDaemonJobs(id)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := false
	for id, at := range g.lastAnnounced {
		entry, ok := g.roster.Get(id)
		if !ok || entry.Gone {
			delete(g.lastAnnounced, id)
			continue
		}
		if now.Sub(at) <= g.silenceTimeout {
			continue
		}
		delete(g.lastAnnounced, id)
		r := entry.Record
		r.Silent = true
		if g.roster.Merge(now, r) {
			g.logChange(entry, true, r)
			g.publisher.Publish(r)
			changed = true
		}
	}
	g.roster.Prune(now, forgetSilentAfter)
	g.unnamed.expire(now, g.silenceTimeout)
	if changed {
		g.updateDispatcher()
	}
}

// updateDispatcher passes the usable engines to the dispatcher. The caller
// holds mu.
func (g *registry) updateDispatcher() {
	g.outdated = false
	if g.catalog == nil {
		return
	}
	profiles, engines := UsableEngines(g.catalog, g.roster.All(), g.outOfService)
	g.dispatcher.UpdateEngines(profiles, engines)
}

// UsableEngines returns the performance profiles of the catalog's engine services by
// service name, and the engines among the records that may get work. It leaves
// out those in data centres out of service.
func UsableEngines(c *catalogs.Catalog, records []rosters.Entry, outOfService map[string]bool) (map[string]*costs.Profile, []dispatchers.Engine) {
	profiles := map[string]*costs.Profile{}
	var engines []dispatchers.Engine
	for _, s := range c.Services() {
		if s.Engine != nil {
			profiles[s.Name] = s.Engine
		}
	}
	for _, entry := range records {
		if profiles[entry.Service] == nil || !entry.Usable() || outOfService[entry.DataCentre] {
			continue
		}
		engines = append(engines, dispatchers.Engine{Address: entry.Address, State: schedules.EngineState{
			ID: entry.ID, Born: entry.Born, Service: entry.Service, DataCentre: entry.DataCentre, ColdUntil: entry.ColdUntil, ColdRequestsPerSecond: c.Service(entry.Service).ColdRequestsPerSecond,
		}})
	}
	return profiles, engines
}

// Announce handles an announcement of a backend server. For a leave it returns
// only after all polling daemons have received the record, or after
// leaveAckTimeout: an acknowledged leave must not be lost if this daemon fails. It
// returns ErrStopping if the announcement may be lost with this daemon, and ErrOtherServer,
// without any change, if it cannot come from the backend server that is registered under
// its ID.
func (d *Daemon) Announce(ctx context.Context, r rosters.Record) error {
	select {
	case <-d.stop:
		return ErrStopping
	default:
	}
	if err := d.registry.announce(d.cfg.Timers.Now(), r); err != nil {
		return err
	}
	if r.Usable() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, leaveAckTimeout)
	defer cancel()
	if d.publisher.AwaitDelivery(ctx) {
		return nil
	}
	d.cfg.Log.WithField("backend-server", r.ID).Warn("not all polling daemons received the leave of a backend server in time")
	if d.stopping.Load() {
		return ErrStopping
	}
	return nil
}

// Leave records that a backend server has ended or is about to. born is the
// start to which the leave refers, 0 for the latest one; a leave of an earlier
// start is ignored. The error is that of Announce.
func (d *Daemon) Leave(ctx context.Context, id gypsumshelf.ServerID, born int64) error {
	d.registry.mu.Lock()
	d.registry.unnamed.remove(id)
	entry, known := d.registry.roster.Get(id)
	d.registry.mu.Unlock()
	if !known || born != 0 && born < entry.Born {
		d.cfg.Log.WithFields(logrus.Fields{"backend-server": id, "born": born}).Warn("leave ignored: the backend server is unknown or has restarted since")
		return nil
	}
	r := entry.Record
	r.Gone = true
	return d.Announce(ctx, r)
}
